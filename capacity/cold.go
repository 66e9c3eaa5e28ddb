package capacity

import (
	"slices"
	"time"
)

// coldWindow is the sliding window over which requests to a cold upstream are
// counted.
const coldWindow = time.Second

// ColdRateLimiter limits the rate of requests that this host sends to upstreams
// that have just started. Each host gets a share of an upstream's rate limit, so
// the hosts together stay within the limit in every window. It is not safe for
// concurrent use.
type ColdRateLimiter[K comparable] struct {
	sent map[K][]time.Time
}

// NewColdRateLimiter returns a ColdRateLimiter that has counted no requests.
func NewColdRateLimiter[K comparable]() *ColdRateLimiter[K] {
	return &ColdRateLimiter[K]{sent: make(map[K][]time.Time)}
}

// Allow reports whether a request may be sent now and, if so, counts it. share
// is the number of requests per window that this host may send; a share below 1
// allows one request per 1/share windows.
func (c *ColdRateLimiter[K]) Allow(now time.Time, upstream K, share float64) bool {
	if c.Wait(now, upstream, share) > 0 {
		return false
	}
	c.sent[upstream] = append(c.sent[upstream], now)
	return true
}

// Wait returns the time until Allow permits a request, at most maxColdWait; 0 if it does now.
// It neither blocks nor counts a request.
func (c *ColdRateLimiter[K]) Wait(now time.Time, upstream K, share float64) time.Duration {
	if share <= 0 {
		return maxColdWait
	}
	window, maxRequests := coldWindow, int(share)
	if maxRequests < 1 {
		window, maxRequests = time.Duration(float64(coldWindow)/share), 1
	}
	sent := slices.DeleteFunc(c.sent[upstream], func(at time.Time) bool { return now.Sub(at) >= window })
	if len(sent) > 0 {
		c.sent[upstream] = sent
	} else {
		delete(c.sent, upstream)
	}
	if len(sent) < maxRequests {
		return 0
	}
	return min(window-now.Sub(sent[len(sent)-maxRequests]), maxColdWait)
}

// maxColdWait bounds the wait for an upstream whose share is close to 0: the share may change
// meanwhile, and the wait for a share of 0 would have no end.
const maxColdWait = time.Minute

// RetainOnly discards the state of upstreams that are not in the set.
func (c *ColdRateLimiter[K]) RetainOnly(upstreams map[K]bool) {
	for k := range c.sent {
		if !upstreams[k] {
			delete(c.sent, k)
		}
	}
}
