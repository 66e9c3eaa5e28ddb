package query

import "time"

// BudgetLimits are one host's part of the limits that all hosts together keep for
// extra sends to a service.
type BudgetLimits struct {
	// Ratio is the credit per first send, in extra sends.
	Ratio float64
	// Burst is the maximum credit, in extra sends.
	Burst float64
	// PerSecond is the credit that accrues per second without any first send, in
	// extra sends.
	PerSecond float64
}

// HostBudgetLimits returns one host's limits. Together the hosts may send ratio extra
// sends per request plus slack extra sends in every window.
//
// Idle hosts send requests only rarely. An idle host accumulates at most one extra send,
// from its own first sends only. The other hosts divide the remaining slack evenly. If
// that would give them less than an even share, all hosts get an even share.
//
// The total stays within the bound in any window, because a host spends at most its burst
// plus what it earns in the window. Every host can accumulate one extra send, so slack has
// to be at least about two extra sends per host.
func HostBudgetLimits(ratio, slack float64, window time.Duration, hosts, idle int, isIdle bool) BudgetLimits {
	share := slack * slackUtilisation / float64(max(hosts, 1))
	if busy := hosts - idle; idle > 0 && busy > 0 {
		busyShare := (slack*slackUtilisation - float64(idle)) / float64(busy)
		switch {
		case busyShare < share: // too little slack: divide it evenly
		case isIdle:
			return BudgetLimits{Ratio: ratio * ratioUtilisation, Burst: 1}
		default:
			share = busyShare
		}
	}
	return BudgetLimits{
		Ratio:     ratio * ratioUtilisation,
		Burst:     share * burstShare,
		PerSecond: share * (1 - burstShare) / window.Seconds(),
	}
}

const (
	// ratioUtilisation and slackUtilisation keep the sends below the bound, because an
	// extra send may arrive in another window than the request that it belongs to.
	ratioUtilisation = 0.97
	slackUtilisation = 0.9
	// burstShare is the part of the slack that a host can accumulate as burst; the
	// rest accrues over the window.
	burstShare = 0.6
	// reserveShare is the share of the burst that is reserved for urgent sends.
	reserveShare = 0.4
	// budgetIdleTimeout is how long the budget of a service is kept without use.
	budgetIdleTimeout = time.Minute
)

// ServiceBudgets is a RetryBudget with a separate budget for each service. All budgets
// are empty when the host starts, so that a restart does not let it spend its burst
// twice. They accrue credit from then on, even before their first use.
type ServiceBudgets struct {
	limits     func(service string) BudgetLimits
	start      time.Time
	services   map[string]*serviceBudget
	lastPruned time.Time
}

type serviceBudget struct {
	credit    float64
	updatedAt time.Time
}

// NewServiceBudgets returns the budgets of a host that started at the given time. It
// calls limits on each use, so the limits may change.
func NewServiceBudgets(start time.Time, limits func(service string) BudgetLimits) *ServiceBudgets {
	return &ServiceBudgets{limits: limits, start: start, lastPruned: start, services: map[string]*serviceBudget{}}
}

// Deposit implements RetryBudget.
func (b *ServiceBudgets) Deposit(now time.Time, service string, n int) {
	limits := b.limits(service)
	s := b.service(now, service, limits)
	s.credit = min(max(limits.Burst, 1), s.credit+float64(n)*limits.Ratio)
}

// TryWithdraw implements RetryBudget.
func (b *ServiceBudgets) TryWithdraw(now time.Time, service string, urgent bool) bool {
	limits := b.limits(service)
	s := b.service(now, service, limits)
	price := 1.0
	if !urgent {
		price = min(1+reserveShare*limits.Burst, max(limits.Burst, 1))
	}
	if s.credit < price {
		return false
	}
	s.credit--
	return true
}

// service returns the budget of a service with the credit accrued until now.
func (b *ServiceBudgets) service(now time.Time, name string, limits BudgetLimits) *serviceBudget {
	s := b.services[name]
	if s == nil {
		b.prune(now)
		s = &serviceBudget{updatedAt: b.start}
		b.services[name] = s
	}
	if now.After(s.updatedAt) {
		s.credit, s.updatedAt = s.earned(now, limits), now
	}
	return s
}

// earned returns the credit of a budget at a time after its last update.
func (s *serviceBudget) earned(now time.Time, limits BudgetLimits) float64 {
	return min(max(limits.Burst, 1), s.credit+now.Sub(s.updatedAt).Seconds()*limits.PerSecond)
}

// prune removes the unused budgets whose credit a new budget would not exceed.
func (b *ServiceBudgets) prune(now time.Time) {
	if now.Sub(b.lastPruned) < budgetIdleTimeout {
		return
	}
	b.lastPruned = now
	unused := serviceBudget{updatedAt: b.start}
	for name, s := range b.services {
		limits := b.limits(name)
		if now.Sub(s.updatedAt) > budgetIdleTimeout && s.earned(now, limits) >= unused.earned(now, limits) {
			delete(b.services, name)
		}
	}
}
