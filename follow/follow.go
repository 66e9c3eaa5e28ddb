// Package follow keeps a local copy of a list of stored objects up to date.
//
// Run lists the objects once and then waits for changes; a Machine decides which call
// to make next and when. After any failure, it continues from the last known revision,
// and lists again only if the store no longer has the history since then.
package follow

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted reports that the store no longer has the history since a revision.
var ErrCompacted = errors.New("history is compacted")

// ErrTooLarge reports that the changes since a revision are more than can be read in one
// response. The whole list comes in pages.
var ErrTooLarge = errors.New("changes are too large")

// Item is one object of the list. It is also encoded in messages between hosts.
type Item[T any] struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	// Removed is set if the object was removed or can't be used.
	Removed bool `json:"removed,omitempty"`
	Value   T    `json:"value,omitempty"`
}

// Response is the result of a list or watch call. A watch that ended without a change
// has no items.
type Response[T any] struct {
	Items    []Item[T]
	Revision uint64 // revision to continue watching from
	// Pause is the wait after a response with changes, so that changes in quick
	// succession share one call.
	Pause time.Duration
}

// Step is the next call to make.
type Step struct {
	// List requests the whole list; otherwise the call requests the changes since From.
	List bool
	From uint64
	// Delay is how long to wait before the call.
	Delay time.Duration
}

// Config sets the backoff of a Machine.
type Config struct {
	// InitialBackoff is the wait after the first failed call; it doubles up to
	// MaxBackoff.
	InitialBackoff, MaxBackoff time.Duration
}

// Machine decides which call to make next. It is not safe for concurrent use.
type Machine struct {
	cfg       Config
	listed    bool
	revision  uint64
	failures  int
	oversized int // watches in a row whose response was too large
	available bool
	pause     time.Duration // after the last response
	// relist is set while the whole list is asked for although the changes could be.
	relist bool
	// relistFailures counts such lists that failed in a row, and skipped the requests for
	// one that are ignored from now on.
	relistFailures, skipped int
}

// NewMachine returns a machine whose first call is a list.
func NewMachine(cfg Config) *Machine { return &Machine{cfg: cfg} }

// Next returns the next call to make.
func (m *Machine) Next() Step {
	s := Step{List: !m.listed || m.relist, From: m.revision, Delay: m.pause}
	switch {
	case m.failures > 0:
		s.Delay = m.backoff(m.failures)
	case !m.listed && m.oversized > 0:
		s.Delay = m.backoff(m.oversized)
	}
	return s
}

// ListAgain makes the next call a list. If that fails, changes are asked for as before, and
// more and more requests to list again are ignored.
func (m *Machine) ListAgain() {
	if m.skipped > 0 {
		m.skipped--
		return
	}
	m.relist = true
}

// backoff returns the wait after a number of failures in a row.
func (m *Machine) backoff(failures int) time.Duration {
	return min(m.cfg.MaxBackoff, m.cfg.InitialBackoff<<min(failures-1, maxDoublings))
}

const (
	// maxDoublings keeps the backoff from overflowing.
	maxDoublings = 16
	// maxSkipDoublings bounds the requests to list again that are ignored after a failure.
	maxSkipDoublings = 6
)

// CallSucceeded records the revision of a response and the pause before the next call.
// It reports whether the store was unavailable before.
func (m *Machine) CallSucceeded(s Step, revision uint64, pause time.Duration) (recovered bool) {
	recovered = !m.available
	m.available = true
	m.failures = 0
	if s.List {
		m.relist, m.relistFailures, m.skipped = false, 0, 0
	}
	m.pause = pause
	if s.List || revision > m.revision {
		m.revision = revision
	}
	m.listed = true
	if !s.List {
		m.oversized = 0
	}
	return recovered
}

// CallFailed records a failed call. It reports whether the store was available before.
// Compacted history, or changes that are too large, do not mean that the store is
// unavailable: the list is read again.
func (m *Machine) CallFailed(err error) (outage bool) {
	if m.relist { // if the store is unavailable, the next call shows it
		m.relist = false
		m.relistFailures++
		m.skipped = 1 << min(m.relistFailures, maxSkipDoublings)
		return false
	}
	switch {
	case errors.Is(err, ErrCompacted):
		m.listed = false
		return false
	case errors.Is(err, ErrTooLarge) && m.listed:
		m.listed = false
		m.oversized++
		return false
	}
	m.failures++
	outage = m.available
	m.available = false
	return outage
}
