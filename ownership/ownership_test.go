package ownership

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"strconv"
	"testing"
	"time"
)

// faults injects a random fault and schedules the next.
func (w *world) faults() {
	if w.calm {
		return
	}
	i := w.rng.IntN(len(w.hosts))
	h := w.hosts[i]
	switch w.rng.IntN(9) {
	case 0, 1, 2: // a pause, often longer than the lease, of one host or two
		h.frozen = w.now + w.between(100*time.Millisecond, 9*time.Second)
		if w.rng.IntN(3) == 0 {
			other := w.hosts[w.rng.IntN(len(w.hosts))]
			other.frozen = w.now + w.between(100*time.Millisecond, 4*time.Second)
		}
	case 3: // a crash; a new process starts at once or later
		h.gone = true
		w.restart(i, h, w.between(0, 15*time.Second))
	case 4, 5: // outage of the platform, or the data centre is cut off from it
		w.down, w.vanish = true, w.rng.IntN(2) == 0
		w.after(w.between(time.Second, 20*time.Second), nil, func() { w.down = false })
	case 6, 7: // planned stop
		h.stop(i)
	case 8: // a long pause ends as an outage begins and all others pause shortly
		h.frozen = w.now + w.between(simConfig.Lease, 2*simConfig.wait())
		w.after(h.frozen-w.now-w.between(0, 1500*time.Millisecond), nil, func() {
			w.down, w.vanish = true, w.rng.IntN(2) == 0
			w.after(w.between(time.Second, 20*time.Second), nil, func() { w.down = false })
			for _, other := range w.hosts {
				if other != h {
					other.frozen = max(other.frozen, w.now+w.between(300*time.Millisecond, simConfig.Lease))
				}
			}
		})
	}
	w.after(w.between(100*time.Millisecond, 12*time.Second), nil, w.faults)
}

func (w *world) restart(i int, old *simHost, wait time.Duration) {
	generation, err := strconv.Atoi(old.self.Incarnation)
	if err != nil {
		panic(err)
	}
	w.after(wait, nil, func() {
		if w.hosts[i] == old {
			w.boot(i, generation+1)
		}
	})
}

// stop releases the host's shares once it is idle and ends the process.
func (h *simHost) stop(i int) {
	if h.gone || h.leaving {
		return
	}
	h.leaving = true
	h.holder.Release()
	var poll func()
	poll = func() {
		for _, n := range h.inUse {
			if n > 0 {
				h.w.after(50*time.Millisecond, h, poll)
				return
			}
		}
		h.do(h.keeper.Release(h.clock()))
		if !h.keeper.Released() {
			h.w.after(200*time.Millisecond, h, poll)
			return
		}
		h.gone = true
		h.w.restart(i, h, h.w.between(0, 10*time.Second))
	}
	poll()
}

const (
	simLength = 200 * time.Second
	simCalm   = 60 * time.Second
	simTail   = 20 * time.Second // the end of the calm time, for checkUse
)

// checkUse reports if work did not start at 85 % of the rate that the slots
// allow. Owners start work up to 40 ms late and learn of its end late.
func (w *world) checkUse(before map[string]int, span time.Duration) string {
	for replica, slots := range w.slots {
		n, ideal := w.started[replica]-before[replica], slots*int(span/simDeadline)
		if 100*n < 85*ideal {
			return fmt.Sprintf("%v: %s started %d of %d in %v", w.now, replica, n, ideal, span)
		}
	}
	return ""
}

// simulate returns the world after a run with faults, and after a calm time that
// ends all of them.
func simulate(seed uint64, cfg Config) *world {
	w := newWorld(seed, cfg)
	w.after(w.between(0, 20*time.Second), nil, w.faults)
	w.run(simLength)
	w.calm = true
	w.down = false
	if w.violated == "" {
		w.run(simLength + simCalm - simTail)
		before := maps.Clone(w.started)
		w.run(simLength + simCalm)
		w.unused = w.checkUse(before, simTail)
	}
	return w
}

// simSeeds is small enough for every CI run; more are run with -long.
const simSeeds = 24

var long = flag.Int("long", simSeeds, "number of seeds of the simulation")

// TestMain fixes rapid's seed, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards the invariant of the package: a replica never has more work than
// slots, whatever pauses, crashes, outages, lost answers, planned stops and
// clocks that run 1 % off do together. In the end all slots must be in use
// again, so that holding everything back does not pass.
func TestSlotsNeverExceeded(t *testing.T) {
	started := 0
	for seed := range uint64(*long) {
		w := simulate(seed, simConfig)
		if w.violated != "" || w.unused != "" {
			t.Fatalf("seed %d: %s %s", seed, w.violated, w.unused)
		}
		for _, n := range w.started {
			started += n
		}
	}
	ideal := float64(*long) * 10 * float64(simLength+simCalm) / float64(simDeadline)
	t.Logf("%.0f %% of the work that a fixed division could do", 100*float64(started)/ideal)
}

// Shows that the simulation finds what each rule prevents.
func TestEachRuleIsNeeded(t *testing.T) {
	for name, off := range map[string]rules{
		"no wait for gained slots":         {wait: true},
		"no check of the proof":            {proof: true},
		"expired proof keeps slots in use": {lapse: true},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := simConfig
			cfg.off = off
			for seed := range uint64(simSeeds) {
				if w := simulate(seed, cfg); w.violated != "" {
					t.Logf("seed %d: %s", seed, w.violated)
					return
				}
			}
			t.Errorf("no violation in %d seeds", simSeeds)
		})
	}
}

// Guards against shares that stop during an outage of the platform, when no
// proof can be had: hosts that answer each other continue.
func TestOutageKeepsSlotsInUse(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(seed, simConfig)
		w.calm = true
		w.run(30 * time.Second)
		w.down, w.vanish = true, seed%2 == 0
		before := maps.Clone(w.started)
		w.run(90 * time.Second)
		if unused := w.checkUse(before, time.Minute); unused != "" || w.violated != "" {
			t.Errorf("seed %d: %s %s", seed, unused, w.violated)
		}
	}
}
