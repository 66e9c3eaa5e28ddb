package main

import (
	"testing"
	"time"
)

// Guards the targets of the protocol under message loss and pauses with a fixed
// seed: hosts that start together join each other, all hosts learn of a
// configuration within 4 s and of a crash within 6 s, no live host is declared dead,
// no proof appears fresher than it is, and at most 1 % of the proofs are older than
// the lease.
func TestProtocolTargets(t *testing.T) {
	for _, links := range []string{"ring", "all", "random"} {
		cfg, _ := variant(links)
		w := newWorld(1, cfg, 10, 2)
		w.loss, w.pauseEvery, w.pauseLongest = defaultLoss, time.Minute, 1500*time.Millisecond
		if d := w.until(settleTime, w.allJoined); !w.allJoined() {
			t.Errorf("%s: not all hosts joined after %v", links, d)
		}
		w.sampling = true
		w.run(w.now + steadyTime)
		source := w.anyLive()
		source.machine.SetConfiguration(source.clock(), 7)
		w.wake(source)
		if d := w.until(4*time.Second, func() bool { return w.allHave(7) }); !w.allHave(7) {
			t.Errorf("%s: not all hosts have the configuration after %v", links, d)
		}
		victim := w.nodes[1]
		victim.crashed = true
		if d := w.until(6*time.Second, func() bool { return w.allKnowDead(victim) }); !w.allKnowDead(victim) {
			t.Errorf("%s: not all hosts know of the crash after %v", links, d)
		}
		if w.falseDead > 0 || w.earlyProofs > 0 {
			t.Errorf("%s: %d live hosts declared dead, %d proofs too fresh", links, w.falseDead, w.earlyProofs)
		}
		old := 0
		for _, age := range w.proofAges {
			if age > 3*time.Second {
				old++
			}
		}
		if 100*old > len(w.proofAges) || len(w.proofAges) == 0 {
			t.Errorf("%s: %d of %d proofs older than the lease", links, old, len(w.proofAges))
		}
	}
}
