package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// rig is one limiter in virtual time.
type rig struct {
	t   *testing.T
	l   *Limiter
	now time.Time
	n   int
}

func newRig(t *testing.T, slots, rank, owners int) *rig {
	l, err := New(testConfig(slots))
	if err != nil {
		t.Fatal(err)
	}
	r := &rig{t: t, l: l, now: testStart}
	l.SetRank(r.now, rank, owners)
	l.SetShare(r.now, Portion(slots, rank, owners))
	return r
}

// serve starts n requests at once and ends them with the outcome after d.
func (r *rig) serve(n int, d time.Duration, o Outcome) {
	var ids []string
	for range n {
		r.n++
		id := fmt.Sprint("r", r.n)
		if r.l.Offer(r.now, Ticket{ID: id, Deadline: r.now.Add(time.Second)}).Verdict == Started {
			ids = append(ids, id)
		}
	}
	r.now = r.now.Add(d)
	for _, id := range ids {
		r.l.Done(r.now, id, o)
	}
	r.now = r.now.Add(d) // the pause at a level of one slot
}

// served is a good reply of the incarnation that the tests start with.
var served = Outcome{Result: Served, Incarnation: "i1"}

// warm serves with full use until the whole share is allowed.
func (r *rig) warm(o Outcome) {
	const rounds = 100
	for range rounds {
		r.serve(r.l.allowed(), testServiceTime, o)
	}
	if r.l.Cold() || r.l.allowed() != r.l.share {
		r.t.Fatalf("not warm after %d rounds: %+v", rounds, r.l.ramp)
	}
}

// Guards against a sign of a cold upstream that leaves it under full load, and
// against reports that raise the load.
func TestColdSigns(t *testing.T) {
	signs := map[string]func(r *rig){
		"shed":            func(r *rig) { r.serve(1, testServiceTime, Outcome{Result: Shed, Incarnation: "i1"}) },
		"broken":          func(r *rig) { r.serve(1, testServiceTime, Outcome{Result: Broken}) },
		"new incarnation": func(r *rig) { r.serve(1, testServiceTime, Outcome{Result: Served, Incarnation: "i2"}) },
		"silence":         func(r *rig) { r.now = r.now.Add(2 * time.Second) },
		"fall in speed":   func(r *rig) { r.serve(slowRun, 10*testServiceTime, served) },
		"cold report":     func(r *rig) { r.l.Report(r.now, "i1", upstream.Load{Cold: true}) },
		"health restart":  func(r *rig) { r.l.Report(r.now, "i2", upstream.Load{Slots: 4}) },
	}
	for name, sign := range signs {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, 4, 0, 1)
			r.warm(served)
			r.l.TakeNotice(r.now)
			sign(r)
			n, due := r.l.TakeNotice(r.now)
			if r.l.allowed() != 1 || n.Level != 1 || !due {
				t.Fatalf("%d allowed, notice %+v, due %t", r.l.allowed(), n, due)
			}
			r.l.Report(r.now, "", upstream.Load{Slots: 100})
			if r.l.allowed() != 1 {
				t.Fatal("a health report raised the load")
			}
		})
	}
}

// Guards against signs that are no evidence: a single straggler, late messages
// about a replaced incarnation and a cancelled request.
func TestNoColdSigns(t *testing.T) {
	r := newRig(t, 4, 0, 2)
	r.warm(served)
	r.l.Report(r.now, "i2", upstream.Load{})
	r.now = r.now.Add(r.l.cfg.ColdPause) // after a restart the owner waits for its co-owners
	again := Outcome{Result: Served, Incarnation: "i2"}
	r.warm(again)
	r.serve(1, 20*testServiceTime, again)
	r.serve(1, testServiceTime, Outcome{Result: Shed, Incarnation: "i1"})
	r.serve(1, testServiceTime, Outcome{Result: Cancelled})
	r.l.Report(r.now, "i1", upstream.Load{Cold: true})
	r.l.Notice(r.now, Notice{Incarnation: "i1", Level: 1, Rank: 1})
	r.l.Notice(r.now, Notice{Incarnation: "i2", Level: 1, Rank: 1, Restart: true})
	if r.l.Cold() {
		t.Fatalf("put back on the ramp: %+v", r.l.ramp)
	}
}

// Guards against a level that rises by replies which did not use it.
func TestLevelMustBeUsed(t *testing.T) {
	r := newRig(t, 4, 0, 1)
	for range 100 {
		r.serve(1, testServiceTime, served)
	}
	if n := r.l.Level(r.now); n.Level != 2 {
		t.Fatalf("level %d by single requests, want 2", n.Level)
	}
}

// Guards against a ramp that rises by time while the upstream gets too little work
// to become warm, and against a report of cold that holds the load down for good.
func TestReportedColdHoldsLevel(t *testing.T) {
	cold := served
	cold.Load.Cold = true
	r := newRig(t, 4, 0, 1)
	start := r.now
	for r.now.Sub(start) < (coldHold-1)*r.l.cfg.StepTime {
		r.serve(r.l.allowed(), testServiceTime, cold)
	}
	if n := r.l.Level(r.now); n.Level != r.l.cfg.Floor {
		t.Fatalf("level %d while the upstream reports that it is cold, want %d", n.Level, r.l.cfg.Floor)
	}
	for r.now.Sub(start) < 3*coldHold*r.l.cfg.StepTime {
		r.serve(r.l.allowed(), testServiceTime, cold)
	}
	if n := r.l.Level(r.now); n.Level == r.l.cfg.Floor {
		t.Fatal("a report of cold that never ends keeps the upstream at the floor")
	}
}

// Guards against a request to a restarted upstream while it still serves what the
// co-owners sent before they heard of the restart.
func TestRestartWaitsForCoOwners(t *testing.T) {
	r := newRig(t, 2, 0, 2)
	r.warm(served)
	r.serve(1, time.Millisecond, Outcome{Result: Served, Incarnation: "i2"})
	next := Ticket{ID: "next", Deadline: r.now.Add(time.Second)}
	if d := r.l.Offer(r.now, next); d.Verdict != Queued {
		t.Fatalf("%v right after the restart was seen, want the request queued", d.Verdict)
	}
	r.now = r.now.Add(r.l.cfg.ColdPause)
	if c := r.l.Tick(r.now); len(c.Starts) != 1 {
		t.Fatalf("%+v after the pause, want the request started", c)
	}
}

// Guards against a co-owner that takes a level from a notice which its own
// replies have not shown, or keeps one that rank 0 lowered.
func TestCoOwnerFollows(t *testing.T) {
	r := newRig(t, 6, 1, 2)
	expect := func(step string, want int) {
		t.Helper()
		if got := r.l.allowed(); got != want {
			t.Fatalf("%s: %d allowed, want %d", step, got, want)
		}
	}
	notice := func(level int) {
		r.now = r.now.Add(time.Second / 2)
		r.l.Notice(r.now, Notice{Incarnation: "i1", Level: level})
	}
	expect("at the floor", 0)
	notice(6)
	expect("notice of a warm upstream", 1)
	r.warm(served)
	expect("own replies", 3)
	notice(3)
	expect("lower notice", 1)
	for range 30 {
		r.serve(r.l.allowed(), testServiceTime, served)
	}
	expect("own replies beyond the notice", 1)
	notice(4)
	expect("higher notice", 1)
	r.serve(1, testServiceTime, served)
	expect("higher notice and own replies", 2)
}
