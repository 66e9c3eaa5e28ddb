package query_test

import (
	"math/big"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// unlimitedBudget is a RetryBudget that allows every extra send.
type unlimitedBudget struct{ withdrawals int }

func (*unlimitedBudget) Deposit(time.Time, string, int)             {}
func (p *unlimitedBudget) TryWithdraw(time.Time, string, bool) bool { p.withdrawals++; return true }

// singleServiceMachine returns a machine for one service with the given replicas.
func singleServiceMachine(stats *query.Stats, atMostOnce bool, replicas ...query.Replica) *query.Machine {
	return query.New(query.Plan{
		ID: "q", AnswerTime: time.Second, LatencyGoal: time.Second, Prefer: query.PreferCoverage, MinimumCoverage: big.NewRat(1, 1), AtMostOnce: atMostOnce, LocalDataCentre: "here",
		Groups: []query.Group{{Name: "g", Services: []query.Service{{Name: "s", Replicas: replicas}}}},
		Tuning: query.Tuning{Selection: query.LeastExpectedLatency, Hedging: query.HedgeGroupQuantile, HedgeQuantile: 0.9, HedgeDelay: 20 * time.Millisecond, MaxTries: 2, RetryInterval: time.Millisecond},
	}, stats, &unlimitedBudget{}, rand.New(rand.NewPCG(1, 1)))
}

// newReplica returns a replica that holds snapshot 1.
func newReplica(id, dataCentre string) query.Replica {
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

// findFinish returns the Finish among the actions, or nil.
func findFinish(actions []query.Action) *query.Finish {
	for _, a := range actions {
		if f, ok := a.(*query.Finish); ok {
			return f
		}
	}
	return nil
}

// Guards against choosing a remote, lapsed, cold or unreachable replica while a
// better one is usable.
func TestLeastExpectedLatencyPrefersBetterPlacedReplicas(t *testing.T) {
	cold, lapsed, unreachable, far := newReplica("cold", "here"), newReplica("lapsed", "here"), newReplica("unreached", "here"), newReplica("far", "there")
	cold.Cold, lapsed.Lapsed, unreachable.Unreachable = true, true, true
	for _, c := range []struct {
		name     string
		replicas []query.Replica
		want     string
	}{
		{"local before remote", []query.Replica{far, newReplica("near", "here")}, "near"},
		{"remote before lapsed", []query.Replica{lapsed, far}, "far"},
		{"lapsed before cold", []query.Replica{cold, lapsed}, "lapsed"},
		{"cold before unreachable", []query.Replica{unreachable, cold}, "cold"},
	} {
		got := sends(singleServiceMachine(query.NewStats(), false, c.replicas...).Start(time.Unix(1000, 0)))
		if len(got) != 1 || got[0].Replica != c.want {
			t.Errorf("%s: sent to %v, want %s", c.name, got, c.want)
		}
	}
}

// Guards against further requests to a replica that has stalled.
func TestStalledReplicaIsAvoided(t *testing.T) {
	stats, now := query.NewStats(), time.Unix(1000, 0)
	first := sends(singleServiceMachine(stats, false, newReplica("near", "here"), newReplica("far", "there")).Start(now))
	second := sends(singleServiceMachine(stats, false, newReplica("near", "here"), newReplica("far", "there")).Start(now.Add(100 * time.Millisecond)))
	if first[0].Replica != "near" || second[0].Replica != "far" {
		t.Errorf("first request sent to %s; second one, after 100 ms without a reply, to %s", first[0].Replica, second[0].Replica)
	}
}

// Guards against an at-most-once request that is hedged or retried although it may
// have run, or that is reported as not run.
func TestAtMostOnceDoesNotRetryLostRequest(t *testing.T) {
	now := time.Unix(1000, 0)
	m := singleServiceMachine(query.NewStats(), true, newReplica("a", "here"), newReplica("b", "here"))
	s := sends(m.Start(now))
	if due, _ := m.Next(); due.Before(now.Add(900 * time.Millisecond)) {
		t.Errorf("next timer is due %v after the start, want no hedge", due.Sub(now))
	}
	actions := m.Fail(now.Add(time.Millisecond), s[0].Attempt, query.Failure{Reason: query.ReasonBroken})
	f := findFinish(actions)
	if len(sends(actions)) != 0 || f == nil || f.Refusal == nil || !f.MayHaveRun {
		t.Errorf("actions are %v, want a refusal with MayHaveRun", actions)
	}
}

// Guards against giving up on an at-most-once request that is known not to have run,
// and against a refusal that reports MayHaveRun for it.
func TestNotRunRequestIsRetried(t *testing.T) {
	now := time.Unix(1000, 0)
	m := singleServiceMachine(query.NewStats(), true, newReplica("a", "here"), newReplica("b", "here"))
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
		for f = findFinish(actions); f == nil && len(sends(actions)) == 0; f = findFinish(actions) {
			due, ok := m.Next()
			if !ok {
				t.Fatal("machine has neither a timer nor an attempt in flight")
			}
			actions = m.Tick(due)
		}
		if more := sends(actions); len(more) > 0 {
			id = more[0].Attempt
		}
	}
	if f == nil || f.Refusal == nil || f.MayHaveRun {
		t.Errorf("finish is %+v, want a refusal without MayHaveRun", f)
	}
}

// Guards against an answer that is reported as not run although a reply was merged.
func TestMergedReplyMayHaveRun(t *testing.T) {
	now := time.Unix(1000, 0)
	m := singleServiceMachine(query.NewStats(), false, newReplica("a", "here"))
	s := sends(m.Start(now))
	f := findFinish(m.Reply(now, s[0].Attempt, upstream.Reply{Attempt: s[0].Attempt, Service: "s", Snapshot: 1}))
	if f == nil || f.Refusal != nil || !f.MayHaveRun || f.Answer.Parts[0].Attempt != s[0].Attempt {
		t.Errorf("finish is %+v, want an answer with MayHaveRun and the merged attempt", f)
	}
}
