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

// injectFault injects a random fault and schedules the next one.
func (w *world) injectFault() {
	if w.faultsEnded {
		return
	}
	i := w.rng.IntN(len(w.hosts))
	h := w.hosts[i]
	switch w.rng.IntN(9) {
	case 0, 1, 2: // a pause of one or two hosts, often longer than the lease
		h.pausedUntil = w.now + w.between(100*time.Millisecond, 9*time.Second)
		if w.rng.IntN(3) == 0 {
			other := w.hosts[w.rng.IntN(len(w.hosts))]
			other.pausedUntil = w.now + w.between(100*time.Millisecond, 4*time.Second)
		}
	case 3: // a crash; a new process starts at once or later
		h.ended = true
		w.restart(i, h, w.between(0, 15*time.Second))
	case 4, 5: // an outage of the platform, or a partition from it
		w.platformDown, w.platformSilent = true, w.rng.IntN(2) == 0
		w.after(w.between(time.Second, 20*time.Second), nil, func() { w.platformDown = false })
	case 6, 7: // a planned stop
		h.stop(i)
	case 8: // an outage begins just before a long pause ends; all other hosts pause briefly
		h.pausedUntil = w.now + w.between(simConfig.Lease, 2*simConfig.handoverDelay())
		w.after(h.pausedUntil-w.now-w.between(0, 1500*time.Millisecond), nil, func() {
			w.platformDown, w.platformSilent = true, w.rng.IntN(2) == 0
			w.after(w.between(time.Second, 20*time.Second), nil, func() { w.platformDown = false })
			for _, other := range w.hosts {
				if other != h {
					other.pausedUntil = max(other.pausedUntil, w.now+w.between(300*time.Millisecond, simConfig.Lease))
				}
			}
		})
	}
	w.after(w.between(100*time.Millisecond, 12*time.Second), nil, w.injectFault)
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

// stop releases the host's slots once it is idle and then ends the process.
func (h *simHost) stop(i int) {
	if h.ended || h.leaving {
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
		h.perform(h.reconciler.Release(h.clock()))
		if !h.reconciler.Released() {
			h.w.after(200*time.Millisecond, h, poll)
			return
		}
		h.ended = true
		h.w.restart(i, h, h.w.between(0, 10*time.Second))
	}
	poll()
}

const (
	simLength    = 200 * time.Second
	simFaultFree = 60 * time.Second
	simCheckSpan = 20 * time.Second // last part of the fault-free time, in which utilisation is checked
)

// checkUtilisation returns an error text if work started at less than 85 % of the
// rate that the slots allow. The full rate is not reached, because owners start
// work up to 40 ms late and learn of its end late.
func (w *world) checkUtilisation(before map[string]int, span time.Duration) string {
	for replica, slots := range w.slots {
		n, ideal := w.started[replica]-before[replica], slots*int(span/simDeadline)
		if 100*n < 85*ideal {
			return fmt.Sprintf("%v: %s started %d of %d in %v", w.now, replica, n, ideal, span)
		}
	}
	return ""
}

// simulate runs the simulation with faults and then without, and returns its
// final state.
func simulate(seed uint64, cfg Config) *world {
	w := newWorld(seed, cfg)
	w.after(w.between(0, 20*time.Second), nil, w.injectFault)
	w.run(simLength)
	w.faultsEnded = true
	w.platformDown = false
	if w.violation == "" {
		w.run(simLength + simFaultFree - simCheckSpan)
		before := maps.Clone(w.started)
		w.run(simLength + simFaultFree)
		w.underuse = w.checkUtilisation(before, simCheckSpan)
	}
	return w
}

// simSeeds is the default number of seeds, small enough for every CI run. Use
// -long for more.
const simSeeds = 24

var seedCount = flag.Int("long", simSeeds, "number of seeds of the simulation")

// TestMain fixes the seed of rapid to make runs reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards the invariant of the package: a replica never has more work than slots,
// under any combination of pauses, crashes, outages, lost answers, planned stops
// and clocks that drift by 1 %. After the faults all slots must be in use again;
// otherwise an implementation that never sends would pass.
func TestSlotsNeverExceeded(t *testing.T) {
	started := 0
	for seed := range uint64(*seedCount) {
		w := simulate(seed, simConfig)
		if w.violation != "" || w.underuse != "" {
			t.Fatalf("seed %d: %s %s", seed, w.violation, w.underuse)
		}
		for _, n := range w.started {
			started += n
		}
	}
	ideal := float64(*seedCount) * 10 * float64(simLength+simFaultFree) / float64(simDeadline)
	t.Logf("%.0f %% of the work that a static division could do", 100*float64(started)/ideal)
}

// Checks that the simulation finds a violation if any one of the safety rules is
// disabled.
func TestViolationWithoutEachRule(t *testing.T) {
	for name, disabled := range map[string]disabledRules{
		"no handover delay":                {handoverDelay: true},
		"no lease check":                   {leaseCheck: true},
		"expired lease keeps slots usable": {resetOnExpiry: true},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := simConfig
			cfg.disabled = disabled
			for seed := range uint64(simSeeds) {
				if w := simulate(seed, cfg); w.violation != "" {
					t.Logf("seed %d: %s", seed, w.violation)
					return
				}
			}
			t.Errorf("no violation in %d seeds", simSeeds)
		})
	}
}

// Guards against slots that become unusable during an outage of the platform.
// Hosts can't get a proof then, but those that answer each other must continue.
func TestOutageKeepsSlotsInUse(t *testing.T) {
	for seed := range uint64(5) {
		w := newWorld(seed, simConfig)
		w.faultsEnded = true
		w.run(30 * time.Second)
		w.platformDown, w.platformSilent = true, seed%2 == 0
		before := maps.Clone(w.started)
		w.run(90 * time.Second)
		if unused := w.checkUtilisation(before, time.Minute); unused != "" || w.violation != "" {
			t.Errorf("seed %d: %s %s", seed, unused, w.violation)
		}
	}
}
