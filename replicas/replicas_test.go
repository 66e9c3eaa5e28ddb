package replicas_test

import (
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/replicas"
)

const returnTime = 2 * time.Second

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func replica(id string) replicas.Replica {
	return replicas.Replica{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", Revision: 1}
}

// known returns a registry with two replicas whose store has long been available.
func known() *replicas.Registry {
	r := replicas.New(returnTime)
	r.SetAvailable(at(-60000), true)
	r.Put(at(0), replica("a"))
	r.Put(at(0), replica("b"))
	return r
}

func usable(r *replicas.Registry, now time.Time) int { return len(r.Usable(now, "s", nil)) }

// Guards against work for a replica whose entry is gone while the store is well.
func TestRemovedReplicaIsGone(t *testing.T) {
	r := known()
	r.Remove(at(10), "a")
	if n := usable(r, at(10)); n != 1 {
		t.Errorf("%d replicas are usable, want 1", n)
	}
}

// Guards against replicas that are dropped because their entries lapsed while the
// store was away, and against lapsed entries that are kept for ever.
func TestLapsedEntriesAreKeptUntilTheStoreHasSettled(t *testing.T) {
	r := known()
	r.SetAvailable(at(1000), false)
	r.SetAvailable(at(5000), true)
	r.Replace(at(5000), []replicas.Replica{replica("b")})
	if n := usable(r, at(5100)); n != 2 {
		t.Errorf("%d replicas are usable just after the return, want 2", n)
	}
	if c, ok := r.GetUsable(at(5100), "a"); !ok || !c.Lapsed {
		t.Errorf("candidate is %+v, %v, want a lapsed one", c, ok)
	}
	if gone := r.Expire(at(6900)); len(gone) != 0 {
		t.Errorf("%v expired before the store had settled", gone)
	}
	if gone := r.Expire(at(7100)); len(gone) != 1 || gone[0] != "a" || usable(r, at(7100)) != 1 {
		t.Errorf("%v expired, want a", gone)
	}
}

// Guards against a live replica that is dropped although it registered again.
func TestEntryThatComesBackIsKept(t *testing.T) {
	r := known()
	r.SetAvailable(at(1000), false)
	r.Remove(at(1100), "a")
	r.SetAvailable(at(2000), true)
	back := replica("a")
	back.Revision = 9
	r.Put(at(2500), back)
	r.Expire(at(9000))
	if c, ok := r.GetUsable(at(9000), "a"); !ok || c.Lapsed {
		t.Errorf("candidate is %+v, %v, want a registered one", c, ok)
	}
}

// Guards against a draining replica that is used because its removal came during
// an outage.
func TestDrainingReplicaIsNotKept(t *testing.T) {
	r := known()
	draining := replica("a")
	draining.Draining, draining.Revision = true, 5
	r.Put(at(10), draining)
	r.SetAvailable(at(20), false)
	r.Remove(at(30), "a")
	if r.Len() != 1 || usable(r, at(30)) != 1 {
		t.Errorf("%d entries, %d usable, want 1 and 1", r.Len(), usable(r, at(30)))
	}
}

// Guards against an older copy of an entry that replaces a newer one: a list may
// be read while the watch goes on.
func TestOlderRevisionIsIgnored(t *testing.T) {
	r := known()
	draining := replica("a")
	draining.Draining, draining.Revision = true, 5
	r.Put(at(10), draining)
	r.Put(at(20), replica("a"))
	if n := usable(r, at(20)); n != 1 {
		t.Errorf("%d replicas are usable, want 1: a drains", n)
	}
}

// Guards against what was learnt of one run of a replica being held against the
// next, which may have the same id.
func TestNewRunKnowsNothingOfTheLast(t *testing.T) {
	r := known()
	r.MarkMoved(replicas.Incarnation{ID: "a", Address: "10.0.0.1:80"})
	if n := usable(r, at(10)); n != 1 {
		t.Errorf("%d replicas are usable, want 1", n)
	}
	again := replica("a")
	again.Started, again.Revision = 77, 3
	r.Put(at(20), again)
	r.MarkMoved(replicas.Incarnation{ID: "a", Address: "10.0.0.1:80"}) // a late word of the last run
	if n := usable(r, at(20)); n != 2 {
		t.Errorf("%d replicas are usable after the restart, want 2", n)
	}
}

// Guards against a cold replica that is taken for warm because its own word is
// shorter than its registration.
func TestColdTimeIsOnlyRaised(t *testing.T) {
	r := known()
	cold := replica("a")
	cold.Cold, cold.Revision = 3*time.Second, 2
	r.Put(at(0), cold)
	run := cold.Incarnation()
	r.Cold(at(100), run, 100*time.Millisecond)
	if c, _ := r.GetUsable(at(1000), "a"); !c.ColdNow {
		t.Error("the replica is taken for warm")
	}
	r.Cold(at(1000), run, 5*time.Second)
	if c, _ := r.GetUsable(at(5500), "a"); !c.ColdNow {
		t.Error("the replica said that it turned cold again")
	}
	if c, _ := r.GetUsable(at(6100), "a"); c.ColdNow {
		t.Error("the replica is taken for cold for ever")
	}
}

// Guards against work in a data centre that was taken out, and for a replica that
// moved to another service.
func TestOutAndMovedService(t *testing.T) {
	r := known()
	r.SetDataCentresOut(map[string]bool{"dc": true})
	if n := usable(r, at(0)); n != 0 {
		t.Errorf("%d replicas are usable in a data centre that is out", n)
	}
	r.SetDataCentresOut(nil)
	other := replica("a")
	other.Service, other.Revision = "t", 4
	r.Put(at(10), other)
	if usable(r, at(10)) != 1 || len(r.Usable(at(10), "t", nil)) != 1 || r.Service("a") != "t" {
		t.Error("the replica is not listed under its new service alone")
	}
}
