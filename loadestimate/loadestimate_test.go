package loadestimate_test

import (
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/loadestimate"
	"github.com/marigoldlever/marigoldlever/upstream"
)

const meanLatency = 20 * time.Millisecond

var start = time.Unix(1000, 0)

// reported returns a replica that has reported the loads in turn, in replies to the only
// request of this host, with the mean latency.
func reported(loads ...upstream.Load) *loadestimate.Replica {
	r := &loadestimate.Replica{}
	for _, load := range loads {
		r.Report(start, load, 1)
		r.Observe(1)
	}
	return r
}

// Guards against an estimate that ignores a report, or that relies on it although it is old.
func TestReportCountsLessWithItsAge(t *testing.T) {
	idle, queue, slow := upstream.Load{InFlight: 1, Slots: 2, Pace: 100}, upstream.Load{InFlight: 2, Waiting: 4, Slots: 2, Pace: 100}, upstream.Load{InFlight: 1, Slots: 2, Pace: 250}
	for name, last := range map[string]upstream.Load{"queue": queue, "pace": slow} {
		busy := reported(idle, idle, idle, last)
		free := reported(idle, idle, idle, idle)
		previous := busy.Latency(start, 0, meanLatency)
		if at := free.Latency(start, 0, meanLatency); previous < 1.3*at {
			t.Errorf("%s: expected latency is %.2f, and %.2f without it", name, previous, at)
		}
		for _, age := range []time.Duration{50 * time.Millisecond, 200 * time.Millisecond, 3 * time.Second} {
			latency := busy.Latency(start.Add(age), 0, meanLatency)
			if latency >= previous {
				t.Errorf("%s: expected latency is %.2f at the age of %v, and %.2f before", name, latency, age, previous)
			}
			previous = latency
		}
		if previous > 1.01 {
			t.Errorf("%s: expected latency is %.2f after 3 s, want the mean", name, previous)
		}
	}
}

// Guards against counting a request of this host twice: as in flight and in the report.
func TestOwnRequestsAreNotCountedTwice(t *testing.T) {
	r := &loadestimate.Replica{}
	r.Report(start, upstream.Load{InFlight: 2, Waiting: 3, Slots: 2}, 4) // one of another host
	if got := r.PerSlot(3); got != 2 {
		t.Errorf("%.1f requests per slot, want 4 requests in 2 slots", got)
	}
	r.Report(start, upstream.Load{InFlight: 1, Slots: 2}, 5) // four are still on their way
	if got := r.PerSlot(0); got < 0 || got > 0.5 {
		t.Errorf("%.1f requests per slot, want at most 1 request in 2 slots", got)
	}
}

// Guards against a replica that is avoided for its usual queue although its replies, which
// waited in that queue, take no longer than others'.
func TestUsualLoadDoesNotCount(t *testing.T) {
	usual := upstream.Load{InFlight: 2, Waiting: 2, Slots: 2, Pace: 250}
	if got := reported(usual, usual, usual).Latency(start, 0, meanLatency); got != 1 {
		t.Errorf("expected latency is %.2f of the mean, want 1", got)
	}
}

// Guards against a division by zero and against estimates for replicas that report nothing.
func TestReportWithoutSlotsIsIgnored(t *testing.T) {
	r := reported(upstream.Load{InFlight: 3, Waiting: 2, Pace: 100})
	if r.Known() {
		t.Error("a report without slots counts as a report")
	}
}
