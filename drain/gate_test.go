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

// delivery is a signal that arrives at a time.
type delivery struct {
	arrives int
	apply   func(g *drain.Gate, now time.Time)
	number  uint64 // configuration
	out     bool
	listed  int // second in which a host list was requested
	leaving bool
	gone    bool
	life    int // incarnation, of a report
	drains  bool
	kind    string
}

const (
	lastSecond = 60
	lives      = 3
)

var replicas = []drain.Replica{{ID: "r", DataCentre: "bole", Host: "u"}}

// drawSignals draws what one upstream does, and signals of it that arrive in any
// order and at any delay. Incarnation i runs from second 20*i and may drain.
func drawSignals(t *rapid.T) []delivery {
	var drainAt [lives]int
	for i := range drainAt {
		drainAt[i] = 20*i + rapid.IntRange(0, 30).Draw(t, "drain")
	}
	var all []delivery
	for range rapid.IntRange(1, 25).Draw(t, "signals") {
		sent := rapid.IntRange(0, lastSecond-1).Draw(t, "sent")
		done := rapid.IntRange(sent, lastSecond-1).Draw(t, "done")
		d := delivery{arrives: rapid.IntRange(done, lastSecond).Draw(t, "arrives")}
		switch d.kind = rapid.SampledFrom([]string{"report", "report", "list", "configuration"}).Draw(t, "kind"); d.kind {
		case "report":
			d.life = done / 20
			d.drains = done >= drainAt[d.life]
			report := drain.Report{Replica: "r", Incarnation: fmt.Sprint(d.life), SentAt: at(sent), Draining: d.drains}
			d.apply = func(g *drain.Gate, now time.Time) { g.Report(now, report) }
		case "list": // of any age and content
			d.listed = sent
			d.leaving, d.gone = rapid.Bool().Draw(t, "leaving"), rapid.Bool().Draw(t, "gone")
			list := []drain.Listed{{ID: "u", Leaving: d.leaving}, {ID: "v"}}
			if d.gone {
				list = list[1:]
			}
			d.apply = func(g *drain.Gate, now time.Time) { g.SetHosts(now, at(d.listed), list) }
		case "configuration":
			d.number, d.out = uint64(2+done), done%2 == 0
			c := drain.Configuration{Number: d.number, Out: map[string]bool{"bole": d.out}, Replicas: replicas}
			d.apply = func(g *drain.Gate, now time.Time) { g.SetConfiguration(now, c) }
		}
		all = append(all, d)
	}
	return all
}

// verdict says what the signals up to a second mean. must is set if the replica
// must be closed, free if nothing speaks against it.
type verdict struct{ must, free bool }

func judge(seen []delivery) verdict {
	number, out := uint64(0), false
	list, listClosed, everListed := -1, false, false
	drained, newest := -1, -1
	for _, d := range seen {
		switch {
		case d.kind == "report":
			newest = max(newest, d.life)
			if d.drains {
				drained = max(drained, d.life)
			}
		case d.kind == "list" && d.listed >= list:
			everListed = everListed || !d.gone
			list, listClosed = d.listed, everListed && (d.gone || d.leaving)
		case d.kind == "configuration" && d.number > number:
			number, out = d.number, d.out
		}
	}
	closed := out || listClosed || drained >= 0 && newest <= drained
	return verdict{must: closed, free: !out && !listClosed && drained < 0}
}

// Guards against new work for a data centre that is out, or for an upstream that
// leaves, after the bound, under any order and delay of signals, and against an
// upstream that stays closed although no signal speaks against it.
func TestNoNewWorkAfterBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drain.DefaultConfig()
		g := drain.NewGate(cfg)
		g.SetConfiguration(epoch, drain.Configuration{Number: 1, Replicas: replicas})
		signals := drawSignals(t)
		var seen []delivery
		for second := range lastSecond + 1 {
			before := judge(seen)
			for _, d := range signals {
				if d.arrives == second {
					d.apply(g, at(second))
					seen = append(seen, d)
				}
			}
			now := judge(seen)
			p, reason := g.May(at(second), "r")
			if now.must && p == drain.Allowed || now.must && before.must && p != drain.Closed && wasSettled(seen, second) {
				t.Fatalf("second %d: permission %d (%s) though it must be closed", second, p, reason)
			}
			if now.free && p != drain.Allowed {
				t.Fatalf("second %d: permission %d (%s) without cause", second, p, reason)
			}
		}
	})
}

// wasSettled reports that no signal arrived within the closing time.
func wasSettled(seen []delivery, second int) bool {
	return seen[len(seen)-1].arrives < second
}

// Guards against an upstream that stays closed after its return, and against a
// stale host list that reopens one that drains.
func TestReturnNeedsEverySource(t *testing.T) {
	g := drain.NewGate(drain.DefaultConfig())
	g.SetConfiguration(epoch, drain.Configuration{Number: 1, Replicas: replicas})
	expect := func(second int, want drain.Permission) {
		t.Helper()
		if p, reason := g.May(at(second), "r"); p != want {
			t.Fatalf("second %d: permission %d (%s), want %d", second, p, reason, want)
		}
	}
	g.Report(at(1), drain.Report{Replica: "r", Incarnation: "a", SentAt: at(0), Draining: true})
	g.SetHosts(at(2), at(2), []drain.Listed{{ID: "u"}})
	expect(2, drain.Closed)
	g.SetHosts(at(3), at(3), []drain.Listed{{ID: "u", Leaving: true}})
	g.Report(at(5), drain.Report{Replica: "r", Incarnation: "b", SentAt: at(4)})
	expect(5, drain.Closed)
	g.SetHosts(at(6), at(2), []drain.Listed{{ID: "u"}})
	expect(6, drain.Closed)
	if cold := g.SetHosts(at(7), at(7), []drain.Listed{{ID: "u"}}); len(cold) != 1 {
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
			w := cfg.Weight(time.Duration(second) * time.Second)
			if w < last || w-last > 1/float64(cfg.ReturnSteps)+1e-9 {
				t.Fatalf("weight %g after %g at second %d", w, last, second)
			}
			if drain.Chosen(hash, last) && !drain.Chosen(hash, w) {
				t.Fatalf("hash %d lost its place at share %g", hash, w)
			}
			last = w
		}
		if last != 1 || !drain.Chosen(hash, last) {
			t.Fatalf("share %g at the end", last)
		}
	})
}
