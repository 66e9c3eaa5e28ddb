// Package stepper runs pure state machines against the clock.
package stepper

import (
	"sync"
	"time"
)

// Stepper runs one pure state machine against the clock: it serialises events,
// keeps the timer for the machine's next tick and carries out the actions.
type Stepper[A any] struct {
	Tick    func(now time.Time) []A
	Next    func() (time.Time, bool)
	Perform func(now time.Time, actions []A)

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// Step passes one event to the machine. The actions run outside the lock and may
// call Step again; actions of concurrent steps may run in any order.
func (s *Stepper[A]) Step(event func(now time.Time) []A) {
	s.mu.Lock()
	if s.stopped {
		s.mu.Unlock()
		return
	}
	now := time.Now()
	actions := event(now)
	s.schedule(now)
	s.mu.Unlock()
	if len(actions) > 0 {
		s.Perform(now, actions)
	}
}

// View runs f while no event is handled.
func (s *Stepper[A]) View(f func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(time.Now())
}

// schedule sets the timer. The lock is held.
func (s *Stepper[A]) schedule(now time.Time) {
	next, ok := s.Next()
	switch {
	case !ok:
		if s.timer != nil {
			s.timer.Stop()
		}
	case s.timer == nil:
		s.timer = time.AfterFunc(max(next.Sub(now), 0), s.fire)
	default:
		s.timer.Reset(max(next.Sub(now), 0))
	}
}

func (s *Stepper[A]) fire() { s.Step(s.Tick) }

// Stop ends the machine: later events are ignored.
func (s *Stepper[A]) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}
