package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// testLimiter runs one limiter in virtual time.
type testLimiter struct {
	t        *testing.T
	limiter  *Limiter
	now      time.Time
	requests int
}

func newTestLimiter(t *testing.T, slots, rank, owners int) *testLimiter {
	limiter, err := New(testConfig(slots))
	if err != nil {
		t.Fatal(err)
	}
	r := &testLimiter{t: t, limiter: limiter, now: testStart}
	limiter.SetRank(r.now, rank, owners)
	limiter.SetShare(r.now, Portion(slots, rank, owners))
	return r
}

// serve offers a number of requests at once and ends those that were started with
// the outcome after d.
func (r *testLimiter) serve(requests int, d time.Duration, o Outcome) {
	var ids []string
	for range requests {
		r.requests++
		id := fmt.Sprint("r", r.requests)
		if r.limiter.Offer(r.now, Ticket{ID: id, Deadline: r.now.Add(time.Second)}).Verdict == Started {
			ids = append(ids, id)
		}
	}
	r.now = r.now.Add(d)
	for _, id := range ids {
		r.limiter.Done(r.now, id, o)
	}
	r.now = r.now.Add(d) // wait out the pause at a level of one slot
}

// served is a good reply from the first incarnation.
var served = Outcome{Result: Served, Incarnation: "i1"}

// warm serves requests at full use until the whole share is allowed.
func (r *testLimiter) warm(o Outcome) {
	const rounds = 100
	for range rounds {
		r.serve(r.limiter.allowed(), testServiceTime, o)
	}
	if r.limiter.Cold() || r.limiter.allowed() != r.limiter.share {
		r.t.Fatalf("not warm after %d rounds: %+v", rounds, r.limiter.ramp)
	}
}

// Guards against signals of a cold upstream that do not reset its ramp, and
// against health reports that raise the load.
func TestColdSignalsResetRamp(t *testing.T) {
	signals := map[string]func(r *testLimiter){
		"shed":            func(r *testLimiter) { r.serve(1, testServiceTime, Outcome{Result: Shed, Incarnation: "i1"}) },
		"broken":          func(r *testLimiter) { r.serve(1, testServiceTime, Outcome{Result: Broken}) },
		"new incarnation": func(r *testLimiter) { r.serve(1, testServiceTime, Outcome{Result: Served, Incarnation: "i2"}) },
		"silence":         func(r *testLimiter) { r.now = r.now.Add(2 * time.Second) },
		"drop in speed":   func(r *testLimiter) { r.serve(slowRunLength, 10*testServiceTime, served) },
		"cold report":     func(r *testLimiter) { r.limiter.Report(r.now, "i1", upstream.Load{Cold: true}) },
		"health restart":  func(r *testLimiter) { r.limiter.Report(r.now, "i2", upstream.Load{Slots: 4}) },
	}
	for name, send := range signals {
		t.Run(name, func(t *testing.T) {
			r := newTestLimiter(t, 4, 0, 1)
			r.warm(served)
			r.limiter.TakeNotice(r.now)
			send(r)
			n, due := r.limiter.TakeNotice(r.now)
			if r.limiter.allowed() != 1 || n.Level != 1 || !due {
				t.Fatalf("%d allowed, notice %+v, due %t", r.limiter.allowed(), n, due)
			}
			r.limiter.Report(r.now, "", upstream.Load{Slots: 100})
			if r.limiter.allowed() != 1 {
				t.Fatal("a health report raised the load")
			}
		})
	}
}

// Guards against ramp resets caused by a single straggler, late messages about a
// replaced incarnation or a cancelled request.
func TestUnrelatedEventsKeepRamp(t *testing.T) {
	r := newTestLimiter(t, 4, 0, 2)
	r.warm(served)
	r.limiter.Report(r.now, "i2", upstream.Load{})
	r.now = r.now.Add(r.limiter.cfg.ColdPause) // after a restart, the owner waits for requests of its co-owners to end
	restarted := Outcome{Result: Served, Incarnation: "i2"}
	r.warm(restarted)
	r.serve(1, 20*testServiceTime, restarted)
	r.serve(1, testServiceTime, Outcome{Result: Shed, Incarnation: "i1"})
	r.serve(1, testServiceTime, Outcome{Result: Cancelled})
	r.limiter.Report(r.now, "i1", upstream.Load{Cold: true})
	r.limiter.Notice(r.now, Notice{Incarnation: "i1", Level: 1, Rank: 1})
	r.limiter.Notice(r.now, Notice{Incarnation: "i2", Level: 1, Rank: 1, Restart: true})
	if r.limiter.Cold() {
		t.Fatalf("ramp was reset: %+v", r.limiter.ramp)
	}
}

// Guards against a level that rises after replies to requests that did not use
// all of its slots.
func TestLevelRisesOnlyWhenFullyUsed(t *testing.T) {
	r := newTestLimiter(t, 4, 0, 1)
	for range 100 {
		r.serve(1, testServiceTime, served)
	}
	if n := r.limiter.Level(r.now); n.Level != 2 {
		t.Fatalf("level %d after single requests, want 2", n.Level)
	}
}

// Guards against a ramp that rises by time alone while the upstream gets too
// little work to become warm, and against a permanent cold report that keeps the
// load low forever.
func TestColdReportHoldsLevelForLimitedTime(t *testing.T) {
	cold := served
	cold.Load.Cold = true
	r := newTestLimiter(t, 4, 0, 1)
	start := r.now
	for r.now.Sub(start) < (coldHoldSteps-1)*r.limiter.cfg.StepTime {
		r.serve(r.limiter.allowed(), testServiceTime, cold)
	}
	if n := r.limiter.Level(r.now); n.Level != r.limiter.cfg.Floor {
		t.Fatalf("level %d while the upstream reports that it is cold, want %d", n.Level, r.limiter.cfg.Floor)
	}
	for r.now.Sub(start) < 3*coldHoldSteps*r.limiter.cfg.StepTime {
		r.serve(r.limiter.allowed(), testServiceTime, cold)
	}
	if n := r.limiter.Level(r.now); n.Level == r.limiter.cfg.Floor {
		t.Fatal("a permanent cold report keeps the upstream at the floor")
	}
}

// Guards against a request to a restarted upstream while it still serves requests
// that the co-owners sent before they learned of the restart.
func TestRestartDelaysNextRequest(t *testing.T) {
	r := newTestLimiter(t, 2, 0, 2)
	r.warm(served)
	r.serve(1, time.Millisecond, Outcome{Result: Served, Incarnation: "i2"})
	next := Ticket{ID: "next", Deadline: r.now.Add(time.Second)}
	if d := r.limiter.Offer(r.now, next); d.Verdict != Queued {
		t.Fatalf("verdict %v directly after the restart was detected, want the request queued", d.Verdict)
	}
	r.now = r.now.Add(r.limiter.cfg.ColdPause)
	if c := r.limiter.Tick(r.now); len(c.Starts) != 1 {
		t.Fatalf("%+v after the pause, want the request started", c)
	}
}

// Guards against a co-owner that raises its level by notices alone, or that does
// not lower it when rank 0 does.
func TestCoOwnerFollowsRankZero(t *testing.T) {
	r := newTestLimiter(t, 6, 1, 2)
	expect := func(step string, want int) {
		t.Helper()
		if got := r.limiter.allowed(); got != want {
			t.Fatalf("%s: %d allowed, want %d", step, got, want)
		}
	}
	notice := func(level int) {
		r.now = r.now.Add(time.Second / 2)
		r.limiter.Notice(r.now, Notice{Incarnation: "i1", Level: level})
	}
	expect("at the floor", 0)
	notice(6)
	expect("notice of a warm upstream", 1)
	r.warm(served)
	expect("own replies", 3)
	notice(3)
	expect("lower notice", 1)
	for range 30 {
		r.serve(r.limiter.allowed(), testServiceTime, served)
	}
	expect("own replies beyond the notice", 1)
	notice(4)
	expect("higher notice", 1)
	r.serve(1, testServiceTime, served)
	expect("higher notice and own replies", 2)
}
