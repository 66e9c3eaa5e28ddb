package scatter_test

import (
	"context"
	"encoding/json"
	"math/big"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// answeringSender answers each attempt at once with records of the given size.
type answeringSender struct{ recordBytes int }

func (s answeringSender) Send(_ context.Context, attempts []scatter.Attempt) {
	for _, a := range attempts {
		go a.Done(upstream.Reply{Attempt: a.ID, Service: a.Request.Service, Snapshot: a.Request.Snapshot, Partition: a.Request.Partition, Records: make(json.RawMessage, s.recordBytes)}, nil)
	}
}

func (answeringSender) Cancel([]string) {}

// Guards against replies that take more memory than a query may hold: those that find none left
// are missing from the answer, which says so, and the memory is held until it is given back.
func TestRepliesTakeMemory(t *testing.T) {
	const services, recordBytes, room = 4, 1000, 2
	e := scatter.New(scatter.Config{Stripes: 1, RetryBudget: func() query.RetryBudget { return query.NewRatioBudget(0, 0) }, Seed: 1})
	group := query.Group{Name: "g"}
	for i, name := range []string{"a", "b", "c", "d"} {
		const quarter = 1 << 62
		part := upstream.HashRange{Start: uint64(i) * quarter, End: uint64(i+1) * quarter}
		group.Services = append(group.Services, query.Service{Name: name, Partition: part, Replicas: []query.Replica{{ID: name, DataCentre: "dc", Held: []uint64{1}}}})
	}
	plan := query.Plan{ID: "q", Contract: "c", Groups: []query.Group{group}, AnswerTime: 200 * time.Millisecond, MinimumCoverage: new(big.Rat), Prefer: query.PreferCoverage}
	budget := membudget.New(room*recordBytes + recordBytes/2)
	hold := budget.NewHold()
	finish, err := e.Run(t.Context(), answeringSender{recordBytes}, plan, nil, hold)
	if err != nil || finish.Refusal != nil {
		t.Fatalf("the query ended with %v, %v", err, finish.Refusal)
	}
	if n := len(finish.Answer.Parts); n != room {
		t.Errorf("%d of %d parts are in the answer, want %d", n, services, room)
	}
	if budget.Reserve(recordBytes) {
		t.Error("the memory of the answer was given back before the answer was written")
	}
	hold.Release()
	if !budget.Reserve(room * recordBytes) {
		t.Error("memory is still held after the answer")
	}
	if hold.Take(1) {
		t.Error("a late reply took memory that nobody gives back")
	}
}
