package capacity_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/capacity"
)

// Guards against hosts that together exceed the rate limit of a cold upstream in
// some one-second window.
func TestColdRateSharesStayWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(t, "hosts")
		bound := rapid.Float64Range(1, 20).Draw(t, "bound")
		limiters := make([]*capacity.ColdRateLimiter[string], hosts)
		for i := range limiters {
			limiters[i] = capacity.NewColdRateLimiter[string]()
		}
		var sent []time.Time
		now := time.Unix(1000, 0)
		for range 400 {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "gap")) * time.Millisecond)
			if limiters[rapid.IntRange(0, hosts-1).Draw(t, "host")].Allow(now, "u", bound/float64(hosts)) {
				sent = append(sent, now)
			}
		}
		for i := range sent {
			n := 0
			for j := i; j < len(sent) && sent[j].Sub(sent[i]) < time.Second; j++ {
				n++
			}
			// With a share below 1, each host may still send its first request.
			if most := max(int(bound), hosts); n > most {
				t.Fatalf("%d requests in one second, the limit is %.1f for %d hosts", n, bound, hosts)
			}
		}
	})
}

// Guards against requests to a cold upstream when the share is 0.
func TestZeroShareAllowsNoRequest(t *testing.T) {
	c := capacity.NewColdRateLimiter[string]()
	if c.Allow(time.Now(), "u", 0) {
		t.Error("a request was allowed with a share of 0")
	}
}

// Guards against a wait that ends before a request may be sent, or that never ends.
func TestWaitEndsWhenRequestIsAllowed(t *testing.T) {
	for _, share := range []float64{0.25, 1, 3.5} {
		c := capacity.NewColdRateLimiter[string]()
		now := time.Unix(1000, 0)
		for range 20 {
			wait := c.Wait(now, "u", share)
			if wait > 0 && c.Allow(now.Add(wait-time.Millisecond), "u", share) {
				t.Fatalf("share %v: a request is allowed before the end of the wait of %v", share, wait)
			}
			if now = now.Add(wait); !c.Allow(now, "u", share) {
				t.Fatalf("share %v: no request is allowed after the wait of %v", share, wait)
			}
		}
	}
}
