package upstreamhttp

import (
	"context"
	"slices"
	"sync"
)

// semaphore is a counting semaphore with a variable limit. Waiters are served in order of
// arrival.
type semaphore struct {
	mu      sync.Mutex
	limit   int
	held    int
	waiters []chan struct{}
}

// acquire waits for a permit. Its only error is that of ctx.
func (s *semaphore) acquire(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	s.mu.Lock()
	if s.held < s.limit {
		s.held++
		s.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	s.waiters = append(s.waiters, granted)
	s.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		s.cancelWait(granted)
		return ctx.Err()
	}
}

// cancelWait removes a waiter. A permit that was granted to it meanwhile is passed on.
func (s *semaphore) cancelWait(granted chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.waiters, granted); i >= 0 {
		s.waiters = slices.Delete(s.waiters, i, i+1)
		return
	}
	s.held--
	s.grant()
}

func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held--
	s.grant()
}

// setLimit changes the limit and reports whether it was different before.
func (s *semaphore) setLimit(limit int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit == s.limit {
		return false
	}
	s.limit = limit
	s.grant()
	return true
}

// grant gives free permits to waiters. The caller holds the lock.
func (s *semaphore) grant() {
	for s.held < s.limit && len(s.waiters) > 0 {
		close(s.waiters[0])
		s.waiters = s.waiters[1:]
		s.held++
	}
}
