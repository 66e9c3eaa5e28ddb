package follow_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/follow"
)

var config = follow.Config{InitialBackoff: 10 * time.Millisecond, MaxBackoff: 80 * time.Millisecond}

// at returns a position in a store that does not tell its era.
func at(revision uint64) follow.Position { return follow.Position{Revision: revision} }

var errUnavailable = errors.New("store is unavailable")

// Guards against reading the list again after each failure, and against unlimited
// backoff.
func TestFailuresKeepTheRevision(t *testing.T) {
	m := follow.NewMachine(config)
	m.CallSucceeded(m.Next(), at(40), 30*time.Millisecond)
	for i, want := range []time.Duration{10, 20, 40, 80, 80} {
		outage := m.CallFailed(errUnavailable)
		if outage != (i == 0) {
			t.Errorf("failure %d: outage is %v", i, outage)
		}
		if s := m.Next(); s.List || s.From != at(40) || s.Delay != want*time.Millisecond {
			t.Errorf("after failure %d the next step is %+v, want a watch from 40 after %d ms", i, s, want)
		}
	}
	if !m.CallSucceeded(m.Next(), at(41), 0) {
		t.Error("the recovery of the store is not reported")
	}
}

// Guards against losing changes when the store has compacted its history.
func TestCompactedHistoryListsAgain(t *testing.T) {
	m := follow.NewMachine(config)
	m.CallSucceeded(m.Next(), at(40), 0)
	if m.CallFailed(errors.Wrap(follow.ErrCompacted, "watch")) {
		t.Error("compacted history is reported as a store outage")
	}
	if s := m.Next(); !s.List || s.Delay != 0 {
		t.Errorf("next step is %+v, want a list at once", s)
	}
	// The list may have an earlier revision than the watch had reached.
	m.CallSucceeded(m.Next(), at(35), 0)
	if s := m.Next(); s.List || s.From != at(35) {
		t.Errorf("next step is %+v, want a watch from 35", s)
	}
}

// Guards against a watch that is asked again for ever because its response is too large, and
// against lists in quick succession if that goes on.
func TestTooLargeChangesListAgainWithBackoff(t *testing.T) {
	m := follow.NewMachine(config)
	m.CallSucceeded(m.Next(), at(40), 0)
	for i, want := range []time.Duration{10, 20, 40, 80, 80} {
		if m.CallFailed(errors.Wrap(follow.ErrTooLarge, "watch")) {
			t.Error("changes that are too large are reported as a store outage")
		}
		if s := m.Next(); !s.List || s.Delay != want*time.Millisecond {
			t.Errorf("watch %d: next step is %+v, want a list after %d ms", i, s, want)
		}
		m.CallSucceeded(m.Next(), at(50), 0)
		if s := m.Next(); s.List || s.From != at(50) || s.Delay != 0 {
			t.Errorf("after list %d the next step is %+v, want a watch from 50", i, s)
		}
	}
	m.CallSucceeded(m.Next(), at(51), 0)
	m.CallFailed(errors.Wrap(follow.ErrTooLarge, "watch"))
	if s := m.Next(); s.Delay != 10*time.Millisecond {
		t.Errorf("after a watch that succeeded the next list comes after %v", s.Delay)
	}
	m.CallFailed(errors.Wrap(follow.ErrTooLarge, "list")) // a page: as if the store failed
	if s := m.Next(); !s.List || s.Delay == 0 {
		t.Errorf("after a list that is too large the next step is %+v", s)
	}
}

// Guards against a watch that goes back to changes already seen, and against a separate
// call for each of many changes in quick succession.
func TestWatchAdvancesAndPauses(t *testing.T) {
	const pause = 30 * time.Millisecond
	m := follow.NewMachine(config)
	m.CallSucceeded(m.Next(), at(40), 0)
	m.CallSucceeded(m.Next(), at(38), pause)
	if s := m.Next(); s.From != at(40) || s.Delay != pause {
		t.Errorf("next step is %+v, want from 40 after %v", s, pause)
	}
	m.CallSucceeded(m.Next(), at(41), 0)
	if s := m.Next(); s.From != at(41) || s.Delay != 0 {
		t.Errorf("next step is %+v, want from 41 at once", s)
	}
}

// script is a source whose calls return prepared results, one after the other.
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
		return follow.Response[string]{}, errUnavailable
	}
	call := s.calls[0]
	s.calls = s.calls[1:]
	return call()
}

func (s *script) List(context.Context) (follow.Response[string], error) { return s.next() }
func (s *script) Watch(context.Context, follow.Position) (follow.Response[string], error) {
	return s.next()
}

// recordingSink records the calls of its methods.
type recordingSink struct {
	events    []string
	needsList bool
}

func (r *recordingSink) Replace(_ time.Time, items []follow.Item[string], _ uint64) {
	r.events = append(r.events, "replace "+items[0].Name)
}
func (r *recordingSink) Apply(_ time.Time, items []follow.Item[string], _ uint64) {
	r.events = append(r.events, "apply "+items[0].Name)
}
func (r *recordingSink) EraChanged(_ time.Time, era uint64) {
	r.events = append(r.events, fmt.Sprint("era ", era))
}
func (r *recordingSink) NeedsList() bool              { return r.needsList }
func (r *recordingSink) Available(time.Time)          { r.events = append(r.events, "available") }
func (r *recordingSink) Unavailable(time.Time, error) { r.events = append(r.events, "unavailable") }
func (r *recordingSink) CallFailed(error)             {}

// Guards against passing changes to a sink before it knows that the store is available
// again: entries that lapsed meanwhile would be dropped.
func TestAvailableIsReportedBeforeChanges(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ok := func(name string) func() (follow.Response[string], error) {
		return func() (follow.Response[string], error) {
			return follow.Response[string]{Items: []follow.Item[string]{{Name: name}}, Revision: 1}, nil
		}
	}
	fail := func() (follow.Response[string], error) { return follow.Response[string]{}, errUnavailable }
	sink := &recordingSink{}
	follow.Run(ctx, config, &script{calls: []func() (follow.Response[string], error){ok("a"), fail, fail, ok("b")}, done: cancel}, sink)
	want := []string{"available", "replace a", "unavailable", "available", "apply b", "unavailable"}
	for i, w := range want[:5] {
		if i >= len(sink.events) || sink.events[i] != w {
			t.Fatalf("the sink got %v, want %v", sink.events, want)
		}
	}
}

// Guards against objects that an incomplete copy never gets, and against changes that are lost
// while the list can't be read.
func TestIncompleteCopyListsAgain(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	sink := &recordingSink{}
	ok := func(name string, needsList bool) func() (follow.Response[string], error) {
		return func() (follow.Response[string], error) {
			sink.needsList = needsList
			return follow.Response[string]{Items: []follow.Item[string]{{Name: name}}, Revision: 1}, nil
		}
	}
	fail := func() (follow.Response[string], error) { return follow.Response[string]{}, errUnavailable }
	follow.Run(ctx, config, &script{calls: []func() (follow.Response[string], error){
		ok("a", false), ok("b", true), fail, ok("c", true), ok("d", true), ok("e", true), ok("f", false), ok("g", false)}, done: cancel}, sink)
	want := "available; replace a; apply b; apply c; apply d; apply e; replace f; apply g"
	if got := strings.Join(sink.events, "; "); got != want {
		t.Errorf("the sink got %s, want %s", got, want)
	}
}

// Guards against hosts that all list at the same moment in a new era, against a new era that
// counts as an outage, and against a copy that goes on from the earlier era's revision.
func TestNewEraListsAgain(t *testing.T) {
	spread := config
	spread.EraSpread = time.Second
	delays := map[time.Duration]bool{}
	for range 20 {
		m := follow.NewMachine(spread)
		m.CallSucceeded(m.Next(), follow.Position{Era: 1, Revision: 40}, 0)
		if m.CallFailed(errors.Wrap(follow.ErrNewEra, "watch")) {
			t.Error("a new era is reported as a store outage")
		}
		s := m.Next()
		if !s.List || s.Delay <= 0 || s.Delay > time.Second {
			t.Fatalf("next step is %+v, want a list within 1 s", s)
		}
		delays[s.Delay] = true
		m.CallSucceeded(s, follow.Position{Era: 2, Revision: 30}, 0)
		if s := m.Next(); s.List || s.From != (follow.Position{Era: 2, Revision: 30}) || s.Delay != 0 {
			t.Errorf("next step is %+v, want a watch from 30 in era 2", s)
		}
	}
	if len(delays) < 10 {
		t.Errorf("20 hosts list after %d different delays", len(delays))
	}
}

// Guards against an answer of an earlier era that counts as an outage, or is asked for again
// without a pause.
func TestOutdatedAnswersBackOff(t *testing.T) {
	m := follow.NewMachine(config)
	m.CallSucceeded(m.Next(), follow.Position{Era: 2, Revision: 40}, 0)
	for _, want := range []time.Duration{10, 20, 40, 80, 80} {
		if m.CallFailed(errors.Wrap(follow.ErrOldEra, "watch")) {
			t.Error("an answer of an earlier era is reported as a store outage")
		}
		if s := m.Next(); s.List || s.From.Era != 2 || s.Delay != want*time.Millisecond {
			t.Errorf("next step is %+v, want a watch after %d ms", s, want)
		}
	}
}

// Guards against a sink that takes the first list of a new era for changes of the earlier one, or
// gets an answer of an earlier era.
func TestSinkIsToldOfNewEra(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	ok := func(name string, era, revision uint64) func() (follow.Response[string], error) {
		return func() (follow.Response[string], error) {
			return follow.Response[string]{Items: []follow.Item[string]{{Name: name}}, Era: era, Revision: revision}, nil
		}
	}
	newEra := func() (follow.Response[string], error) { return follow.Response[string]{}, follow.ErrNewEra }
	sink := &recordingSink{}
	follow.Run(ctx, config, &script{calls: []func() (follow.Response[string], error){
		ok("a", 1, 50), newEra, ok("late list", 0, 60), ok("b", 2, 40), ok("late watch", 1, 60), ok("c", 2, 41),
		ok("step of a watcher", 4, 20), ok("d", 4, 21)}, done: cancel}, sink)
	want := "available; replace a; era 2; replace b; apply c; era 4; apply step of a watcher; apply d"
	if got := strings.Join(sink.events, "; "); !strings.HasPrefix(got, want) {
		t.Errorf("the sink got %s, want %s", got, want)
	}
}
