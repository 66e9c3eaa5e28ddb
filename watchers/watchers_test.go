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
	return response{Items: slices.Clone(v.objects), Revision: v.revision}, nil
}

func (v *hostStore) Watch(ctx context.Context, from uint64, pollTimeout time.Duration) (response, error) {
	if err := v.call(); err != nil {
		return response{}, err
	}
	end := time.After(pollTimeout)
	for {
		v.storeStandIn.mu.Lock()
		a, unavailable, changed := response{Revision: v.revision}, v.unavailable, v.changed
		lost := from < v.compacted
		for _, o := range v.objects {
			if o.Revision > from {
				a.Items = append(a.Items, o)
			}
		}
		v.storeStandIn.mu.Unlock()
		if unavailable {
			return response{}, errNoAnswer
		}
		if lost {
			return response{}, errors.Wrapf(follow.ErrCompacted, "revision %d", from)
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

// Guards against hosts that miss changes of their watcher, and against hosts that call
// the store although their watcher answers.
func TestWatcherRelaysChanges(t *testing.T) {
	s, members := startHosts(t, 8)
	for i := range 20 {
		name := fmt.Sprint("object-", i)
		s.put(Object{Name: name})
		await(t, members, name)
	}
	watcherCalls := members[0].hostStore.count()
	for _, m := range members[1:] {
		if n := m.hostStore.count(); n > watcherCalls/2 {
			t.Errorf("%s called the store %d times, its watcher %d times", m.ID, n, watcherCalls)
		}
		if h := m.eventLog(); strings.Count(h, "object-7 ") != 1 {
			t.Errorf("events of %s are %s", m.ID, h)
		}
	}
}

// Guards against hosts that all read whole lists because the store has lost its history:
// their watcher reads them and passes on the difference.
func TestLostHistoryCostsHostsNoList(t *testing.T) {
	s, members := startHosts(t, 8)
	s.put(Object{Name: "before"})
	await(t, members, "before")
	var calls, lists []int
	for _, m := range members {
		calls, lists = append(calls, m.hostStore.count()), append(lists, m.hostStore.lists())
	}
	for i := range 5 {
		s.compact()
		name := fmt.Sprint("after-", i)
		s.put(Object{Name: name})
		await(t, members, name)
	}
	if n := members[0].hostStore.lists() - lists[0]; n == 0 {
		t.Error("the watcher read no list, so the history was not lost")
	}
	for i, m := range members[1:] {
		if n := m.hostStore.lists() - lists[i+1]; n != 0 {
			t.Errorf("%s read %d lists and made %d calls", m.ID, n, m.hostStore.count()-calls[i+1])
		}
	}
}

// Guards against a data centre that gets no more changes when its watcher stops.
func TestWatcherStops(t *testing.T) {
	s, members := startHosts(t, 8)
	s.put(Object{Name: "before"})
	await(t, members, "before")
	members[0].stop()
	s.put(Object{Name: "after"})
	await(t, members[1:], "after")
}

// Guards against hosts that keep relying on a watcher that alone lost its connection to
// the store.
func TestWatcherLosesTheStore(t *testing.T) {
	s, members := startHosts(t, 8)
	s.put(Object{Name: "before"})
	await(t, members, "before")
	members[0].hostStore.setFailing()
	s.put(Object{Name: "between"}) // ends the pending poll
	s.put(Object{Name: "after"})
	await(t, members[1:], "after")
}

// Guards against hosts that take entries that lapsed during a store outage for removed
// ones: they must be told of the outage first.
func TestOutageReachesAllHosts(t *testing.T) { testOutage(t, 2*testConfig.maxAge()) }

// Guards against a short outage that only the watcher noticed: the other hosts must be
// told of it before the changes that it caused.
func TestShortOutageReachesAllHosts(t *testing.T) { testOutage(t, testConfig.PollTimeout/4) }

// testOutage makes an object lapse after a store outage, and fails if a host sees the
// change before the outage.
func testOutage(t *testing.T, duration time.Duration) {
	t.Helper()
	s, members := startHosts(t, 8)
	s.put(Object{Name: "before"})
	await(t, members, "before")
	s.setUnavailable(true)
	time.Sleep(duration)
	s.setUnavailable(false)
	s.put(Object{Name: "lapsed", Removed: true})
	await(t, members, "lapsed")
	for _, m := range members {
		h := m.eventLog()
		if unavailable, lapsed := strings.Index(h, "unavailable"), strings.Index(h, "lapsed"); unavailable < 0 || unavailable > lapsed {
			t.Errorf("events of %s are %s", m.ID, h)
		}
	}
}

// startThreeHosts starts the three first-ranked hosts of a data centre of eight. No
// follower runs: the test makes each call.
func startThreeHosts(t *testing.T) (*storeStandIn, []*Source) {
	t.Helper()
	addresses, err := loopback.FreeAddresses(8)
	if err != nil {
		t.Fatal(err)
	}
	ranks := NewChooser(Host{DataCentre: "dc"})
	var hosts []Host
	for i, a := range addresses {
		hosts = append(hosts, Host{ID: fmt.Sprint("host-", i), DataCentre: "dc", Address: a})
	}
	ranks.SetHosts(hosts)
	s := newStore()
	var sources []*Source
	for _, h := range ranks.ranked[:3] {
		node := peer.NewNode(peer.Config{Advertise: h.Address})
		relay := New(testConfig, h, node)
		relay.SetHosts(hosts)
		if err := node.Listen(h.Address); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = node.Close(context.Background()) })
		source := relay.Source("list", &hostStore{storeStandIn: s})
		if _, err := source.List(t.Context()); err != nil {
			t.Fatal(err)
		}
		sources = append(sources, source)
	}
	return s, sources
}

// Guards against an outage report that stops at the second host: this one was told of
// the outage by the watcher, and a host that can't reach the watcher calls the second
// host.
func TestOutageIsRelayedTwice(t *testing.T) {
	s, sources := startThreeHosts(t)
	first, second, third := sources[0], sources[1], sources[2]
	s.setUnavailable(true)
	if _, err := first.Watch(t.Context(), 1); err == nil {
		t.Fatal("the store answered while it was unavailable")
	}
	s.setUnavailable(false)
	s.put(Object{Name: "lapsed", Removed: true})
	if _, err := first.Watch(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	_, err := second.Watch(t.Context(), 1)
	if !errors.Is(err, errStoreUnavailable) {
		t.Fatalf("the second host got %v, want a store outage", err)
	}
	// The reported time since the outage does not include the reply's transit, so a
	// call right after the first may report the outage once more.
	for end := time.Now().Add(testTimeout); errors.Is(err, errStoreUnavailable) && time.Now().Before(end); {
		_, err = second.Watch(t.Context(), 1)
	}
	if err != nil {
		t.Fatal(err)
	}
	third.relay.chooser.MarkUnreachable(time.Now(), first.relay.chooser.self.ID)
	if a, err := third.Watch(t.Context(), 1); !errors.Is(err, errStoreUnavailable) {
		t.Errorf("the third host got %+v, %v, want a store outage", a, err)
	}
}

// Guards against a host that calls the store instead of a watcher that lost it, just
// when the store is available again: the host must still report the outage, and pass it
// on.
func TestOutageIsReportedBeforeReadingTheStore(t *testing.T) {
	s, sources := startThreeHosts(t)
	first, second, third := sources[0], sources[1], sources[2]
	s.setUnavailable(true)
	if _, err := first.Watch(t.Context(), 1); err == nil {
		t.Fatal("the store answered while it was unavailable")
	}
	time.Sleep(testConfig.maxAge())
	s.setUnavailable(false)
	s.put(Object{Name: "lapsed", Removed: true})
	if a, err := second.Watch(t.Context(), 1); !errors.Is(err, errStoreUnavailable) {
		t.Errorf("the second host got %+v, %v", a, err)
	}
	if _, err := second.Watch(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	third.relay.chooser.MarkUnreachable(time.Now(), first.relay.chooser.self.ID)
	if a, err := third.Watch(t.Context(), 1); !errors.Is(err, errStoreUnavailable) {
		t.Errorf("the third host got %+v, %v, want a store outage", a, err)
	}
}

// Guards against a host that keeps calling a watcher that alone lost the store, and
// therefore gets no changes: once it knows, it must call the store within the same
// Watch call.
func TestWatcherWithoutStoreDelaysNoChanges(t *testing.T) {
	s, sources := startThreeHosts(t)
	first, second := sources[0], sources[1]
	first.store.(*hostStore).setFailing()
	if _, err := first.Watch(t.Context(), 1); err == nil {
		t.Fatal("the store answered the watcher")
	}
	time.Sleep(testConfig.maxAge())
	if _, err := second.Watch(t.Context(), 1); !errors.Is(err, errStoreUnavailable) {
		t.Fatalf("the second host got %v, want a store outage", err)
	}
	for range 3 {
		time.Sleep(staleTime)
		s.put(Object{Name: "change"})
		if a, err := second.Watch(t.Context(), 1); err != nil || len(a.Items) == 0 {
			t.Errorf("the second host got %+v, %v", a, err)
		}
	}
}

// Guards against a stale list after the first one: it would lack changes that the store
// no longer has.
func TestOnlyTheFirstListMayBeStale(t *testing.T) {
	_, sources := startThreeHosts(t) // each has read its list once
	if _, err := sources[0].List(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := sources[0].store.(*hostStore).stale; !slices.Equal(got, []bool{true, false}) {
		t.Errorf("stale arguments of List calls are %v, want true for the first only", got)
	}
}

// Guards against malformed requests that stop the handler, and against answers for
// lists that this host does not follow.
func TestUnknownListIsAnError(t *testing.T) {
	_, members := startHosts(t, 1)
	caller := peer.NewNode(peer.Config{Advertise: "127.0.0.1:1"})
	defer func() { _ = caller.Close(t.Context()) }()
	for _, request := range []any{changesRequest{List: "nothing"}, []int{1}, "text"} {
		var r changesReply
		if err := caller.Call(t.Context(), members[0].Address, methodChanges, request, &r); err == nil {
			t.Errorf("%v was answered with %+v", request, r)
		}
	}
}
