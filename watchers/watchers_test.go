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

// quick are short times, so that the tests take little time.
var quick = Config{
	DirectPollTimeout: time.Second, DirectBatchDelay: 20 * time.Millisecond,
	PollTimeout: 200 * time.Millisecond, BatchDelay: 10 * time.Millisecond, ReplyGrace: 300 * time.Millisecond,
}

// soon is far longer than a change takes to arrive, also on a busy machine.
const soon = 20 * time.Second

// store is a stand-in for one list of the store.
type store struct {
	mu       sync.Mutex
	objects  []Object
	revision uint64
	changed  chan struct{}
	away     bool // for all hosts
}

func newStore() *store { return &store{revision: 1, changed: make(chan struct{})} }

func (s *store) put(o Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o.Revision = s.revision
	s.objects = append(s.objects, o)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed)
	s.changed = make(chan struct{})
}

// view is the store as one host reaches it.
type view struct {
	*store
	mu      sync.Mutex
	calls   int
	stale   []bool // of the lists
	refused bool   // for this host only
}

var errStoreAway = errors.New("the store does not answer")

func (v *view) called() error {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.calls++
	if v.refused {
		return errStoreAway
	}
	return nil
}

func (v *view) count() int {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.calls
}

func (v *view) refuse() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refused = true
}

func (v *view) List(_ context.Context, stale bool) (answer, error) {
	v.mu.Lock()
	v.stale = append(v.stale, stale)
	v.mu.Unlock()
	if err := v.called(); err != nil {
		return answer{}, err
	}
	v.store.mu.Lock()
	defer v.store.mu.Unlock()
	if v.away {
		return answer{}, errStoreAway
	}
	return answer{Items: slices.Clone(v.objects), Revision: v.revision}, nil
}

func (v *view) Watch(ctx context.Context, from uint64, longest time.Duration) (answer, error) {
	if err := v.called(); err != nil {
		return answer{}, err
	}
	end := time.After(longest)
	for {
		v.store.mu.Lock()
		a, away, changed := answer{Revision: v.revision}, v.away, v.changed
		for _, o := range v.objects {
			if o.Revision > from {
				a.Items = append(a.Items, o)
			}
		}
		v.store.mu.Unlock()
		if away {
			return answer{}, errStoreAway
		}
		if len(a.Items) > 0 {
			return a, nil
		}
		select {
		case <-ctx.Done():
			return answer{}, ctx.Err()
		case <-end:
			return a, nil
		case <-changed:
		}
	}
}

// member is a host of the test with what it was told.
type member struct {
	Host
	node  *peer.Node
	view  *view
	mu    sync.Mutex
	told  []string
	names map[string]bool
}

func (m *member) Replace(_ time.Time, items []Object, _ uint64) { m.Apply(time.Time{}, items, 0) }

func (m *member) Apply(_ time.Time, items []Object, _ uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, o := range items {
		m.names[o.Name] = true
		m.told = append(m.told, o.Name)
	}
}

func (m *member) Available(time.Time)          { m.tell("reached") }
func (m *member) Unavailable(time.Time, error) { m.tell("lost") }
func (m *member) CallFailed(error)             {}

func (m *member) tell(word string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told = append(m.told, word)
}

func (m *member) knows(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.names[name]
}

func (m *member) history() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return strings.Join(m.told, " ")
}

// run starts a data centre of n hosts in the order of their ranks.
func run(t *testing.T, n int) (*store, []*member) {
	t.Helper()
	addresses, err := loopback.Addresses(n)
	if err != nil {
		t.Fatal(err)
	}
	s := newStore()
	byID := map[string]*member{}
	var hosts []Host
	for i, a := range addresses {
		m := &member{Host: Host{ID: fmt.Sprint("host-", i), DataCentre: "dc", Address: a}, view: &view{store: s}, names: map[string]bool{}}
		m.node = peer.NewNode(peer.Config{Advertise: a})
		t.Cleanup(func() { m.stop() })
		byID[m.ID] = m
		hosts = append(hosts, m.Host)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	t.Cleanup(func() { cancel(); group.Wait() })
	for _, m := range byID {
		g := New(quick, m.Host, m.node)
		source := g.Source("list", m.view)
		g.SetHosts(hosts)
		if err := m.node.Listen(m.Address); err != nil {
			t.Fatal(err)
		}
		group.Go(func() {
			follow.Run[json.RawMessage](ctx, follow.Config{InitialBackoff: 10 * time.Millisecond, MaxBackoff: 50 * time.Millisecond}, source, m)
		})
	}
	ranks := NewChooser(hosts[0])
	ranks.SetHosts(hosts)
	var members []*member
	for _, h := range ranks.ranked {
		members = append(members, byID[h.ID])
	}
	return s, members
}

func (m *member) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	// Calls in flight are cut off, as those of a host that is killed are.
	_ = m.node.Close(ctx)
}

func await(t *testing.T, members []*member, name string) {
	t.Helper()
	end := time.Now().Add(soon)
	for _, m := range members {
		for !m.knows(name) {
			if time.Now().After(end) {
				t.Fatalf("%s does not know %s: it was told %s", m.ID, name, m.history())
			}
			time.Sleep(2 * time.Millisecond)
		}
	}
}

// Guards against hosts that miss what their watcher knows, and against hosts that
// ask the store although the watcher answers.
func TestWatcherPassesChangesOn(t *testing.T) {
	s, members := run(t, 8)
	for i := range 20 {
		name := fmt.Sprint("object-", i)
		s.put(Object{Name: name})
		await(t, members, name)
	}
	own := members[0].view.count()
	for _, m := range members[1:] {
		if n := m.view.count(); n > own/2 {
			t.Errorf("%s asked the store %d times, its watcher %d times", m.ID, n, own)
		}
		if h := m.history(); strings.Count(h, "object-7 ") != 1 {
			t.Errorf("%s was told %s", m.ID, h)
		}
	}
}

// Guards against a data centre that stays behind when its watcher ends.
func TestWatcherEnds(t *testing.T) {
	s, members := run(t, 8)
	s.put(Object{Name: "before"})
	await(t, members, "before")
	members[0].stop()
	s.put(Object{Name: "after"})
	await(t, members[1:], "after")
}

// Guards against hosts that believe a watcher whose store has left it, although the
// store would answer them.
func TestWatcherLosesTheStore(t *testing.T) {
	s, members := run(t, 8)
	s.put(Object{Name: "before"})
	await(t, members, "before")
	members[0].view.refuse()
	s.put(Object{Name: "between"}) // ends the call that waits
	s.put(Object{Name: "after"})
	await(t, members[1:], "after")
}

// Guards against hosts that take entries that lapsed while the store was away for
// entries that were removed: they have to hear of the outage first.
func TestOutageReachesAllHosts(t *testing.T) { testOutage(t, 2*quick.maxAge()) }

// Guards against a short outage that only the watcher saw: the others must hear of
// it before the changes that it caused.
func TestShortOutageIsPassedOn(t *testing.T) { testOutage(t, quick.PollTimeout/4) }

// testOutage lets an object lapse after the store was away, and fails if a host hears
// of that before it hears of the outage.
func testOutage(t *testing.T, length time.Duration) {
	t.Helper()
	s, members := run(t, 8)
	s.put(Object{Name: "before"})
	await(t, members, "before")
	s.setAway(true)
	time.Sleep(length)
	s.setAway(false)
	s.put(Object{Name: "lapsed", Removed: true})
	await(t, members, "lapsed")
	for _, m := range members {
		h := m.history()
		if lost, lapsed := strings.Index(h, "lost"), strings.Index(h, "lapsed"); lost < 0 || lost > lapsed {
			t.Errorf("%s was told %s", m.ID, h)
		}
	}
}

// threeHosts starts the first three hosts by rank of a data centre of eight. Nothing
// follows their lists: the test makes each call.
func threeHosts(t *testing.T) (*store, []*Source) {
	t.Helper()
	addresses, err := loopback.Addresses(8)
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
		g := New(quick, h, node)
		g.SetHosts(hosts)
		if err := node.Listen(h.Address); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = node.Close(context.Background()) })
		source := g.Source("list", &view{store: s})
		if _, err := source.List(t.Context()); err != nil {
			t.Fatal(err)
		}
		sources = append(sources, source)
	}
	return s, sources
}

// Guards against an outage that ends with the second host: it heard of the outage from
// the watcher, and a host that can't reach the watcher asks the second one.
func TestOutageIsPassedOnTwice(t *testing.T) {
	s, sources := threeHosts(t)
	first, second, third := sources[0], sources[1], sources[2]
	s.setAway(true)
	if _, err := first.Watch(t.Context(), 1); err == nil {
		t.Fatal("the store answered while it was away")
	}
	s.setAway(false)
	s.put(Object{Name: "lapsed", Removed: true})
	if _, err := first.Watch(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	_, err := second.Watch(t.Context(), 1)
	if !errors.Is(err, errAway) {
		t.Fatalf("the second host was told %v", err)
	}
	// The time of the outage is rounded up by the transit of the answer, so a question
	// right after the first may hear of it once more.
	for end := time.Now().Add(soon); errors.Is(err, errAway) && time.Now().Before(end); {
		_, err = second.Watch(t.Context(), 1)
	}
	if err != nil {
		t.Fatal(err)
	}
	third.group.chooser.MarkUnreachable(time.Now(), first.group.chooser.self.ID)
	if a, err := third.Watch(t.Context(), 1); !errors.Is(err, errAway) {
		t.Errorf("the third host was told %+v, %v", a, err)
	}
}

// Guards against a host that asks the store instead of a watcher that has lost it, just
// when the store is back: it must hear of the outage all the same, and pass it on.
func TestOutageOfWatcherIsHeardBeforeTheStore(t *testing.T) {
	s, sources := threeHosts(t)
	first, second, third := sources[0], sources[1], sources[2]
	s.setAway(true)
	if _, err := first.Watch(t.Context(), 1); err == nil {
		t.Fatal("the store answered while it was away")
	}
	time.Sleep(quick.maxAge())
	s.setAway(false)
	s.put(Object{Name: "lapsed", Removed: true})
	if a, err := second.Watch(t.Context(), 1); !errors.Is(err, errAway) {
		t.Errorf("the second host was told %+v, %v", a, err)
	}
	if _, err := second.Watch(t.Context(), 1); err != nil {
		t.Fatal(err)
	}
	third.group.chooser.MarkUnreachable(time.Now(), first.group.chooser.self.ID)
	if a, err := third.Watch(t.Context(), 1); !errors.Is(err, errAway) {
		t.Errorf("the third host was told %+v, %v", a, err)
	}
}

// Guards against a host that asks a watcher again and again that alone has lost the
// store, and hears no change meanwhile because the watcher has none: it asks the store
// in the same call once it knows.
func TestWatcherThatStaysAwayHoldsNobodyUp(t *testing.T) {
	s, sources := threeHosts(t)
	first, second := sources[0], sources[1]
	first.store.(*view).refuse()
	if _, err := first.Watch(t.Context(), 1); err == nil {
		t.Fatal("the store answered the watcher")
	}
	time.Sleep(quick.maxAge())
	if _, err := second.Watch(t.Context(), 1); !errors.Is(err, errAway) {
		t.Fatalf("the second host was told %v", err)
	}
	for range 3 {
		time.Sleep(behindTime)
		s.put(Object{Name: "change"})
		if a, err := second.Watch(t.Context(), 1); err != nil || len(a.Items) == 0 {
			t.Errorf("the second host was told %+v, %v", a, err)
		}
	}
}

// Guards against old lists after the first, whose changes the store has lost.
func TestOnlyTheFirstListMayBeOld(t *testing.T) {
	_, sources := threeHosts(t) // each has read its list once
	if _, err := sources[0].List(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := sources[0].store.(*view).stale; !slices.Equal(got, []bool{true, false}) {
		t.Errorf("lists that may be old: %v, want the first only", got)
	}
}

// Guards against questions that end the handler, and against answers for lists that
// this host does not follow.
func TestUnknownListIsAnError(t *testing.T) {
	_, members := run(t, 1)
	caller := peer.NewNode(peer.Config{Advertise: "127.0.0.1:1"})
	defer func() { _ = caller.Close(t.Context()) }()
	for _, q := range []any{question{List: "nothing"}, []int{1}, "text"} {
		var r reply
		if err := caller.Call(t.Context(), members[0].Address, methodChanges, q, &r); err == nil {
			t.Errorf("%v was answered with %+v", q, r)
		}
	}
}
