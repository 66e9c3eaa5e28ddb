package entry

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/routing"
)

// Guards against answers that miss the target on a host that has not yet learnt how
// long it takes to write one, or that learns it too slowly.
func TestOverrunEstimateAdapts(t *testing.T) {
	a := newAnswerTimes(0)
	initial := a.expected("route", 90)
	if initial < 2*time.Millisecond {
		t.Errorf("expected overrun of 90 parts is %v before any answer", initial)
	}
	a.truncated(90, 12*time.Millisecond)
	a.truncated(90, 12*time.Millisecond)
	if got := a.expected("route", 90); got < 9*time.Millisecond {
		t.Errorf("expected overrun is %v after two of 12 ms", got)
	}
	for range 100 {
		a.truncated(90, time.Millisecond)
	}
	if got := a.expected("route", 90); got > 2*time.Millisecond {
		t.Errorf("expected overrun is %v after many of 1 ms", got)
	}
	a.truncated(90, time.Hour)
	if got := a.expected("route", 90); got > maxOverrun {
		t.Errorf("expected overrun is %v, the bound is %v", got, maxOverrun)
	}
}

// Guards against answers that are cut too late for a slow link, or whose time is
// taken from another route.
func TestTransmissionTimeIsReserved(t *testing.T) {
	a := newAnswerTimes(8) // a megabyte a second
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

// Guards against a goal that comes earlier and earlier while answers wait for the minimum
// of their parts: that time is the replicas', not this host's.
func TestWaitForMinimumPartsIsNoOverrun(t *testing.T) {
	e := New(Settings{Host: "h"}, nil, metrics.NewRegistry(), 1)
	route := &routing.Route{Name: "r", MinimumShare: 0.95, Shards: make([]string, 20)}
	answer := func(parts int) {
		out := outcome{started: time.Now().Add(-400 * time.Millisecond), latencyGoal: 300 * time.Millisecond, sender: &sender{}}
		e.recordAnswer(&out, route, nil, make([]string, parts))
	}
	before := e.answers.expected("r", 20)
	answer(19) // the least number
	if after := e.answers.expected("r", 20); after > before+time.Millisecond {
		t.Errorf("%v are left instead of %v after an answer that waited for its minimum", after, before)
	}
	route.MinimumShare = 0.9
	answer(19)
	if after := e.answers.expected("r", 20); after < before+5*time.Millisecond {
		t.Errorf("%v are left instead of %v after an answer that was cut at the goal", after, before)
	}
}
