package query_test

import (
	"math/big"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// paid is a RetryBudget that pays for everything.
type paid struct{ taken int }

func (*paid) Deposit(time.Time, string, int)             {}
func (p *paid) TryWithdraw(time.Time, string, bool) bool { p.taken++; return true }

// single returns a machine for one service with the given replicas.
func single(stats *query.Stats, atMostOnce bool, replicas ...query.Replica) *query.Machine {
	return query.New(query.Plan{
		ID: "q", AnswerTime: time.Second, LatencyGoal: time.Second, Prefer: query.PreferCoverage, MinimumCoverage: big.NewRat(1, 1), AtMostOnce: atMostOnce, LocalDataCentre: "here",
		Groups: []query.Group{{Name: "g", Services: []query.Service{{Name: "s", Replicas: replicas}}}},
		Tuning: query.Tuning{Selection: query.LeastExpectedLatency, Hedging: query.HedgeGroupQuantile, HedgeQuantile: 0.9, HedgeDelay: 20 * time.Millisecond, MaxTries: 2, RetryInterval: time.Millisecond},
	}, stats, &paid{}, rand.New(rand.NewPCG(1, 1)))
}

func held(id, dataCentre string) query.Replica {
	return query.Replica{ID: id, DataCentre: dataCentre, Held: []uint64{1}}
}

func sends(actions []query.Action) (out []*query.Send) {
	for _, a := range actions {
		if s, ok := a.(*query.Send); ok {
			out = append(out, s)
		}
	}
	return out
}

func finished(actions []query.Action) *query.Finish {
	for _, a := range actions {
		if f, ok := a.(*query.Finish); ok {
			return f
		}
	}
	return nil
}

// Guards against work for a replica that is known to be worse placed.
func TestLeastExpectedOrder(t *testing.T) {
	cold, lapsed, unreached, far := held("cold", "here"), held("lapsed", "here"), held("unreached", "here"), held("far", "there")
	cold.Cold, lapsed.Lapsed, unreached.Unreachable = true, true, true
	for _, c := range []struct {
		name     string
		replicas []query.Replica
		want     string
	}{
		{"home first", []query.Replica{far, held("near", "here")}, "near"},
		{"far before lapsed", []query.Replica{lapsed, far}, "far"},
		{"lapsed before cold", []query.Replica{cold, lapsed}, "lapsed"},
		{"cold before out of reach", []query.Replica{unreached, cold}, "cold"},
	} {
		got := sends(single(query.NewStats(), false, c.replicas...).Start(time.Unix(1000, 0)))
		if len(got) != 1 || got[0].Replica != c.want {
			t.Errorf("%s: sent to %v, want %s", c.name, got, c.want)
		}
	}
}

// Guards against requests that go on to a replica that has stalled.
func TestStalledReplicaIsLeft(t *testing.T) {
	stats, now := query.NewStats(), time.Unix(1000, 0)
	first := sends(single(stats, false, held("near", "here"), held("far", "there")).Start(now))
	second := sends(single(stats, false, held("near", "here"), held("far", "there")).Start(now.Add(100 * time.Millisecond)))
	if first[0].Replica != "near" || second[0].Replica != "far" {
		t.Errorf("sent to %s and, while it was silent for 100 ms, to %s", first[0].Replica, second[0].Replica)
	}
}

// Guards against a request that runs twice, or is called not run, although it may
// have run.
func TestAtMostOnceStopsAfterALoss(t *testing.T) {
	now := time.Unix(1000, 0)
	m := single(query.NewStats(), true, held("a", "here"), held("b", "here"))
	s := sends(m.Start(now))
	if due, _ := m.Next(); due.Before(now.Add(900 * time.Millisecond)) {
		t.Errorf("the next event is due %v after the start, want no hedge", due.Sub(now))
	}
	actions := m.Fail(now.Add(time.Millisecond), s[0].Attempt, query.Failure{Reason: query.ReasonBroken})
	f := finished(actions)
	if len(sends(actions)) != 0 || f == nil || f.Refusal == nil || !f.MayHaveRun {
		t.Errorf("actions are %v, want a refusal that may have run", actions)
	}
}

// Guards against giving up while it is certain that the request has not run, and
// against a refusal that does not say so.
func TestNotRunIsTriedAgainAndCounted(t *testing.T) {
	now := time.Unix(1000, 0)
	m := single(query.NewStats(), true, held("a", "here"), held("b", "here"))
	s := sends(m.Start(now))
	actions := m.Fail(now, s[0].Attempt, query.Failure{Reason: query.ReasonShed, NotRun: true})
	next := sends(actions)
	if len(next) != 1 || next[0].Replica == s[0].Replica {
		t.Fatalf("actions are %v, want a send to the other replica", actions)
	}
	var f *query.Finish
	id := next[0].Attempt
	for step := 1; f == nil && step < 100; step++ {
		actions = m.Fail(now.Add(time.Duration(step)*time.Millisecond), id, query.Failure{Reason: query.ReasonShed, NotRun: true})
		for f = finished(actions); f == nil && len(sends(actions)) == 0; f = finished(actions) {
			due, ok := m.Next()
			if !ok {
				t.Fatal("the machine waits for nothing")
			}
			actions = m.Tick(due)
		}
		if more := sends(actions); len(more) > 0 {
			id = more[0].Attempt
		}
	}
	if f == nil || f.Refusal == nil || f.MayHaveRun {
		t.Errorf("finish is %+v, want a refusal that has not run", f)
	}
}

// Guards against an answer that is called not run although a reply was merged.
func TestReplyMayHaveRun(t *testing.T) {
	now := time.Unix(1000, 0)
	m := single(query.NewStats(), false, held("a", "here"))
	s := sends(m.Start(now))
	f := finished(m.Reply(now, s[0].Attempt, upstream.Reply{Attempt: s[0].Attempt, Service: "s", Snapshot: 1}))
	if f == nil || f.Refusal != nil || !f.MayHaveRun || f.Answer.Parts[0].Attempt != s[0].Attempt {
		t.Errorf("finish is %+v", f)
	}
}
