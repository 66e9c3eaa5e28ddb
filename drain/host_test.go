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
					r.accepted = h.Begin(now, drain.Request{Work: r.work, Deadline: now.Add(cfg.LongestDeadline)})
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
	h.Begin(at(0), drain.Request{Work: drain.CallerWork, Deadline: at(30)})
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

// tick is the resolution of time in the model of a planned stop.
const tick = 100 * time.Millisecond

// modelRequest is a request in the model of a planned stop. Its times count in ticks.
type modelRequest struct {
	arrives, deadline, replies int
	repeatable                 bool
	work                       drain.Work
	accepted, ended            bool
}

func drawModel(t *rapid.T) (cfg drain.Config, stop int, requests []*modelRequest) {
	grace := rapid.IntRange(1, 120).Draw(t, "grace")
	cfg = drain.Config{
		BalancerLag: time.Duration(rapid.IntRange(0, 30).Draw(t, "balancerLag")) * tick,
		PeerLag:     time.Duration(rapid.IntRange(0, 30).Draw(t, "peerLag")) * tick,
		Grace:       time.Duration(grace) * tick,
		AnswerTime:  time.Duration(rapid.IntRange(0, grace/6).Draw(t, "answerTime")) * tick,
		OpenEnded:   time.Duration(rapid.IntRange(0, grace/2).Draw(t, "openEnded")) * tick,
	}
	stop = rapid.IntRange(0, 30).Draw(t, "stop")
	for range rapid.IntRange(0, 30).Draw(t, "requests") {
		r := &modelRequest{arrives: rapid.IntRange(0, stop+grace).Draw(t, "arrives"), repeatable: rapid.Bool().Draw(t, "repeatable")}
		r.deadline = r.arrives + rapid.IntRange(1, 2*grace).Draw(t, "deadline")
		r.replies = r.arrives + rapid.IntRange(0, 2*grace).Draw(t, "work time")
		r.work = rapid.SampledFrom([]drain.Work{drain.CallerWork, drain.OwnerWork, drain.RecordWork}).Draw(t, "work")
		requests = append(requests, r)
	}
	return cfg, stop, requests
}

// Guards against a planned stop that accepts a request and ends before its answer: for any
// grace period, deadline, work time and moment of the stop, what is accepted ends by its
// reply, at its deadline or, if it was allowed to outlast the stop, at Conclude. Guards as
// well against a request that is refused although it could have ended in time.
func TestPlannedStopEndsWhatItAccepts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg, stop, requests := drawModel(t)
		at := func(n int) time.Time { return time.Unix(0, 0).Add(time.Duration(n) * tick) }
		concludes := at(stop).Add(cfg.Grace - cfg.AnswerTime)
		h := drain.NewHostLifecycle(cfg)
		h.SetConfiguration(false)
		for n := 0; h.Phase() != drain.Stopped; n++ {
			now := at(n)
			var actions []drain.Action
			if n == stop {
				actions = h.Stop(now)
			}
			for _, r := range requests {
				if r.accepted && !r.ended && n >= min(r.replies, r.deadline) {
					r.ended = true
					actions = append(actions, h.End(now, r.work)...)
				}
				if r.arrives != n {
					continue
				}
				outlasts := at(r.deadline).After(concludes)
				r.accepted = h.Begin(now, drain.Request{Work: r.work, Deadline: at(r.deadline), Repeatable: r.repeatable})
				open := r.repeatable && now.Before(at(stop).Add(cfg.OpenEnded))
				if r.accepted && n > stop && outlasts && !open {
					t.Fatalf("tick %d: accepted %+v, which may outlast the stop of tick %d", n, r, stop)
				}
				if !r.accepted && r.work != drain.OwnerWork && h.Phase() != drain.Stopped && !outlasts {
					t.Fatalf("tick %d: refused %+v, which can end in time", n, r)
				}
			}
			for _, a := range append(actions, h.Tick(now)...) {
				switch a := a.(type) {
				case drain.ReleaseShares:
					for _, b := range h.SharesReleased(now) {
						if exit, ok := b.(drain.Exit); ok && exit.CutOff > 0 {
							t.Fatalf("tick %d: exit cuts off %d", n, exit.CutOff)
						}
					}
				case drain.Conclude:
					if now.Before(concludes) {
						t.Fatalf("tick %d: concluded before %v", n, concludes)
					}
					for _, r := range requests {
						if r.accepted && !r.ended {
							r.ended = true
							h.End(now, r.work)
						}
					}
				case drain.Exit:
					if a.CutOff > 0 && now.Before(at(stop).Add(cfg.Grace)) || a.CutOff > 0 && cfg.AnswerTime > 0 {
						t.Fatalf("tick %d: exit cuts off %d, grace period from tick %d", n, a.CutOff, stop)
					}
				}
			}
			if now.After(at(stop).Add(cfg.Grace)) && h.Phase() != drain.Stopped {
				t.Fatalf("tick %d: still %s after the grace period", n, h.Phase())
			}
		}
	})
}

// Guards against a changed grace period that has no effect until a restart, and against one
// that changes a planned stop that has begun.
func TestChangedGraceAppliesToTheNextStop(t *testing.T) {
	cfg := drain.Config{Grace: 6 * time.Second}
	h := drain.NewHostLifecycle(cfg)
	cfg.Grace = 20 * time.Second
	h.SetConfig(cfg)
	h.Stop(at(0))
	cfg.Grace = time.Second
	h.SetConfig(cfg)
	if r := (drain.Request{Work: drain.CallerWork, Deadline: at(15)}); !h.Accepts(at(5), r) {
		t.Error("a request that ends within the grace period is refused")
	}
}
