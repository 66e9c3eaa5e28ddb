package entry_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/replicas"
)

// Guards against a request over shards whose first parts run although the others can't be sent:
// all their replicas are cold, and this host's share of their request rate is used up.
func TestRequestBeyondColdShareIsRefusedBeforeSending(t *testing.T) {
	tr := startTier(t, 4)
	for _, s := range tr.shards[:2] { // half of the shards; three quarters are needed
		r := s.registration()
		r.Cold, r.Started = time.Minute, 1
		tr.registry.put(follow.Item[replicas.Replica]{Name: r.ID, Value: r})
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		sent := tr.shards[3].requests.Load()
		g := tr.mustAsk(t, "GET", "/scatter/x", "")
		if g.status == http.StatusServiceUnavailable {
			if g.header.Get("Retry-After") == "" || tr.shards[3].requests.Load() != sent {
				t.Errorf("Retry-After is %q, a part ran %d times", g.header.Get("Retry-After"), tr.shards[3].requests.Load()-sent)
			}
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the last answer is %d, want 503", g.status)
		}
	}
}
