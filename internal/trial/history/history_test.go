package history

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/standin/platformstandin"
	"github.com/marigoldlever/marigoldlever/internal/standin/upstreamstandin"
	"github.com/marigoldlever/marigoldlever/upstream"
)

func at(ms int) time.Time { return time.UnixMilli(int64(ms)) }

func span(start, end int) Span { return Span{at(start), at(end)} }

func invariants(found []Violation) string {
	text := ""
	for _, v := range found {
		text += v.Invariant + " "
	}
	return text
}

// Guards against key checkers that miss a violation or report one in a valid
// history. Each case violates one rule or is valid.
func TestCheckKeys(t *testing.T) {
	run := func(ms int, slip string) upstreamstandin.Run {
		return upstreamstandin.Run{Key: "k", Slip: slip, Time: at(ms)}
	}
	ran := func(s Span, slip string) Submission {
		return Submission{Span: s, Key: "k", Value: "v", Echo: "v", Run: api.Ran, Slip: slip}
	}
	notRun := func(s Span) Submission { return Submission{Span: s, Key: "k", Value: "v", Run: api.NotRun} }
	unknown := func(s Span) Submission { return Submission{Span: s, Key: "k", Value: "v", Run: api.MayHaveRun} }
	otherResult := ran(span(0, 9), "1")
	otherResult.Echo = "other"
	cases := []struct {
		name        string
		submissions []Submission
		runs        []upstreamstandin.Run
		want, order string
	}{
		{"ran once", []Submission{ran(span(0, 9), "1"), ran(span(10, 11), "1")}, []upstreamstandin.Run{run(5, "1")}, "", ""},
		{"ran twice", []Submission{ran(span(0, 9), "1"), ran(span(10, 19), "2")},
			[]upstreamstandin.Run{run(5, "1"), run(15, "2")}, "R7 ", "R7 "},
		{"answered ran, but no run recorded", []Submission{ran(span(0, 9), "1")}, nil, "R6 ", ""},
		{"result of another request", []Submission{otherResult}, []upstreamstandin.Run{run(5, "1")}, "R5 ", ""},
		{"answered not_run after the run", []Submission{notRun(span(0, 9))}, []upstreamstandin.Run{run(5, "1")}, "R6 ", ""},
		{"answered not_run before the run", []Submission{notRun(span(0, 9))}, []upstreamstandin.Run{run(15, "1")}, "R6 ", ""},
		{"answered not_run, then an earlier submission runs", []Submission{unknown(span(0, 4)), notRun(span(5, 9))},
			[]upstreamstandin.Run{run(15, "1")}, "R6 ", ""},
		{"answered not_run, submitted again, ran", []Submission{notRun(span(0, 9)), ran(span(10, 19), "1")}, []upstreamstandin.Run{run(15, "1")}, "", ""},
		{"answered ran, then not_run", []Submission{ran(span(0, 9), "1"), notRun(span(10, 19))}, []upstreamstandin.Run{run(5, "1")}, "R6 ", "R7 "},
	}
	for _, c := range cases {
		runs := map[string][]upstreamstandin.Run{"k": c.runs}
		if got := invariants(CheckKeys(c.submissions, runs)); got != c.want {
			t.Errorf("%s: CheckKeys found %q, want %q", c.name, got, c.want)
		}
		if got := invariants(CheckKeyLinearizability(c.submissions)); got != c.order {
			t.Errorf("%s: CheckKeyLinearizability found %q, want %q", c.name, got, c.order)
		}
	}
}

// Guards against an answer checker that accepts mixed snapshots, a wrong coverage,
// overlapping parts, parts of another query or malformed records.
func TestCheckAnswer(t *testing.T) {
	halves := upstream.Split(2)
	part := func(service, value string, snapshot uint64, r upstream.HashRange) api.Part {
		records, _ := json.Marshal(upstreamstandin.ReadResult{Service: service, Partition: r, Snapshot: snapshot, Request: RequestBody(value)})
		return api.Part{Service: service, Partition: r, Records: records}
	}
	answer := func(share float64, complete bool, parts ...api.Part) AnsweredQuery {
		g := api.GroupCoverage{Group: "g", Share: share}
		if !complete {
			g.Missing = []api.Missing{{Service: "b"}}
		}
		return AnsweredQuery{Value: "v", GroupByService: map[string]string{"a": "g", "b": "g"}, Answer: api.Answer{
			Snapshot: 7, Parts: parts, Coverage: api.Coverage{Share: share, Complete: complete, Groups: []api.GroupCoverage{g}},
		}}
	}
	a, b := part("a", "v", 7, halves[0]), part("b", "v", 7, halves[1])
	truncated := b
	truncated.Records = truncated.Records[:len(truncated.Records)/2]
	cases := []struct {
		name string
		in   AnsweredQuery
		want string
	}{
		{"complete", answer(1, true, a, b), ""},
		{"half", answer(0.5, false, a), ""},
		{"mixed snapshots", answer(1, true, a, part("b", "v", 8, halves[1])), "R1 "},
		{"half reported as complete", answer(1, true, a), "R2 R2 R2 R2 "},
		{"overlapping parts", answer(1, true, a, b, part("b", "v", 7, upstream.Split(4)[3])), "R2 R2 R2 R2 R2 "},
		{"part of another query", answer(1, true, a, part("b", "w", 7, halves[1])), "R5 "},
		{"truncated records", answer(1, true, a, truncated), "R5 "},
	}
	for _, c := range cases {
		if got := invariants(CheckAnswer(c.in)); got != c.want {
			t.Errorf("%s: CheckAnswer found %q, want %q: %v", c.name, got, c.want, CheckAnswer(c.in))
		}
	}
}

// Guards against configuration checkers that accept lost, duplicate or reverted
// versions.
func TestCheckConfiguration(t *testing.T) {
	accepted := func(s Span, id string, base uint64) Patch {
		return Patch{Span: s, ID: id, Base: base, Outcome: Accepted, Number: base + 1}
	}
	stale := func(s Span, id string, base uint64) Patch { return Patch{Span: s, ID: id, Base: base, Outcome: Stale} }
	cases := []struct {
		name    string
		patches []Patch
		want    string
	}{
		{"in order", []Patch{accepted(span(0, 9), "a", 1), accepted(span(10, 19), "b", 2), stale(span(20, 29), "c", 1)}, ""},
		{"lost answer, then resent", []Patch{{Span: span(0, 9), ID: "a", Base: 1, Outcome: Unknown}, accepted(span(10, 19), "a", 1)}, ""},
		{"two accepted on the same base", []Patch{accepted(span(0, 9), "a", 1), accepted(span(0, 9), "b", 1)}, "R10 "},
		{"stale on the current base", []Patch{stale(span(0, 9), "a", 1)}, "R10 "},
		{"refused, but applied", []Patch{{Span: span(0, 9), ID: "a", Base: 1, Outcome: Refused}, accepted(span(10, 19), "b", 2)}, "R10 "},
	}
	for _, c := range cases {
		if got := invariants(CheckPatches(1, c.patches)); got != c.want {
			t.Errorf("%s: CheckPatches found %q, want %q", c.name, got, c.want)
		}
	}
	observed := []ObservedNumber{{"h", at(0), 2, "x"}, {"h", at(5000), 1, "y"}, {"i", at(5000), 2, "z"}}
	if got := invariants(CheckConfigurationNumbers(observed)); got != "R10 R10 " {
		t.Errorf("CheckConfigurationNumbers found %q, want two violations of R10", got)
	}
	writes := []platformstandin.Write{{Version: 2, Time: at(0)}}
	if got := invariants(CheckInForce(writes, observed, 4*time.Second)); got != "R10 " {
		t.Errorf("CheckInForce found %q, want one violation of R10", got)
	}
}

// Guards against checkers of the upstream records that ignore one of the fields.
func TestCheckRecords(t *testing.T) {
	bad := []upstreamstandin.ReplicaRecord{
		{QueuedLong: 1}, {OverCapacityCold: 1}, {FallOvers: 1}, {RefusedConnections: 1}, {Connections: 2, PeakConnections: 3},
	}
	for _, r := range bad {
		if got := invariants(CheckLoad([]upstreamstandin.ReplicaRecord{r}, 0)); got != "R3 " {
			t.Errorf("%+v: CheckLoad found %q, want one violation of R3", r, got)
		}
	}
	cold := upstreamstandin.ReplicaRecord{Slots: 2, OverCapacityCold: 2, QueuedLong: 1}
	if got := invariants(CheckLoad([]upstreamstandin.ReplicaRecord{cold}, 1)); got != "R3 " {
		t.Errorf("two requests above the cold floor after one cold start: CheckLoad found %q, want one violation of R3", got)
	}
	late := upstreamstandin.ReplicaRecord{
		AfterOut: upstreamstandin.Arrivals{LastMS: 3001}, AfterLeave: upstreamstandin.Arrivals{LastMS: 3001},
	}
	if got := invariants(CheckWorkStops([]upstreamstandin.ReplicaRecord{late}, 3*time.Second)); got != "R4 R8 " {
		t.Errorf("CheckWorkStops found %q, want R4 and R8", got)
	}
}
