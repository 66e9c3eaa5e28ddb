package replicas_test

import (
	"testing"

	"github.com/marigoldlever/marigoldlever/replicas"
)

// drainingReplica returns the registration of a replica that is draining.
func drainingReplica(id string, started int64, revision uint64) replicas.Replica {
	r := startedReplica(id, started, revision)
	r.Draining = true
	return r
}

// Guards against dropping replicas that the first list of a new era lacks, and against keeping
// them for ever.
func TestReplicasMissingInNewEraAreKept(t *testing.T) {
	for name, step := range map[string]func(r *replicas.Registry){
		"list":       func(r *replicas.Registry) { r.Replace(at(1000), []replicas.Replica{startedReplica("b", 8, 1)}) },
		"difference": func(r *replicas.Registry) { r.Remove(at(1000), "a") },
	} {
		r, _ := newStartedRegistry()
		r.BeginEra(at(1000))
		step(r)
		r.EndStep()
		if c, ok := r.GetUsable(at(4000), "a"); !ok || !c.Lapsed {
			t.Errorf("%s: candidate is %+v, %v, want a lapsed one", name, c, ok)
		}
		if expired := r.Expire(at(5900)); len(expired) != 0 {
			t.Errorf("%s: %v expired within the grace period", name, expired)
		}
		r.Put(at(5950), startedReplica("a", 7, 1)) // at a revision that was given out before
		r.Expire(at(7000))
		if c, ok := r.GetUsable(at(7000), "a"); !ok || c.Lapsed {
			t.Errorf("%s: candidate is %+v, %v, want one that has registered again", name, c, ok)
		}
		r.BeginEra(at(8000))
		step(r)
		r.EndStep()
		if expired := r.Expire(at(13100)); len(expired) != 1 || usable(r, at(13100)) != 1 {
			t.Errorf("%s: %v expired after the grace period, want a", name, expired)
		}
	}
}

// Guards against changes of the new era that are ignored because the earlier era had reached a
// later revision.
func TestRevisionsBeginAnewWithEra(t *testing.T) {
	r, _ := newStartedRegistry()
	r.Put(at(0), startedReplica("a", 7, 90))
	r.BeginEra(at(1000))
	r.Replace(at(1000), []replicas.Replica{startedReplica("a", 7, 40), startedReplica("b", 8, 1)})
	r.EndStep()
	r.Put(at(1100), drainingReplica("a", 7, 41))
	if n := usable(r, at(1100)); n != 1 {
		t.Errorf("%d replicas are usable, want 1: a is draining", n)
	}
}

// Guards against work for a replica that had said that it is draining, because an older entry of
// the same run says that it is ready, and against keeping its next run out of use.
func TestDrainingOutlastsEra(t *testing.T) {
	r, _ := newStartedRegistry()
	r.Put(at(0), drainingReplica("a", 7, 90))
	for era := range 2 {
		r.BeginEra(at(1000 * (era + 1)))
		r.Replace(at(1000*(era+1)), []replicas.Replica{startedReplica("a", 7, 40), startedReplica("b", 8, 1)})
		r.EndStep()
		r.Put(at(1000*(era+1)+100), startedReplica("a", 7, 41)) // a heartbeat that was on its way
		if n := usable(r, at(60000)); n != 1 {
			t.Errorf("%d replicas are usable, want 1: a is draining", n)
		}
	}
	r.Put(at(3000), startedReplica("a", 99, 42))
	if n := usable(r, at(3000)); n != 2 {
		t.Errorf("%d replicas are usable after the restart of a, want 2", n)
	}
}

// Guards against work for a replica that had gone, because an older copy still lists it, and
// against keeping it out of use if it is there.
func TestReplicaThatHadGoneReturnsWithOlderCopy(t *testing.T) {
	list := []replicas.Replica{startedReplica("a", 7, 1), startedReplica("b", 8, 1)}
	newEra := func() *replicas.Registry {
		r, _ := newStartedRegistry()
		r.Remove(at(500), "a")
		r.BeginEra(at(1000))
		r.Replace(at(1000), list)
		r.EndStep()
		if n := usable(r, at(1000)); n != 1 {
			t.Errorf("%d replicas are usable, want 1: a had gone", n)
		}
		return r
	}
	r := newEra()
	r.Replace(at(2000), list) // the history was lost
	r.Expire(at(3000))
	if n := usable(r, at(3000)); n != 1 {
		t.Errorf("%d replicas are usable after another list, want 1", n)
	}
	r.Expire(at(12000))
	if n := usable(r, at(12000)); n != 2 {
		t.Errorf("%d replicas are usable after the grace period, want 2: a's entry was not removed", n)
	}
	r = newEra()
	r.Put(at(2000), startedReplica("a", 7, 2))
	if n := usable(r, at(2000)); n != 2 {
		t.Errorf("%d replicas are usable after a has written its entry, want 2", n)
	}
}

// Guards against the entry of an earlier run in the place of the present one.
func TestEarlierRunReturnsWithOlderCopy(t *testing.T) {
	r, earlier := newStartedRegistry()
	r.Put(at(100), startedReplica("a", 99, 20))
	r.BeginEra(at(1000))
	r.Replace(at(1000), []replicas.Replica{startedReplica("a", earlier.Started, 1), startedReplica("b", 8, 1)})
	r.EndStep()
	if c, ok := r.GetUsable(at(1000), "a"); !ok || c.Started != 99 || !c.Lapsed {
		t.Errorf("candidate is %+v, %v, want the present run as a lapsed one", c, ok)
	}
	r.Put(at(2000), startedReplica("a", 99, 5))
	if c, ok := r.GetUsable(at(60000), "a"); !ok || c.Lapsed {
		t.Errorf("candidate is %+v, %v, want the present run", c, ok)
	}
}

// Guards against a run that had gone and gets work again because the store is restored a second
// time while its older entry is still listed.
func TestRunThatHadGoneStaysOutAfterTwoRestores(t *testing.T) {
	r, _ := newStartedRegistry()
	r.Remove(at(100), "a")
	r.Expire(at(200))
	listed := []replicas.Replica{startedReplica("a", 7, 30), startedReplica("b", 8, 31)}
	for era := range 2 {
		now := at(1000 * (era + 1))
		r.BeginEra(now)
		r.Replace(now, listed)
		r.EndStep()
		if n := usable(r, now); n != 1 {
			t.Errorf("era %d: %d replicas are usable, want 1: a had gone", era, n)
		}
	}
	r.Put(at(2500), startedReplica("a", 7, 40))
	if n := usable(r, at(2500)); n != 2 {
		t.Errorf("%d replicas are usable after a has written its entry, want 2", n)
	}
}
