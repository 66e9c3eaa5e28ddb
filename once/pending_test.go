package once_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/once"
)

// Guards against bodies of unanswered submissions that together take the memory of a host: the
// next one is refused and has not run, and one that was answered makes room.
func TestPendingBytesAreBounded(t *testing.T) {
	const bodyBytes, room = 100, 3
	now := time.UnixMilli(1764831527000)
	cfg := once.DefaultConfig()
	cfg.MaxPendingBytes = room * bodyBytes
	m, err := once.New(cfg, "host/incarnation", rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		t.Fatal(err)
	}
	submit := func(i int, deadline time.Duration) *once.Outcome {
		for _, a := range m.Submit(now, once.Submission{
			ID: fmt.Sprint(i), Key: once.NewKey(now, fmt.Sprintf("k3v9x0q%d", i)), Number: 1, Service: "s",
			Body: make(json.RawMessage, bodyBytes), Deadline: now.Add(deadline),
		}) {
			if answer, ok := a.(once.Answer); ok {
				return &answer.Outcome
			}
		}
		return nil
	}
	for i := range room {
		if outcome := submit(i, time.Second); outcome != nil {
			t.Fatalf("submission %d of %d was answered %+v", i, room, outcome)
		}
	}
	outcome := submit(room, time.Second)
	if outcome == nil || outcome.Run != once.RunNotRun || outcome.Reason != once.ReasonBusy || outcome.RetryAfter <= 0 {
		t.Errorf("a submission without memory got %+v", outcome)
	}
	now = now.Add(2 * time.Second)
	m.Tick(now) // answers all
	if outcome := submit(room+1, time.Second); outcome != nil && outcome.Reason == once.ReasonBusy {
		t.Error("memory is still held after the answers")
	}
}
