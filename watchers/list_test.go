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

type answer = follow.Response[json.RawMessage]

func object(name string, revision uint64) Object {
	return Object{Name: name, Revision: revision, Value: json.RawMessage(fmt.Sprint(revision))}
}

// Guards against changes that are passed on twice, out of order or not at all to a
// host that knows an earlier state.
func TestListPassesOnWhatChanged(t *testing.T) {
	l := newList()
	l.called(t0, true)
	l.replace(10)
	l.apply(answer{Items: []Object{object("c", 12)}, Revision: 12})
	l.apply(answer{Revision: 14})
	l.apply(answer{Items: []Object{{Name: "a", Revision: 15, Removed: true}, object("b", 16)}, Revision: 16})
	for from, want := range map[uint64]string{10: "c12 a15 b16", 11: "c12 a15 b16", 12: "a15 b16", 14: "a15 b16", 16: "", 20: ""} {
		s, err := l.look(t0, from, time.Second)
		got := ""
		for i, o := range s.answer.Items {
			if i > 0 {
				got += " "
			}
			got += fmt.Sprint(o.Name, o.Revision)
		}
		if err != nil || got != want || s.found != (want != "") || s.answer.Revision != 16 {
			t.Errorf("from %d: %q of revision %d, %v, want %q", from, got, s.answer.Revision, err, want)
		}
	}
	if _, err := l.look(t0, 9, time.Second); !errors.Is(err, errOlder) {
		t.Errorf("changes before the list: %v", err)
	}
}

// Guards against a history that grows without bound, or has a gap once it is cut.
func TestHistoryIsBounded(t *testing.T) {
	l := newList()
	l.called(t0, true)
	l.replace(0)
	for i := range uint64(maxBatches + 10) {
		l.apply(answer{Items: []Object{object("a", i+1)}, Revision: i + 1})
	}
	if len(l.batches) != maxBatches || l.oldest != 10 {
		t.Errorf("%d batches since %d", len(l.batches), l.oldest)
	}
	if s, err := l.look(t0, 10, time.Second); err != nil || len(s.answer.Items) != maxBatches {
		t.Errorf("%d changes, %v", len(s.answer.Items), err)
	}
	if _, err := l.look(t0, 9, time.Second); !errors.Is(err, errOlder) {
		t.Errorf("changes that are gone: %v", err)
	}
}

// Guards against a watcher that keeps others waiting, or answers them, while its own
// knowledge grows old, and against one that answers what it heard from others.
func TestOldKnowledgeIsNotPassedOn(t *testing.T) {
	l := newList()
	l.replace(1)
	if _, err := l.look(time.Now(), 1, time.Second); !errors.Is(err, errBehind) {
		t.Errorf("a host that never asked the store answers: %v", err)
	}
	l.called(time.Now(), true)
	start := time.Now()
	const maxAge = 100 * time.Millisecond
	if _, err := l.wait(context.Background(), 1, maxAge, 10*time.Second); !errors.Is(err, errBehind) {
		t.Errorf("waiting with old knowledge: %v", err)
	}
	if took := time.Since(start); took < maxAge || took > 5*time.Second {
		t.Errorf("told after %v", took)
	}
}

// Guards against a watcher that sends its callers to the store because it has just
// started too, and against callers that hang when it never gets its list.
func TestCallersWaitForTheFirstList(t *testing.T) {
	l := newList()
	time.AfterFunc(50*time.Millisecond, func() {
		l.called(time.Now(), true)
		l.replace(1)
	})
	if s, err := l.wait(context.Background(), 0, time.Second, time.Second); !errors.Is(err, errOlder) || !s.listed {
		t.Errorf("answer is %+v, %v", s.answer, err)
	}
	if _, err := newList().wait(context.Background(), 0, time.Second, time.Second); !errors.Is(err, errBehind) {
		t.Errorf("without a list: %v", err)
	}
}

// Guards against outages of a watcher's store that its callers do not hear of.
func TestOutageIsTold(t *testing.T) {
	l := newList()
	l.replace(1)
	l.called(t0, true)
	if s, _ := l.look(t0, 1, time.Minute); s.regained >= 0 {
		t.Errorf("regained %v ago without an outage", s.regained)
	}
	l.called(t0.Add(time.Second), false)
	l.called(t0.Add(3*time.Second), true)
	l.called(t0.Add(4*time.Second), true)
	if s, _ := l.look(t0.Add(5*time.Second), 1, time.Minute); s.regained != 2*time.Second || s.age != time.Second {
		t.Errorf("regained %v ago, age %v", s.regained, s.age)
	}
}
