// Package stepper drives pure state machines in real time.
package stepper

import (
	"sync"
	"time"
)

// Stepper drives one pure state machine: it serialises its events, sets the timer for its
// next tick and performs its actions.
type Stepper[A any] struct {
	// Tick passes the current time to the machine and returns the resulting actions.
	Tick func(now time.Time) []A
	// Next returns the time of the next tick, or false if none is needed.
	Next func() (time.Time, bool)
	// Perform performs the actions of one event.
	Perform func(now time.Time, actions []A)

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// Step passes one event to the machine and performs the resulting actions. The actions run
// without the lock and may call Step again. The actions of concurrent steps may run in any
// order.
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

// View calls f while no event is being handled, to read the state of the machine.
func (s *Stepper[A]) View(f func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(time.Now())
}

// schedule sets the timer for the next tick. The caller holds s.mu.
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

// Stop stops the timer. Later events are ignored.
func (s *Stepper[A]) Stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}
