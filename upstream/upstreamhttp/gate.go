package upstreamhttp

import (
	"context"
	"slices"
	"sync"
)

// gate is a counting semaphore whose limit can change, first come first served.
type gate struct {
	mu      sync.Mutex
	limit   int
	used    int
	waiters []chan struct{}
}

// acquire takes a place. Its only error is that of ctx.
func (g *gate) acquire(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	g.mu.Lock()
	if g.used < g.limit {
		g.used++
		g.mu.Unlock()
		return nil
	}
	granted := make(chan struct{})
	g.waiters = append(g.waiters, granted)
	g.mu.Unlock()
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		g.abandon(granted)
		return ctx.Err()
	}
}

// abandon gives up waiting. A place that was granted meanwhile is passed on.
func (g *gate) abandon(granted chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if i := slices.Index(g.waiters, granted); i >= 0 {
		g.waiters = slices.Delete(g.waiters, i, i+1)
		return
	}
	g.used--
	g.grant()
}

func (g *gate) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.used--
	g.grant()
}

// setLimit changes the limit and reports whether it differs from the old one.
func (g *gate) setLimit(limit int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if limit == g.limit {
		return false
	}
	g.limit = limit
	g.grant()
	return true
}

// grant hands free places to waiters. The caller holds the lock.
func (g *gate) grant() {
	for g.used < g.limit && len(g.waiters) > 0 {
		close(g.waiters[0])
		g.waiters = g.waiters[1:]
		g.used++
	}
}
