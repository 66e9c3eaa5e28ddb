package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/rollout"
	"github.com/marigoldlever/marigoldlever/watchers"
)

const (
	testExposureShare = 0.1
	testExposureSlack = 30
	rolloutDuration   = 8 * time.Second
)

// rolloutStore is a stand-in for the store's orders and records of roll-outs.
type rolloutStore struct {
	orders *storeList[rollout.Order]

	mu       sync.Mutex
	record   *rollout.Record
	revision uint64
	order    rollout.Order
	states   []rollout.State
}

func (s *rolloutStore) ReadRecord(context.Context, string) (*rollout.Record, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record, s.revision, nil
}

func (s *rolloutStore) WriteRecord(_ context.Context, _ string, r rollout.Record, revision uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision != s.revision {
		return 0, objectstore.ErrConflict
	}
	s.record = &r
	s.revision++
	return s.revision, nil
}

func (s *rolloutStore) WriteStatus(_ context.Context, _ string, status rollout.Status, revision uint64) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision != s.order.Revision {
		return 0, objectstore.ErrConflict
	}
	s.order.Status = status
	s.states = append(s.states, status.State)
	s.putOrder()
	return s.order.Revision, nil
}

// putOrder stores the order with the revision that it gets. The caller holds mu.
func (s *rolloutStore) putOrder() {
	s.order.Revision = s.orders.nextRevision()
	s.orders.put(follow.Item[rollout.Order]{Name: s.order.Name, Value: s.order})
}

// nextRevision returns the revision of the next change.
func (l *storeList[T]) nextRevision() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revision + 1
}

// rollOut orders a version for a service.
func (s *rolloutStore) rollOut(service, version string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.order = rollout.Order{OrderID: rollout.OrderID{Name: service, Service: service, Version: version, Duration: rolloutDuration, Created: 7}}
	s.putOrder()
}

func (s *rolloutStore) state() rollout.State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.order.Status.State
}

// startRolloutTier runs two hosts in front of one shard and a replica of another version of it.
func startRolloutTier(t *testing.T) (hosts []*tier, old, new *shard) {
	t.Helper()
	first := newTier(t, 1)
	first.rollouts = &rolloutStore{orders: newStoreList[rollout.Order]()}
	second := &tier{configuration: first.configuration, registry: first.registry, dataCentresOut: first.dataCentresOut, shards: first.shards, rollouts: first.rollouts}
	list := hostList{{ID: "a", DataCentre: "dc", Address: freeAddress(t)}, {ID: "b", DataCentre: "dc", Address: freeAddress(t)}}
	first.run(t, list[0], list)
	second.run(t, list[1], list)
	added := first.addReplica(t, "shard-000", "replica-new")
	value := added.registration()
	value.Version = "v2"
	for _, s := range []*shard{first.shards[0], added} { // far longer than what a busy machine adds
		s.reply = func(r *http.Request, body string) string {
			time.Sleep(20 * time.Millisecond)
			return s.part(r, body)
		}
	}
	first.registry.put(follow.Item[replicas.Replica]{Name: added.id, Value: value})
	return []*tier{first, second}, first.shards[0], added
}

// load sends requests through all hosts until done returns true, and returns their number.
func load(t *testing.T, hosts []*tier, path string, done func(sent int) bool) (sent int) {
	t.Helper()
	for end := time.Now().Add(2 * rolloutDuration); !done(sent); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the roll-out is not decided after twice its duration")
		}
		a, err := hosts[sent%len(hosts)].ask("GET", path, "")
		if err != nil || a.status != http.StatusOK {
			t.Fatalf("request %d: status %d, %v", sent, a.status, err)
		}
		sent++
	}
	return sent
}

// Guards against a good version that is not completed, that gets more than its share before,
// and against requests to the old replicas at or after the completion. The service is asked
// as one replica.
func TestGoodVersionIsRolledOut(t *testing.T) {
	hosts, old, added := startRolloutTier(t)
	store := hosts[0].rollouts
	load(t, hosts, "/one/x", func(sent int) bool { return sent >= 20 })
	if n := added.requests.Load(); n != 0 {
		t.Fatalf("%d requests to a version without an order", n)
	}
	store.rollOut("shard-000", "v2")
	start := time.Now()
	load(t, hosts, "/one/x", func(sent int) bool {
		if time.Since(start) < rolloutDuration/2 {
			if n, bound := added.requests.Load(), testExposureShare*float64(sent)+testExposureSlack; float64(n) > bound {
				t.Fatalf("%d of %d requests went to the new version", n, sent)
			}
		}
		return store.state() == rollout.Completed
	})
	if took := time.Since(start); took > rolloutDuration {
		t.Errorf("completed after %v", took)
	}
	before := old.requests.Load()
	load(t, hosts, "/one/x", func(sent int) bool { return sent >= 50 })
	if n := old.requests.Load() - before; n != 0 {
		t.Errorf("%d requests to the old replica after the completion", n)
	}
	if store.states[0] != rollout.Running {
		t.Errorf("states are %v", store.states)
	}
}

// Guards against a bad version that gets more than the bound, whose failures reach callers or
// that gets requests after it was rolled back. The service is a shard.
func TestBadVersionIsRolledBack(t *testing.T) {
	hosts, _, added := startRolloutTier(t)
	added.reply = func(r *http.Request, _ string) string {
		return fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: %s\r\nX-Server-Stamp: x\r\nContent-Length: 0\r\n\r\n", r.Header.Get("X-Request-Id"))
	}
	store := hosts[0].rollouts
	store.rollOut("shard-000", "v2")
	load(t, hosts, "/scatter/x", func(int) bool { return store.state().Final() })
	if store.state() != rollout.RolledBack {
		t.Fatalf("the state is %q", store.state())
	}
	if n := added.requests.Load(); n == 0 || n > testExposureSlack {
		t.Errorf("%d requests to the bad version", n)
	}
	time.Sleep(time.Second)
	before := added.requests.Load()
	load(t, hosts, "/scatter/x", func(sent int) bool { return sent >= 50 })
	if n := added.requests.Load() - before; n != 0 {
		t.Errorf("%d requests to a version that was rolled back", n)
	}
}

// Guards against a roll-out that nobody leads once its leader has stopped.
func TestLeaderOfRolloutStops(t *testing.T) {
	hosts, _, added := startRolloutTier(t)
	store := hosts[0].rollouts
	store.rollOut("shard-000", "v2")
	load(t, hosts, "/one/x", func(int) bool { return added.requests.Load() > 0 })
	record, _, _ := store.ReadRecord(context.Background(), "")
	survivor := hosts[1:]
	if record.Leader == "b" {
		survivor = hosts[:1]
		hosts[1].shutDown()
		_ = hosts[1].node.Close(context.Background())
	} else {
		hosts[0].shutDown()
		_ = hosts[0].node.Close(context.Background())
	}
	load(t, survivor, "/one/x", func(int) bool { return store.state().Final() })
	if next, _, _ := store.ReadRecord(context.Background(), ""); store.state() != rollout.Completed || next.Fence <= record.Fence || added.requests.Load() < 20 {
		t.Errorf("the state is %q, the record %+v", store.state(), next)
	}
}

// Guards against versions that count where the settings have no bounds on roll-outs.
func TestVersionsAreIgnoredWithoutBounds(t *testing.T) {
	tr := newTier(t, 1)
	tr.run(t, watchers.Host{ID: "host", DataCentre: "dc"}, make(hostList, 1))
	added := tr.addReplica(t, "shard-000", "replica-new")
	value := added.registration()
	value.Version = "v2"
	tr.registry.put(follow.Item[replicas.Replica]{Name: added.id, Value: value})
	load(t, []*tier{tr}, "/one/x", func(int) bool { return added.requests.Load() > 0 })
}
