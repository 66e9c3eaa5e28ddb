package watchers

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
// Invariants: history holds the changes of the current era up to position; known holds the names
// and versions of all objects there, or is nil if these take more than maxBytes; knownBytes is
// their approximate memory.
type list struct {
	mu       sync.Mutex
	listed   bool
	history  *history
	position follow.Position
	known    map[string]version
	// previous leads hosts that know a state of the previous era to the first state of this
	// era; nil if they are not known, or no longer kept.
	previous *previousEra

	maxBytes   int // of known
	knownBytes int

	lastAnswer   time.Time     // when the store last answered this host; zero if never
	failingSince time.Time     // when calls to the store began to fail, here or at a watcher; zero if the last one was answered
	recovered    time.Time     // when the store answered again after a failure
	changed      chan struct{} // closed at the next change
}

// version identifies the value of an object. A revision alone does not: the next era may give it
// out again for another value.
type version struct {
	revision uint64
	digest   uint64 // of the value
}

func versionOf(o Object) version { return version{o.Revision, xxhash.Sum64(o.Value)} }

// previousEra is the history of the previous era, with the difference to the first state of the
// current one.
type previousEra struct {
	history *history
	era     uint64
	next    uint64    // revision of the first known state of the current era
	since   time.Time // time of this host's first call to the store after that; zero before it
}

// previousEraTime is how long a host that calls the store keeps the previous era's history. It is
// longer than the others take to notice a new era.
const previousEraTime = 30 * time.Second

// knownOverhead is the approximate memory of a known object besides its name, in bytes.
const knownOverhead = 64

func newList(maxBytes int) *list {
	return &list{history: newHistory(maxBytes), changed: make(chan struct{}), known: map[string]version{}, maxBytes: maxBytes}
}

// replace records that this host has read a whole list. If it had read one before, the
// difference is passed on like a change, so that the other hosts need not read the whole
// list when the store has lost its history or is in a new era.
func (l *list) replace(a follow.Response[json.RawMessage]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := a.Position()
	switch {
	case !l.listed || l.known == nil || at.Before(l.position):
		l.previous = nil
		l.history.restart(at.Revision)
	case at.Era > l.position.Era:
		l.beginEra(l.difference(a.Items), at)
	default:
		l.history.addGap(l.position.Revision, at.Revision)
		l.history.add(l.difference(a.Items), at.Revision)
	}
	l.listed = true
	l.position = at
	l.known, l.knownBytes = map[string]version{}, 0
	l.learn(a.Items)
	l.notify()
}

// beginEra starts the history of a new era whose first state is at a position. The difference
// leads there from the last known state.
func (l *list) beginEra(difference []Object, at follow.Position) {
	l.history.end(difference, l.position.Revision)
	l.previous = &previousEra{history: l.history, era: l.position.Era, next: at.Revision}
	l.history = newHistory(l.history.maxBytes)
	l.history.restart(at.Revision)
}

// era returns the era of the copy.
func (l *list) era() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.position.Era
}

// difference returns the changes that lead from the known objects to a whole list.
func (l *list) difference(items []Object) []Object {
	var changes []Object
	listed := make(map[string]bool, len(items))
	for _, o := range items {
		listed[o.Name] = true
		if known, ok := l.known[o.Name]; !ok || known != versionOf(o) {
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
			l.known[o.Name] = versionOf(o)
			if !known {
				l.knownBytes += knownOverhead + len(o.Name)
			}
		}
		if l.knownBytes > l.maxBytes {
			l.known, l.knownBytes = nil, 0
		}
	}
}

// apply adds the changes of a response that came after a position. collapsed states
// whether they are collapsed, as they are if they lead to a new era.
func (l *list) apply(a follow.Response[json.RawMessage], after follow.Position, collapsed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := a.Position()
	if at.Era > l.position.Era {
		l.beginEra(a.Items, at)
		l.position = at
		l.learn(a.Items)
		l.notify()
		return
	}
	if l.position.Before(at) {
		l.position = at
	}
	if len(a.Items) == 0 && !collapsed {
		return
	}
	l.learn(a.Items)
	if collapsed {
		l.history.addGap(after.Revision, l.position.Revision)
	}
	l.history.add(a.Items, l.position.Revision)
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
		l.expirePrevious(now)
		return
	}
	if l.failingSince.IsZero() {
		l.failingSince = now
	}
}

// expirePrevious drops the previous era's history after previousEraTime. The caller holds mu.
func (l *list) expirePrevious(now time.Time) {
	switch {
	case l.previous == nil:
	case l.previous.since.IsZero():
		l.previous.since = now
	case now.Sub(l.previous.since) > previousEraTime:
		l.previous = nil
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
	collapsed      bool          // whether some of them are collapsed, or lead to a new era
	changed        <-chan struct{}
}

// changesAfter returns the state of the list and its changes after a position.
func (l *list) changesAfter(now time.Time, from follow.Position, maxAge time.Duration) (state, error) {
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
	if from.Era > l.position.Era {
		return s, errors.Wrapf(errStale, "era %d, asked for %d", l.position.Era, from.Era)
	}
	s.response.Era, s.response.Revision = l.position.Era, l.position.Revision
	var err error
	if from.Era < l.position.Era {
		s.response.Items, err = l.stepFrom(from)
		s.hasChanges, s.collapsed = true, true
		return s, err
	}
	s.response.Items, s.hasChanges, s.collapsed, err = l.history.since(from.Revision)
	return s, err
}

// stepFrom returns the changes that lead from a position in the previous era to the current
// state.
func (l *list) stepFrom(from follow.Position) ([]Object, error) {
	if l.previous == nil || l.previous.era != from.Era {
		return nil, errors.Wrapf(errRevisionTooOld, "era %d", from.Era)
	}
	step, _, _, err := l.previous.history.since(from.Revision)
	if err != nil {
		return nil, err
	}
	changes, _, _, err := l.history.since(l.previous.next)
	return append(step, changes...), err
}

// waitForChanges returns the changes after a position as soon as there are any. It
// fails when the copy is older than maxAge, and after firstListTimeout if this host has
// not read the list yet.
func (l *list) waitForChanges(ctx context.Context, from follow.Position, maxAge, timeout time.Duration) (state, error) {
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
