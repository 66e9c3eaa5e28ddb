package drain_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/drain"
)

// request is work with its times of arrival and end, in seconds.
type request struct {
	arrives, ends int
	work          drain.Work
	accepted      bool
}

func drawRequests(t *rapid.T, longest int) []*request {
	var all []*request
	for range rapid.IntRange(0, 20).Draw(t, "requests") {
		r := &request{arrives: rapid.IntRange(0, 80).Draw(t, "arrives")}
		r.ends = r.arrives + rapid.IntRange(0, longest).Draw(t, "lasts")
		r.work = drain.Work(rapid.IntRange(0, 3).Draw(t, "work"))
		all = append(all, r)
	}
	return all
}

// Guards against a planned stop that cuts off a request in flight, refuses one
// that arrives within the lag of the balancer or the peers, releases shares while
// owner work is running, or does not end.
func TestPlannedStopCutsOffNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drain.DefaultConfig()
		longest := int(cfg.LongestDeadline / time.Second)
		requests := drawRequests(t, longest)
		stop := rapid.IntRange(0, 20).Draw(t, "stop")
		releaseTime := rapid.IntRange(0, 70).Draw(t, "release")
		h := drain.NewHostLifecycle(cfg)
		h.SetConfiguration(rapid.Bool().Draw(t, "out"))
		released := -1
		for second := 0; h.Phase() != drain.Stopped; second++ {
			now := at(second)
			var actions []drain.Action
			for _, r := range requests {
				if r.arrives == second {
					r.accepted = h.Begin(now, r.work)
					lag := cfg.BalancerLag
					if r.work == drain.OwnerWork {
						lag = cfg.PeerLag
					}
					if !r.accepted && now.Before(at(stop).Add(lag)) {
						t.Fatalf("second %d: request refused", second)
					}
				}
				if r.ends == second && r.accepted {
					actions = append(actions, h.End(now, r.work)...)
				}
			}
			if second == stop {
				actions = append(actions, h.Stop(now)...)
			}
			if second == released {
				actions = append(actions, h.SharesReleased(now)...)
			}
			for _, a := range append(actions, h.Tick(now)...) {
				switch a := a.(type) {
				case drain.ReleaseShares:
					if released >= 0 || running(requests, second, drain.OwnerWork) {
						t.Fatalf("second %d: shares released twice or while in use", second)
					}
					released = second + 1 + releaseTime
				case drain.Exit:
					if a.CutOff != 0 || running(requests, second, drain.CallerWork, drain.OwnerWork, drain.RecordWork) || now.Before(at(stop).Add(cfg.BalancerLag)) {
						t.Fatalf("second %d, stop at %d: exit with %d requests cut off", second, stop, a.CutOff)
					}
				}
			}
			if now.After(at(stop).Add(cfg.Grace)) {
				t.Fatalf("still %s after the grace period", h.Phase())
			}
		}
	})
}

func running(requests []*request, second int, kinds ...drain.Work) bool {
	return slices.ContainsFunc(requests, func(r *request) bool {
		return r.accepted && r.arrives <= second && r.ends > second && slices.Contains(kinds, r.work)
	})
}

// Guards against a host that is ready before it has a configuration or while its
// data centre is out, and against a planned stop that does not end.
func TestPhases(t *testing.T) {
	h := drain.NewHostLifecycle(drain.DefaultConfig())
	ready := func(want bool, phase drain.Phase) {
		t.Helper()
		if got, why := h.Ready(); got != want || h.Phase() != phase || got == (why != "") {
			t.Fatalf("ready %t (%s) in phase %s, want %t in %s", got, why, h.Phase(), want, phase)
		}
	}
	ready(false, drain.Starting)
	h.SetConfiguration(true)
	ready(false, drain.Out)
	h.SetConfiguration(false)
	ready(true, drain.Ready)
	h.Begin(at(0), drain.CallerWork)
	h.Stop(at(0))
	h.SetConfiguration(false)
	ready(false, drain.Leaving)
	end, _ := h.Next()
	for h.Phase() == drain.Leaving {
		end, _ = h.Next()
		h.Tick(end)
	}
	if h.CutOff() != 1 || end != at(60) {
		t.Errorf("%d cut off at %s, want 1 at the end of the grace period", h.CutOff(), end)
	}
	ready(false, drain.Stopped)
}
