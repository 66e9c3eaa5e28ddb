package drain_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/drain"
)

// init fixes the seed of rapid to make runs reproducible. A command line flag
// overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var epoch = time.UnixMilli(1764831527000)

func at(second int) time.Time { return epoch.Add(time.Duration(second) * time.Second) }

func second(t time.Time) int { return int(t.Sub(epoch) / time.Second) }

const (
	lastSecond   = 60
	incarnations = 3
)

var replicas = []drain.Replica{{ID: "r", DataCentre: "bole", Host: "u"}}

// signalState is the state that follows from the signals that have arrived.
type signalState struct {
	number              uint64
	out                 bool
	outSince            int // in seconds
	list                int // second in which the newest host list was requested
	listed, unavailable bool
	unavailableSince    int
	drained, newest     int // incarnations
}

// minPermission returns the least restrictive permission that the replica may have
// at the given second. A configuration or host list must close it within one
// second of its arrival.
func (k signalState) minPermission(second int) drain.Permission {
	gone := k.listed && k.unavailable
	switch {
	case k.drained >= 0 && k.newest <= k.drained, k.out && second > k.outSince, gone && second > k.unavailableSince:
		return drain.Closed
	case k.out || gone:
		return drain.Closing
	}
	return drain.Allowed
}

// unblocked reports whether no signal closes the replica.
func (k signalState) unblocked() bool {
	return !k.out && !(k.listed && k.unavailable) && k.drained < 0
}

// signal is a signal that arrives at the gate and is recorded in a signalState.
type signal struct {
	arrives int
	apply   func(g *drain.Gate, now time.Time, k *signalState)
}

func configurationSignal(changedAt int) func(*drain.Gate, time.Time, *signalState) {
	c := drain.Configuration{Number: uint64(2 + changedAt), Out: map[string]bool{"bole": changedAt%2 == 0}, Replicas: replicas}
	return func(g *drain.Gate, now time.Time, k *signalState) {
		g.SetConfiguration(now, c)
		if c.Number <= k.number {
			return
		}
		if !k.out {
			k.outSince = second(now)
		}
		k.number, k.out = c.Number, c.Out["bole"]
	}
}

// drawHostListSignal draws a host list with random content.
func drawHostListSignal(t *rapid.T, requested int) func(*drain.Gate, time.Time, *signalState) {
	leaving, gone := rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "gone")
	list := []drain.ListedHost{{ID: "v"}}
	if !gone {
		list = append(list, drain.ListedHost{ID: "u", Leaving: leaving})
	}
	return func(g *drain.Gate, now time.Time, k *signalState) {
		g.SetHosts(now, at(requested), list)
		if requested < k.list {
			return
		}
		if !k.listed || !k.unavailable {
			k.unavailableSince = second(now)
		}
		k.list, k.listed, k.unavailable = requested, k.listed || !gone, gone || leaving
	}
}

// drawSignals draws the behaviour of one upstream, and its signals, which arrive
// in any order and with any delay. Incarnation i runs from second 20*i and may
// drain.
func drawSignals(t *rapid.T) []signal {
	var drainAt [incarnations]int
	for i := range drainAt {
		drainAt[i] = 20*i + rapid.IntRange(0, 30).Draw(t, "drain")
	}
	var all []signal
	for range rapid.IntRange(1, 25).Draw(t, "signals") {
		sent := rapid.IntRange(0, lastSecond-1).Draw(t, "sent")
		done := rapid.IntRange(sent, lastSecond-1).Draw(t, "done")
		s := signal{arrives: rapid.IntRange(done, lastSecond).Draw(t, "arrives")}
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			s.apply = configurationSignal(done)
		case 1:
			s.apply = drawHostListSignal(t, sent)
		default:
			incarnation := done / 20
			r := drain.Report{Replica: "r", Incarnation: fmt.Sprint(incarnation), SentAt: at(sent), Draining: done >= drainAt[incarnation]}
			s.apply = func(g *drain.Gate, now time.Time, k *signalState) {
				g.Report(now, r)
				k.newest = max(k.newest, incarnation)
				if r.Draining {
					k.drained = max(k.drained, incarnation)
				}
			}
		}
		all = append(all, s)
	}
	return all
}

// Guards, with any order and delay of signals, against new work after the closing
// time for an upstream that is leaving or whose data centre is out, and against an
// upstream that stays closed although no signal closes it.
func TestNoNewWorkAfterClosing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := drain.NewGate(drain.DefaultConfig()) // closes within a second
		g.SetConfiguration(epoch, drain.Configuration{Number: 1, Replicas: replicas})
		signals := drawSignals(t)
		k := signalState{number: 1, list: -1, drained: -1, newest: -1}
		for second := range lastSecond + 1 {
			for _, s := range signals {
				if s.arrives == second {
					s.apply(g, at(second), &k)
				}
			}
			p, reason := g.PermissionFor(at(second), "r")
			if p < k.minPermission(second) || k.unblocked() && p != drain.Allowed || len(g.Blocked(at(second))) != min(int(p), 1) {
				t.Fatalf("second %d: permission %d (%s), signals %+v", second, p, reason, k)
			}
		}
	})
}

// Guards against an upstream that stays closed after its return, and against an
// outdated host list that reopens a draining one.
func TestReopeningNeedsEverySource(t *testing.T) {
	g := drain.NewGate(drain.DefaultConfig())
	g.SetConfiguration(epoch, drain.Configuration{Number: 1, Replicas: replicas})
	expect := func(second int, want drain.Permission) {
		t.Helper()
		if p, reason := g.PermissionFor(at(second), "r"); p != want {
			t.Fatalf("second %d: permission %d (%s), want %d", second, p, reason, want)
		}
	}
	g.Report(at(1), drain.Report{Replica: "r", Incarnation: "a", SentAt: at(0), Draining: true})
	g.SetHosts(at(2), at(2), []drain.ListedHost{{ID: "u"}})
	expect(2, drain.Closed)
	g.SetHosts(at(3), at(3), []drain.ListedHost{{ID: "u", Leaving: true}})
	g.Report(at(5), drain.Report{Replica: "r", Incarnation: "b", SentAt: at(4)})
	expect(5, drain.Closed)
	g.SetHosts(at(6), at(2), []drain.ListedHost{{ID: "u"}})
	expect(6, drain.Closed)
	if resets := g.SetHosts(at(7), at(7), []drain.ListedHost{{ID: "u"}}); len(resets) != 1 {
		t.Errorf("ramp resets %v, want one for the replica", resets)
	}
	expect(7, drain.Allowed)
	g.Report(at(8), drain.Report{Replica: "r", Incarnation: "a", SentAt: at(4), Draining: true})
	expect(8, drain.Closed) // this a may be the old incarnation or a successor of b
	g.Report(at(9), drain.Report{Replica: "r", Incarnation: "b", SentAt: at(8)})
	expect(9, drain.Allowed)
}

// Guards against a share that jumps or falls while a data centre returns, and
// against queries that leave the share while it grows.
func TestReturnShareRisesInEqualSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drain.DefaultConfig()
		cfg.ReturnSteps = rapid.IntRange(1, 20).Draw(t, "steps")
		hash := rapid.Uint64().Draw(t, "hash")
		previous := 0.0
		for second := range 70 {
			share := cfg.ReturnShare(time.Duration(second) * time.Second)
			if share < previous || share-previous > 1/float64(cfg.ReturnSteps)+1e-9 {
				t.Fatalf("share %g after %g at second %d", share, previous, second)
			}
			if drain.InShare(hash, previous) && !drain.InShare(hash, share) {
				t.Fatalf("hash %d is no longer in the share %g", hash, share)
			}
			previous = share
		}
		if previous != 1 || !drain.InShare(hash, previous) {
			t.Fatalf("share %g at the end", previous)
		}
	})
}
