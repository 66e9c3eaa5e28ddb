package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/watchers"
)

// Guards against sending requests to replicas with long queues: they would be late, and
// delay those behind them. Also guards against refusals after the queues are gone, and
// against refusing a request that was already sent.
func TestOverloadIsRefusedImmediately(t *testing.T) {
	const shards = 4
	tr := newTier(t, shards)
	var waiting atomic.Int64
	waiting.Store(12)
	for _, s := range tr.shards {
		s.reply = func(r *http.Request, body string) string {
			if waiting.Load() > 0 {
				time.Sleep(40 * time.Millisecond) // an eighth of the target
			}
			load := fmt.Sprintf("\r\nX-Replica-Load: 2,%d,2\r\n", waiting.Load())
			return strings.Replace(s.part(r, body), "\r\n", load, 1)
		}
	}
	tr.run(t, watchers.Host{ID: "host", DataCentre: "dc"}, make(hostList, 1))
	served := 0
	ask := func() (refused bool) {
		g := tr.mustAsk(t, "GET", "/scatter/x", "")
		if g.status == http.StatusOK {
			served++
			return false
		}
		if g.status != http.StatusServiceUnavailable || g.header.Get("Retry-After") == "" || !strings.Contains(g.body, "overloaded") {
			t.Fatalf("answer is %d %q, Retry-After %q", g.status, g.body, g.header.Get("Retry-After"))
		}
		return true
	}
	refused := 0
	for deadline := time.Now().Add(5 * time.Second); refused < 5; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d requests refused within 5 s of long queues, want 5", refused)
		}
		if ask() {
			refused++
		}
	}
	for i, s := range tr.shards {
		if n := int(s.requests.Load()); n > served*2 || n < served {
			t.Errorf("shard %d got %d requests for %d successful answers", i, n, served)
		}
	}
	waiting.Store(0)
	for deadline, accepted := time.Now().Add(5*time.Second), 0; accepted < 50; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("requests are still refused 5 s after the queues are gone")
		}
		if accepted++; ask() {
			accepted = 0
		}
	}
}
