// Package follow keeps a local copy of a list of stored objects up to date.
//
// A Follower lists the objects once and then waits for changes. Its machine
// decides what to do next and when; the shell makes the calls. Whatever fails, it
// goes on from the last revision that it knows, and lists again only when the
// store no longer has the history since then.
package follow

import (
	"time"

	"github.com/cockroachdb/errors"
)

// ErrCompacted reports that the history since a revision is gone.
var ErrCompacted = errors.New("history is compacted")

// Item is one object of the list. Its form is also that of messages between hosts.
type Item[T any] struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	// Removed is set if the object is gone or can't be used.
	Removed bool `json:"removed,omitempty"`
	Value   T    `json:"value,omitempty"`
}

// Response is what a list or a watch returned. A watch that ended without a change
// has no items.
type Response[T any] struct {
	Items    []Item[T]
	Revision uint64 // from which the next watch goes on
	// Pause is the wait after an answer with changes, so that changes that come in
	// quick succession share one call.
	Pause time.Duration
}

// Step is what the machine wants next.
type Step struct {
	// List asks for the whole list, otherwise for the changes since From.
	List bool
	From uint64
	// Delay is how long to wait before the call.
	Delay time.Duration
}

// Config sets the times of a Machine.
type Config struct {
	// InitialBackoff is the wait after the first failed call, which doubles up to
	// MaxBackoff.
	InitialBackoff, MaxBackoff time.Duration
}

// Machine decides which call comes next. It is not safe for concurrent use.
type Machine struct {
	cfg      Config
	listed   bool
	revision uint64
	failures int
	reached  bool
	pause    time.Duration // after the last answer
}

// NewMachine returns a machine that lists first.
func NewMachine(cfg Config) *Machine { return &Machine{cfg: cfg} }

// Next returns the next call.
func (m *Machine) Next() Step {
	s := Step{List: !m.listed, From: m.revision, Delay: m.pause}
	if m.failures > 0 {
		s.Delay = min(m.cfg.MaxBackoff, m.cfg.InitialBackoff<<min(m.failures-1, maxDoubling))
	}
	return s
}

// maxDoubling keeps the wait between failed calls from overflowing.
const maxDoubling = 16

// CallSucceeded takes the answer to a call and the pause before the next one. It reports
// whether the store was out of reach before.
func (m *Machine) CallSucceeded(s Step, revision uint64, pause time.Duration) (regained bool) {
	regained = !m.reached
	m.reached = true
	m.failures = 0
	m.pause = pause
	if s.List || revision > m.revision {
		m.revision = revision
	}
	m.listed = true
	return regained
}

// CallFailed takes the failure of a call. It reports whether the store was in reach
// before. Lost history is no sign that the store is out of reach.
func (m *Machine) CallFailed(err error) (lost bool) {
	if errors.Is(err, ErrCompacted) {
		m.listed = false
		return false
	}
	m.failures++
	lost = m.reached
	m.reached = false
	return lost
}
