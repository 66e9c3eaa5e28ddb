package load

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/api"
)

const (
	// checkInterval is the time between two readiness checks of a host.
	checkInterval = 500 * time.Millisecond
	// checkTimeout is the time after which a host that does not reply to a readiness
	// check counts as not ready.
	checkTimeout = 400 * time.Millisecond
)

// balancer models the platform's load balancer: it chooses hosts round-robin and
// skips those that were not ready at their last check.
type balancer struct {
	clients []*api.Client

	mu    sync.Mutex
	ready []bool
	next  int
}

func newBalancer(addresses []string) *balancer {
	b := &balancer{ready: make([]bool, len(addresses))}
	for i, address := range addresses {
		b.clients = append(b.clients, api.NewClient(address, maxConnections))
		b.ready[i] = true
	}
	return b
}

// run checks the readiness of all hosts periodically until ctx ends.
func (b *balancer) run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		for i, c := range b.clients {
			go b.check(ctx, i, c)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (b *balancer) check(ctx context.Context, i int, c *api.Client) {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	ready := c.Ready(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready[i] = ready
}

// pick returns the client of the next ready host in turn. If no host is ready, it
// returns that of the last host picked.
func (b *balancer) pick() *api.Client {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.clients {
		b.next = (b.next + 1) % len(b.clients)
		if b.ready[b.next] {
			break
		}
	}
	return b.clients[b.next]
}

func (b *balancer) close() {
	for _, c := range b.clients {
		c.Close()
	}
}
