package capacity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testServiceTime = 10 * time.Millisecond

// fleet is a replica that falls over when it is overloaded, with its owners.
// Time advances in steps of one millisecond.
type fleet struct {
	t           *rapid.T
	owners      []*Limiter
	slots       int
	now         time.Time
	incarnation int
	requests    []request
	notices     []delivery
	next        int
	maxDelay    int // of a notice, in milliseconds
	lossPercent int
	violation   string
}

type request struct {
	owner       int
	id          string
	end         time.Time
	incarnation int
	informed    bool // the owner knew the incarnation at the start
}

type delivery struct {
	to int
	at time.Time
	n  Notice
}

func newFleet(t *rapid.T, owners, slots int) *fleet {
	f := &fleet{t: t, slots: slots, now: testStart, incarnation: 1}
	for rank := range owners {
		c := testConfig(slots)
		c.SilenceLimit = time.Hour
		l, err := New(c)
		if err != nil {
			t.Fatal(err)
		}
		l.SetRank(f.now, rank, owners)
		l.SetShare(f.now, Portion(slots, rank, owners))
		f.owners = append(f.owners, l)
	}
	return f
}

func (f *fleet) name() string { return fmt.Sprint("i", f.incarnation) }

func (f *fleet) informed(owner int) bool { return f.owners[owner].incarnation == f.name() }

// start sends a request and checks the allowance of the replica: owners that
// know its incarnation stay within the level of rank 0 together, and the others
// stay within their own share.
func (f *fleet) start(owner int, id string) {
	r := request{owner, id, f.now.Add(testServiceTime), f.incarnation, f.informed(owner)}
	f.requests = append(f.requests, r)
	known, own := 0, 0
	for _, o := range f.requests {
		if o.informed && o.incarnation == f.incarnation {
			known++
		}
		if o.owner == owner {
			own++
		}
	}
	level := f.owners[0].cfg.Floor
	if f.informed(0) {
		level = f.owners[0].level()
	}
	if r.informed && known > level {
		f.violation = fmt.Sprintf("%d in flight at level %d after a start by rank %d", known, level, owner)
	}
	if own > f.owners[owner].share {
		f.violation = fmt.Sprintf("%d in flight with share %d", own, f.owners[owner].share)
	}
}

func (f *fleet) apply(owner int, c Changes) {
	for _, s := range c.Starts {
		f.start(owner, s.ID)
	}
	n, due := f.owners[owner].TakeNotice(f.now)
	if due {
		f.broadcast(owner, n)
	}
}

// broadcast sends a notice to the other owners, with random delay and loss.
func (f *fleet) broadcast(owner int, n Notice) {
	for to := range f.owners {
		if to == owner || rapid.IntRange(0, 99).Draw(f.t, "loss") < f.lossPercent {
			continue
		}
		delay := rapid.IntRange(0, f.maxDelay).Draw(f.t, "delay")
		f.notices = append(f.notices, delivery{to, f.now.Add(time.Duration(delay) * time.Millisecond), n})
	}
}

// step advances by a millisecond under full demand.
func (f *fleet) step() {
	f.now = f.now.Add(time.Millisecond)
	due := slices.Clone(f.notices)
	f.notices = slices.DeleteFunc(f.notices, func(d delivery) bool { return !d.at.After(f.now) })
	for _, d := range due {
		if !d.at.After(f.now) {
			f.apply(d.to, f.owners[d.to].Notice(f.now, d.n))
		}
	}
	f.finish(func(r request) bool { return !r.end.After(f.now) }, Served)
	if f.now.Sub(testStart)%(100*time.Millisecond) == 0 {
		f.broadcast(0, f.owners[0].Level(f.now))
	}
	for i, l := range f.owners {
		f.apply(i, l.Tick(f.now))
		f.next++
		id := fmt.Sprint(f.next)
		if l.Offer(f.now, Ticket{ID: id, Deadline: f.now.Add(50 * time.Millisecond)}).Verdict == Started {
			f.start(i, id)
		}
	}
}

func (f *fleet) finish(ends func(request) bool, result Result) {
	var over []request
	f.requests = slices.DeleteFunc(f.requests, func(r request) bool {
		if ends(r) {
			over = append(over, r)
			return true
		}
		return false
	})
	for _, r := range over {
		o := Outcome{Result: result}
		if result != Broken {
			o.Incarnation = fmt.Sprint("i", r.incarnation)
		}
		f.apply(r.owner, f.owners[r.owner].Done(f.now, r.id, o))
	}
}

// restart replaces the replica; requests in flight break, or are lost without
// the owners noticing at once.
func (f *fleet) restart(noticed bool) {
	f.incarnation++
	if noticed {
		f.finish(func(r request) bool { return r.incarnation != f.incarnation }, Broken)
	}
}

func (f *fleet) full() bool {
	for _, l := range f.owners {
		if l.allowed() < l.share {
			return false
		}
	}
	return true
}

// Guards against co-owners that together send a cold replica more than its
// level, with lost and late notices.
func TestColdReplicaKeepsItsAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(2, 3).Draw(t, "owners"), rapid.IntRange(2, 6).Draw(t, "slots"))
		f.maxDelay = rapid.IntRange(0, 80).Draw(t, "maximum delay")
		f.lossPercent = rapid.SampledFrom([]int{0, 30}).Draw(t, "loss percent")
		for range 3 {
			for range rapid.IntRange(1, 600).Draw(t, "steps") {
				f.step()
			}
			if f.violation != "" {
				t.Fatal(f.violation)
			}
			f.restart(rapid.Bool().Draw(t, "noticed"))
		}
	})
}

// Guards against a ramp that never ends: under demand, every owner has its full
// share again within the time that the steps and the replies need.
func TestRecoveryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		f := newFleet(t, rapid.IntRange(1, 3).Draw(t, "owners"), slots)
		f.maxDelay = rapid.IntRange(0, 3).Draw(t, "maximum delay")
		c := f.owners[0].cfg
		// A level takes its step time, the replies of rank 0, a notice that may
		// have to be repeated, and the replies of the co-owner.
		level := 2*c.StepTime + 2*time.Duration(c.MinGoodReplies+1)*2*testServiceTime + 100*time.Millisecond
		bound := time.Duration(slots) * level
		for range rapid.IntRange(1, 3).Draw(t, "restarts") {
			from := f.now
			for !f.full() || !f.informed(0) {
				f.step()
				if f.now.Sub(from) > bound {
					t.Fatalf("not at full share after %s: %+v", bound, f.owners[0].ramp)
				}
			}
			f.restart(rapid.Bool().Draw(t, "noticed"))
		}
	})
}
