package entry

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/watchers"
)

var eraStart = time.Unix(1000, 0)

func afterSeconds(s float64) time.Time {
	return eraStart.Add(time.Duration(s * float64(time.Second)))
}

func table(version uint64) []follow.Item[*routing.Table] {
	return []follow.Item[*routing.Table]{{Name: "main", Value: testRoutes(version)}}
}

func testRoutes(version uint64) *routing.Table {
	return routing.New(version, nil, nil, routing.Limits{})
}

// Guards against a configuration that goes back with the store.
func TestConfigurationStaysInNewEra(t *testing.T) {
	v := newView(1<<20, metrics.NewRegistry())
	sink := tableSink{listLog{"configuration"}, v}
	sink.Replace(afterSeconds(0), table(7), 50)
	sink.EraChanged(afterSeconds(1), 2)
	sink.Replace(afterSeconds(1), table(5), 40)
	if version := v.table.Load().Version; version != 7 {
		t.Errorf("version %d is in force, want 7", version)
	}
	sink.Apply(afterSeconds(2), table(7), 41)
	sink.Apply(afterSeconds(3), table(9), 42) // at a revision that was given out before
	if version := v.table.Load().Version; version != 9 {
		t.Errorf("version %d is in force, want 9", version)
	}
}

// outView returns a view with one replica in the data centre dc, which is out, and its sink.
func outView() (*view, outSink) {
	v := newView(1<<20, metrics.NewRegistry())
	v.registry.Put(afterSeconds(0), replicas.Replica{ID: "a", Service: "s", Address: "10.0.0.1:80", DataCentre: "dc", Revision: 1})
	sink := outSink{listLog{"data centres out"}, v}
	sink.Replace(afterSeconds(0), []follow.Item[struct{}]{{Name: "dc"}}, 50)
	return v, sink
}

func (v *view) usesDataCentre(now time.Time) bool {
	v.expire(now)
	return len(v.registry.Usable(now, "s", nil)) > 0
}

// Guards against work for a data centre that the operator has taken out, after the store has lost
// that and until it is written again, and against one that stays out for good.
func TestDataCentreStaysOutInNewEra(t *testing.T) {
	for name, step := range map[string]func(outSink){
		"list":       func(s outSink) { s.Replace(afterSeconds(1), nil, 40) },
		"difference": func(s outSink) { s.Apply(afterSeconds(1), []follow.Item[struct{}]{{Name: "dc", Removed: true}}, 40) },
	} {
		v, sink := outView()
		sink.EraChanged(afterSeconds(1), 2)
		step(sink)
		if v.usesDataCentre(afterSeconds(10)) {
			t.Errorf("%s: the data centre gets work although nobody took it in", name)
		}
		sink.Apply(afterSeconds(11), []follow.Item[struct{}]{{Name: "dc"}}, 41)
		if v.usesDataCentre(afterSeconds(60)) {
			t.Errorf("%s: the data centre gets work although it was taken out again", name)
		}
		sink.Apply(afterSeconds(61), []follow.Item[struct{}]{{Name: "dc", Removed: true}}, 42)
		if !v.usesDataCentre(afterSeconds(61)) {
			t.Errorf("%s: the data centre gets no work after it was taken in", name)
		}
		sink.Apply(afterSeconds(62), []follow.Item[struct{}]{{Name: "dc"}}, 43)
		sink.EraChanged(afterSeconds(63), 3)
		step(sink)
		if !v.usesDataCentre(afterSeconds(80)) {
			t.Errorf("%s: the data centre stays out although the store does not list it", name)
		}
	}
}

// Guards against shares of the bounds that grow because a restored store has lost hosts, and
// against a host that is kept in place of its new entry.
func TestHostsStayKnownInNewEra(t *testing.T) {
	a, b, c := watchers.Host{ID: "a", Address: "1"}, watchers.Host{ID: "b", Address: "1"}, watchers.Host{ID: "c", Address: "1"}
	moved := watchers.Host{ID: "b", Address: "2"}
	var k knownHosts
	for i, step := range []struct {
		list     []watchers.Host
		restored bool
		want     []watchers.Host
	}{
		{[]watchers.Host{a, b, c}, false, []watchers.Host{a, b, c}},
		{[]watchers.Host{a, b}, false, []watchers.Host{a, b}},
		{[]watchers.Host{a}, true, []watchers.Host{a, b}},
		{[]watchers.Host{moved}, true, []watchers.Host{moved, a}},
		{[]watchers.Host{a, moved, c}, true, []watchers.Host{a, moved, c}},
		{nil, true, []watchers.Host{a, moved, c}},
	} {
		if got := k.update(step.list, step.restored); !slices.Equal(got, step.want) {
			t.Errorf("list %d: hosts are %v, want %v", i, got, step.want)
		}
	}
}

// Guards against a host that is missing from the list for good after the store has lost its entry.
func TestHostRegistersAgainInNewEra(t *testing.T) {
	h := &hostListStandIn{}
	e := New(Settings{Host: "self", DataCentre: "dc", PeerAddress: "10.0.0.1:7395"}, nil, metrics.NewRegistry(), 1)
	joined := make(chan struct{}, 1)
	done := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		defer close(done)
		e.trackHosts(ctx, h, func([]watchers.Host) {}, func() { joined <- struct{}{} })
	}()
	<-joined
	for range 2 {
		h.mu.Lock()
		h.hosts = nil
		h.mu.Unlock()
		e.eras.notify()
		for end := time.Now().Add(20 * time.Second); !h.lists("self"); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatal("the host has not registered again within 20 s")
			}
		}
	}
	cancel()
	<-done
}

func (h *hostListStandIn) lists(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.hosts, func(o watchers.Host) bool { return o.ID == id })
}
