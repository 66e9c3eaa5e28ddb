package httpstore

import (
	"sync"
	"time"
)

// Rate is a sustained call rate with the largest burst above it.
type Rate struct {
	PerSecond float64
	Burst     int
}

// bucket is a token bucket. It starts full.
type bucket struct {
	mu     sync.Mutex
	rate   Rate
	tokens float64
	last   time.Time
}

func newBucket(r Rate, now time.Time) *bucket {
	return &bucket{rate: r, tokens: float64(r.Burst), last: now}
}

// take removes one token and reports whether there was one.
func (b *bucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens earned since the last call. A clock that goes back
// earns nothing.
func (b *bucket) refill(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.tokens = min(float64(b.rate.Burst), b.tokens+elapsed.Seconds()*b.rate.PerSecond)
}
