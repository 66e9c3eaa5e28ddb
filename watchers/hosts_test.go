package watchers

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/internal/loopback"
	"github.com/marigoldlever/marigoldlever/peer"
)

// testConfig has short times to keep the tests fast.
var testConfig = Config{
	HistoryBytes:      testHistoryBytes,
	DirectPollTimeout: time.Second, DirectBatchDelay: 20 * time.Millisecond,
	PollTimeout: 200 * time.Millisecond, BatchDelay: 10 * time.Millisecond, ReplyGrace: 300 * time.Millisecond,
}

// testTimeout is far longer than a change takes to arrive, even on a busy machine.
const testTimeout = 20 * time.Second

// storeStandIn is a stand-in for one list of the store.
type storeStandIn struct {
	mu          sync.Mutex
	objects     []Object
	revision    uint64
	changed     chan struct{}
	unavailable bool // for all hosts
	compacted   uint64
	era         uint64
}

func newStore() *storeStandIn { return &storeStandIn{revision: 1, changed: make(chan struct{})} }

func (s *storeStandIn) put(o Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o.Revision = s.revision
	s.objects = append(s.objects, o)
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact drops the history up to now, and ends the pending watches.
func (s *storeStandIn) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.compacted = s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *storeStandIn) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
	close(s.changed)
	s.changed = make(chan struct{})
}

// hostStore is the store as one host sees it.
type hostStore struct {
	*storeStandIn
	mu      sync.Mutex
	calls   int
	stale   []bool // the stale argument of each List call
	failing bool   // for this host only
}

var errNoAnswer = errors.New("the store does not answer")

func (v *hostStore) call() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls++
	if v.failing {
		return errNoAnswer
	}
	return nil
}

func (v *hostStore) count() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls
}

// lists returns the number of List calls.
func (v *hostStore) lists() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return len(v.stale)
}

func (v *hostStore) setFailing() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.failing = true
}

func (v *hostStore) List(_ context.Context, stale bool) (response, error) {
	v.mu.Lock()
	v.stale = append(v.stale, stale)
	v.mu.Unlock()
	if err := v.call(); err != nil {
		return response{}, err
	}
	v.storeStandIn.mu.Lock()
	defer v.storeStandIn.mu.Unlock()
	if v.unavailable {
		return response{}, errNoAnswer
	}
	return response{Items: slices.Clone(v.objects), Revision: v.revision, Era: v.era}, nil
}

func (v *hostStore) Watch(ctx context.Context, from follow.Position, pollTimeout time.Duration) (response, error) {
	if err := v.call(); err != nil {
		return response{}, err
	}
	end := time.After(pollTimeout)
	for {
		v.storeStandIn.mu.Lock()
		a, unavailable, changed := response{Revision: v.revision, Era: v.era}, v.unavailable, v.changed
		lost := from.Revision < v.compacted
		for _, o := range v.objects {
			if o.Revision > from.Revision {
				a.Items = append(a.Items, o)
			}
		}
		v.storeStandIn.mu.Unlock()
		if unavailable {
			return response{}, errNoAnswer
		}
		if from.Era < a.Era {
			return response{}, errors.Wrapf(follow.ErrNewEra, "era %d", a.Era)
		}
		if lost {
			return response{}, errors.Wrapf(follow.ErrCompacted, "revision %d", from.Revision)
		}
		if len(a.Items) > 0 {
			return a, nil
		}
		select {
		case <-ctx.Done():
			return response{}, ctx.Err()
		case <-end:
			return a, nil
		case <-changed:
		}
	}
}

// testHost is a host with the events that its follower received.
type testHost struct {
	Host
	node      *peer.Node
	hostStore *hostStore
	mu        sync.Mutex
	events    []string
	known     map[string]bool
}

func (m *testHost) Replace(_ time.Time, items []Object, _ uint64) { m.Apply(time.Time{}, items, 0) }

func (m *testHost) Apply(_ time.Time, items []Object, _ uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range items {
		m.known[o.Name] = true
		m.events = append(m.events, o.Name)
	}
}

func (m *testHost) EraChanged(time.Time, uint64) { m.record("era") }
func (m *testHost) NeedsList() bool              { return false }
func (m *testHost) Available(time.Time)          { m.record("available") }
func (m *testHost) Unavailable(time.Time, error) { m.record("unavailable") }
func (m *testHost) CallFailed(error)             {}

func (m *testHost) record(event string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.events = append(m.events, event)
}

func (m *testHost) knows(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.known[name]
}

func (m *testHost) eventLog() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Join(m.events, " ")
}

// startHosts starts a data centre of n hosts and returns them by rank.
func startHosts(t *testing.T, n int) (*storeStandIn, []*testHost) {
	t.Helper()
	addresses, err := loopback.FreeAddresses(n)
	if err != nil {
		t.Fatal(err)
	}
	s := newStore()
	byID := map[string]*testHost{}
	var hosts []Host
	for i, a := range addresses {
		m := &testHost{Host: Host{ID: fmt.Sprint("host-", i), DataCentre: "dc", Address: a}, hostStore: &hostStore{storeStandIn: s}, known: map[string]bool{}}
		m.node = peer.NewNode(peer.Config{Advertise: a})
		t.Cleanup(func() { m.stop() })
		byID[m.ID] = m
		hosts = append(hosts, m.Host)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	// A host skips a watcher that does not listen yet for longer than a test runs, so all
	// of them listen before the first call.
	sources := map[*testHost]*Source{}
	for _, m := range byID {
		relay := New(testConfig, m.Host, m.node)
		sources[m] = relay.Source("list", m.hostStore)
		relay.SetHosts(hosts)
		if err := m.node.Listen(m.Address); err != nil {
			t.Fatal(err)
		}
	}
	for m, source := range sources {
		group.Go(func() {
			follow.Run[json.RawMessage](ctx, follow.Config{InitialBackoff: 10 * time.Millisecond, MaxBackoff: 50 * time.Millisecond}, source, m)
		})
	}
	ranks := NewChooser(hosts[0])
	ranks.SetHosts(hosts)
	var members []*testHost
	for _, h := range ranks.ranked {
		members = append(members, byID[h.ID])
	}
	return s, members
}

func (m *testHost) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	// Close aborts calls in flight, as killing the host would.
	_ = m.node.Close(ctx)
}

func await(t *testing.T, members []*testHost, name string) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for _, m := range members {
		for !m.knows(name) {
			if time.Now().After(end) {
				t.Fatalf("%s did not receive %s; its events are %s", m.ID, name, m.eventLog())
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
}
