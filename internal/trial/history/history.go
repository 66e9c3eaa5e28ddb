// Package history checks the invariants of the design page against the history of a
// trial: the records of the stand-ins and the answers that callers received. Each
// checker returns every violation that it finds and does not depend on how the
// daemons work.
package history

import (
	"sync"
	"time"
)

// Violation is one violation of an invariant.
type Violation struct {
	Invariant string // its id on the design page, such as R7
	Detail    string
}

// Error implements error.
func (v Violation) Error() string { return v.Invariant + ": " + v.Detail }

// Log collects the entries of concurrent callers.
type Log[T any] struct {
	mu      sync.Mutex
	entries []T
}

// Add appends an entry.
func (l *Log[T]) Add(entry T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, entry)
}

// Entries returns a copy of the entries in the order in which they were added.
func (l *Log[T]) Entries() []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]T(nil), l.entries...)
}

// Span is the time of one call, from before it was sent until it was answered.
type Span struct {
	Start, End time.Time
}
