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

// report reports a load every 50 ms within a time span and returns the changes.
func report(controller *admission.Controller, from, to int, service, upstream string, waiting int) (changes []admission.Change) {
	for ms := from; ms <= to; ms += 50 {
		if c, ok := controller.Report(at(ms), service, upstream, admission.Load{Waiting: waiting, Slots: 2}, took); ok {
			changes = append(changes, c)
		}
	}
	return changes
}

func share(controller *admission.Controller, ms int, services ...string) float64 {
	return controller.RefusalShare(at(ms), services, target)
}

// Guards against admitting requests to a long queue, against refusals after the queue is
// empty, and against refusing so many requests that no more reports arrive.
func TestRefusalShareFollowsQueue(t *testing.T) {
	controller := admission.New(config)
	if got := share(controller, 0, "s"); got != 0 {
		t.Errorf("share is %v before any report, want 0", got)
	}
	changes := report(controller, 0, 1000, "s", "a", 8)
	if got := share(controller, 1000, "s"); got != config.MaxShare {
		t.Errorf("share is %v after a second with four waiting requests per slot, want %v", got, config.MaxShare)
	}
	changes = append(changes, report(controller, 1050, 2000, "s", "a", 0)...)
	if got := share(controller, 2000, "s"); got != 0 {
		t.Errorf("share is %v one second after the queue became empty, want 0", got)
	}
	if len(changes) != 2 || !changes[0].Refusing || changes[0].Waiting != 4 || changes[1].Refusing {
		t.Errorf("changes are %+v, want refusals to begin and to cease", changes)
	}
}

// Guards against refusals because of a single slow upstream: the other upstreams can
// handle the requests.
func TestOneSlowUpstreamCausesNoRefusals(t *testing.T) {
	controller := admission.New(config)
	for ms := 0; ms <= 1000; ms += 50 {
		report(controller, ms, ms, "s", "slow", 20)
		report(controller, ms, ms, "s", "other", 1)
		if got := share(controller, ms, "s"); ms > 0 && got != 0 {
			t.Fatalf("share is %v after %d ms, want 0", got, ms)
		}
	}
}

// Guards against refusals because of an old report, for example of an upstream that
// became unreachable.
func TestOldReportsAreIgnored(t *testing.T) {
	controller := admission.New(config)
	report(controller, 0, 0, "s", "a", 20)
	if got := share(controller, 600, "s"); got != 0 {
		t.Errorf("share is %v with a report that is 600 ms old, want 0", got)
	}
	controller.Prune(at(600))
	report(controller, 700, 700, "s", "a", 20)
	if got := share(controller, 710, "s"); got <= 0 {
		t.Errorf("share is %v after a new report, want more than 0", got)
	}
}

// Guards against refusals because a minority of a request's shards is overloaded: the
// request is answered without them.
func TestMinorityOfOverloadedServicesCausesNoRefusals(t *testing.T) {
	controller := admission.New(config)
	for _, name := range []string{"a", "b", "c"} {
		report(controller, 0, 1000, name, "upstream", 8)
	}
	if got := share(controller, 1000, "a", "b", "d", "e"); got != 0 {
		t.Errorf("share is %v with two of four services overloaded, want 0", got)
	}
	if got := share(controller, 1000, "a", "b", "c", "d"); got != config.MaxShare {
		t.Errorf("share is %v with three of four services overloaded, want the maximum", got)
	}
	if got := share(controller, 1000); got != 0 {
		t.Errorf("share is %v without services, want 0", got)
	}
}

// Guards against refusals although requests in a long queue are answered within the
// target latency.
func TestQueueWithinTargetLatencyCausesNoRefusals(t *testing.T) {
	controller := admission.New(config)
	report(controller, 0, 1000, "s", "a", 8)
	if got := controller.RefusalShare(at(1000), []string{"s"}, time.Second); got != 0 {
		t.Errorf("share is %v with a reply time of a hundredth of the target, want 0", got)
	}
	if got := share(controller, 1000, "s"); got != config.MaxShare {
		t.Errorf("share is %v with a reply time of a quarter of the target, want the maximum", got)
	}
}

// Guards against a share outside its bounds, and against refusals although no reported
// queue was ever longer than the set point.
func TestRefusalShareBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		controller := admission.New(config)
		now, longQueueReported := start, false
		for range 100 {
			now = now.Add(time.Duration(rapid.IntRange(-10, 300).Draw(t, "gap")) * time.Millisecond)
			load := admission.Load{Waiting: rapid.IntRange(-1, 12).Draw(t, "waiting"), Slots: rapid.IntRange(-1, 4).Draw(t, "slots")}
			longQueueReported = longQueueReported || load.Slots > 0 && float64(load.Waiting) > config.Waiting*float64(load.Slots)
			controller.Report(now, "s", rapid.SampledFrom([]string{"a", "b"}).Draw(t, "upstream"), load, took)
			got := controller.RefusalShare(now, []string{"s"}, target)
			if got < 0 || got > config.MaxShare || got > 0 && !longQueueReported {
				t.Fatalf("share is %v; long queue reported: %t", got, longQueueReported)
			}
		}
	})
}

// Guards against an overload in which all requests are answered late. At one and a half
// times the capacity of an upstream, requests worth three quarters of the capacity must
// be answered in time.
func TestRefusalsKeepGoodputUnderOverload(t *testing.T) {
	const (
		slots    = 2
		queue    = 12
		work     = 10 * time.Millisecond
		interval = work / slots * 2 / 3
		requests = 3000
		capacity = requests * 2 / 3
	)
	countInTime := func(controller *admission.Controller) (n int) {
		rng := rand.New(rand.NewPCG(1, 2))
		var free [slots]time.Time
		var starts []time.Time // start times of the waiting requests
		now := start
		for range requests {
			now = now.Add(time.Duration(rng.ExpFloat64() * float64(interval)))
			if controller != nil && rng.Float64() < controller.RefusalShare(now, []string{"s"}, target) {
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
			if controller != nil {
				controller.Report(now, "s", "upstream", admission.Load{Waiting: len(starts), Slots: slots}, free[slot].Sub(now))
			}
			if free[slot].Sub(now) <= target {
				n++
			}
		}
		return n
	}
	const minInTime = capacity * 3 / 4
	if n := countInTime(nil); n >= minInTime {
		t.Errorf("%d requests in time without refusals: the load does not overload the upstream", n)
	}
	if n := countInTime(admission.New(config)); n < minInTime {
		t.Errorf("%d requests in time, want at least %d of a capacity of %d", n, minInTime, capacity)
	}
}
