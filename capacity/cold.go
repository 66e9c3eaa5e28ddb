package capacity

import (
	"slices"
	"time"
)

// coldWindow is the span in which the requests to a cold upstream are counted.
const coldWindow = time.Second

// ColdRateLimiter bounds the requests that this host sends to upstreams that have just
// started. Its shares for all hosts add up to the bound in any window. It is not
// safe for concurrent use.
type ColdRateLimiter[K comparable] struct {
	sent map[K][]time.Time
}

// NewColdRateLimiter returns a ColdRateLimiter that has sent nothing.
func NewColdRateLimiter[K comparable]() *ColdRateLimiter[K] {
	return &ColdRateLimiter[K]{sent: make(map[K][]time.Time)}
}

// Allow reports whether a request may be sent now, where share is the number of
// requests per window that this host may send, and counts it if so. A share below
// one allows one request in as many windows as it takes.
func (c *ColdRateLimiter[K]) Allow(now time.Time, upstream K, share float64) bool {
	if share <= 0 {
		return false
	}
	window, most := coldWindow, int(share)
	if most < 1 {
		window, most = time.Duration(float64(coldWindow)/share), 1
	}
	sent := slices.DeleteFunc(c.sent[upstream], func(at time.Time) bool { return now.Sub(at) >= window })
	if len(sent) >= most {
		c.sent[upstream] = sent
		return false
	}
	c.sent[upstream] = append(sent, now)
	return true
}

// Retain forgets all upstreams that are not in the set.
func (c *ColdRateLimiter[K]) Retain(upstreams map[K]bool) {
	for k := range c.sent {
		if !upstreams[k] {
			delete(c.sent, k)
		}
	}
}
