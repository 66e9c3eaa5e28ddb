package watchers

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/follow"
)

const (
	// testHistoryBytes bounds the history in these tests; largeBytes is the size of a large
	// object.
	testHistoryBytes = 10 << 10
	largeBytes       = 1 << 10
)

func largeObject(name string, revision uint64) Object {
	return Object{Name: name, Revision: revision, Value: make(json.RawMessage, largeBytes)}
}

type response = follow.Response[json.RawMessage]

// at returns a position in a store that does not tell its era.
func at(revision uint64) follow.Position { return follow.Position{Revision: revision} }

func object(name string, revision uint64) Object {
	return Object{Name: name, Revision: revision, Value: json.RawMessage(fmt.Sprint(revision))}
}

// Guards against changes that are passed on twice, out of order or not at all to a host
// that knows an earlier revision.
func TestListReturnsChangesAfterRevision(t *testing.T) {
	l := newList(testHistoryBytes)
	l.recordCall(t0, true)
	l.replace(response{Revision: 10})
	l.apply(response{Items: []Object{object("c", 12)}, Revision: 12}, l.position, false)
	l.apply(response{Revision: 14}, l.position, false)
	l.apply(response{Items: []Object{{Name: "a", Revision: 15, Removed: true}, object("b", 16)}, Revision: 16}, l.position, false)
	for from, want := range map[uint64]string{10: "c12 a15 b16", 11: "c12 a15 b16", 12: "a15 b16", 14: "a15 b16", 16: "", 20: ""} {
		s, err := l.changesAfter(t0, at(from), time.Second)
		got := ""
		for i, o := range s.response.Items {
			if i > 0 {
				got += " "
			}
			got += fmt.Sprint(o.Name, o.Revision)
		}
		if err != nil || got != want || s.hasChanges != (want != "") || s.response.Revision != 16 {
			t.Errorf("from %d: %q of revision %d, %v, want %q", from, got, s.response.Revision, err, want)
		}
	}
	if _, err := l.changesAfter(t0, at(9), time.Second); !errors.Is(err, errRevisionTooOld) {
		t.Errorf("changes before the first revision: %v, want errRevisionTooOld", err)
	}
}

// Guards against a history that grows with each version of an object, as the process did
// until it was killed for its memory: only the last one is kept.
func TestHistoryKeepsOneVersionOfAnObject(t *testing.T) {
	l := newList(testHistoryBytes)
	l.recordCall(t0, true)
	l.replace(response{Revision: 0})
	const versions = 1000
	for i := range uint64(versions) {
		l.apply(response{Items: []Object{largeObject("a", i+1), object("b", i+1)}, Revision: i + 1}, l.position, false)
	}
	if n := l.history.changes.Len(); n != 2 || l.history.bytes > 2*changeOverhead+largeBytes+100 {
		t.Errorf("%d changes of %d bytes are kept, want the last one of each object", n, l.history.bytes)
	}
	for _, from := range []uint64{0, versions / 2, versions - 1} {
		s, err := l.changesAfter(t0, at(from), time.Second)
		if err != nil || len(s.response.Items) != 2 || s.response.Items[0].Revision != versions {
			t.Errorf("from %d: %d changes, %v", from, len(s.response.Items), err)
		}
	}
}

// Guards against a history that grows without limit, or has a gap after the oldest
// changes are dropped.
func TestHistoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newList(testHistoryBytes)
		l.recordCall(t0, true)
		l.replace(response{Revision: 0})
		states := []hostState{{}} // by revision
		for i := range uint64(rapid.IntRange(1, 60).Draw(t, "changes")) {
			o := largeObject(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "object")), i+1)
			o.Removed = rapid.IntRange(0, 3).Draw(t, "removed") == 0
			l.apply(response{Items: []Object{o}, Revision: i + 1}, l.position, false)
			state := maps.Clone(states[i])
			state.apply([]Object{o})
			states = append(states, state)
			if l.history.bytes > testHistoryBytes {
				t.Fatalf("%d bytes are kept", l.history.bytes)
			}
		}
		for from, state := range states {
			s, err := l.changesAfter(t0, at(uint64(from)), time.Second)
			if errors.Is(err, errRevisionTooOld) && uint64(from) < l.history.oldest {
				continue
			}
			if state.apply(s.response.Items); err != nil || !maps.Equal(state, states[len(states)-1]) {
				t.Fatalf("from %d: the host knows %v, %v, want %v", from, state, err, states[len(states)-1])
			}
		}
		if _, err := l.changesAfter(t0, at(l.position.Revision-1), time.Second); err != nil {
			t.Errorf("the last change is not kept: %v", err)
		}
	})
}

// Guards against a watcher whose own copy grows stale and that keeps other hosts
// waiting or answers them, and against one that passes on lists without an answer from
// the store.
func TestStaleListIsNotPassedOn(t *testing.T) {
	l := newList(testHistoryBytes)
	l.replace(response{Revision: 1})
	if _, err := l.changesAfter(time.Now(), at(1), time.Second); !errors.Is(err, errStale) {
		t.Errorf("list without an answer from the store: %v, want errStale", err)
	}
	l.recordCall(time.Now(), true)
	start := time.Now()
	const maxAge = 100 * time.Millisecond
	if _, err := l.waitForChanges(context.Background(), at(1), maxAge, 10*time.Second); !errors.Is(err, errStale) {
		t.Errorf("waiting with a stale copy: %v, want errStale", err)
	}
	if took := time.Since(start); took < maxAge || took > 5*time.Second {
		t.Errorf("waited %v", took)
	}
}

// Guards against a watcher that has just started and sends its callers to the store,
// and against callers that hang if the watcher never reads its list.
func TestCallersWaitForTheFirstList(t *testing.T) {
	l := newList(testHistoryBytes)
	time.AfterFunc(50*time.Millisecond, func() {
		l.recordCall(time.Now(), true)
		l.replace(response{Revision: 1})
	})
	if s, err := l.waitForChanges(context.Background(), at(0), time.Second, time.Second); !errors.Is(err, errRevisionTooOld) || !s.listed {
		t.Errorf("answer is %+v, %v", s.response, err)
	}
	if _, err := newList(testHistoryBytes).waitForChanges(context.Background(), at(0), time.Second, time.Second); !errors.Is(err, errStale) {
		t.Errorf("without a list: %v, want errStale", err)
	}
}

// Guards against outages of the store that a watcher does not report to its callers.
func TestOutageIsReported(t *testing.T) {
	l := newList(testHistoryBytes)
	l.replace(response{Revision: 1})
	l.recordCall(t0, true)
	if s, _ := l.changesAfter(t0, at(1), time.Minute); s.recovered >= 0 {
		t.Errorf("recovered %v ago without an outage", s.recovered)
	}
	l.recordCall(t0.Add(time.Second), false)
	l.recordCall(t0.Add(3*time.Second), true)
	l.recordCall(t0.Add(4*time.Second), true)
	if s, _ := l.changesAfter(t0.Add(5*time.Second), at(1), time.Minute); s.recovered != 2*time.Second || s.age != time.Second {
		t.Errorf("recovered %v ago, age %v, want 2 s and 1 s", s.recovered, s.age)
	}
}

// hostState is what a host knows of a list: the revisions of its objects.
type hostState map[string]uint64

func (h hostState) apply(items []Object) {
	for _, o := range items {
		if o.Removed {
			delete(h, o.Name)
		} else {
			h[o.Name] = o.Revision
		}
	}
}

// Guards against hosts that have to read a whole list because their watcher read one, and
// against a difference that does not lead to the list.
func TestWholeListIsPassedOnAsDifference(t *testing.T) {
	l := newList(testHistoryBytes)
	l.recordCall(t0, true)
	l.replace(response{Items: []Object{object("a", 3), object("b", 4), object("c", 5)}, Revision: 10})
	l.apply(response{Items: []Object{object("d", 12)}, Revision: 12}, at(10), false)
	l.replace(response{Items: []Object{object("b", 4), object("c", 15), object("e", 16)}, Revision: 20})
	l.apply(response{Items: []Object{object("f", 21)}, Revision: 21}, at(20), false)
	want := hostState{"b": 4, "c": 15, "e": 16, "f": 21}
	for from, known := range map[uint64]hostState{
		10: {"a": 3, "b": 4, "c": 5}, 12: {"a": 3, "b": 4, "c": 5, "d": 12}, 20: {"b": 4, "c": 15, "e": 16},
	} {
		s, err := l.changesAfter(t0, at(from), time.Second)
		if err != nil || s.response.Revision != 21 || s.collapsed != (from < 20) {
			t.Fatalf("from %d: %+v, %v", from, s, err)
		}
		known.apply(s.response.Items)
		if !maps.Equal(known, want) {
			t.Errorf("from %d: the host knows %v, want %v", from, known, want)
		}
	}
}

// Guards against a difference for a host that knows more than its watcher did before it
// read the list: an object that came and went in between would stay known.
func TestDifferenceIsRefusedInBetween(t *testing.T) {
	for _, items := range [][]Object{{object("a", 3)}, {object("a", 3), object("c", 18)}} {
		l := newList(testHistoryBytes)
		l.recordCall(t0, true)
		l.replace(response{Items: []Object{object("a", 3)}, Revision: 10})
		l.replace(response{Items: items, Revision: 20})
		for _, from := range []uint64{11, 15, 19} {
			if s, err := l.changesAfter(t0, at(from), time.Second); !errors.Is(err, errRevisionTooOld) {
				t.Errorf("from %d: %+v, %v, want errRevisionTooOld", from, s, err)
			}
		}
		// A host that got the difference and now serves others must refuse them as well.
		other := newList(testHistoryBytes)
		other.recordCall(t0, true)
		other.replace(response{Items: []Object{object("a", 3)}, Revision: 10})
		s, err := l.changesAfter(t0, at(10), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		other.apply(s.response, at(10), s.collapsed)
		if s, err := other.changesAfter(t0, at(15), time.Second); !errors.Is(err, errRevisionTooOld) {
			t.Errorf("a host that got the difference answers %+v, %v, want errRevisionTooOld", s, err)
		}
	}
}

// Guards against a list that is older than the copy and is passed on as a difference.
func TestOlderListEndsHistory(t *testing.T) {
	l := newList(testHistoryBytes)
	l.recordCall(t0, true)
	l.replace(response{Items: []Object{object("a", 3)}, Revision: 10})
	l.replace(response{Items: []Object{object("b", 2)}, Revision: 8})
	if _, err := l.changesAfter(t0, at(7), time.Second); !errors.Is(err, errRevisionTooOld) {
		t.Errorf("error is %v, want errRevisionTooOld", err)
	}
	if s, err := l.changesAfter(t0, at(8), time.Second); err != nil || s.hasChanges {
		t.Errorf("state is %+v, %v, want no changes", s, err)
	}
}

// Guards against names of objects that grow with changes alone. Once they are too many they are
// forgotten, and hosts that know an earlier revision read the store.
func TestKnownObjectsAreBounded(t *testing.T) {
	l := newList(testHistoryBytes)
	l.recordCall(t0, true)
	l.replace(response{Revision: 1})
	for revision := uint64(2); revision < 1000; revision++ {
		l.apply(response{Items: []Object{object(fmt.Sprint("o-", revision), revision)}, Revision: revision}, l.position, false)
		if bytes := len(l.known) * knownOverhead; bytes > testHistoryBytes {
			t.Fatalf("at revision %d, %d names are kept", revision, len(l.known))
		}
	}
	l.replace(response{Revision: 2000})
	if _, err := l.changesAfter(t0, at(999), time.Second); !errors.Is(err, errRevisionTooOld) {
		t.Errorf("changes across a list whose difference is not known: %v, want errRevisionTooOld", err)
	}
	l.apply(response{Items: []Object{object("a", 2001)}, Revision: 2001}, l.position, false)
	l.replace(response{Items: []Object{object("b", 2002)}, Revision: 2002})
	s, err := l.changesAfter(t0, at(2001), time.Second)
	if err != nil || len(s.response.Items) != 2 {
		t.Errorf("changes across the next list: %v, %v, want that a is gone and b is there", s.response.Items, err)
	}
}
