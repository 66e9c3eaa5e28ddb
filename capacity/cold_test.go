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
