package query_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/query"
)

// Guards against hosts that together exceed the operator's bound on extra sends to a
// service in any window.
func TestHostBudgetsStayWithinBoundInAnyWindow(t *testing.T) {
	const (
		ratio  = 0.2
		window = 10 * time.Second
	)
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 8).Draw(t, "hosts")
		slack := float64(rapid.IntRange(2*hosts, 60).Draw(t, "slack"))
		idle := rapid.IntRange(0, hosts).Draw(t, "idle")
		now := time.Unix(1000, 0)
		start := now.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "uptime")) * time.Second)
		budgets := make([]*query.ServiceBudgets, hosts)
		for i := range budgets {
			budgets[i] = query.NewServiceBudgets(start, func(string) query.BudgetLimits {
				return query.HostBudgetLimits(ratio, slack, window, hosts, idle, i < idle)
			})
		}
		var first, extra []time.Time
		for range 500 {
			now = now.Add(time.Duration(rapid.IntRange(0, 180).Draw(t, "gap")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				b.Deposit(now, "s", 1)
				first = append(first, now)
			}
			if b.TryWithdraw(now, "s", rapid.Bool().Draw(t, "urgent")) {
				extra = append(extra, now)
			}
		}
		countInWindow := func(list []time.Time, from time.Time) (n int) {
			for _, at := range list {
				if !at.Before(from) && at.Sub(from) < window {
					n++
				}
			}
			return n
		}
		for _, from := range extra {
			bound := ratio*float64(countInWindow(first, from)) + slack
			if n := countInWindow(extra, from); float64(n) > bound {
				t.Fatalf("%d extra sends in a window, want at most %.1f", n, bound)
			}
		}
	})
}

// Guards against a budget that accrues credit only from its first use: a host that has
// run for a long time could not retry its first requests to a service.
func TestBudgetsAccrueFromHostStart(t *testing.T) {
	start := time.Unix(1000, 0)
	b := query.NewServiceBudgets(start, func(string) query.BudgetLimits {
		return query.BudgetLimits{Burst: 3, PerSecond: 0.5}
	})
	take := func(at time.Duration, service string) (n int) {
		for b.TryWithdraw(start.Add(at), service, true) {
			n++
		}
		return n
	}
	for _, c := range []struct {
		at      time.Duration
		service string
		want    int
	}{
		{0, "s", 0},                   // budgets are empty after a restart
		{2 * time.Second, "t", 1},     // credit accrues before the first use
		{2 * time.Second, "s", 1},     // credit accrues after the first use
		{10 * time.Second, "u", 3},    // credit is limited to the burst
		{12 * time.Second, "u", 1},    // spent credit is not restored
		{2 * time.Minute, "other", 3}, // prunes s and t, which are full by now
		{2 * time.Minute, "s", 3},
	} {
		if n := take(c.at, c.service); n != c.want {
			t.Errorf("budget of %s allowed %d sends at %v, want %d", c.service, n, c.at, c.want)
		}
	}
}

// Guards against a budget that is pruned while its credit is below that of a new one,
// so that its burst can be spent twice.
func TestPruneDoesNotRefillSpentBudget(t *testing.T) {
	start := time.Unix(1000, 0)
	b := query.NewServiceBudgets(start, func(string) query.BudgetLimits {
		return query.BudgetLimits{Burst: 3, PerSecond: 0.01}
	})
	now := start.Add(10 * time.Minute)
	for range 3 {
		if !b.TryWithdraw(now, "s", true) {
			t.Fatal("full budget refused a send")
		}
	}
	now = now.Add(2 * time.Minute) // accrues a credit of 1.2
	b.TryWithdraw(now, "other", true)
	if !b.TryWithdraw(now, "s", true) || b.TryWithdraw(now, "s", true) {
		t.Error("budget does not allow exactly one send after two minutes without use")
	}
}

// Guards against a reserve that a small burst can never exceed, so that no hedge is
// sent before it is urgent. Bursts are small if many hosts share one bound.
func TestSmallBurstAllowsNonUrgentHedges(t *testing.T) {
	limits := query.BudgetLimits{Ratio: 1, Burst: 1.4}
	b := query.NewServiceBudgets(time.Unix(1000, 0), func(string) query.BudgetLimits { return limits })
	now := time.Unix(1000, 0)
	b.Deposit(now, "s", 5)
	if !b.TryWithdraw(now, "s", false) {
		t.Error("full budget refused a hedge that is not urgent")
	}
}

// Guards against hedges that are not urgent and use up the credit for retries.
func TestReserveIsKeptForUrgentSends(t *testing.T) {
	limits := query.BudgetLimits{Ratio: 1, Burst: 5}
	b := query.NewServiceBudgets(time.Unix(1000, 0), func(string) query.BudgetLimits { return limits })
	now := time.Unix(1000, 0)
	b.Deposit(now, "s", 5)
	notUrgent := 0
	for b.TryWithdraw(now, "s", false) {
		notUrgent++
	}
	if notUrgent == 0 || !b.TryWithdraw(now, "s", true) {
		t.Errorf("budget allowed %d sends that were not urgent, want at least one and then an urgent one", notUrgent)
	}
	if b.TryWithdraw(now, "t", true) {
		t.Error("send to a service was charged to the budget of another service")
	}
}

// Guards against slack that is reserved for idle hosts while the busy hosts, which send
// requests on their behalf, have too little.
func TestIdleHostsCedeSlackToBusyHosts(t *testing.T) {
	const hosts, idle, slack, window = 85, 75, 210, 10 * time.Second
	even := query.HostBudgetLimits(0.2, slack, window, hosts, 0, false)
	busy := query.HostBudgetLimits(0.2, slack, window, hosts, idle, false)
	if idleLimits := query.HostBudgetLimits(0.2, slack, window, hosts, idle, true); idleLimits.Burst != 1 || idleLimits.PerSecond != 0 {
		t.Errorf("limits of an idle host are %+v, want a burst of 1 and none per second", idleLimits)
	}
	const minFactor = 4 // the busy share, (0.9 * 210 - 75) / 10, is five times the even share, 0.9 * 210 / 85
	if busy.Burst < minFactor*even.Burst || busy.PerSecond < minFactor*even.PerSecond {
		t.Errorf("limits of a busy host are %+v, want a multiple of the even share %+v", busy, even)
	}
	if small := query.HostBudgetLimits(0.2, 90, window, hosts, idle, false); small != query.HostBudgetLimits(0.2, 90, window, hosts, 0, false) {
		t.Errorf("limits of a busy host are %+v with a slack of 90, want the even share", small)
	}
}
