package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// copyingReplica refuses the first send of each request, and runs the others. When a connection
// carries a request that it has refused on it, a second copy of that refusal comes first.
type copyingReplica struct {
	*shard
	mu      sync.Mutex
	refused map[string]map[string]bool // connections by request
	ran     map[string]int             // by request
}

func copyRefusals(s *shard) *copyingReplica {
	c := &copyingReplica{shard: s, refused: map[string]map[string]bool{}, ran: map[string]int{}}
	s.reply = c.refuseFirst
	return c
}

func (c *copyingReplica) refuseFirst(r *http.Request, body string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := r.Header.Get("X-Request-Id")
	if c.refused[id] == nil {
		c.refused[id] = map[string]bool{r.RemoteAddr: true}
		return refuseReply(r, body)
	}
	c.ran[id]++
	reply := c.part(r, body)
	if c.refused[id][r.RemoteAddr] {
		reply = refuseReply(r, body) + reply
	}
	return reply
}

// check reports the requests that ran more than once.
func (c *copyingReplica) check(t *testing.T) {
	t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, n := range c.ran {
		if n > 1 {
			t.Errorf("request %s ran %d times at replica %s", id, n, c.id)
		}
	}
}

// Guards against a request that runs twice, or runs although its caller is told that it has not,
// because the second copy of a refusal is taken for the answer to its second send.
func TestCopyOfRefusalIsNotTakenForAnswer(t *testing.T) {
	for _, target := range []string{"POST /once/x", "GET /one/x", "GET /scatter/x"} {
		t.Run(target, func(t *testing.T) {
			tr := startTier(t, 1)
			rep := copyRefusals(tr.shards[0])
			time.Sleep(1500 * time.Millisecond) // the retry budget starts empty
			method, path, _ := strings.Cut(target, " ")
			const callers, requests = 4, 12 // beside each other, so that connections change hands
			var group sync.WaitGroup
			for range callers {
				group.Go(func() {
					for range requests {
						g, err := tr.ask(method, path, "permit")
						if err != nil {
							t.Error(err)
						}
						rep.checkRefusal(t, g)
					}
				})
			}
			group.Wait()
			rep.check(t)
		})
	}
}

// checkRefusal reports an answer that promises that a request has not run which ran.
func (c *copyingReplica) checkRefusal(t *testing.T, g answer) {
	if g.status != http.StatusServiceUnavailable {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if id := g.header.Get("X-Request-Id"); c.ran[id] > 0 {
		t.Errorf("the caller of request %s was told that it has not run", id)
	}
}

// Guards against an idempotent request that runs at more replicas than its route allows, because
// copies of refusals without an id are taken for the answers of replicas that run it.
func TestRefusalWithoutIDCountsAsAttempt(t *testing.T) {
	const replicas, maxAttempts = 4, 2 // of the routes
	tr := startTier(t, 1)
	for i := 1; i < replicas; i++ {
		tr.addReplica(t, "shard-000", fmt.Sprint("replica-", i))
	}
	var copies atomic.Bool
	var mu sync.Mutex
	ran := map[string]int{} // runs by request, while there are copies
	for _, s := range tr.shards {
		s.reply = func(r *http.Request, body string) string {
			if !copies.Load() {
				time.Sleep(50 * time.Millisecond) // so that the first requests use all replicas
				return s.part(r, body)
			}
			mu.Lock()
			defer mu.Unlock()
			ran[r.Header.Get("X-Request-Id")]++
			return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n" + s.part(r, body)
		}
	}
	time.Sleep(1500 * time.Millisecond) // the retry budget starts empty
	var group sync.WaitGroup
	for range 3 * replicas {
		group.Go(func() {
			if _, err := tr.ask("GET", "/one/x", ""); err != nil {
				t.Error(err)
			}
		})
	}
	group.Wait()
	copies.Store(true)
	tr.mustAsk(t, "GET", "/one/x", "")
	mu.Lock()
	defer mu.Unlock()
	for id, n := range ran {
		if n > maxAttempts {
			t.Errorf("request %s ran %d times, its route allows %d attempts", id, n, maxAttempts)
		}
	}
}
