package follow_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/follow"
)

var config = follow.Config{InitialBackoff: 10 * time.Millisecond, MaxBackoff: 80 * time.Millisecond}

var errDown = errors.New("store is down")

// Guards against a list that is read again after each failure, and against waits
// that grow without bound.
func TestFailuresKeepTheRevision(t *testing.T) {
	m := follow.NewMachine(config)
	m.CallSucceeded(m.Next(), 40, 30*time.Millisecond)
	for i, want := range []time.Duration{10, 20, 40, 80, 80} {
		lost := m.CallFailed(errDown)
		if lost != (i == 0) {
			t.Errorf("failure %d: lost is %v", i, lost)
		}
		if s := m.Next(); s.List || s.From != 40 || s.Delay != want*time.Millisecond {
			t.Errorf("after failure %d the next step is %+v, want a watch from 40 after %d ms", i, s, want)
		}
	}
	if !m.CallSucceeded(m.Next(), 41, 0) {
		t.Error("the return of the store is not reported")
	}
}

// Guards against changes that are lost when the store has dropped its history.
func TestLostHistoryListsAgain(t *testing.T) {
	m := follow.NewMachine(config)
	m.CallSucceeded(m.Next(), 40, 0)
	if m.CallFailed(errors.Wrap(follow.ErrCompacted, "watch")) {
		t.Error("lost history is reported as a lost store")
	}
	if s := m.Next(); !s.List || s.Delay != 0 {
		t.Errorf("next step is %+v, want a list at once", s)
	}
	// A list may be of an earlier revision than the watch had reached.
	m.CallSucceeded(m.Next(), 35, 0)
	if s := m.Next(); s.List || s.From != 35 {
		t.Errorf("next step is %+v, want a watch from 35", s)
	}
}

// Guards against a watch that goes back to changes that were seen, and against one
// call for each of many changes in quick succession.
func TestWatchGoesOnAndGathers(t *testing.T) {
	const pause = 30 * time.Millisecond
	m := follow.NewMachine(config)
	m.CallSucceeded(m.Next(), 40, 0)
	m.CallSucceeded(m.Next(), 38, pause)
	if s := m.Next(); s.From != 40 || s.Delay != pause {
		t.Errorf("next step is %+v, want from 40 after %v", s, pause)
	}
	m.CallSucceeded(m.Next(), 41, 0)
	if s := m.Next(); s.From != 41 || s.Delay != 0 {
		t.Errorf("next step is %+v, want from 41 at once", s)
	}
}

// script is a source whose calls return what was set up, one after the other.
type script struct {
	mu    sync.Mutex
	calls []func() (follow.Response[string], error)
	done  context.CancelFunc
}

func (s *script) next() (follow.Response[string], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.calls) == 0 {
		s.done()
		return follow.Response[string]{}, errDown
	}
	call := s.calls[0]
	s.calls = s.calls[1:]
	return call()
}

func (s *script) List(context.Context) (follow.Response[string], error)          { return s.next() }
func (s *script) Watch(context.Context, uint64) (follow.Response[string], error) { return s.next() }

// record notes what a sink was told.
type record struct{ told []string }

func (r *record) Replace(_ time.Time, items []follow.Item[string], _ uint64) {
	r.told = append(r.told, "replace "+items[0].Name)
}
func (r *record) Apply(_ time.Time, items []follow.Item[string], _ uint64) {
	r.told = append(r.told, "apply "+items[0].Name)
}
func (r *record) Available(time.Time)          { r.told = append(r.told, "reached") }
func (r *record) Unavailable(time.Time, error) { r.told = append(r.told, "lost") }
func (r *record) CallFailed(error)             {}

// Guards against a sink that learns of changes before it learns that the store is
// back: entries that lapsed meanwhile would be dropped.
func TestReachedComesBeforeChanges(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ok := func(name string) func() (follow.Response[string], error) {
		return func() (follow.Response[string], error) {
			return follow.Response[string]{Items: []follow.Item[string]{{Name: name}}, Revision: 1}, nil
		}
	}
	fail := func() (follow.Response[string], error) { return follow.Response[string]{}, errDown }
	sink := &record{}
	follow.Run(ctx, config, &script{calls: []func() (follow.Response[string], error){ok("a"), fail, fail, ok("b")}, done: cancel}, sink)
	want := []string{"reached", "replace a", "lost", "reached", "apply b", "lost"}
	for i, w := range want[:5] {
		if i >= len(sink.told) || sink.told[i] != w {
			t.Fatalf("the sink was told %v, want %v", sink.told, want)
		}
	}
}
