package watchers

import (
	"fmt"
	"testing"
	"time"
)

var t0 = time.Unix(1_700_000_000, 0)

func testHosts(dataCentres, each int) []Host {
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

// Guards against hosts of a data centre that disagree on their watchers, call a host
// that is not a watcher or is in another data centre, and against a watcher that serves
// too many hosts.
func TestOnlyWatchersReadFromTheStore(t *testing.T) {
	for each, want := range map[int]int{20: 1, 40: 1, 41: 2, 100: 3} {
		hosts := testHosts(3, each)
		all := choosers(hosts)
		asking, served := map[string]int{}, map[string]int{}
		for _, h := range hosts {
			w, target := all[h.ID].Next(t0)
			switch target {
			case TargetStore:
				asking[h.DataCentre]++
			case TargetWatcher:
				served[w.ID]++
				if _, watcherTarget := all[w.ID].Next(t0); w.DataCentre != h.DataCentre || watcherTarget != TargetStore {
					t.Errorf("%s chose watcher %+v, whose target is %d", h.ID, w, watcherTarget)
				}
			default:
				t.Errorf("%s has no target", h.ID)
			}
		}
		for d, n := range asking {
			if n != want {
				t.Errorf("%d of %d hosts of %s read from the store, want %d", n, each, d, want)
			}
		}
		for id, n := range served {
			if n > 3*maxHostsPerWatcher/2 {
				t.Errorf("%s serves %d of %d hosts", id, n, each)
			}
		}
	}
}

// Guards against hosts of small tiers, or hosts without an address, that wait for
// watchers.
func TestHostsWithoutWatchersReadFromTheStore(t *testing.T) {
	for _, h := range testHosts(3, minRelayHosts-1) {
		if _, target := choosers(testHosts(3, minRelayHosts-1))[h.ID].Next(t0); target != TargetStore {
			t.Errorf("%s of a small data centre has target %d", h.ID, target)
		}
	}
	c := NewChooser(Host{ID: "x", DataCentre: "dc0"})
	if _, target := c.Next(t0); target != TargetStore {
		t.Errorf("a host that knows no other has target %d", target)
	}
	c.SetHosts(testHosts(1, 20))
	if _, target := c.Next(t0); target != TargetStore {
		t.Errorf("a host without an address has target %d", target)
	}
}

// Guards against a data centre left without a watcher when one has stopped: all hosts,
// the next in rank included, must agree that the next in rank replaces it.
func TestNextInRankReplacesUnreachableWatcher(t *testing.T) {
	hosts := testHosts(1, 10)
	all := choosers(hosts)
	stopped := all["dc0-0"].ranked[0].ID
	successor := all["dc0-0"].ranked[1].ID
	for id, c := range all {
		if id == stopped {
			continue
		}
		if !c.MarkUnreachable(t0, stopped) || c.MarkUnreachable(t0, stopped) {
			t.Fatal("MarkUnreachable must report a change exactly once")
		}
		w, target := c.Next(t0)
		if id == successor && target != TargetStore || id != successor && w.ID != successor {
			t.Errorf("%s chose %s (target %d) after %s stopped, want %s", id, w.ID, target, stopped, successor)
		}
		if w, _ := c.Next(t0.Add(initialUnreachableTime)); id != stopped && w.ID != stopped {
			t.Errorf("%s does not retry %s", id, stopped)
		}
	}
	c := all[all["dc0-0"].ranked[5].ID]
	for range 10 {
		at := c.unreachable[stopped].until
		c.MarkUnreachable(at, stopped)
		if next := c.unreachable[stopped].until.Sub(at); next > maxUnreachableTime {
			t.Fatalf("an unreachable watcher is skipped for %v", next)
		}
	}
}

// Guards against hosts that all call an unavailable store as often as the watchers do,
// and against a host that never calls it: the store may answer this host although it
// does not answer the host's watcher.
func TestUnavailableStoreIsCalledRarely(t *testing.T) {
	all := choosers(testHosts(1, 10))
	id := all["dc0-0"].ranked[3].ID
	c, watcher := all[id], all[id].ranked[0].ID
	c.MarkStale(t0, watcher)
	if _, target := c.Next(t0); target != TargetStore {
		t.Errorf("target is %d while the watcher is stale, want the store", target)
	}
	c.RecordStoreCall(t0, false)
	if _, target := c.Next(t0); target != TargetNone {
		t.Errorf("target is %d right after the store failed, want none", target)
	}
	if w, _ := c.Next(t0.Add(staleTime)); w.ID != watcher {
		t.Error("the watcher is not called again")
	}
	c.MarkStale(t0.Add(storeRetryDelay), watcher)
	if _, target := c.Next(t0.Add(storeRetryDelay)); target != TargetStore {
		t.Errorf("target is %d after the retry delay, want the store", target)
	}
	c.RecordStoreCall(t0, true)
	if _, target := c.Next(t0.Add(storeRetryDelay)); target != TargetStore {
		t.Errorf("target is %d after the store answered, want the store", target)
	}
	for range 3 {
		if _, target := all[watcher].Next(t0); target != TargetStore {
			t.Error("the watcher does not call the store")
		}
		all[watcher].RecordStoreCall(t0, false)
	}
}
