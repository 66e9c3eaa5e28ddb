package entry_test

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/watchers"
)

// recordHeaders makes a shard record the headers of its requests.
func recordHeaders(s *shard) func() []http.Header {
	var mu sync.Mutex
	var seen []http.Header
	s.reply = func(r *http.Request, body string) string {
		mu.Lock()
		seen = append(seen, r.Header)
		mu.Unlock()
		return s.part(r, body)
	}
	return func() []http.Header {
		mu.Lock()
		defer mu.Unlock()
		return seen
	}
}

// askWith sends a request with header fields of its own.
func (tr *tier) askWith(t *testing.T, path string, header http.Header) answer {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+tr.address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header = header.Clone()
	request.Header.Set("X-Request-Id", "id-"+strings.ReplaceAll(t.Name()+path, "/", "-"))
	request.Header.Set("X-Deadline-Ms", "2000")
	response, err := tr.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	return answer{status: response.StatusCode, header: response.Header}
}

// Guards against an API key that reaches a replica, an account that a caller names itself, and
// a request without a valid key that runs.
func TestAccountOfKeyReachesReplicas(t *testing.T) {
	tr := newTier(t, 1)
	tr.configuration.items[0].Value.WithAccounts([]routing.Account{{Name: "acme", Keys: []string{"k1", "k2"}}, {Name: "other", Keys: []string{"k3"}}})
	headers := recordHeaders(tr.shards[0])
	tr.run(t, watchers.Host{ID: "host", DataCentre: "dc"}, make(hostList, 1))
	for _, bad := range []http.Header{
		{}, {"Authorization": {"Bearer k9"}}, {"Authorization": {"k1"}}, {"Authorization": {"Basic k1"}},
		{"Authorization": {"Bearer k1", "Bearer k3"}}, {"X-Tenant": {"acme"}}, {"Authorization": {"Bearer "}},
	} {
		if a := tr.askWith(t, "/one/x", bad); a.status != http.StatusUnauthorized {
			t.Errorf("%v: status %d", bad, a.status)
		}
	}
	if n := tr.shards[0].requests.Load(); n != 0 {
		t.Fatalf("%d requests without a key ran", n)
	}
	for _, path := range []string{"/one/x", "/scatter/x"} {
		a := tr.askWith(t, path, http.Header{"Authorization": {"bearer k2"}, "X-Tenant": {"other"}})
		seen := headers()
		got := seen[len(seen)-1]
		if a.status != http.StatusOK || strings.Join(got["X-Tenant"], ",") != "acme" || got.Get("Authorization") != "" {
			t.Errorf("%s: status %d, the replica got %v", path, a.status, got)
		}
	}
}

// Guards against a key that stays valid on a kept connection after a version without it, and
// against headers that are removed although the configuration has no accounts.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	tr := startTier(t, 1)
	headers := recordHeaders(tr.shards[0])
	key := http.Header{"Authorization": {"Bearer k1"}, "X-Tenant": {"mine"}}
	if a := tr.askWith(t, "/one/a", key); a.status != http.StatusOK || headers()[0].Get("Authorization") != "Bearer k1" || headers()[0].Get("X-Tenant") != "mine" {
		t.Fatalf("status %d, the replica got %v", a.status, headers())
	}
	version := uint64(1)
	inForce := func(accounts ...routing.Account) {
		version++
		table := testTable(version, []string{"shard-000"}).WithAccounts(accounts)
		tr.configuration.put(follow.Item[*routing.Table]{Name: "main", Value: table})
	}
	waitFor := func(path string, status int) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
			if tr.askWith(t, path, key).status == status {
				return
			}
		}
		t.Fatalf("status is never %d", status)
	}
	inForce(routing.Account{Name: "acme", Keys: []string{"k2"}})
	waitFor("/one/b", http.StatusUnauthorized)
	inForce(routing.Account{Name: "acme", Keys: []string{"k2"}}, routing.Account{Name: "other", Keys: []string{"k1"}})
	waitFor("/one/c", http.StatusOK)
	seen := headers()
	if got := seen[len(seen)-1].Get("X-Tenant"); got != "other" {
		t.Errorf("the account of a moved key is %q", got)
	}
}
