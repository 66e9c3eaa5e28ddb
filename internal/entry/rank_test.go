package entry

import (
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/admission"
	"github.com/marigoldlever/marigoldlever/routing"
)

// Guards against a route's priority or a weight of one that hides the account's priority and
// quota.
func TestRankComesFromAccountFirst(t *testing.T) {
	route := &routing.Route{Priority: 2, TargetLatency: time.Second}
	for _, c := range []struct {
		account *routing.Account
		want    rank
	}{
		{nil, rank{admission.Class{Priority: 2}, 1}},
		{&routing.Account{Name: "a"}, rank{admission.Class{Priority: 2, Account: "a"}, 1}},
		{&routing.Account{Name: "b", HasPriority: true, RequestsPerSecond: 7}, rank{admission.Class{Priority: 0, Account: "b"}, 7}},
	} {
		if got := rankOf(route, c.account); got != c.want {
			t.Errorf("rank of %+v is %+v, want %+v", c.account, got, c.want)
		}
	}
}

// Guards against refused callers that all return at the same moment, and against less urgent
// ones that return first on average or wait without bound.
func TestRefusedCallersReturnSpreadByRank(t *testing.T) {
	route := &routing.Route{TargetLatency: time.Second}
	mean := func(priority int) time.Duration {
		lowest, highest, sum := time.Hour, time.Duration(0), time.Duration(0)
		const n = 1000
		for range n {
			d := overloadRetryAfter(route, rank{class: admission.Class{Priority: priority}})
			lowest, highest, sum = min(lowest, d), max(highest, d), sum+d
		}
		if lowest <= 0 || highest > 500*time.Millisecond || highest-lowest < 50*time.Millisecond {
			t.Errorf("priority %d returns between %v and %v", priority, lowest, highest)
		}
		return sum / n
	}
	if urgent, other, last := mean(0), mean(2), mean(100); urgent >= other || other >= last {
		t.Errorf("priorities return after %v, %v and %v on average", urgent, other, last)
	}
}
