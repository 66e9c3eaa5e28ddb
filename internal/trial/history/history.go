// Package history judges a trial from what the stand-ins recorded and from what
// callers got. Each checker states one invariant of the design page and returns
// every violation it finds; it knows nothing of how the daemons work.
package history

import (
	"sync"
	"time"
)

// Violation is one broken invariant.
type Violation struct {
	Invariant string // id on the design page, such as R7
	Detail    string
}

// Error implements error.
func (v Violation) Error() string { return v.Invariant + ": " + v.Detail }

// Log collects what concurrent callers got.
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

// Entries returns the entries so far, in the order of Add.
func (l *Log[T]) Entries() []T {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]T(nil), l.entries...)
}

// Span is the time of one call, from before it was sent until its answer.
type Span struct {
	Start, End time.Time
}
