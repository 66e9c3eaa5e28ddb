package rollout

import (
	"testing"
	"time"
)

func newTestLeader(now time.Time) *Leader {
	cfg := Config{Share: 0.1, Slack: 50}
	o := testOrder("v2", 7)
	r := NextTerm(o, nil, "a", "address", 0)
	return NewLeader(now, cfg, o, r, now)
}

// advance lets the leader decide and store its record at a time after its start.
func advance(l *Leader, after time.Duration, target Target) {
	now := testStart.Add(after)
	l.Advance(now, target)
	r, _ := l.Next(now)
	l.Stored(now, r)
}

// Guards against an order that is never decided because its version has no replicas or gets no
// requests, and against one that is completed without any replica.
func TestOrderWithoutReplicasOrRequests(t *testing.T) {
	l := newTestLeader(testStart)
	advance(l, 11*time.Second, Target{})
	if l.Phase() != PhaseTrial {
		t.Errorf("phase %s before the deadline", l.Phase())
	}
	advance(l, 12*time.Second, Target{})
	if status, due := l.StatusDue(); !due || status.State != RolledBack {
		t.Errorf("without replicas, status %+v is due: %t", status, due)
	}
	idle := newTestLeader(testStart)
	advance(idle, 8*time.Second, Target{Present: true})
	advance(idle, 11*time.Second, Target{Present: true})
	if status, due := idle.StatusDue(); !due || status.State != Completed {
		t.Errorf("without requests, status %+v is due: %t", status, due)
	}
}

// Guards against an order for the version in service that takes its replicas their requests.
func TestOrderForVersionInService(t *testing.T) {
	h := newTestHost()
	h.PutOrder(testStart, testOrder("v1", 7))
	expectVersions(t, "in service", versionsOf(h, testStart, "v1"), "v1")
	l := newTestLeader(testStart)
	target := Target{Present: true, Alone: h.Alone("s", "v1")}
	advance(l, time.Second, target)
	advance(l, 4*time.Second, target)
	if status, due := l.StatusDue(); !due || status.State != Completed {
		t.Errorf("status %+v is due: %t", status, due)
	}
}

// Guards against a completion while a host still has requests at old replicas.
func TestCompletionWaitsForHosts(t *testing.T) {
	l := newTestLeader(testStart)
	report := Report{Order: l.Order().OrderID, Host: "b", Run: 1, Sequence: 1, Requests: 5, Phase: PhaseTrial}
	l.HandleReport(testStart.Add(7*time.Second), report)
	advance(l, 8*time.Second, Target{Present: true})
	report.Sequence, report.Phase, report.OldInFlight = 2, PhaseSwitching, 1
	l.HandleReport(testStart.Add(9*time.Second), report)
	advance(l, 9800*time.Millisecond, Target{Present: true})
	if status, _ := l.StatusDue(); status.State == Completed {
		t.Fatal("completed with a request at an old replica")
	}
	report.Sequence, report.OldInFlight = 3, 0
	l.HandleReport(testStart.Add(9900*time.Millisecond), report)
	advance(l, 10*time.Second, Target{Present: true})
	if status, _ := l.StatusDue(); status.State != Completed {
		t.Errorf("status %+v is due after the last request has ended", status)
	}
}

// Guards against a leader that takes over for an order that the operator has replaced, and
// against one that forgets what was granted before.
func TestTakeOver(t *testing.T) {
	now, old := testStart, testOrder("v2", 7)
	record := NextTerm(old, nil, "a", "address", time.Second)
	record.Requests, record.Reserve = 400, 30
	var c Candidate
	if c.Free(now, "b", old, &record) || c.Free(now.Add(LeaseTime-1), "b", old, &record) {
		t.Error("the lead is free while its lease lasts")
	}
	if !c.Free(now.Add(LeaseTime), "b", old, &record) {
		t.Error("the lead is not free after its lease has ended")
	}
	next := NextTerm(old, &record, "b", "other", 0)
	if next.Fence != record.Fence+1 || next.Reserve != 30 || next.Requests != 400 || next.ElapsedMS != 1000 {
		t.Errorf("the next record is %+v", next)
	}
	longer := old
	longer.Duration, longer.Revision = time.Minute, 9
	if next := NextTerm(longer, &record, "b", "other", 0); next.Reserve != 30 || next.ElapsedMS != 0 {
		t.Errorf("the record of a changed duration is %+v", next)
	}
	taken := NextTerm(longer, &record, "b", "other", 0)
	if c.Free(now.Add(time.Hour), "a", old, &taken) {
		t.Error("an order that was replaced takes the lead back")
	}
}
