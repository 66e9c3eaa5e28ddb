package upstreamhttp

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against places that are lost or granted twice when callers give up
// and the limit changes at the same time.
func TestGate(t *testing.T) {
	const seeds, callers, maxLimit = 50, 20, 3
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, seed))
			moment := func() time.Duration { return time.Duration(rng.IntN(5)) * time.Millisecond }
			var g gate
			var active atomic.Int64
			var wg sync.WaitGroup
			for range callers {
				arrive, patience, hold := moment(), moment(), moment()
				wg.Go(func() {
					time.Sleep(arrive)
					ctx, cancel := context.WithTimeout(context.Background(), patience)
					defer cancel()
					if g.acquire(ctx) != nil {
						return
					}
					if n := active.Add(1); n > maxLimit {
						t.Errorf("seed %d: %d places in use", seed, n)
					}
					time.Sleep(hold)
					active.Add(-1)
					g.release()
				})
			}
			for range 5 {
				g.setLimit(rng.IntN(maxLimit + 1))
				time.Sleep(time.Millisecond)
			}
			wg.Wait()
			g.setLimit(1)
			if g.used != 0 || len(g.waiters) != 0 {
				t.Errorf("seed %d: %d used, %d waiting at the end", seed, g.used, len(g.waiters))
			}
		})
	}
}
