package capacity

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const testServiceTime = 10 * time.Millisecond

// replicaSim simulates a replica and its owners. Time advances in steps of one
// millisecond.
type replicaSim struct {
	t           *rapid.T
	owners      []*Limiter
	slots       int
	now         time.Time
	incarnation int
	requests    []request
	notices     []noticeDelivery
	lastID      int
	maxDelay    int // maximum delay of a notice, in milliseconds
	lossPercent int
	violation   string
}

type request struct {
	owner       int
	id          string
	end         time.Time
	incarnation int
	informed    bool // the owner knew the incarnation when it started the request
}

type noticeDelivery struct {
	to int
	at time.Time
	n  Notice
}

func newReplicaSim(t *rapid.T, owners, slots int) *replicaSim {
	f := &replicaSim{t: t, slots: slots, now: testStart, incarnation: 1}
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

func (f *replicaSim) current() string { return fmt.Sprint("i", f.incarnation) }

func (f *replicaSim) informed(owner int) bool { return f.owners[owner].incarnation == f.current() }

// start sends a request and checks the limits of the replica: the requests of all
// owners that know its incarnation stay within the level of rank 0, and every
// owner stays within its own share.
func (f *replicaSim) start(owner int, id string) {
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

func (f *replicaSim) apply(owner int, c Changes) {
	for _, s := range c.Starts {
		f.start(owner, s.ID)
	}
	n, due := f.owners[owner].TakeNotice(f.now)
	if due {
		f.broadcast(owner, n)
	}
}

// broadcast sends a notice to the other owners with random delay and loss.
func (f *replicaSim) broadcast(owner int, n Notice) {
	for to := range f.owners {
		if to == owner || rapid.IntRange(0, 99).Draw(f.t, "loss") < f.lossPercent {
			continue
		}
		delay := rapid.IntRange(0, f.maxDelay).Draw(f.t, "delay")
		f.notices = append(f.notices, noticeDelivery{to, f.now.Add(time.Duration(delay) * time.Millisecond), n})
	}
}

// step advances the time by one millisecond, in which every owner offers a
// request.
func (f *replicaSim) step() {
	f.now = f.now.Add(time.Millisecond)
	due := slices.Clone(f.notices)
	f.notices = slices.DeleteFunc(f.notices, func(d noticeDelivery) bool { return !d.at.After(f.now) })
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
		f.lastID++
		id := fmt.Sprint(f.lastID)
		if l.Offer(f.now, Ticket{ID: id, Deadline: f.now.Add(50 * time.Millisecond)}).Verdict == Started {
			f.start(i, id)
		}
	}
}

func (f *replicaSim) finish(ends func(request) bool, result Result) {
	var finished []request
	f.requests = slices.DeleteFunc(f.requests, func(r request) bool {
		if ends(r) {
			finished = append(finished, r)
			return true
		}
		return false
	})
	for _, r := range finished {
		o := Outcome{Result: result}
		if result != Broken {
			o.Incarnation = fmt.Sprint("i", r.incarnation)
		}
		f.apply(r.owner, f.owners[r.owner].Done(f.now, r.id, o))
	}
}

// restart starts a new incarnation of the replica. If noticed is set, the
// requests in flight fail at once; otherwise they end as if nothing had happened.
func (f *replicaSim) restart(noticed bool) {
	f.incarnation++
	if noticed {
		f.finish(func(r request) bool { return r.incarnation != f.incarnation }, Broken)
	}
}

func (f *replicaSim) allAtFullShare() bool {
	for _, l := range f.owners {
		if l.allowed() < l.share {
			return false
		}
	}
	return true
}

// Guards against owners that together exceed the ramp level of a cold replica
// when notices are lost or late.
func TestOwnersStayWithinRampLevel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newReplicaSim(t, rapid.IntRange(2, 3).Draw(t, "owners"), rapid.IntRange(2, 6).Draw(t, "slots"))
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

// Guards against a ramp that never ends: under full demand, every owner regains
// its full share within the time that the steps and the replies need.
func TestRampRecoveryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 6).Draw(t, "slots")
		f := newReplicaSim(t, rapid.IntRange(1, 3).Draw(t, "owners"), slots)
		f.maxDelay = rapid.IntRange(0, 3).Draw(t, "maximum delay")
		c := f.owners[0].cfg
		// One level takes the step time, the replies to rank 0, a notice that may
		// have to be repeated, and the replies to the co-owner.
		level := 2*c.StepTime + 2*time.Duration(c.MinGoodReplies+1)*2*testServiceTime + 100*time.Millisecond
		bound := time.Duration(slots) * level
		for range rapid.IntRange(1, 3).Draw(t, "restarts") {
			from := f.now
			for !f.allAtFullShare() || !f.informed(0) {
				f.step()
				if f.now.Sub(from) > bound {
					t.Fatalf("owners not at full share after %s: %+v", bound, f.owners[0].ramp)
				}
			}
			f.restart(rapid.Bool().Draw(t, "noticed"))
		}
	})
}
