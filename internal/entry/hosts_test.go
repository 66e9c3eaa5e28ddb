package entry

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/watchers"
)

// hostListStandIn is a stand-in for the host list in the store.
type hostListStandIn struct {
	mu          sync.Mutex
	hosts       []watchers.Host
	calls       []string
	unavailable bool
	// stale is what a stale list returns if it is set, instead of the present hosts.
	stale []watchers.Host
}

func (h *hostListStandIn) Register(_ context.Context, host watchers.Host) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, "register")
	if h.unavailable {
		return errors.New("host list is unavailable")
	}
	h.hosts = append(slices.DeleteFunc(h.hosts, func(o watchers.Host) bool { return o.ID == host.ID }), host)
	return nil
}

func (h *hostListStandIn) List(_ context.Context, stale bool) ([]watchers.Host, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if stale {
		h.calls = append(h.calls, "stale")
	} else {
		h.calls = append(h.calls, "list")
	}
	if h.unavailable {
		return nil, errors.New("host list is unavailable")
	}
	if stale && h.stale != nil {
		return slices.Clone(h.stale), nil
	}
	return slices.Clone(h.hosts), nil
}

// joinTier runs trackHosts until this host has joined, and returns the calls made until
// then and the last list passed to onHosts.
func joinTier(t *testing.T, h *hostListStandIn) ([]string, []watchers.Host) {
	t.Helper()
	e := New(Settings{Host: "self", DataCentre: "dc", PeerAddress: "10.0.0.1:7395"}, nil, metrics.NewRegistry(), 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var last []watchers.Host
	joined := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.trackHosts(ctx, h, func(list []watchers.Host) { last = list }, sync.OnceFunc(func() { close(joined) }))
	}()
	select {
	case <-joined:
	case <-time.After(20 * time.Second):
		t.Fatal("the host did not join within 20 s")
	}
	h.mu.Lock()
	calls := slices.Clone(h.calls)
	h.mu.Unlock()
	cancel()
	<-done
	return calls, last
}

// Guards against hosts that write to the store at each start, that stay listed with the
// address of an earlier run, that wait for an unavailable store, that read a whole list at
// its full price though a stale one is recent enough, or rely on one that is not.
func TestHostJoins(t *testing.T) {
	self := watchers.Host{ID: "self", DataCentre: "dc", Address: "10.0.0.1:7395"}
	other := watchers.Host{ID: "other", DataCentre: "dc", Address: "10.0.0.2:7395"}
	moved := self
	moved.Address = "10.0.0.9:7395"
	for name, c := range map[string]struct {
		store *hostListStandIn
		calls []string
		hosts []watchers.Host
	}{
		"new":               {&hostListStandIn{hosts: []watchers.Host{other}}, []string{"stale", "register", "stale"}, []watchers.Host{other, self}},
		"new, stale list":   {&hostListStandIn{hosts: []watchers.Host{other}, stale: []watchers.Host{other}}, []string{"stale", "register", "stale", "list"}, []watchers.Host{other, self}},
		"restarted":         {&hostListStandIn{hosts: []watchers.Host{self, other}}, []string{"stale"}, []watchers.Host{self, other}},
		"new address":       {&hostListStandIn{hosts: []watchers.Host{moved, other}}, []string{"stale", "register", "stale"}, []watchers.Host{other, self}},
		"store unavailable": {&hostListStandIn{unavailable: true}, []string{"stale", "register"}, nil},
	} {
		calls, hosts := joinTier(t, c.store)
		if !slices.Equal(calls, c.calls) || !slices.Equal(hosts, c.hosts) {
			t.Errorf("%s: calls %v, hosts %v", name, calls, hosts)
		}
	}
}
