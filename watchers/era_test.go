package watchers

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/follow"
)

// inEra returns a position.
func inEra(era, revision uint64) follow.Position {
	return follow.Position{Era: era, Revision: revision}
}

// newEraList returns a list that was read at revision 20 of era 1, with a change at 30, and then
// at revision 25 of era 2.
func newEraList() *list {
	l := newList(testHistoryBytes)
	l.recordCall(t0, true)
	l.replace(response{Items: []Object{object("a", 3), object("b", 4), object("c", 5)}, Era: 1, Revision: 20})
	l.apply(response{Items: []Object{object("d", 30)}, Era: 1, Revision: 30}, inEra(1, 20), false)
	l.replace(response{Items: []Object{object("a", 3), object("c", 24)}, Era: 2, Revision: 25})
	return l
}

// Guards against hosts that all list the store in a new era although their watcher has done so,
// and against revisions of two eras that are compared.
func TestNewEraIsPassedOnAsDifference(t *testing.T) {
	l := newEraList()
	l.apply(response{Items: []Object{object("e", 26)}, Era: 2, Revision: 26}, inEra(2, 25), false)
	want := hostState{"a": 3, "c": 24, "e": 26}
	for from, known := range map[follow.Position]hostState{
		inEra(1, 20): {"a": 3, "b": 4, "c": 5}, inEra(1, 30): {"a": 3, "b": 4, "c": 5, "d": 30}, inEra(2, 25): {"a": 3, "c": 24},
	} {
		s, err := l.changesAfter(t0, from, time.Second)
		if err != nil || !s.hasChanges || s.response.Position() != inEra(2, 26) || s.collapsed != (from.Era == 1) {
			t.Fatalf("from %v: %+v, %v", from, s, err)
		}
		if known.apply(s.response.Items); !maps.Equal(known, want) {
			t.Errorf("from %v: the host knows %v, want %v", from, known, want)
		}
	}
}

// Guards against a difference for a host that knows more than its watcher did of the earlier era,
// or an era that its watcher has left long ago.
func TestNewEraIsRefusedToOthers(t *testing.T) {
	l := newEraList()
	for _, from := range []follow.Position{inEra(1, 19), inEra(1, 31), inEra(0, 25)} {
		if s, err := l.changesAfter(t0, from, time.Second); !errors.Is(err, errRevisionTooOld) {
			t.Errorf("from %v: %+v, %v, want errRevisionTooOld", from, s, err)
		}
	}
	l.replace(response{Items: []Object{object("a", 3)}, Era: 3, Revision: 20})
	if s, err := l.changesAfter(t0, inEra(1, 30), time.Second); !errors.Is(err, errRevisionTooOld) {
		t.Errorf("two eras later: %+v, %v, want errRevisionTooOld", s, err)
	}
	l.recordCall(t0, true)
	later := t0.Add(previousEraTime + time.Second)
	l.recordCall(later, true)
	if s, err := l.changesAfter(later, inEra(2, 25), time.Second); !errors.Is(err, errRevisionTooOld) {
		t.Errorf("long after the era: %+v, %v, want errRevisionTooOld", s, err)
	}
}

// Guards against a host that takes the history of an era that has ended from a watcher that has
// not noticed.
func TestWatcherOneEraBehindIsStale(t *testing.T) {
	l := newEraList()
	for _, from := range []follow.Position{inEra(3, 1), inEra(3, 25), inEra(3, 100)} {
		if s, err := l.changesAfter(t0, from, time.Second); !errors.Is(err, errStale) {
			t.Errorf("from %v: %+v, %v, want errStale", from, s, err)
		}
	}
}

// Guards against a change that is not passed on because its revision was given out again.
func TestSameRevisionWithOtherValueIsPassedOn(t *testing.T) {
	l := newList(testHistoryBytes)
	l.recordCall(t0, true)
	l.replace(response{Items: []Object{object("a", 20), object("b", 3)}, Era: 1, Revision: 20})
	other := Object{Name: "a", Revision: 20, Value: json.RawMessage(`"other"`)}
	l.replace(response{Items: []Object{other, object("b", 3)}, Era: 2, Revision: 20})
	s, err := l.changesAfter(t0, inEra(1, 20), time.Second)
	if err != nil || len(s.response.Items) != 1 || string(s.response.Items[0].Value) != `"other"` {
		t.Errorf("changes are %+v, %v, want the other value of a", s.response.Items, err)
	}
}

// eraStore is a store that can be restored from its earlier states. Each era has its own history.
type eraStore struct {
	era, revision uint64
	objects       map[string]Object
	history       []Object
	compacted     uint64
	copies        []eraCopy // of the present era's states
	values        uint64
}

type eraCopy struct {
	revision uint64
	objects  map[string]Object
	history  []Object
}

func (s *eraStore) change(name string, removed bool) {
	if _, ok := s.objects[name]; removed && !ok {
		return
	}
	s.copies = append(s.copies, eraCopy{s.revision, maps.Clone(s.objects), slices.Clone(s.history)})
	s.revision++
	s.values++
	o := Object{Name: name, Revision: s.revision, Removed: removed}
	delete(s.objects, name)
	if !removed {
		o.Value = json.RawMessage(fmt.Sprint(s.values))
		s.objects[name] = o
	}
	s.history = append(s.history, o)
}

// restore goes back by a number of changes.
func (s *eraStore) restore(changes int) {
	s.era++
	if n := len(s.copies) - changes; n >= 0 && n < len(s.copies) {
		c := s.copies[n]
		s.revision, s.objects, s.history = c.revision, maps.Clone(c.objects), slices.Clone(c.history)
		s.copies = s.copies[:n]
	}
	s.compacted = min(s.compacted, s.revision)
}

func (s *eraStore) list() response {
	return response{Items: slices.Collect(maps.Values(s.objects)), Era: s.era, Revision: s.revision}
}

func (s *eraStore) watch(from follow.Position) (response, error) {
	switch {
	case from.Era < s.era:
		return response{}, follow.ErrNewEra
	case from.Revision < s.compacted:
		return response{}, follow.ErrCompacted
	}
	r := response{Era: s.era, Revision: s.revision}
	for _, o := range s.history {
		if o.Revision > from.Revision {
			r.Items = append(r.Items, o)
		}
	}
	return r, nil
}

// eraHost is a host that follows the store, with the copy that its follower has.
type eraHost struct {
	machine *follow.Machine
	list    *list
	copied  map[string]Object
}

func (h *eraHost) take(step follow.Step, r response, collapsed bool) {
	if step.List {
		h.list.replace(r)
		clear(h.copied)
	} else {
		h.list.apply(r, step.From, collapsed)
	}
	for _, o := range r.Items {
		if delete(h.copied, o.Name); !o.Removed {
			h.copied[o.Name] = o
		}
	}
	h.machine.CallSucceeded(step, r.Position(), 0)
}

// callStore makes the host's next call to the store.
func (h *eraHost) callStore(s *eraStore) {
	step := h.machine.Next()
	r, err := s.list(), error(nil)
	if !step.List {
		r, err = s.watch(step.From)
	}
	if err != nil {
		h.machine.CallFailed(err)
		return
	}
	h.list.recordCall(t0, true)
	h.take(step, r, false)
}

// callHost makes the host's next call to another host, if it is one for changes.
func (h *eraHost) callHost(other *eraHost) {
	step := h.machine.Next()
	if step.List || h == other {
		return
	}
	if s, err := other.list.changesAfter(t0, step.From, time.Second); err == nil {
		h.take(step, s.response, s.collapsed)
	}
}

func (h *eraHost) check(t *rapid.T, s *eraStore) {
	equal := func(a, b Object) bool { return a.Revision == b.Revision && string(a.Value) == string(b.Value) }
	if !maps.EqualFunc(h.copied, s.objects, equal) {
		t.Fatalf("the copy is %v, the store has %v", h.copied, s.objects)
	}
}

// drawUniform draws a number below n. The numbers that rapid draws itself are mostly small.
func drawUniform(t *rapid.T, label string, n int) int {
	value := 0
	for range 8 {
		value <<= 1
		if rapid.Bool().Draw(t, label) {
			value++
		}
	}
	return value % n
}

// Guards against copies that differ from the store for good after any order of changes, restored
// copies, lost history, and calls to the store and between hosts.
func TestCopiesEqualTheStoreAfterAnyEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &eraStore{era: 1, revision: 1, objects: map[string]Object{}}
		hosts := make([]*eraHost, 3)
		for i := range hosts {
			hosts[i] = &eraHost{machine: follow.NewMachine(follow.Config{}), list: newList(testHistoryBytes), copied: map[string]Object{}}
		}
		host := func() *eraHost { return hosts[drawUniform(t, "host", len(hosts))] }
		step := func() {
			switch kind := drawUniform(t, "kind", 32); {
			case kind < 8:
				store.change(fmt.Sprint("o", drawUniform(t, "object", 3)), drawUniform(t, "removed", 4) == 0)
			case kind < 10:
				store.restore(drawUniform(t, "changes", 4))
			case kind < 11:
				store.compacted = store.revision
			case kind < 20:
				host().callStore(store)
			default:
				host().callHost(host())
			}
		}
		for range 10 {
			for range rapid.IntRange(20, 40).Draw(t, "steps") {
				step()
			}
			for _, h := range hosts {
				// Two calls may only tell the host that it has to list.
				for range 3 {
					h.callStore(store)
				}
				h.check(t, store)
			}
		}
	})
}

// restore makes all hosts see a store that was restored from its first objects, at a revision that
// they have passed.
func (s *storeStandIn) restore(kept int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.objects = s.objects[:kept]
	s.revision = uint64(kept + 1)
	s.compacted = 0
	close(s.changed)
	s.changed = make(chan struct{})
}

// Guards against 300 hosts that list at once in a new era: those behind a watcher wait for its
// difference, also in the second of two eras in a row.
func TestNewEraCostsHostsNoList(t *testing.T) {
	s, members := startHosts(t, 8)
	s.put(Object{Name: "kept"})
	s.put(Object{Name: "lost"})
	await(t, members, "lost")
	var lists []int
	for _, m := range members {
		lists = append(lists, m.hostStore.lists())
	}
	for i := range 2 {
		s.restore(1)
		name := fmt.Sprint("again-", i)
		s.put(Object{Name: name}) // at the revision of the lost object
		await(t, members, name)
	}
	if n := members[0].hostStore.lists() - lists[0]; n != 2 {
		t.Errorf("the watcher read %d lists, want one for each era", n)
	}
	for i, m := range members[1:] {
		if n := m.hostStore.lists() - lists[i+1]; n != 0 {
			t.Errorf("%s read %d lists; its events are %s", m.ID, n, m.eventLog())
		}
	}
}

// Guards against a host that takes a watcher's answers of the earlier era, from a watcher that is
// behind or that does not know of eras.
func TestWatcherOfEarlierEraIsNotUsed(t *testing.T) {
	s, sources := startThreeHosts(t)
	first, second := sources[0], sources[1]
	s.put(Object{Name: "lost"})
	if _, err := first.Watch(t.Context(), at(1)); err != nil {
		t.Fatal(err)
	}
	s.restore(0)
	a, err := second.List(t.Context())
	if err != nil || a.Era != 1 {
		t.Fatalf("list of era %d, %v", a.Era, err)
	}
	s.put(Object{Name: "again"})
	b, err := second.Watch(t.Context(), a.Position())
	if err != nil || b.Era != 1 || len(b.Items) != 1 || b.Items[0].Name != "again" {
		t.Errorf("the host got %+v, %v, want the change of the new era", b, err)
	}
	if second.store.(*hostStore).count() < 3 {
		t.Error("the host did not call the store")
	}
}

// Guards against a host that waits for ever for a watcher that can't read the list of the new era.
func TestHostListsIfItsWatcherDoesNot(t *testing.T) {
	s, sources := startThreeHosts(t)
	first, second := sources[0], sources[1]
	s.put(Object{Name: "lost"})
	for _, source := range sources[:2] {
		if _, err := source.Watch(t.Context(), at(1)); err != nil {
			t.Fatal(err)
		}
	}
	first.store.(*hostStore).setFailing()
	if _, err := first.Watch(t.Context(), at(2)); err == nil {
		t.Fatal("the store answered the watcher")
	}
	s.restore(0)
	waited := false
	for end := time.Now().Add(testTimeout); ; time.Sleep(50 * time.Millisecond) {
		_, err := second.Watch(t.Context(), at(2))
		if errors.Is(err, follow.ErrNewEra) {
			break
		}
		waited = waited || errors.Is(err, follow.ErrOldEra)
		if time.Now().After(end) {
			t.Fatalf("the host still waits: %v", err)
		}
	}
	if !waited {
		t.Error("the host did not wait for its watcher")
	}
}

// Guards against hosts of two builds that don't understand each other: without an era, messages
// are those of hosts that don't know of eras, and such messages are of era 0.
func TestMessagesWithoutEra(t *testing.T) {
	for want, message := range map[string]any{
		`{"list":"l","from":3}`:                   changesRequest{List: "l", From: 3},
		`{"revision":4,"regained_ms":-1}`:         changesReply{Revision: 4, RecoveredMS: -1},
		`{"list":"l","from":3,"era":2}`:           changesRequest{List: "l", From: 3, Era: 2},
		`{"revision":4,"era":2,"regained_ms":-1}`: changesReply{Revision: 4, Era: 2, RecoveredMS: -1},
	} {
		if got, err := json.Marshal(message); err != nil || string(got) != want {
			t.Errorf("the message is %s, %v, want %s", got, err, want)
		}
	}
}
