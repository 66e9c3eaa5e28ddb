package drain_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/drain"
)

// Fixes the random choices of rapid; a flag on the command line still wins.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

var epoch = time.UnixMilli(1764831527000)

func at(second int) time.Time { return epoch.Add(time.Duration(second) * time.Second) }

func second(t time.Time) int { return int(t.Sub(epoch) / time.Second) }

const (
	lastSecond = 60
	lives      = 3
)

var replicas = []drain.Replica{{ID: "r", DataCentre: "bole", Host: "u"}}

// known is what the signals that have arrived mean.
type known struct {
	number          uint64
	out             bool
	outSince        int // second
	list            int // second in which the newest host list was requested
	listed, missing bool
	missingSince    int
	drained, newest int // incarnations
}

// least returns the least permission that the replica may have in a second: a
// configuration or host list closes it within a second of its arrival.
func (k known) least(second int) drain.Permission {
	gone := k.listed && k.missing
	switch {
	case k.drained >= 0 && k.newest <= k.drained, k.out && second > k.outSince, gone && second > k.missingSince:
		return drain.Closed
	case k.out || gone:
		return drain.Closing
	}
	return drain.Allowed
}

// free reports that nothing speaks against the replica.
func (k known) free() bool {
	return !k.out && !(k.listed && k.missing) && k.drained < 0
}

// signal is something that arrives and is noted in what is known.
type signal struct {
	arrives int
	apply   func(g *drain.Gate, now time.Time, k *known)
}

func configured(made int) func(*drain.Gate, time.Time, *known) {
	c := drain.Configuration{Number: uint64(2 + made), Out: map[string]bool{"bole": made%2 == 0}, Replicas: replicas}
	return func(g *drain.Gate, now time.Time, k *known) {
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

// drawList draws a host list of any content.
func drawList(t *rapid.T, requested int) func(*drain.Gate, time.Time, *known) {
	leaving, gone := rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "gone")
	list := []drain.ListedHost{{ID: "v"}}
	if !gone {
		list = append(list, drain.ListedHost{ID: "u", Leaving: leaving})
	}
	return func(g *drain.Gate, now time.Time, k *known) {
		g.SetHosts(now, at(requested), list)
		if requested < k.list {
			return
		}
		if !k.listed || !k.missing {
			k.missingSince = second(now)
		}
		k.list, k.listed, k.missing = requested, k.listed || !gone, gone || leaving
	}
}

// drawSignals draws what one upstream does, and signals of it that arrive in any
// order and at any delay. Incarnation i runs from second 20*i and may drain.
func drawSignals(t *rapid.T) []signal {
	var drainAt [lives]int
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
			s.apply = configured(done)
		case 1:
			s.apply = drawList(t, sent)
		default:
			life := done / 20
			r := drain.Report{Replica: "r", Incarnation: fmt.Sprint(life), SentAt: at(sent), Draining: done >= drainAt[life]}
			s.apply = func(g *drain.Gate, now time.Time, k *known) {
				g.Report(now, r)
				k.newest = max(k.newest, life)
				if r.Draining {
					k.drained = max(k.drained, life)
				}
			}
		}
		all = append(all, s)
	}
	return all
}

// Guards against new work for a data centre that is out, or for an upstream that
// leaves, after the bound, under any order and delay of signals, and against an
// upstream that stays closed although no signal speaks against it.
func TestNoNewWorkAfterBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := drain.NewGate(drain.DefaultConfig()) // closes within a second
		g.SetConfiguration(epoch, drain.Configuration{Number: 1, Replicas: replicas})
		signals := drawSignals(t)
		k := known{number: 1, list: -1, drained: -1, newest: -1}
		for second := range lastSecond + 1 {
			for _, s := range signals {
				if s.arrives == second {
					s.apply(g, at(second), &k)
				}
			}
			p, reason := g.PermissionFor(at(second), "r")
			if p < k.least(second) || k.free() && p != drain.Allowed || len(g.Blocked(at(second))) != min(int(p), 1) {
				t.Fatalf("second %d: permission %d (%s), known %+v", second, p, reason, k)
			}
		}
	})
}

// Guards against an upstream that stays closed after its return, and against a
// stale host list that reopens one that drains.
func TestReturnNeedsEverySource(t *testing.T) {
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
	if cold := g.SetHosts(at(7), at(7), []drain.ListedHost{{ID: "u"}}); len(cold) != 1 {
		t.Errorf("cold %v, want the replica", cold)
	}
	expect(7, drain.Allowed)
	g.Report(at(8), drain.Report{Replica: "r", Incarnation: "a", SentAt: at(4), Draining: true})
	expect(8, drain.Closed) // a or a successor of b
	g.Report(at(9), drain.Report{Replica: "r", Incarnation: "b", SentAt: at(8)})
	expect(9, drain.Allowed)
}

// Guards against a share that jumps or falls while a data centre returns, and
// against a choice of queries that changes for those that were chosen before.
func TestReturnRisesByEqualSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drain.DefaultConfig()
		cfg.ReturnSteps = rapid.IntRange(1, 20).Draw(t, "steps")
		hash := rapid.Uint64().Draw(t, "hash")
		last := 0.0
		for second := range 70 {
			w := cfg.ReturnShare(time.Duration(second) * time.Second)
			if w < last || w-last > 1/float64(cfg.ReturnSteps)+1e-9 {
				t.Fatalf("weight %g after %g at second %d", w, last, second)
			}
			if drain.InShare(hash, last) && !drain.InShare(hash, w) {
				t.Fatalf("hash %d lost its place at share %g", hash, w)
			}
			last = w
		}
		if last != 1 || !drain.InShare(hash, last) {
			t.Fatalf("share %g at the end", last)
		}
	})
}
