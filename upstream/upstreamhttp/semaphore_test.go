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

// Guards against permits that are lost or granted twice when waiters are cancelled while the
// limit changes.
func TestSemaphore(t *testing.T) {
	const seeds, callers, maxLimit = 50, 20, 3
	for seed := range uint64(seeds) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, seed))
			moment := func() time.Duration { return time.Duration(rng.IntN(5)) * time.Millisecond }
			var s semaphore
			var active atomic.Int64
			var wg sync.WaitGroup
			for range callers {
				arrive, patience, hold := moment(), moment(), moment()
				wg.Go(func() {
					time.Sleep(arrive)
					ctx, cancel := context.WithTimeout(context.Background(), patience)
					defer cancel()
					if s.acquire(ctx) != nil {
						return
					}
					if n := active.Add(1); n > maxLimit {
						t.Errorf("seed %d: %d permits in use, above the limit", seed, n)
					}
					time.Sleep(hold)
					active.Add(-1)
					s.release()
				})
			}
			for range 5 {
				s.setLimit(rng.IntN(maxLimit + 1))
				time.Sleep(time.Millisecond)
			}
			wg.Wait()
			s.setLimit(1)
			if s.held != 0 || len(s.waiters) != 0 {
				t.Errorf("seed %d: %d permits in use and %d waiters at the end, want none", seed, s.held, len(s.waiters))
			}
		})
	}
}
