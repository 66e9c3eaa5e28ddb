package httpstore

import (
	"sync"
	"time"
)

// Rate is a sustained call rate with a maximum burst.
type Rate struct {
	PerSecond float64
	Burst     int
}

// tokenBucket limits the rate of calls. It starts with Burst tokens.
type tokenBucket struct {
	mu     sync.Mutex
	rate   Rate
	tokens float64
	last   time.Time
}

func newTokenBucket(r Rate, now time.Time) *tokenBucket {
	return &tokenBucket{rate: r, tokens: float64(r.Burst), last: now}
}

// take removes a token. It returns false if there is none.
func (b *tokenBucket) take(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refill adds the tokens for the time since the last call. If the clock has gone back, it
// adds none.
func (b *tokenBucket) refill(now time.Time) {
	elapsed := now.Sub(b.last)
	if elapsed <= 0 {
		return
	}
	b.last = now
	b.tokens = min(float64(b.rate.Burst), b.tokens+elapsed.Seconds()*b.rate.PerSecond)
}
