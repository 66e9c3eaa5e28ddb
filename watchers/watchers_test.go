package watchers

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/loopback"
	"github.com/marigoldlever/marigoldlever/peer"
)

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
	if _, err := first.Watch(t.Context(), at(1)); err == nil {
		t.Fatal("the store answered while it was unavailable")
	}
	s.setUnavailable(false)
	s.put(Object{Name: "lapsed", Removed: true})
	if _, err := first.Watch(t.Context(), at(1)); err != nil {
		t.Fatal(err)
	}
	_, err := second.Watch(t.Context(), at(1))
	if !errors.Is(err, errStoreUnavailable) {
		t.Fatalf("the second host got %v, want a store outage", err)
	}
	// The reported time since the outage does not include the reply's transit, so a
	// call right after the first may report the outage once more.
	for end := time.Now().Add(testTimeout); errors.Is(err, errStoreUnavailable) && time.Now().Before(end); {
		_, err = second.Watch(t.Context(), at(1))
	}
	if err != nil {
		t.Fatal(err)
	}
	third.relay.chooser.MarkUnreachable(time.Now(), first.relay.chooser.self.ID)
	if a, err := third.Watch(t.Context(), at(1)); !errors.Is(err, errStoreUnavailable) {
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
	if _, err := first.Watch(t.Context(), at(1)); err == nil {
		t.Fatal("the store answered while it was unavailable")
	}
	time.Sleep(testConfig.maxAge())
	s.setUnavailable(false)
	s.put(Object{Name: "lapsed", Removed: true})
	if a, err := second.Watch(t.Context(), at(1)); !errors.Is(err, errStoreUnavailable) {
		t.Errorf("the second host got %+v, %v", a, err)
	}
	if _, err := second.Watch(t.Context(), at(1)); err != nil {
		t.Fatal(err)
	}
	third.relay.chooser.MarkUnreachable(time.Now(), first.relay.chooser.self.ID)
	if a, err := third.Watch(t.Context(), at(1)); !errors.Is(err, errStoreUnavailable) {
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
	if _, err := first.Watch(t.Context(), at(1)); err == nil {
		t.Fatal("the store answered the watcher")
	}
	time.Sleep(testConfig.maxAge())
	if _, err := second.Watch(t.Context(), at(1)); !errors.Is(err, errStoreUnavailable) {
		t.Fatalf("the second host got %v, want a store outage", err)
	}
	for range 3 {
		time.Sleep(staleTime)
		s.put(Object{Name: "change"})
		if a, err := second.Watch(t.Context(), at(1)); err != nil || len(a.Items) == 0 {
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
