package replicas_test

import (
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/replicas"
)

const lapsedGrace = 2 * time.Second

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func replica(id string) replicas.Replica {
	return replicas.Replica{ID: id, Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", Revision: 1}
}

// newRegistry returns a registry with two replicas whose store has long been available.
func newRegistry() *replicas.Registry {
	r := replicas.New(lapsedGrace)
	r.SetAvailable(at(-60000), true)
	r.Put(at(0), replica("a"))
	r.Put(at(0), replica("b"))
	return r
}

func usable(r *replicas.Registry, now time.Time) int { return len(r.Usable(now, "s", nil)) }

// Guards against work for a replica whose entry was removed while the store is
// available.
func TestRemovedReplicaIsNotUsable(t *testing.T) {
	r := newRegistry()
	r.Remove(at(10), "a")
	if n := usable(r, at(10)); n != 1 {
		t.Errorf("%d replicas are usable, want 1", n)
	}
}

// Guards against dropping replicas because their entries lapsed during a store outage,
// and against keeping lapsed entries for ever.
func TestLapsedEntriesAreKeptDuringGracePeriod(t *testing.T) {
	r := newRegistry()
	r.SetAvailable(at(1000), false)
	r.SetAvailable(at(5000), true)
	r.Replace(at(5000), []replicas.Replica{replica("b")})
	if n := usable(r, at(5100)); n != 2 {
		t.Errorf("%d replicas are usable just after the store is available again, want 2", n)
	}
	if c, ok := r.GetUsable(at(5100), "a"); !ok || !c.Lapsed {
		t.Errorf("candidate is %+v, %v, want a lapsed one", c, ok)
	}
	if expired := r.Expire(at(6900)); len(expired) != 0 {
		t.Errorf("%v expired within the grace period, want none", expired)
	}
	if expired := r.Expire(at(7100)); len(expired) != 1 || expired[0] != "a" || usable(r, at(7100)) != 1 {
		t.Errorf("%v expired after the grace period, want a", expired)
	}
}

// Guards against dropping a live replica that has registered again.
func TestReregisteredReplicaIsKept(t *testing.T) {
	r := newRegistry()
	r.SetAvailable(at(1000), false)
	r.Remove(at(1100), "a")
	r.SetAvailable(at(2000), true)
	registered := replica("a")
	registered.Revision = 9
	r.Put(at(2500), registered)
	r.Expire(at(9000))
	if c, ok := r.GetUsable(at(9000), "a"); !ok || c.Lapsed {
		t.Errorf("candidate is %+v, %v, want a registered one", c, ok)
	}
}

// Guards against using a draining replica because its entry was removed during an
// outage.
func TestDrainingReplicaIsRemovedDuringOutage(t *testing.T) {
	r := newRegistry()
	draining := replica("a")
	draining.Draining, draining.Revision = true, 5
	r.Put(at(10), draining)
	r.SetAvailable(at(20), false)
	r.Remove(at(30), "a")
	if r.Len() != 1 || usable(r, at(30)) != 1 {
		t.Errorf("%d entries, %d usable, want 1 and 1", r.Len(), usable(r, at(30)))
	}
}

// Guards against replacing an entry by an older revision of it: a list may be read
// while a watch is in progress.
func TestOlderRevisionIsIgnored(t *testing.T) {
	r := newRegistry()
	draining := replica("a")
	draining.Draining, draining.Revision = true, 5
	r.Put(at(10), draining)
	r.Put(at(20), replica("a"))
	if n := usable(r, at(20)); n != 1 {
		t.Errorf("%d replicas are usable, want 1: a is draining", n)
	}
}

// Guards against applying what was learnt about one run of a replica to the next run,
// which may have the same id.
func TestMovedMarkEndsWithRestart(t *testing.T) {
	r := newRegistry()
	r.MarkMoved(replicas.Incarnation{ID: "a", Address: "10.0.0.1:80"})
	if n := usable(r, at(10)); n != 1 {
		t.Errorf("%d replicas are usable, want 1", n)
	}
	restarted := replica("a")
	restarted.Started, restarted.Revision = 77, 3
	r.Put(at(20), restarted)
	r.MarkMoved(replicas.Incarnation{ID: "a", Address: "10.0.0.1:80"}) // a late report about the earlier run
	if n := usable(r, at(20)); n != 2 {
		t.Errorf("%d replicas are usable after the restart, want 2", n)
	}
}

// Guards against treating a cold replica as warm because it reports a shorter time than
// its registration.
func TestColdTimeIsOnlyExtended(t *testing.T) {
	r := newRegistry()
	cold := replica("a")
	cold.Cold, cold.Revision = 3*time.Second, 2
	r.Put(at(0), cold)
	run := cold.Incarnation()
	r.Cold(at(100), run, 100*time.Millisecond)
	if c, _ := r.GetUsable(at(1000), "a"); !c.ColdNow {
		t.Error("the replica counts as warm after a shorter report")
	}
	r.Cold(at(1000), run, 5*time.Second)
	if c, _ := r.GetUsable(at(5500), "a"); !c.ColdNow {
		t.Error("the replica counts as warm after a longer report")
	}
	if c, _ := r.GetUsable(at(6100), "a"); c.ColdNow {
		t.Error("the replica still counts as cold after its cold time")
	}
}

// Guards against work for replicas in a data centre that is out, and against listing a
// replica under its former service.
func TestDataCentreOutAndServiceChange(t *testing.T) {
	r := newRegistry()
	r.SetDataCentresOut(map[string]bool{"dc": true})
	if n := usable(r, at(0)); n != 0 {
		t.Errorf("%d replicas are usable in a data centre that is out", n)
	}
	r.SetDataCentresOut(nil)
	other := replica("a")
	other.Service, other.Revision = "t", 4
	r.Put(at(10), other)
	if usable(r, at(10)) != 1 || len(r.Usable(at(10), "t", nil)) != 1 || r.Service("a") != "t" {
		t.Error("the replica is not listed under its new service only")
	}
}
