package load

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/api"
)

const (
	// checkInterval is the time between two looks at a host's readiness.
	checkInterval = 500 * time.Millisecond
	// checkTimeout is after which a host counts as not ready.
	checkTimeout = 400 * time.Millisecond
)

// balancer stands for the platform's load balancer: it sends each request to the
// next host that was ready when it last looked.
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

// run looks at the hosts until ctx ends.
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

// pick returns the next ready host, or just the next one if none is ready.
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
