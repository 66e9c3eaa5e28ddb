package daemon

import (
	"sync"
	"time"
)

// stepper runs one pure state machine against the clock: it serialises events,
// keeps the timer for the machine's next tick and carries out the actions.
type stepper[A any] struct {
	tick    func(now time.Time) []A
	next    func() (time.Time, bool)
	perform func(now time.Time, actions []A)

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// step passes one event to the machine. The actions run outside the lock and may
// call step again; actions of concurrent steps may run in any order.
func (s *stepper[A]) step(event func(now time.Time) []A) {
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
		s.perform(now, actions)
	}
}

// view runs f while no event is handled.
func (s *stepper[A]) view(f func(now time.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(time.Now())
}

// schedule sets the timer. The lock is held.
func (s *stepper[A]) schedule(now time.Time) {
	next, ok := s.next()
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

func (s *stepper[A]) fire() { s.step(s.tick) }

// stop ends the machine: later events are ignored.
func (s *stepper[A]) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.timer != nil {
		s.timer.Stop()
	}
}
