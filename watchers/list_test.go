package watchers

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/follow"
)

type response = follow.Response[json.RawMessage]

func object(name string, revision uint64) Object {
	return Object{Name: name, Revision: revision, Value: json.RawMessage(fmt.Sprint(revision))}
}

// Guards against changes that are passed on twice, out of order or not at all to a host
// that knows an earlier revision.
func TestListReturnsChangesAfterRevision(t *testing.T) {
	l := newList()
	l.recordCall(t0, true)
	l.replace(10)
	l.apply(response{Items: []Object{object("c", 12)}, Revision: 12})
	l.apply(response{Revision: 14})
	l.apply(response{Items: []Object{{Name: "a", Revision: 15, Removed: true}, object("b", 16)}, Revision: 16})
	for from, want := range map[uint64]string{10: "c12 a15 b16", 11: "c12 a15 b16", 12: "a15 b16", 14: "a15 b16", 16: "", 20: ""} {
		s, err := l.changesAfter(t0, from, time.Second)
		got := ""
		for i, o := range s.response.Items {
			if i > 0 {
				got += " "
			}
			got += fmt.Sprint(o.Name, o.Revision)
		}
		if err != nil || got != want || s.hasChanges != (want != "") || s.response.Revision != 16 {
			t.Errorf("from %d: %q of revision %d, %v, want %q", from, got, s.response.Revision, err, want)
		}
	}
	if _, err := l.changesAfter(t0, 9, time.Second); !errors.Is(err, errRevisionTooOld) {
		t.Errorf("changes before the first revision: %v, want errRevisionTooOld", err)
	}
}

// Guards against a history that grows without limit, or has a gap after the oldest
// changes are dropped.
func TestHistoryIsBounded(t *testing.T) {
	l := newList()
	l.recordCall(t0, true)
	l.replace(0)
	for i := range uint64(maxBatches + 10) {
		l.apply(response{Items: []Object{object("a", i+1)}, Revision: i + 1})
	}
	if len(l.batches) != maxBatches || l.oldest != 10 {
		t.Errorf("%d batches are kept since revision %d", len(l.batches), l.oldest)
	}
	if s, err := l.changesAfter(t0, 10, time.Second); err != nil || len(s.response.Items) != maxBatches {
		t.Errorf("%d changes, %v", len(s.response.Items), err)
	}
	if _, err := l.changesAfter(t0, 9, time.Second); !errors.Is(err, errRevisionTooOld) {
		t.Errorf("dropped changes: %v, want errRevisionTooOld", err)
	}
}

// Guards against a watcher whose own copy grows stale and that keeps other hosts
// waiting or answers them, and against one that passes on lists without an answer from
// the store.
func TestStaleListIsNotPassedOn(t *testing.T) {
	l := newList()
	l.replace(1)
	if _, err := l.changesAfter(time.Now(), 1, time.Second); !errors.Is(err, errStale) {
		t.Errorf("list without an answer from the store: %v, want errStale", err)
	}
	l.recordCall(time.Now(), true)
	start := time.Now()
	const maxAge = 100 * time.Millisecond
	if _, err := l.waitForChanges(context.Background(), 1, maxAge, 10*time.Second); !errors.Is(err, errStale) {
		t.Errorf("waiting with a stale copy: %v, want errStale", err)
	}
	if took := time.Since(start); took < maxAge || took > 5*time.Second {
		t.Errorf("waited %v", took)
	}
}

// Guards against a watcher that has just started and sends its callers to the store,
// and against callers that hang if the watcher never reads its list.
func TestCallersWaitForTheFirstList(t *testing.T) {
	l := newList()
	time.AfterFunc(50*time.Millisecond, func() {
		l.recordCall(time.Now(), true)
		l.replace(1)
	})
	if s, err := l.waitForChanges(context.Background(), 0, time.Second, time.Second); !errors.Is(err, errRevisionTooOld) || !s.listed {
		t.Errorf("answer is %+v, %v", s.response, err)
	}
	if _, err := newList().waitForChanges(context.Background(), 0, time.Second, time.Second); !errors.Is(err, errStale) {
		t.Errorf("without a list: %v, want errStale", err)
	}
}

// Guards against outages of the store that a watcher does not report to its callers.
func TestOutageIsReported(t *testing.T) {
	l := newList()
	l.replace(1)
	l.recordCall(t0, true)
	if s, _ := l.changesAfter(t0, 1, time.Minute); s.recovered >= 0 {
		t.Errorf("recovered %v ago without an outage", s.recovered)
	}
	l.recordCall(t0.Add(time.Second), false)
	l.recordCall(t0.Add(3*time.Second), true)
	l.recordCall(t0.Add(4*time.Second), true)
	if s, _ := l.changesAfter(t0.Add(5*time.Second), 1, time.Minute); s.recovered != 2*time.Second || s.age != time.Second {
		t.Errorf("recovered %v ago, age %v, want 2 s and 1 s", s.recovered, s.age)
	}
}
