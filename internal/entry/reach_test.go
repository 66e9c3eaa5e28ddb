package entry

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/routing"
)

// Guards against a host with little traffic that stays ready in an isolated data
// centre: the balancer would keep sending callers to all hosts there. Also guards
// against believing another host that alone lost its connection.
func TestHostVerifiesReportsOfOtherHosts(t *testing.T) {
	for _, networkDown := range []bool{true, false} {
		dial := func(context.Context, string) error {
			if networkDown {
				return errors.New("no route")
			}
			return nil
		}
		r := newReachability(dial, func(_ string, n int) []string { return make([]string, n) })
		r.verify(t.Context(), []string{"far"})
		deadline := time.Now().Add(5 * time.Second)
		for networkDown && !slices.Contains(r.unreachable(), "far") && time.Now().Before(deadline) {
			time.Sleep(time.Millisecond)
		}
		if !networkDown {
			r.check(t.Context(), time.Now(), "far")
		}
		if got := slices.Contains(r.unreachable(), "far"); got != networkDown {
			t.Errorf("network down: %t, data centre counts as unreachable: %t", networkDown, got)
		}
	}
}

// Guards against a data centre that counts as unreachable because one replica is gone
// and was tried several times.
func TestCheckTriesDifferentReplicas(t *testing.T) {
	var mu sync.Mutex
	tried := map[string]int{}
	dial := func(_ context.Context, address string) error {
		mu.Lock()
		defer mu.Unlock()
		tried[address]++
		return errors.New("no route")
	}
	for _, registered := range []int{1, reachConfig.MinSilentReplicas} {
		e := New(Settings{}, nil, metrics.NewRegistry(), 1)
		now := time.Unix(1000, 0)
		for i := range registered {
			e.view.registry.Put(now, replicas.Replica{ID: fmt.Sprint("replica-", i), Address: fmt.Sprint("address-", i), DataCentre: "far"})
		}
		r := newReachability(dial, e.view.sampleAddresses)
		r.check(t.Context(), now, "far")
		if out, want := len(r.unreachable()) > 0, registered == reachConfig.MinSilentReplicas; out != want {
			t.Errorf("%d replicas registered, none accepts a connection: unreachable is %t, want %t", registered, out, want)
		}
	}
	mu.Lock()
	defer mu.Unlock()
	if len(tried) != reachConfig.MinSilentReplicas {
		t.Errorf("%d different replicas were tried, want %d", len(tried), reachConfig.MinSilentReplicas)
	}
}

// Guards against a data centre that stays out of reach because the probes go to entries that
// are no replicas, of services to which nothing is sent.
func TestProbesGoToReplicasThatGetRequests(t *testing.T) {
	const odd = 500
	v := newView(1<<20, metrics.NewRegistry())
	register := func(service, address string) {
		v.registry.Put(time.Now(), replicas.Replica{ID: service + address, Service: service, Address: address, DataCentre: "dc"})
	}
	for i := range odd {
		register("odd", fmt.Sprintf("127.0.0.1:%d", 1000+i))
	}
	if got := v.sampleAddresses("dc", 4); len(got) != 4 {
		t.Errorf("without a configuration the sample is %v, want any four", got)
	}
	v.table.Store(routing.New(1, []routing.Route{{Name: "r", Shards: []string{"shard"}}}, nil, routing.Limits{}))
	if got := v.sampleAddresses("dc", 4); len(got) != 4 {
		t.Errorf("without a replica that gets requests the sample is %v, want any four", got)
	}
	register("shard", "10.0.0.1:80")
	register("shard", "10.0.0.2:80")
	got := v.sampleAddresses("dc", 4)
	if slices.Sort(got); !slices.Equal(got, []string{"10.0.0.1:80", "10.0.0.2:80"}) {
		t.Errorf("the sample is %v, want the two replicas that get requests", got)
	}
}
