package query_test

import (
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// Guards against choices that ignore the reports in replies or in failures, and against a
// summary that misses them.
func TestReportsOfLoadReachTheChoice(t *testing.T) {
	stats, now := query.NewStats(), time.Unix(1000, 0)
	newMachine := func() *query.Machine {
		return singleServiceMachine(stats, false, newReplica("a", "here"), newReplica("b", "here"))
	}
	send := func(m *query.Machine) *query.Send { return sends(m.Start(now))[0] }
	reply := func(m *query.Machine, s *query.Send, load upstream.Load) {
		m.Reply(now, s.Attempt, upstream.Reply{Attempt: s.Attempt, Service: "s", Snapshot: 1, Load: load})
	}
	for i := range 20 {
		m := singleServiceMachine(stats, false, newReplica([]string{"a", "b"}[i%2], "here"))
		s := send(m)
		now = now.Add(5 * time.Millisecond)
		reply(m, s, upstream.Load{InFlight: 1, Slots: 2})
	}
	m := newMachine()
	s := send(m)
	now = now.Add(5 * time.Millisecond)
	reply(m, s, upstream.Load{InFlight: 2, Waiting: 6, Slots: 2})
	if next := send(newMachine()); next.Replica == s.Replica {
		t.Error("a replica with a queue is chosen again")
	}
	now = now.Add(time.Second)
	m = newMachine()
	s = send(m)
	m.Fail(now, s.Attempt, query.Failure{Reason: query.ReasonShed, NotRun: true, Load: upstream.Load{InFlight: 2, Waiting: 30, Slots: 2}})
	summary := stats.SummarizeLoad(now)
	if summary.Replicas != 2 || summary.Informed < 18 || summary.Uninformed > 2 || summary.MedianLoad < 1 {
		t.Errorf("summary is %+v, want two replicas, one of them with a long queue", summary)
	}
	if next := stats.SummarizeLoad(now); next.Informed != 0 || next.Replicas != 2 {
		t.Errorf("next summary is %+v, want no choices", next)
	}
}
