package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
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
		t.Error(fmt.Sprintf("the caller of request %s was told that it has not run", id))
	}
}
