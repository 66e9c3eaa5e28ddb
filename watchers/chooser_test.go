package watchers

import (
	"fmt"
	"testing"
	"time"
)

var t0 = time.Unix(1_700_000_000, 0)

func tier(dataCentres, each int) []Host {
	var hosts []Host
	for d := range dataCentres {
		for i := range each {
			hosts = append(hosts, Host{ID: fmt.Sprintf("dc%d-%d", d, i), DataCentre: fmt.Sprintf("dc%d", d), Address: fmt.Sprintf("10.%d.0.%d:1", d, i)})
		}
	}
	return hosts
}

func choosers(hosts []Host) map[string]*Chooser {
	all := map[string]*Chooser{}
	for _, h := range hosts {
		all[h.ID] = NewChooser(h)
		all[h.ID].SetHosts(hosts)
	}
	return all
}

// Guards against hosts of a data centre that disagree on their watchers, ask one that
// asks somebody else, or cross to another data centre, and against a watcher with more
// hosts than it can serve.
func TestFewHostsOfADataCentreAskTheStore(t *testing.T) {
	for each, want := range map[int]int{20: 1, 40: 1, 41: 2, 100: 3} {
		hosts := tier(3, each)
		all := choosers(hosts)
		asking, served := map[string]int{}, map[string]int{}
		for _, h := range hosts {
			w, target := all[h.ID].Next(t0)
			switch target {
			case TargetStore:
				asking[h.DataCentre]++
			case TargetWatcher:
				served[w.ID]++
				if _, its := all[w.ID].Next(t0); w.DataCentre != h.DataCentre || its != TargetStore {
					t.Errorf("%s asks %+v, whose target is %d", h.ID, w, its)
				}
			default:
				t.Errorf("%s asks nobody", h.ID)
			}
		}
		for d, n := range asking {
			if n != want {
				t.Errorf("%d of %d hosts of %s ask the store, want %d", n, each, d, want)
			}
		}
		for id, n := range served {
			if n > 3*hostsPerWatcher/2 {
				t.Errorf("%s serves %d of %d hosts", id, n, each)
			}
		}
	}
}

// Guards against small tiers and hosts that can't be called that wait for others.
func TestHostsAskForThemselves(t *testing.T) {
	for _, h := range tier(3, relayFrom-1) {
		if _, target := choosers(tier(3, relayFrom-1))[h.ID].Next(t0); target != TargetStore {
			t.Errorf("%s of a small data centre has target %d", h.ID, target)
		}
	}
	c := NewChooser(Host{ID: "x", DataCentre: "dc0"})
	if _, target := c.Next(t0); target != TargetStore {
		t.Errorf("a host that knows no other has target %d", target)
	}
	c.SetHosts(tier(1, 20))
	if _, target := c.Next(t0); target != TargetStore {
		t.Errorf("a host without an address has target %d", target)
	}
}

// Guards against a data centre without a watcher when one has ended: the next in
// rank takes over in the view of all hosts, itself included.
func TestNextInRankTakesOver(t *testing.T) {
	hosts := tier(1, 10)
	all := choosers(hosts)
	gone := all["dc0-0"].ranked[0].ID
	heir := all["dc0-0"].ranked[1].ID
	for id, c := range all {
		if id == gone {
			continue
		}
		if !c.MarkUnreachable(t0, gone) || c.MarkUnreachable(t0, gone) {
			t.Fatal("a silent watcher is news once")
		}
		w, target := c.Next(t0)
		if id == heir && target != TargetStore || id != heir && w.ID != heir {
			t.Errorf("%s asks %s (target %d) after %s fell silent, want %s", id, w.ID, target, gone, heir)
		}
		if w, _ := c.Next(t0.Add(unreachableFirst)); id != gone && w.ID != gone {
			t.Errorf("%s does not try %s again", id, gone)
		}
	}
	c := all[all["dc0-0"].ranked[5].ID]
	for range 10 {
		at := c.silent[gone].until
		c.MarkUnreachable(at, gone)
		if next := c.silent[gone].until.Sub(at); next > unreachableMost {
			t.Fatalf("a silent watcher is passed over for %v", next)
		}
	}
}

// Guards against a fleet that calls a store that is away as often as its watchers
// do, and against a host that does not call it at all: the store may serve it and
// refuse its watcher.
func TestStoreAwayIsTriedSeldom(t *testing.T) {
	all := choosers(tier(1, 10))
	id := all["dc0-0"].ranked[3].ID
	c, watcher := all[id], all[id].ranked[0].ID
	c.MarkStale(t0, watcher)
	if _, target := c.Next(t0); target != TargetStore {
		t.Errorf("target is %d while the watcher is behind, want the store", target)
	}
	c.RecordStoreCall(t0, false)
	if _, target := c.Next(t0); target != TargetNone {
		t.Errorf("target is %d right after the store failed, want nobody", target)
	}
	if w, _ := c.Next(t0.Add(behindTime)); w.ID != watcher {
		t.Error("the watcher is not asked again")
	}
	c.MarkStale(t0.Add(storePause), watcher)
	if _, target := c.Next(t0.Add(storePause)); target != TargetStore {
		t.Errorf("target is %d after the pause, want the store", target)
	}
	c.RecordStoreCall(t0, true)
	if _, target := c.Next(t0.Add(storePause)); target != TargetStore {
		t.Errorf("target is %d after the store answered, want the store", target)
	}
	for range 3 {
		if _, target := all[watcher].Next(t0); target != TargetStore {
			t.Error("the watcher does not try the store")
		}
		all[watcher].RecordStoreCall(t0, false)
	}
}
