package replicas

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// checkSize compares the size of a registry with what it holds.
func checkSize(t *rapid.T, r *Registry) {
	bytes := 0
	for _, e := range r.entries {
		bytes += e.size()
		if r.runs[e.Incarnation()] != e.run || e.run.unregistered != nil {
			t.Fatalf("the run of %s is not that of its entry", e.ID)
		}
	}
	for place := r.unregistered.Front(); place != nil; place = place.Next() {
		u := place.Value.(unregisteredRun)
		bytes += u.size()
		if r.runs[u.Incarnation].unregistered != place {
			t.Fatalf("the run of %s is in another place", u.ID)
		}
	}
	if bytes != r.bytes || bytes > r.maxBytes {
		t.Fatalf("%d bytes are held, %d counted, at most %d allowed", bytes, r.bytes, r.maxBytes)
	}
	if len(r.runs) != len(r.entries)+r.unregistered.Len() {
		t.Fatalf("%d runs for %d entries and %d without", len(r.runs), len(r.entries), r.unregistered.Len())
	}
}

// Guards against a registry that grows with changes: entries of any number and size that come,
// change their run and go, and the runs that are remembered after them.
func TestRegistryIsBounded(t *testing.T) {
	const maxBytes = 12 * entryOverhead
	rapid.Check(t, func(t *rapid.T) {
		r := New(time.Second)
		r.LimitBytes(maxBytes)
		now, revision := time.Unix(1000, 0), uint64(0)
		draw := func(t *rapid.T) Replica {
			revision++
			return Replica{
				ID: fmt.Sprint("i-", rapid.IntRange(0, 30).Draw(t, "id")), Service: strings.Repeat("s", rapid.SampledFrom([]int{1, 2, maxBytes / 4, maxBytes}).Draw(t, "service")),
				Address: "10.0.0.1:80", Started: int64(rapid.IntRange(0, 3).Draw(t, "started")), Revision: revision,
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { checkSize(t, r) },
			"put": func(t *rapid.T) {
				rep := draw(t)
				if r.Put(now, rep) != (r.entries[rep.ID] != nil) {
					t.Fatalf("whether %s was left out is not told", rep.ID)
				}
			},
			"remove": func(t *rapid.T) { r.Remove(now, fmt.Sprint("i-", rapid.IntRange(0, 30).Draw(t, "id"))) },
			"replace": func(t *rapid.T) {
				list := make([]Replica, rapid.IntRange(0, 20).Draw(t, "listed"))
				for i := range list {
					list[i] = draw(t)
				}
				r.Replace(now, list)
			},
			"pass": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.SampledFrom([]int{1, 500, 700_000}).Draw(t, "ms")) * time.Millisecond)
				r.Expire(now)
			},
			"store": func(t *rapid.T) { r.SetAvailable(now, rapid.Bool().Draw(t, "available")) },
		})
	})
}

// Guards against replicas that stay left out once there is room for them, and against lists
// that are read while there is none.
func TestLeftOutEntriesNeedListOnceThereIsRoom(t *testing.T) {
	now := time.Unix(1000, 0)
	r := New(time.Second)
	r.LimitBytes(10 * (entryOverhead + 100))
	r.SetAvailable(now.Add(-time.Minute), true)
	put := func(i int) bool {
		return r.Put(now, Replica{ID: fmt.Sprint("i-", i), Service: "s", Address: "10.0.0.1:80", Revision: 1})
	}
	i := 0
	for ; put(i); i++ {
	}
	if r.Len() < 10 || r.NeedsList() {
		t.Fatalf("with %d entries and no room a list is needed: %v", r.Len(), r.NeedsList())
	}
	for j := range i / 2 {
		r.Remove(now, fmt.Sprint("i-", j))
	}
	if !r.NeedsList() {
		t.Error("with room again no list is needed")
	}
	r.Replace(now, nil)
	if r.NeedsList() {
		t.Error("after a list that fits another one is needed")
	}
}
