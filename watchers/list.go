package watchers

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/follow"
)

// firstListTimeout is how long a call from another host waits for this host's first
// list.
const firstListTimeout = 500 * time.Millisecond

var (
	// errStale reports that this host's copy of the list is too old to be passed on.
	errStale = errors.New("no recent answer from the store")
	// errStoreUnavailable reports that the store is unavailable, or was since the last
	// answer: objects missing from the list may have lapsed during the outage and come
	// back.
	errStoreUnavailable = errors.New("the store was unavailable")
)

// Object is one object of a list, as the store returned it.
type Object = follow.Item[json.RawMessage]

// list holds the recent changes of one list of the store, to pass them on. Whole lists
// are not passed on: the store's link and processor can serve them to many hosts that
// start together, those of a small host can't.
//
// Invariants: history holds the changes up to revision; known holds the names and revisions
// of all objects at revision, or is nil if these take more than maxBytes; knownBytes is their
// approximate memory.
type list struct {
	mu       sync.Mutex
	listed   bool
	history  *history
	revision uint64
	known    map[string]uint64

	maxBytes   int // of known
	knownBytes int

	lastAnswer   time.Time     // when the store last answered this host; zero if never
	failingSince time.Time     // when calls to the store began to fail, here or at a watcher; zero if the last one was answered
	recovered    time.Time     // when the store answered again after a failure
	changed      chan struct{} // closed at the next change
}

// knownOverhead is the approximate memory of a known object besides its name, in bytes.
const knownOverhead = 64

func newList(maxBytes int) *list {
	return &list{history: newHistory(maxBytes), changed: make(chan struct{}), known: map[string]uint64{}, maxBytes: maxBytes}
}

// replace records that this host has read a whole list. If it had read one before, the
// difference is passed on like a change, so that the other hosts need not read the whole
// list when the store has lost its history.
func (l *list) replace(a follow.Response[json.RawMessage]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listed && l.known != nil && a.Revision >= l.revision {
		l.history.addGap(l.revision, a.Revision)
		l.history.add(l.difference(a.Items), a.Revision)
	} else {
		l.history.restart(a.Revision)
	}
	l.listed = true
	l.revision = a.Revision
	l.known, l.knownBytes = map[string]uint64{}, 0
	l.learn(a.Items)
	l.notify()
}

// difference returns the changes that lead from the known objects to a whole list.
func (l *list) difference(items []Object) []Object {
	var changes []Object
	listed := make(map[string]bool, len(items))
	for _, o := range items {
		listed[o.Name] = true
		if revision, ok := l.known[o.Name]; !ok || revision != o.Revision {
			changes = append(changes, o)
		}
	}
	for name := range l.known {
		if !listed[name] {
			changes = append(changes, Object{Name: name, Removed: true})
		}
	}
	return changes
}

// learn applies changes to the known objects. If they become too many they are forgotten, so
// that the next whole list restarts the history.
func (l *list) learn(items []Object) {
	for _, o := range items {
		if l.known == nil {
			return
		}
		_, known := l.known[o.Name]
		switch {
		case o.Removed && known:
			delete(l.known, o.Name)
			l.knownBytes -= knownOverhead + len(o.Name)
		case !o.Removed:
			l.known[o.Name] = o.Revision
			if !known {
				l.knownBytes += knownOverhead + len(o.Name)
			}
		}
		if l.knownBytes > l.maxBytes {
			l.known, l.knownBytes = nil, 0
		}
	}
}

// apply adds the changes of a response that came after a revision. collapsed states
// whether they are collapsed.
func (l *list) apply(a follow.Response[json.RawMessage], after uint64, collapsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = max(l.revision, a.Revision)
	if len(a.Items) == 0 && !collapsed {
		return
	}
	l.learn(a.Items)
	if collapsed {
		l.history.addGap(after, l.revision)
	}
	l.history.add(a.Items, l.revision)
	l.notify()
}

func (l *list) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// recordCall records whether the store answered a call.
func (l *list) recordCall(now time.Time, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		if !l.failingSince.IsZero() {
			l.recovered = now
		}
		l.lastAnswer = now
		l.failingSince = time.Time{}
		return
	}
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
}

// setRecovered records a watcher's report that the store was unavailable until at.
func (l *list) setRecovered(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.recovered) {
		l.recovered = at
	}
}

// neverFailed is state.recovered if the store never failed. It stays negative when it
// is rounded to milliseconds.
const neverFailed = -time.Millisecond

// state is the state of a list at one time, with its changes after a revision.
type state struct {
	response       follow.Response[json.RawMessage]
	age            time.Duration // since the store's last answer
	recovered      time.Duration // since the store answered again, or neverFailed
	unavailableFor time.Duration // since calls to the store fail; set with errStoreUnavailable
	listed         bool          // whether this host has read the list
	hasChanges     bool          // whether the response holds changes
	collapsed      bool          // whether some of them are collapsed
	changed        <-chan struct{}
}

// changesAfter returns the state of the list and its changes after a revision.
func (l *list) changesAfter(now time.Time, from uint64, maxAge time.Duration) (state, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := state{age: now.Sub(l.lastAnswer), recovered: neverFailed, listed: l.listed, changed: l.changed}
	if !l.recovered.IsZero() {
		s.recovered = now.Sub(l.recovered)
	}
	if !l.listed || s.age > maxAge {
		if l.listed && !l.failingSince.IsZero() {
			s.unavailableFor = now.Sub(l.failingSince)
			return s, errStoreUnavailable
		}
		return s, errStale
	}
	s.response.Revision = l.revision
	var err error
	s.response.Items, s.hasChanges, s.collapsed, err = l.history.since(from)
	return s, err
}

// waitForChanges returns the changes after a revision as soon as there are any. It
// fails when the copy is older than maxAge, and after firstListTimeout if this host has
// not read the list yet.
func (l *list) waitForChanges(ctx context.Context, from uint64, maxAge, timeout time.Duration) (state, error) {
	start := time.Now()
	for {
		now := time.Now()
		s, err := l.changesAfter(now, from, maxAge)
		remaining := start.Add(timeout).Sub(now)
		if !s.listed {
			remaining = start.Add(firstListTimeout).Sub(now)
		}
		if s.listed && err != nil || s.hasChanges || remaining <= 0 {
			return s, err
		}
		if s.listed {
			remaining = min(remaining, maxAge-s.age+time.Millisecond)
		}
		timer := time.NewTimer(remaining)
		select {
		case <-ctx.Done():
			timer.Stop()
			return s, ctx.Err()
		case <-s.changed:
			timer.Stop()
		case <-timer.C:
		}
	}
}
