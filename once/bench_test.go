package once_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/once"
)

// bench drives one machine with one journal. Each update contains the claims of
// one round and the outcomes of the previous round.
type bench struct {
	m        *once.Machine
	now      time.Time
	inFlight *once.Write
	keyCount int
	full     bool
}

var benchResult = json.RawMessage(`{"slip":"ABK-2026-0001234","paid":"4120.00"}`)

func newBench(outcomeDelay time.Duration) *bench {
	cfg := once.DefaultConfig()
	cfg.Journals, cfg.UpdateInterval, cfg.OutcomeDelay, cfg.CacheIdleTime = 1, 0, outcomeDelay, time.Hour
	m, err := once.New(cfg, "host-1/incarnation-1", rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		panic(err)
	}
	return &bench{m: m, now: epoch}
}

func (b *bench) handle(acts []once.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case once.Read:
			b.handle(b.m.ReadDone(b.now, 0, objectstore.Object{}, nil))
		case once.Write:
			b.inFlight = &a
		case once.Dispatch:
			b.handle(b.m.DispatchDone(b.now, a.Attempt, once.DispatchResult{Kind: once.DispatchRan, Body: benchResult}))
		case once.Answer:
			b.full = b.full || a.Outcome.Reason == once.ReasonJournalFull
		}
	}
}

// round submits n requests and then completes the update that is in flight.
func (b *bench) round(n int, step time.Duration) {
	b.now = b.now.Add(step)
	for range n {
		b.keyCount++
		b.handle(b.m.Submit(b.now, once.Submission{
			Key: once.NewKey(b.now, fmt.Sprintf("r%011d", b.keyCount)), Number: 1,
			Service: "payout-desk", Contract: "gate", Body: benchResult, Deadline: b.now.Add(time.Hour),
		}))
	}
	if u := b.inFlight; u != nil {
		b.inFlight = nil
		b.handle(b.m.WriteDone(b.now, 0, objectstore.Object{Version: u.Base + 1}, nil))
	}
}

// BenchmarkSubmit measures a submission and the update of its outcome, for several
// batch sizes and numbers of entries in the journal.
func BenchmarkSubmit(b *testing.B) {
	for _, entries := range []int{1000, 4000} {
		for _, batch := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("entries=%d/batch=%d", entries, batch), func(b *testing.B) {
				step := once.DefaultConfig().Retention() * time.Duration(batch) / time.Duration(entries)
				r := newBench(step / 2)
				for range entries/batch + 2 {
					r.round(batch, step)
				}
				b.ResetTimer()
				for done := 0; done < b.N; done += batch {
					r.round(min(batch, b.N-done), step)
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "submissions/s")
			})
		}
	}
}

// BenchmarkDecodeFull measures the decoding of a full journal, which is needed
// after a conflict. It reports the number of entries and their mean size, each with
// a result of 43 bytes.
func BenchmarkDecodeFull(b *testing.B) {
	r := newBench(0)
	var value []byte
	for !r.full {
		r.round(100, time.Millisecond)
		if r.inFlight != nil {
			value = r.inFlight.Value
		}
	}
	entries, _ := once.DecodeJournal(value)
	for b.Loop() {
		if _, err := once.DecodeJournal(value); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(entries)), "entries")
	b.ReportMetric(float64(len(value))/float64(len(entries)), "B/entry")
}
