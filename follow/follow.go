// Package follow keeps a local copy of a list of stored objects up to date.
//
// Run lists the objects once and then waits for changes; a Machine decides which call
// to make next and when. After any failure, it continues from the last known position,
// and lists again only if the store no longer has the history since then, or has been
// restored from a copy.
package follow

import (
	"math/rand/v2"
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
	// Era is the era of the store that the revision belongs to.
	Era uint64
	// Pause is the wait after a response with changes, so that changes in quick
	// succession share one call.
	Pause time.Duration
}

// Position returns the position to continue watching from.
func (r *Response[T]) Position() Position { return Position{Era: r.Era, Revision: r.Revision} }

// Step is the next call to make.
type Step struct {
	// List requests the whole list; otherwise the call requests the changes since From.
	List bool
	From Position
	// Delay is how long to wait before the call.
	Delay time.Duration
}

// Config sets the backoff of a Machine.
type Config struct {
	// InitialBackoff is the wait after the first failed call; it doubles up to
	// MaxBackoff.
	InitialBackoff, MaxBackoff time.Duration
	// EraSpread is the time over which the hosts' lists at the beginning of a new era are
	// spread.
	EraSpread time.Duration
}

// Machine decides which call to make next. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	listed   bool
	position Position
	failures int
	outdated int // responses in a row that were of an earlier era
	// spread is the wait before the first list of a new era.
	spread    time.Duration
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
	s := Step{List: !m.listed || m.relist, From: m.position, Delay: m.pause}
	switch {
	case m.failures > 0:
		s.Delay = m.backoff(m.failures)
	case m.outdated > 0:
		s.Delay = m.backoff(m.outdated)
	case m.spread > 0:
		s.Delay = m.spread
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

// CallSucceeded records the position of a response and the pause before the next call.
// It reports whether the store was unavailable before.
func (m *Machine) CallSucceeded(s Step, at Position, pause time.Duration) (recovered bool) {
	recovered = !m.available
	m.available = true
	m.failures, m.outdated, m.spread = 0, 0, 0
	if s.List {
		m.relist, m.relistFailures, m.skipped = false, 0, 0
	}
	m.pause = pause
	if s.List || m.position.Before(at) {
		m.position = at
	}
	m.listed = true
	if !s.List {
		m.oversized = 0
	}
	return recovered
}

// CallFailed records a failed call. It reports whether the store was available before.
// Compacted history, a new era, or changes that are too large do not mean that the store is
// unavailable: the list is read again. Nor does a response of an earlier era.
func (m *Machine) CallFailed(err error) (outage bool) {
	if m.relist { // if the store is unavailable, the next call shows it
		m.relist = false
		m.relistFailures++
		m.skipped = 1 << min(m.relistFailures, maxSkipDoublings)
		return false
	}
	switch {
	case errors.Is(err, ErrOldEra):
		m.outdated++
		return false
	case errors.Is(err, ErrNewEra):
		m.beginEra()
		return false
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

// beginEra makes the next call a list, at a random time: all hosts notice a new era at the same
// moment.
func (m *Machine) beginEra() {
	m.listed = false
	m.failures, m.outdated = 0, 0
	if m.cfg.EraSpread > 0 {
		m.spread = rand.N(m.cfg.EraSpread) + 1
	}
}
