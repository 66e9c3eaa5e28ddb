package entry

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/routing"
)

// Guards against answers that miss the target latency because a host has not yet
// measured how long it takes to write one, or adapts its estimate too slowly.
func TestOverrunEstimateAdapts(t *testing.T) {
	a := newAnswerTimes(0)
	initial := a.expected("route", 90)
	if initial < 2*time.Millisecond {
		t.Errorf("initial estimate for 90 parts is %v, want at least 2 ms", initial)
	}
	a.truncated(90, 12*time.Millisecond)
	a.truncated(90, 12*time.Millisecond)
	if got := a.expected("route", 90); got < 9*time.Millisecond {
		t.Errorf("estimate is %v after two overruns of 12 ms, want at least 9 ms", got)
	}
	for range 100 {
		a.truncated(90, time.Millisecond)
	}
	if got := a.expected("route", 90); got > 2*time.Millisecond {
		t.Errorf("estimate is %v after 100 overruns of 1 ms, want at most 2 ms", got)
	}
	a.truncated(90, time.Hour)
	if got := a.expected("route", 90); got > maxOverrun {
		t.Errorf("estimate is %v, want at most %v", got, maxOverrun)
	}
}

// Guards against answers that are merged too late for a slow link, and against mixing
// up the answer sizes of different routes.
func TestTransmissionTimeIsReserved(t *testing.T) {
	a := newAnswerTimes(8) // one megabyte per second
	before := a.expected("large", 90)
	for range 20 {
		a.recordSize("large", 10_000)
		a.recordSize("small", 1_000)
	}
	if got := a.expected("large", 90) - before; got < 9*time.Millisecond || got > 10*time.Millisecond {
		t.Errorf("10,000 bytes are expected to take %v on a link of 8 Mbit/s, want 10 ms", got)
	}
	if got := a.expected("small", 90) - before; got < 900*time.Microsecond || got > time.Millisecond {
		t.Errorf("1,000 bytes are expected to take %v on a link of 8 Mbit/s, want 1 ms", got)
	}
}

// Guards against mergeDeadline getting earlier and earlier while answers wait for the
// minimum number of parts: that time is spent by the replicas, not by this host.
func TestWaitForMinimumPartsIsNoOverrun(t *testing.T) {
	e := New(Settings{Host: "h"}, nil, metrics.NewRegistry(), 1)
	route := &routing.Route{Name: "r", MinimumShare: 0.95, Shards: make([]string, 20)}
	answer := func(parts int) {
		out := outcome{started: time.Now().Add(-400 * time.Millisecond), latencyGoal: 300 * time.Millisecond, sender: &sender{}}
		e.recordAnswer(&out, route, nil, make([]string, parts))
	}
	before := e.answers.expected("r", 20)
	answer(19) // the minimum number of parts
	if after := e.answers.expected("r", 20); after > before+time.Millisecond {
		t.Errorf("estimate is %v, was %v before an answer that waited for its minimum of parts", after, before)
	}
	route.MinimumShare = 0.9
	answer(19)
	if after := e.answers.expected("r", 20); after < before+5*time.Millisecond {
		t.Errorf("estimate is %v, was %v before an answer that was truncated at the latency goal", after, before)
	}
}

// Guards against estimates and divisions that are kept for every route and number of parts
// that there ever was.
func TestEstimatesAreBounded(t *testing.T) {
	u := newUpperEstimate[int]()
	var p partitions
	for i := range 2*maxEstimates + 1 {
		u.observe(i, 7, 0)
		if i < 3*maxPartitions {
			p.equal(i + 1)
		}
		if len(u.estimate) > maxEstimates || len(p.byCount) > maxPartitions {
			t.Fatalf("%d estimates and %d divisions are kept", len(u.estimate), len(p.byCount))
		}
	}
	if got := u.expected(2*maxEstimates, 0); got == 0 {
		t.Error("the last estimate is not kept")
	}
}
