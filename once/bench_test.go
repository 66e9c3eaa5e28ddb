package once_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/once"
	"github.com/marigoldlever/marigoldlever/platform"
)

// bench runs rounds of submissions to one journal, each recorded in one update,
// dispatched, answered, and its outcome written with the next round.
type bench struct {
	m       *once.Machine
	now     time.Time
	version uint64
	written int64
	value   []byte
	writes  int
	serial  int
}

var benchResult = json.RawMessage(`{"slip":"ABK-2026-0001234","paid":"4120.00"}`)

func newBench(interval time.Duration) *bench {
	cfg := once.DefaultConfig()
	cfg.Journals = 1
	cfg.UpdateInterval = 0
	cfg.OutcomeDelay = interval
	cfg.CacheTime = time.Hour
	m, err := once.New(cfg, "host-1/incarnation-1", rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		panic(err)
	}
	return &bench{m: m, now: epoch}
}

func (b *bench) take(acts []once.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case once.Read:
			b.take(b.m.ReadDone(b.now, 0, platform.Object{}, nil))
		case once.Write:
			b.version = a.Base + 1
			b.value = a.Value
			b.written += int64(len(a.Value))
			b.writes++
		case once.Dispatch:
			b.take(b.m.DispatchDone(b.now, a.Attempt, once.DispatchResult{Kind: once.DispatchRan, Body: benchResult}))
		case once.Answer:
			if a.Outcome.Run != once.RunRan {
				panic(fmt.Sprint(a.Outcome))
			}
		}
	}
}

// round submits n requests while an update is on its way.
func (b *bench) round(n int, step time.Duration) {
	b.now = b.now.Add(step)
	for range n {
		b.serial++
		b.take(b.m.Submit(b.now, once.Submission{
			Key: once.NewKey(b.now, fmt.Sprintf("r%011d", b.serial)), Number: 1,
			Service: "payout-desk", Contract: "gate", Body: benchResult, Deadline: b.now.Add(time.Hour),
		}))
	}
	if b.value != nil {
		b.value = nil
		b.take(b.m.WriteDone(b.now, 0, platform.Object{Version: b.version}, nil))
	}
}

// BenchmarkSubmit measures one submission, with its outcome, at several batch
// sizes and numbers of entries that the journal holds.
func BenchmarkSubmit(b *testing.B) {
	for _, entries := range []int{1000, 4000} {
		for _, batch := range []int{1, 10, 100} {
			b.Run(fmt.Sprintf("entries=%d/batch=%d", entries, batch), func(b *testing.B) {
				retention := once.DefaultConfig().Retention()
				step := retention * time.Duration(batch) / time.Duration(entries)
				r := newBench(step / 2)
				for range entries/batch + 2 {
					r.round(batch, step)
				}
				first, writes, written := r.serial, r.writes, r.written
				b.ResetTimer()
				for r.serial-first < b.N {
					r.round(min(batch, b.N-r.serial+first), step)
				}
				n := float64(r.serial - first)
				b.ReportMetric(float64(r.writes-writes)/n, "updates/op")
				b.ReportMetric(float64(r.written-written)/n, "written-B/op")
				b.ReportMetric(n/b.Elapsed().Seconds(), "submissions/s")
			})
		}
	}
}

// BenchmarkDecode measures the read of a journal after a conflict, and reports
// the size of an entry.
func BenchmarkDecode(b *testing.B) {
	r := newBench(0)
	for range 3 {
		r.round(1000, time.Millisecond)
	}
	entries, err := once.DecodeJournal(r.value)
	if err != nil {
		b.Fatal(err)
	}
	value := r.value
	b.ReportAllocs()
	for b.Loop() {
		if _, err := once.DecodeJournal(value); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(value))/float64(len(entries)), "B/entry")
	b.ReportMetric(b.Elapsed().Seconds()*1e9/float64(b.N*len(entries)), "ns/entry")
}
