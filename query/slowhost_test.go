package query_test

import (
	"fmt"
	"math/big"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// multiServiceMachine returns a machine for n services with two replicas each, and
// its first sends.
func multiServiceMachine(n int, now time.Time) (*query.Machine, []*query.Send) {
	services := make([]query.Service, n)
	for i, r := range upstream.Split(n) {
		services[i] = query.Service{
			Name: fmt.Sprint("s", i), Partition: r,
			Replicas: []query.Replica{newReplica(fmt.Sprintf("r%d-1", i), "here"), newReplica(fmt.Sprintf("r%d-2", i), "here")},
		}
	}
	m := query.New(query.Plan{
		ID: "q", AnswerTime: time.Second, LatencyGoal: time.Second, Prefer: query.PreferCoverage, MinimumCoverage: big.NewRat(1, 1), LocalDataCentre: "here",
		Groups: []query.Group{{Name: "g", Services: services}},
		Tuning: query.Tuning{Selection: query.LeastExpectedLatency, Hedging: query.HedgeGroupQuantile, HedgeQuantile: 0.9, HedgeDelay: 20 * time.Millisecond, MaxTries: 2, RetryInterval: 4 * time.Millisecond},
	}, query.NewStats(), &unlimitedBudget{}, rand.New(rand.NewPCG(1, 1)))
	return m, sends(m.Start(now))
}

// hedgesUntil runs the timers that are due until end and counts the hedges.
func hedgesUntil(m *query.Machine, end time.Time) int {
	n := 0
	for {
		next, ok := m.Next()
		if !ok || next.After(end) {
			return n
		}
		for _, s := range sends(m.Tick(next)) {
			if s.Hedge {
				n++
			}
		}
	}
}

// Guards against a host with too little processor time that hedges all its
// sub-requests, because it handled none of the replies in time. The hedges would
// double its load.
func TestSlowHostDoesNotHedgeAllParts(t *testing.T) {
	const parts = 40
	start := time.Unix(1000, 0)
	m, first := multiServiceMachine(parts, start)
	if n := hedgesUntil(m, start.Add(35*time.Millisecond)); n != 0 {
		t.Errorf("%d hedges while all %d parts are in flight, want 0", n, parts)
	}
	at := start.Add(36 * time.Millisecond)
	for _, s := range first[:parts-5] {
		m.Reply(at, s.Attempt, upstream.Reply{Attempt: s.Attempt, Service: s.Service, Snapshot: 1, Held: []uint64{1}, Partition: s.Partition})
	}
	if n := hedgesUntil(m, at.Add(30*time.Millisecond)); n != 5 {
		t.Errorf("%d hedges for the 5 remaining parts, want 5", n)
	}
}

// Guards against a query that never hedges if most of its replicas don't reply.
func TestSilentReplicasAreHedgedEventually(t *testing.T) {
	const parts = 40
	start := time.Unix(1000, 0)
	m, _ := multiServiceMachine(parts, start)
	if n := hedgesUntil(m, start.Add(80*time.Millisecond)); n != parts {
		t.Errorf("%d hedges after four hedge delays without a reply, want %d", n, parts)
	}
}
