package entry_test

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/watchers"
)

// Guards against starting requests over many shards although too few shards have a free
// connection: in an overload, their parts would take the connections of others, and no
// request would succeed.
func TestRequestWithoutConnectionsIsRefusedBeforeSending(t *testing.T) {
	const shards, stuck = 4, 2 // the minimum is three parts
	tr := newTier(t, shards)
	release := make(chan struct{})
	for _, s := range tr.shards[:stuck] {
		s.reply = func(r *http.Request, body string) string {
			<-release
			return s.part(r, body)
		}
	}
	initial := tr.configuration.items[0].Value
	var services []routing.Service
	var names []string
	for _, s := range tr.shards {
		names = append(names, s.service)
		services = append(services, routing.Service{Name: s.service, MaxConnections: 1})
	}
	route, _ := initial.Find("h", "/scatter/")
	tr.configuration = newStoreList(follow.Item[*routing.Table]{Name: "main", Revision: 1,
		Value: routing.New(1, []routing.Route{*route}, services, initial.Limits)})
	tr.run(t, watchers.Host{ID: "host", DataCentre: "dc"}, make(hostList, 1))
	first := make(chan answer, 1)
	go func() {
		g, err := tr.ask("GET", "/scatter/x", "")
		if err != nil {
			t.Error(err)
		}
		first <- g
	}()
	for deadline := time.Now().Add(5 * time.Second); slices.ContainsFunc(tr.shards, func(s *shard) bool { return s.requests.Load() == 0 }); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the first request did not reach its shards within 5 s")
		}
	}
	second := tr.mustAsk(t, "GET", "/scatter/x", "")
	if second.status != http.StatusServiceUnavailable || second.header.Get("Retry-After") == "" {
		t.Errorf("status is %d, Retry-After %q, want 503 with a time", second.status, second.header.Get("Retry-After"))
	}
	for i, s := range tr.shards {
		if n := s.requests.Load(); n != 1 {
			t.Errorf("%s got %d requests, want 1", names[i], n)
		}
	}
	close(release)
	if g := <-first; g.status != http.StatusOK {
		t.Errorf("status of the first request is %d", g.status)
	}
}
