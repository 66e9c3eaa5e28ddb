package daemon

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/standin/platformstandin"
	"github.com/marigoldlever/marigoldlever/once"
	"github.com/marigoldlever/marigoldlever/peer"
)

// runningDispatcher is a dispatcher whose requests all run.
type runningDispatcher struct{}

func (runningDispatcher) dispatch(context.Context, once.Submission, string) once.DispatchResult {
	return once.DispatchResult{Kind: once.DispatchRan, Body: json.RawMessage(`{"slip":1}`)}
}

// newTestJournal returns a runner of journals, with an outcome delay that is longer than
// any test.
func newTestJournal(t *testing.T, platform *platformstandin.Platform, incarnation string) *journalRunner {
	t.Helper()
	cfg := once.DefaultConfig()
	cfg.OutcomeDelay = time.Minute
	node := peer.NewNode(peer.Config{})
	t.Cleanup(func() { _ = node.Close(context.Background()) })
	r, err := newJournalRunner(t.Context(), cfg, "host", incarnation, platform.Direct("dc"), node, runningDispatcher{}, 1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.step.Stop)
	return r
}

// Guards against a planned stop that ends before the outcome of an answered request is in
// its journal: a resent request that has run would be answered with may_have_run.
func TestPlannedStopWritesOutcomes(t *testing.T) {
	platform := platformstandin.New(1, platformstandin.Faults{})
	key := once.NewKey(time.Now(), "permit-filing-4")
	submission := func(number uint32) once.Submission {
		return once.Submission{ID: "id", Key: key, Number: number, Service: "s", Body: json.RawMessage(`{}`), Deadline: time.Now().Add(5 * time.Second)}
	}
	before := newTestJournal(t, platform, "first")
	if o := before.execute(t.Context(), submission(1)); o.Run != once.RunRan {
		t.Fatalf("outcome is %+v, want that it ran", o)
	}
	if before.unwritten() == 0 {
		t.Fatal("the outcome was written before the stop, so the test shows nothing")
	}
	if lost := before.flush(t.Context()); lost != 0 {
		t.Errorf("%d outcomes are lost", lost)
	}
	after := newTestJournal(t, platform, "second")
	if o := after.execute(t.Context(), submission(2)); o.Run != once.RunRan || string(o.Result) != `{"slip":1}` {
		t.Errorf("the resent request gets %+v, want the stored result", o)
	}
}
