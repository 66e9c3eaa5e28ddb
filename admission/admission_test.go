package admission_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/admission"
)

var (
	config = admission.Config{Waiting: 1, ProportionalGain: 0.2, IntegralGain: 3, MaxShare: 0.8, MaxReportAge: 500 * time.Millisecond, TargetFraction: 0.1}
	start  = time.Unix(1000, 0)
)

const (
	target = 40 * time.Millisecond
	took   = 10 * time.Millisecond
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// report reports a load each 50 ms in a span and returns the changes.
func report(g *admission.Controller, from, to int, service, upstream string, waiting int) (changes []admission.Change) {
	for ms := from; ms <= to; ms += 50 {
		if c, ok := g.Report(at(ms), service, upstream, admission.Load{Waiting: waiting, Slots: 2}, took); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

func share(g *admission.Controller, ms int, services ...string) float64 {
	return g.RefusalShare(at(ms), services, target)
}

// Guards against requests that join a long queue, against refusals after the queue has
// gone, and against a gate that refuses so much that no report comes in.
func TestShareFollowsTheQueue(t *testing.T) {
	g := admission.New(config)
	if got := share(g, 0, "s"); got != 0 {
		t.Errorf("share is %v before any report", got)
	}
	changes := report(g, 0, 1000, "s", "a", 8)
	if got := share(g, 1000, "s"); got != config.MaxShare {
		t.Errorf("share is %v after a second with four requests waiting for each slot, want %v", got, config.MaxShare)
	}
	changes = append(changes, report(g, 1050, 2000, "s", "a", 0)...)
	if got := share(g, 2000, "s"); got != 0 {
		t.Errorf("share is %v a second after the queue has gone", got)
	}
	if len(changes) != 2 || !changes[0].Refusing || changes[0].Waiting != 4 || changes[1].Refusing {
		t.Errorf("changes are %+v, want one to refusing and one back", changes)
	}
}

// Guards against refusals for a single slow upstream: requests go to the others.
func TestOneSlowUpstreamIsNoOverload(t *testing.T) {
	g := admission.New(config)
	for ms := 0; ms <= 1000; ms += 50 {
		report(g, ms, ms, "s", "slow", 20)
		report(g, ms, ms, "s", "other", 1)
		if got := share(g, ms, "s"); ms > 0 && got != 0 {
			t.Fatalf("share is %v after %d ms", got, ms)
		}
	}
}

// Guards against refusals for what an upstream reported long ago, as one that is cut off.
func TestOldReportsDoNotCount(t *testing.T) {
	g := admission.New(config)
	report(g, 0, 0, "s", "a", 20)
	if got := share(g, 600, "s"); got != 0 {
		t.Errorf("share is %v by a report of 600 ms ago", got)
	}
	g.Prune(at(600))
	report(g, 700, 700, "s", "a", 20)
	if got := share(g, 710, "s"); got <= 0 {
		t.Errorf("share is %v after a new report", got)
	}
}

// Guards against refusals because few of the shards of a request are overloaded: it is
// answered without them.
func TestFewOverloadedServicesAreLeftOut(t *testing.T) {
	g := admission.New(config)
	for _, name := range []string{"a", "b", "c"} {
		report(g, 0, 1000, name, "upstream", 8)
	}
	if got := share(g, 1000, "a", "b", "d", "e"); got != 0 {
		t.Errorf("share is %v with two of four services overloaded", got)
	}
	if got := share(g, 1000, "a", "b", "c", "d"); got != config.MaxShare {
		t.Errorf("share is %v with three of four services overloaded", got)
	}
	if got := share(g, 1000); got != 0 {
		t.Errorf("share is %v without services", got)
	}
}

// Guards against refusals although a long queue is done within the target latency.
func TestQueueThatFitsIntoTheTargetIsNoOverload(t *testing.T) {
	g := admission.New(config)
	report(g, 0, 1000, "s", "a", 8)
	if got := g.RefusalShare(at(1000), []string{"s"}, time.Second); got != 0 {
		t.Errorf("share is %v although a reply takes a hundredth of the target", got)
	}
	if got := share(g, 1000, "s"); got != config.MaxShare {
		t.Errorf("share is %v although a reply takes a quarter of the target", got)
	}
}

// Guards against a share outside its bounds, and against refusals while no queue was ever
// longer than allowed, whatever is reported.
func TestShareBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := admission.New(config)
		now, long := start, false
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(-10, 300).Draw(t, "gap")) * time.Millisecond)
			load := admission.Load{Waiting: rapid.IntRange(-1, 12).Draw(t, "waiting"), Slots: rapid.IntRange(-1, 4).Draw(t, "slots")}
			long = long || load.Slots > 0 && float64(load.Waiting) > config.Waiting*float64(load.Slots)
			g.Report(now, "s", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "upstream"), load, took)
			got := g.RefusalShare(now, []string{"s"}, target)
			if got < 0 || got > config.MaxShare || got > 0 && !long {
				t.Fatalf("share is %v, a long queue was reported: %t", got, long)
			}
		}
	})
}

// Guards against an overload in which every request is late: at one and a half times of
// what an upstream can do, three quarters of that must be answered in time.
func TestOverloadLeavesRequestsInTime(t *testing.T) {
	const (
		slots    = 2
		queue    = 12
		work     = 10 * time.Millisecond
		interval = work / slots * 2 / 3
		requests = 3000
		capacity = requests * 2 / 3
	)
	inTime := func(gate *admission.Controller) (n int) {
		rng := rand.New(rand.NewPCG(1, 2))
		var free [slots]time.Time
		var starts []time.Time // of the requests that wait
		now := start
		for range requests {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(interval)))
			if gate != nil && rng.Float64() < gate.RefusalShare(now, []string{"s"}, target) {
				continue
			}
			for len(starts) > 0 && !starts[0].After(now) {
				starts = starts[1:]
			}
			if len(starts) >= queue {
				continue
			}
			slot := 0
			for i := range free {
				if free[i].Before(free[slot]) {
					slot = i
				}
			}
			begin := now
			if free[slot].After(now) {
				begin = free[slot]
				starts = append(starts, begin)
			}
			free[slot] = begin.Add(work)
			if gate != nil {
				gate.Report(now, "s", "upstream", admission.Load{Waiting: len(starts), Slots: slots}, free[slot].Sub(now))
			}
			if free[slot].Sub(now) <= target {
				n++
			}
		}
		return n
	}
	const wanted = capacity * 3 / 4
	if n := inTime(nil); n >= wanted {
		t.Errorf("%d requests in time without refusals: the load is no overload", n)
	}
	if n := inTime(admission.New(config)); n < wanted {
		t.Errorf("%d requests in time, want %d of the %d that can be done", n, wanted, capacity)
	}
}
