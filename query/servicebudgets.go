package query

import "time"

// BudgetLimits bound the extra sends to each service, in what one host may use
// of the bound for all hosts.
type BudgetLimits struct {
	// Ratio is the number of extra sends per first send.
	Ratio float64
	// Burst is the number of extra sends that can be saved up.
	Burst float64
	// PerSecond is the number of extra sends earned without any first send.
	PerSecond float64
}

// HostBudgetLimits divides a bound of ratio extra sends per request plus slack in every
// window over a number of hosts, of which some are idle: these seldom send. An idle host
// can save up one send, out of what its own sends earn; the others divide the slack that
// is left. The shares of all hosts add up to the bound in any window, since a host spends
// at most its burst and what the window earns. Every host can save up one send, so that
// the slack has to be about two sends a host at least.
func HostBudgetLimits(ratio, slack float64, window time.Duration, hosts, idle int, isIdle bool) BudgetLimits {
	share := slack * slackUse / float64(max(hosts, 1))
	if busy := hosts - idle; idle > 0 && busy > 0 {
		left := (slack*slackUse - float64(idle)) / float64(busy)
		switch {
		case left < share: // too little slack to divide it unequally
		case isIdle:
			return BudgetLimits{Ratio: ratio * ratioUse, Burst: 1}
		default:
			share = left
		}
	}
	return BudgetLimits{
		Ratio:     ratio * ratioUse,
		Burst:     share * burstShare,
		PerSecond: share * (1 - burstShare) / window.Seconds(),
	}
}

const (
	// ratioUse and slackUse keep room below the bound: an arrival may be counted
	// in another window than its request.
	ratioUse = 0.97
	slackUse = 0.9
	// burstShare is the part of the slack that can be saved up; the rest is
	// earned with time.
	burstShare = 0.6
	// reserveShare of the burst is left to urgent sends.
	reserveShare = 0.4
	// idleBudget is how long a service's budget is kept without use.
	idleBudget = time.Minute
)

// ServiceBudgets is a RetryBudget with a budget for each service. All budgets are empty
// at the start of the host, so that one that restarts does not spend its burst twice,
// and earn from then on, whether they are used or not.
type ServiceBudgets struct {
	limits   func(service string) BudgetLimits
	start    time.Time
	services map[string]*serviceBudget
	pruned   time.Time
}

type serviceBudget struct {
	credit float64
	at     time.Time
}

// NewServiceBudgets returns the budgets of a host that starts at a time. Their limits
// are looked up with each use.
func NewServiceBudgets(start time.Time, limits func(service string) BudgetLimits) *ServiceBudgets {
	return &ServiceBudgets{limits: limits, start: start, pruned: start, services: map[string]*serviceBudget{}}
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

// service returns a budget with what it earned by time.
func (b *ServiceBudgets) service(now time.Time, name string, limits BudgetLimits) *serviceBudget {
	s := b.services[name]
	if s == nil {
		b.prune(now)
		s = &serviceBudget{at: b.start}
		b.services[name] = s
	}
	if now.After(s.at) {
		s.credit, s.at = s.earned(now, limits), now
	}
	return s
}

// earned returns the credit of a budget at a time after its last use.
func (s *serviceBudget) earned(now time.Time, limits BudgetLimits) float64 {
	return min(max(limits.Burst, 1), s.credit+now.Sub(s.at).Seconds()*limits.PerSecond)
}

// prune forgets the budgets without use that a new one would not exceed.
func (b *ServiceBudgets) prune(now time.Time) {
	if now.Sub(b.pruned) < idleBudget {
		return
	}
	b.pruned = now
	unused := serviceBudget{at: b.start}
	for name, s := range b.services {
		limits := b.limits(name)
		if now.Sub(s.at) > idleBudget && s.earned(now, limits) >= unused.earned(now, limits) {
			delete(b.services, name)
		}
	}
}
