package query_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/query"
)

// Guards against hosts that together send more extra requests to a service in any
// window than the operator's bound.
func TestHostBudgetsKeepTheBoundInAnyWindow(t *testing.T) {
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
		within := func(list []time.Time, from time.Time) (n int) {
			for _, at := range list {
				if !at.Before(from) && at.Sub(from) < window {
					n++
				}
			}
			return n
		}
		for _, from := range extra {
			most := ratio*float64(within(first, from)) + slack
			if n := within(extra, from); float64(n) > most {
				t.Fatalf("%d extra sends in a window, the bound is %.1f", n, most)
			}
		}
	})
}

// Guards against a host whose first requests to a service have no extra send although
// the host has run for long: a budget that starts with its first use.
func TestBudgetsEarnFromTheStart(t *testing.T) {
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
		{0, "s", 0},                   // a restart does not fill a budget
		{2 * time.Second, "t", 1},     // earned before the first use
		{2 * time.Second, "s", 1},     // earned since the first use
		{10 * time.Second, "u", 3},    // no more than the burst
		{12 * time.Second, "u", 1},    // what was spent is not earned again
		{2 * time.Minute, "other", 3}, // forgets s and t, which are full by now
		{2 * time.Minute, "s", 3},
	} {
		if n := take(c.at, c.service); n != c.want {
			t.Errorf("%s paid for %d sends after %v, want %d", c.service, n, c.at, c.want)
		}
	}
}

// Guards against a budget that is forgotten before it has earned what a new one has, so
// that its burst is spent twice.
func TestSpentBudgetIsNotRefilledWhenUnused(t *testing.T) {
	start := time.Unix(1000, 0)
	b := query.NewServiceBudgets(start, func(string) query.BudgetLimits {
		return query.BudgetLimits{Burst: 3, PerSecond: 0.01}
	})
	now := start.Add(10 * time.Minute)
	for range 3 {
		if !b.TryWithdraw(now, "s", true) {
			t.Fatal("a full budget did not pay")
		}
	}
	now = now.Add(2 * time.Minute) // earns 1.2
	b.TryWithdraw(now, "other", true)
	if !b.TryWithdraw(now, "s", true) || b.TryWithdraw(now, "s", true) {
		t.Error("two minutes without use did not pay for one send, or paid for more")
	}
}

// Guards against a reserve that a small burst can never exceed, so that no early
// hedge is ever sent: many hosts share one bound.
func TestSmallBurstPaysForEarlyHedges(t *testing.T) {
	limits := query.BudgetLimits{Ratio: 1, Burst: 1.4}
	b := query.NewServiceBudgets(time.Unix(1000, 0), func(string) query.BudgetLimits { return limits })
	now := time.Unix(1000, 0)
	b.Deposit(now, "s", 5)
	if !b.TryWithdraw(now, "s", false) {
		t.Error("a full budget does not pay for an early hedge")
	}
}

// Guards against early hedges that leave nothing for a request that fails.
func TestUrgentSendsHaveAReserve(t *testing.T) {
	limits := query.BudgetLimits{Ratio: 1, Burst: 5}
	b := query.NewServiceBudgets(time.Unix(1000, 0), func(string) query.BudgetLimits { return limits })
	now := time.Unix(1000, 0)
	b.Deposit(now, "s", 5)
	early := 0
	for b.TryWithdraw(now, "s", false) {
		early++
	}
	if early == 0 || !b.TryWithdraw(now, "s", true) {
		t.Errorf("%d early sends left no reserve for an urgent one", early)
	}
	if b.TryWithdraw(now, "t", true) {
		t.Error("a service was paid from the budget of another")
	}
}

// Guards against slack that lies with hosts that seldom send, while those that send for
// them have too little.
func TestIdleHostsLeaveTheirSlack(t *testing.T) {
	const hosts, idle, slack, window = 85, 75, 210, 10 * time.Second
	even := query.HostBudgetLimits(0.2, slack, window, hosts, 0, false)
	busy := query.HostBudgetLimits(0.2, slack, window, hosts, idle, false)
	if quiet := query.HostBudgetLimits(0.2, slack, window, hosts, idle, true); quiet.Burst != 1 || quiet.PerSecond != 0 {
		t.Errorf("an idle host has %+v", quiet)
	}
	const times = 4 // (0.9 x 210 - 75) / 10 is five times 0.9 x 210 / 85
	if busy.Burst < times*even.Burst || busy.PerSecond < times*even.PerSecond {
		t.Errorf("a busy host has %+v, %+v if all are alike", busy, even)
	}
	if small := query.HostBudgetLimits(0.2, 90, window, hosts, idle, false); small != query.HostBudgetLimits(0.2, 90, window, hosts, 0, false) {
		t.Errorf("with a slack of 90 a busy host has %+v", small)
	}
}
