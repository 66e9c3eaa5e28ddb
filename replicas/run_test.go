package replicas_test

import (
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/replicas"
)

// startedReplica returns a registration with a start time.
func startedReplica(id string, started int64, revision uint64) replicas.Replica {
	r := replica(id)
	r.Started, r.Revision = started, revision
	return r
}

// newStartedRegistry returns a registry with the replicas a and b, whose store has long
// been available, and the incarnation of a.
func newStartedRegistry() (*replicas.Registry, replicas.Incarnation) {
	r := replicas.New(lapsedGrace)
	r.SetAvailable(at(-60000), true)
	a := startedReplica("a", 7, 1)
	r.Put(at(0), a)
	r.Put(at(0), startedReplica("b", 8, 1))
	return r, a.Incarnation()
}

// Guards against new work for a replica that said in an answer that it is leaving, while
// the registry still or again lists it as ready.
func TestLeavingReplicaStaysUnusable(t *testing.T) {
	for name, event := range map[string]func(r *replicas.Registry){
		"nothing else": func(*replicas.Registry) {},
		"registration that still says ready": func(r *replicas.Registry) {
			r.Put(at(200), startedReplica("a", 7, 2))
		},
		"whole list": func(r *replicas.Registry) {
			r.Replace(at(200), []replicas.Replica{startedReplica("a", 7, 2), startedReplica("b", 8, 1)})
		},
		"removal and registration": func(r *replicas.Registry) {
			r.Remove(at(200), "a")
			r.Put(at(400), startedReplica("a", 7, 5))
		},
		"lapse in an outage and registration": func(r *replicas.Registry) {
			r.SetAvailable(at(150), false)
			r.Remove(at(200), "a")
			r.SetAvailable(at(300), true)
			r.Expire(at(9000))
			r.Put(at(9100), startedReplica("a", 7, 5))
		},
		"change of its service": func(r *replicas.Registry) {
			moved := startedReplica("a", 7, 5)
			moved.Service = "s2"
			r.Put(at(200), moved)
			r.Put(at(300), startedReplica("a", 7, 6))
		},
	} {
		r, a := newStartedRegistry()
		if !r.MarkLeaving(a) || r.MarkLeaving(a) {
			t.Errorf("%s: the first report is not the only news", name)
		}
		event(r)
		if _, ok := r.GetUsable(at(9500), "a"); ok || usable(r, at(9500)) != 1 {
			t.Errorf("%s: the replica that is leaving may get new work", name)
		}
		if r.Incarnations()[a] {
			t.Errorf("%s: connections to the replica are kept", name)
		}
	}
}

// Guards against keeping a replica out of use after it has started again under its id.
func TestRestartEndsLeavingAndPause(t *testing.T) {
	r, a := newStartedRegistry()
	r.MarkLeaving(a)
	r.Pause(at(0), a, time.Minute)
	r.Put(at(500), startedReplica("a", 99, 2))
	r.MarkLeaving(a) // a late reply of the earlier run
	r.Pause(at(600), a, time.Minute)
	if c, ok := r.GetUsable(at(600), "a"); !ok || c.Pause != 0 {
		t.Errorf("candidate is %+v, %v, want one that may get work now", c, ok)
	}
}

// Guards against a replica without a start time that is out of use for good: its next
// run can't be told from the one that left.
func TestReplicaWithoutStartTimeIsUsableAgain(t *testing.T) {
	r := newRegistry()
	r.MarkLeaving(replicas.Incarnation{ID: "a", Address: "10.0.0.1:80"})
	r.Put(at(10), replica("a"))
	if usable(r, at(10)) != 1 {
		t.Error("a registration alone made the replica usable")
	}
	r.Remove(at(20), "a")
	r.Put(at(9000), replica("a"))
	if usable(r, at(9000)) != 2 {
		t.Error("the replica is not usable after it was removed and registered again")
	}
}

// Guards against requests during a pause, against one that ends early, and against one
// without end.
func TestPause(t *testing.T) {
	r, a := newStartedRegistry()
	if !r.Pause(at(0), a, 2*time.Second) || r.Pause(at(500), a, time.Second) {
		t.Error("only the first report begins a pause")
	}
	for ms, want := range map[int]time.Duration{0: 2 * time.Second, 1900: 100 * time.Millisecond, 2000: 0} {
		if c, ok := r.GetUsable(at(ms), "a"); !ok || c.Pause != want {
			t.Errorf("after %d ms: candidate is %+v, %v, want a pause of %v", ms, c, ok, want)
		}
	}
	if !r.Pause(at(3000), a, 1000*time.Hour) {
		t.Error("a pause after the end of the last one is not reported as new")
	}
	if c, _ := r.GetUsable(at(3000), "a"); c.Pause > time.Hour {
		t.Errorf("the pause is %v", c.Pause)
	}
	if r.Pause(at(0), a, -time.Second) {
		t.Error("a negative pause counts")
	}
}

// Guards against remembering every run that ever was.
func TestRunsAreForgotten(t *testing.T) {
	r, a := newStartedRegistry()
	r.MarkLeaving(a)
	r.Remove(at(10), "a")
	r.Expire(at(1000 * 60 * 60))
	r.Put(at(1000*60*60), startedReplica("a", 7, 9))
	if usable(r, at(1000*60*60)) != 2 {
		t.Error("a run is still remembered an hour after its entry was removed")
	}
}
