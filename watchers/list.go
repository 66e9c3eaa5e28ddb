package watchers

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/follow"
)

// startTime is how long a caller may wait for a watcher's first list.
const startTime = 500 * time.Millisecond

var (
	// errBehind reports that this host's knowledge is too old to be passed on.
	errBehind = errors.New("the store was not heard recently")
	// errAway reports that the store is away, or was since the last answer: what is
	// missing from the list may have lapsed and come back.
	errAway = errors.New("the store was away")
)

// maxBatches bounds the changes that are kept for hosts that know an earlier state.
const maxBatches = 512

// Object is one object of a list as the store returned it.
type Object = follow.Item[json.RawMessage]

// errOlder reports that a caller knows an earlier state than the kept changes begin at.
var errOlder = errors.New("changes are kept since a later revision")

// list is what this host knows of the recent changes of one list of the store. Whole
// lists are not passed on: the store's link and processor bear them, those of a small
// host do not when many others start together.
//
// Invariant: batches hold every change after oldest, up to revision, in order.
type list struct {
	mu       sync.Mutex
	listed   bool
	batches  []batch
	oldest   uint64
	revision uint64

	heard    time.Time     // of the store's last answer to this host; zero if none
	lost     time.Time     // since when calls fail, or a watcher said so; zero if the last was answered
	regained time.Time     // when the store answered again after an error
	changed  chan struct{} // closed at the next change
}

// batch holds the changes of one answer.
type batch struct {
	revision uint64
	objects  []Object
}

func newList() *list { return &list{changed: make(chan struct{})} }

// replace takes the revision of a whole list.
func (l *list) replace(revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listed = true
	l.batches, l.oldest, l.revision = nil, revision, revision
	l.wake()
}

// apply takes changes after the revision that is known.
func (l *list) apply(a follow.Response[json.RawMessage]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = max(l.revision, a.Revision)
	if len(a.Items) == 0 {
		return
	}
	if len(l.batches) == maxBatches {
		l.oldest = l.batches[0].revision
		l.batches = slices.Delete(l.batches, 0, 1)
	}
	l.batches = append(l.batches, batch{l.revision, a.Items})
	l.wake()
}

func (l *list) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// called takes the outcome of a call of this host to the store.
func (l *list) called(now time.Time, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answered {
		if !l.lost.IsZero() {
			l.regained = now
		}
		l.heard = now
		l.lost = time.Time{}
		return
	}
	if l.lost.IsZero() {
		l.lost = now
	}
}

// setRegained takes from a watcher that the store was away until then.
func (l *list) setRegained(at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if at.After(l.regained) {
		l.regained = at
	}
}

// neverLost stands for the time since the store answered again if it never failed. It
// stays negative in milliseconds.
const neverLost = -time.Millisecond

// state is what one look at a list found.
type state struct {
	answer   follow.Response[json.RawMessage]
	age      time.Duration // since the store's last answer
	regained time.Duration // since the store answered again, or neverLost
	away     time.Duration // since the store does not answer, with errAway
	listed   bool          // the list is known at all
	found    bool          // the answer is worth sending at once
	changed  <-chan struct{}
}

// look returns the changes after a revision.
func (l *list) look(now time.Time, from uint64, maxAge time.Duration) (state, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := state{age: now.Sub(l.heard), regained: neverLost, listed: l.listed, changed: l.changed}
	if !l.regained.IsZero() {
		s.regained = now.Sub(l.regained)
	}
	if !l.listed || s.age > maxAge {
		if l.listed && !l.lost.IsZero() {
			s.away = now.Sub(l.lost)
			return s, errAway
		}
		return s, errBehind
	}
	s.answer.Revision = l.revision
	if from < l.oldest {
		return s, errors.Wrapf(errOlder, "revision %d, kept since %d", from, l.oldest)
	}
	for _, b := range l.batches {
		if b.revision > from {
			s.answer.Items = append(s.answer.Items, b.objects...)
			s.found = true
		}
	}
	return s, nil
}

// wait returns the changes after a revision as soon as there is one. It fails as soon
// as the knowledge is older than maxAge, and after a short time if there is none yet.
func (l *list) wait(ctx context.Context, from uint64, maxAge, longest time.Duration) (state, error) {
	start := time.Now()
	for {
		now := time.Now()
		s, err := l.look(now, from, maxAge)
		left := start.Add(longest).Sub(now)
		if !s.listed {
			left = start.Add(startTime).Sub(now)
		}
		if s.listed && err != nil || s.found || left <= 0 {
			return s, err
		}
		if s.listed {
			left = min(left, maxAge-s.age+time.Millisecond)
		}
		timer := time.NewTimer(left)
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
