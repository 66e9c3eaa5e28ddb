package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/replicas"
)

var testStart = time.Unix(1000, 0)

func newTestHost() *Host {
	h := NewHost(Config{Share: 0.1, Slack: 50, SettleTime: 5 * time.Second}, "host", 1)
	h.SeeReplica(testStart, "s", "v1")
	h.SetListed()
	h.SetOrdersAvailable(testStart, true)
	return h
}

func testOrder(version string, created uint64) Order {
	return Order{OrderID: OrderID{Name: "s", Service: "s", Version: version, Duration: 12 * time.Second, Created: created}, Revision: created}
}

// versionsOf returns the versions of the service that may get a request, of replicas of the
// given versions.
func versionsOf(h *Host, now time.Time, versions ...string) (got []string) {
	var candidates []replicas.Candidate
	for _, v := range versions {
		candidates = append(candidates, replicas.Candidate{Replica: replicas.Replica{ID: "replica-" + v, Service: "s", Version: v}})
	}
	chosen, _ := h.Choose(now, "s", candidates)
	for _, c := range chosen {
		got = append(got, c.Version)
	}
	return got
}

func expectVersions(t *testing.T, what string, got []string, want ...string) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%s: versions %v get requests, want %v", what, got, want)
	}
	for i := range got {
		if got[i] != want[i] {
			t.Fatalf("%s: versions %v get requests, want %v", what, got, want)
		}
	}
}

// Guards against replicas of a new version that get requests before the order for them is
// seen, and against versions that are withheld although no order follows or nothing else is
// left.
func TestNewVersionWaitsForOrder(t *testing.T) {
	h, now := newTestHost(), testStart.Add(time.Minute)
	h.SeeReplica(now, "s", "v2")
	expectVersions(t, "new", versionsOf(h, now, "v1", "v2"), "v1")
	expectVersions(t, "nothing else", versionsOf(h, now, "v2"), "v2")
	h.SetOrdersAvailable(now, false)
	expectVersions(t, "orders unknown", versionsOf(h, now.Add(time.Minute), "v1", "v2"), "v1")
	h.SetOrdersAvailable(now, true)
	expectVersions(t, "settled", versionsOf(h, now.Add(5*time.Second), "v1", "v2"), "v1", "v2")
}

// Guards against versions that are told apart where they differed before this host started,
// and against an order that leaves its version among the others.
func TestVersionsOfFirstListAreServed(t *testing.T) {
	h := NewHost(Config{Share: 0.1, Slack: 50, SettleTime: 5 * time.Second}, "host", 1)
	h.SeeReplica(testStart, "s", "v1")
	h.SeeReplica(testStart, "s", "v2")
	h.SetListed()
	expectVersions(t, "first list", versionsOf(h, testStart, "v1", "v2"), "v1", "v2")
	h.PutOrder(testStart, testOrder("v2", 7))
	expectVersions(t, "ordered", versionsOf(h, testStart, "v1", "v2"), "v1")
}

// Guards against a version that gets requests again after it was rolled back, also when the
// order is removed, and against one that stays refused when it is ordered again.
func TestRolledBackVersionGetsNothing(t *testing.T) {
	h, now := newTestHost(), testStart
	h.SeeReplica(now, "s", "v2")
	o := testOrder("v2", 7)
	h.PutOrder(now, o)
	o.Revision, o.Status = 8, Status{State: RolledBack, Version: "v2"}
	h.PutOrder(now, o)
	later := now.Add(time.Hour)
	expectVersions(t, "rolled back", versionsOf(h, later, "v1", "v2"), "v1")
	expectVersions(t, "alone", versionsOf(h, later, "v2"))
	h.RemoveOrder(later, "s")
	expectVersions(t, "removed", versionsOf(h, later, "v1", "v2"), "v1")
	if _, ok := h.Admit(later, "s", "v2", func() bool { return true }); ok {
		t.Error("a request to a version that was rolled back is admitted")
	}
	h.PutOrder(later, testOrder("v2", 20))
	h.HandleReply(later, later, Reply{Order: testOrder("v2", 20).OrderID, Fence: 1, Phase: PhaseTrial, Granted: 1})
	expectVersions(t, "ordered again", versionsOf(h, later, "v1", "v2"), "v2", "v1")
}

// Guards against requests to replaced replicas, which have stopped, and against a host that
// starts after the roll-out and knows only the status.
func TestCompletedVersionReplacesOthers(t *testing.T) {
	o := testOrder("v2", 7)
	o.Status = Status{State: Completed, Version: "v2"}
	h := newTestHost()
	h.SeeReplica(testStart, "s", "v2")
	h.PutOrder(testStart, o)
	expectVersions(t, "completed", versionsOf(h, testStart, "v1", "v2"), "v2")
	h.SeeReplica(testStart, "s", "v3")
	expectVersions(t, "next", versionsOf(h, testStart, "v1", "v2", "v3"), "v2")
}

// Guards against two orders for one service that are carried out at the same time: the older
// one goes first, and the version of the other gets nothing meanwhile.
func TestOlderOrderGoesFirst(t *testing.T) {
	h := newTestHost()
	second := testOrder("v3", 9)
	second.Name = "other"
	h.PutOrder(testStart, second)
	h.PutOrder(testStart, testOrder("v2", 7))
	if trials := h.Trials(); len(trials) != 1 || trials[0].Version != "v2" {
		t.Fatalf("carried out: %+v", trials)
	}
	h.SeeReplica(testStart, "s", "v2")
	h.SeeReplica(testStart, "s", "v3")
	expectVersions(t, "first order", versionsOf(h, testStart.Add(time.Minute), "v1", "v2", "v3"), "v1")
	done := testOrder("v2", 7)
	done.Revision, done.Status = 10, Status{State: RolledBack, Version: "v2"}
	h.PutOrder(testStart, done)
	if trials := h.Trials(); len(trials) != 1 || trials[0].Version != "v3" {
		t.Fatalf("carried out after the first was decided: %+v", trials)
	}
}

// Guards against a version that is served like others after its order was changed or removed
// halfway, and against grants that outlive their order.
func TestOrderEndsHalfway(t *testing.T) {
	h := newTestHost()
	h.SeeReplica(testStart, "s", "v2")
	h.SeeReplica(testStart, "s", "v3")
	o := testOrder("v2", 7)
	h.PutOrder(testStart, o)
	h.HandleReply(testStart, testStart, Reply{Order: o.OrderID, Fence: 1, Phase: PhaseTrial, Granted: 5})
	expectVersions(t, "granted", versionsOf(h, testStart, "v1", "v2"), "v2", "v1")
	changed := testOrder("v3", 7)
	changed.Revision = 8
	h.PutOrder(testStart, changed)
	expectVersions(t, "changed", versionsOf(h, testStart.Add(time.Hour), "v1", "v2", "v3"), "v1")
	h.HandleReply(testStart, testStart, Reply{Order: o.OrderID, Fence: 1, Phase: PhaseSwitching})
	expectVersions(t, "late reply", versionsOf(h, testStart, "v1", "v2", "v3"), "v1")
	h.RemoveOrder(testStart, "s")
	expectVersions(t, "removed", versionsOf(h, testStart.Add(time.Hour), "v1", "v2", "v3"), "v1")
}

// Guards against a host that goes on using grants after it has lost the leader, and against one
// that goes back to the old replicas once it was told to leave them.
func TestCutOffHostOnlyLowersItsShare(t *testing.T) {
	h := newTestHost()
	h.SeeReplica(testStart, "s", "v2")
	o := testOrder("v2", 7)
	h.PutOrder(testStart, o)
	h.HandleReply(testStart, testStart, Reply{Order: o.OrderID, Fence: 1, Phase: PhaseTrial, Granted: 5})
	later := testStart.Add(maxGrantLifetime)
	expectVersions(t, "cut off", versionsOf(h, later, "v1", "v2"), "v1")
	if r, _ := h.Report(later, o.OrderID); r.Returned != 5 {
		t.Errorf("the host returns %d sends", r.Returned)
	}
	h.HandleReply(later, later, Reply{Order: o.OrderID, Fence: 1, Phase: PhaseSwitching, Granted: 5})
	expectVersions(t, "switching", versionsOf(h, later.Add(time.Hour), "v1", "v2"), "v2")
}

// Guards against a host that waits for the leader to stop sends to a version that it has seen
// fail.
func TestHostStopsByItself(t *testing.T) {
	h := newTestHost()
	h.SeeReplica(testStart, "s", "v2")
	o := testOrder("v2", 7)
	h.PutOrder(testStart, o)
	h.HandleReply(testStart, testStart, Reply{Order: o.OrderID, Fence: 1, Phase: PhaseTrial, Granted: 50})
	sent := 0
	for range 50 {
		if pass, ok := h.Admit(testStart, "s", "v2", func() bool { return true }); ok {
			sent++
			h.Finish(pass, "route", Failed, time.Millisecond)
		}
	}
	if sent > 5 {
		t.Errorf("the host sent %d requests to a version that answered none", sent)
	}
}

// Guards against a version that is bad on one route only, or only slow, and is not noticed, and
// against a good one that is taken for bad because all versions are slow at times.
func TestJudge(t *testing.T) {
	usual := func(r *RouteTally) {
		for i := range 100 {
			r.Old.record(Answered, time.Duration(15+i%5)*time.Millisecond)
		}
		for range 6 {
			r.Old.record(Answered, 150*time.Millisecond)
		}
		for range 25 {
			r.New.record(Answered, 18*time.Millisecond)
		}
	}
	for _, c := range []struct {
		name    string
		change  func(Tally)
		verdict Verdict
	}{
		{"like the old one", func(t Tally) { t["b"].New.record(Answered, 150*time.Millisecond) }, Good},
		{"fails on one route", func(t Tally) {
			for range 6 {
				t["b"].New.record(Failed, time.Millisecond)
			}
		}, Bad},
		{"slow", func(t Tally) {
			for range 8 {
				t["a"].New.record(Answered, 55*time.Millisecond) // three times as slow
			}
		}, Bad},
		{"never answers", func(t Tally) {
			for range 8 {
				t["a"].New.record(Cut, time.Second)
			}
		}, Bad},
		{"cut early by the caller", func(t Tally) {
			for range 8 {
				t["a"].New.record(Cut, 5*time.Millisecond)
			}
		}, Good},
	} {
		tally := Tally{}
		for _, route := range []string{"a", "b", "c"} {
			usual(tally.route(route))
		}
		c.change(tally)
		if e := judge(tally); e.Verdict != c.verdict {
			t.Errorf("%s: %+v, want verdict %d", c.name, e, c.verdict)
		}
	}
}

// Guards against requests that fail because the switch comes between the choice of a replica and
// the send, and against a leader that is told too early that none go to old replicas.
func TestChosenReplicaOutlastsSwitch(t *testing.T) {
	h := newTestHost()
	o := testOrder("v2", 7)
	h.SeeReplica(testStart, "s", "v2")
	h.PutOrder(testStart, o)
	h.HandleReply(testStart, testStart, Reply{Order: o.OrderID, Fence: 1, Phase: PhaseSwitching})
	expectVersions(t, "switching", versionsOf(h, testStart, "v1", "v2"), "v2")
	pass, ok := h.Admit(testStart, "s", "v1", func() bool { return false })
	if r, _ := h.Report(testStart, o.OrderID); !ok || !h.Permits(testStart, "s", "v1") || r.Phase == PhaseSwitching {
		t.Errorf("a request that was chosen before is admitted: %t, the report is %+v", ok, r)
	}
	later := testStart.Add(switchGrace)
	if _, ok := h.Admit(later, "s", "v1", func() bool { return false }); ok {
		t.Error("a request is sent to an old replica long after the switch")
	}
	if r, _ := h.Report(later, o.OrderID); r.Phase != PhaseSwitching || r.OldInFlight != 1 {
		t.Errorf("the report is %+v", r)
	}
	h.Finish(pass, "route", Answered, time.Millisecond)
	if r, _ := h.Report(later, o.OrderID); r.OldInFlight != 0 {
		t.Errorf("the report is %+v", r)
	}
}

// Guards against an order that hosts don't take any more after the store was restored from a copy,
// because revisions are given out again, and against a decision that an older status undoes.
func TestOrdersAfterRestoreOfStore(t *testing.T) {
	h := NewHost(Config{Share: 0.1, Slack: 50, RollbackTime: time.Second}, "host", 1)
	now := time.Unix(1000, 0)
	order := Order{OrderID: OrderID{Name: "o", Service: "s", Version: "v2", Duration: time.Minute, Created: 5}, Revision: 90}
	order.Status = Status{State: RolledBack, Version: "v2"}
	h.PutOrder(now, order)
	older := order
	older.Revision, older.Status = 40, Status{State: Running, Version: "v2"}
	h.PutOrder(now, older)
	if got := h.orders["o"].Revision; got != 90 {
		t.Fatalf("revision is %d, an older one replaced it", got)
	}
	h.BeginEra()
	h.PutOrder(now, older)
	if got := h.orders["o"].Revision; got != 40 {
		t.Errorf("revision is %d after a restore, want 40", got)
	}
	if got := h.service("s").version("v2").standing; got != refused {
		t.Errorf("the version that was rolled back has standing %v, want %v", got, refused)
	}
}

// Guards against a leader that writes the status of its order on condition of a revision from
// before the store was restored, and against a record that keeps other leaders away for as long.
func TestLeaderFollowsOrderAfterRestoreOfStore(t *testing.T) {
	now := time.Unix(1000, 0)
	order := Order{OrderID: OrderID{Name: "o", Service: "s", Version: "v2", Duration: time.Minute, Created: 5}, Revision: 90}
	l := NewLeader(now, Config{Share: 0.1, Slack: 50, RollbackTime: time.Second}, order, NextTerm(order, nil, "host", "h:1", 0), now)
	l.BeginEra()
	order.Revision = 40
	l.SetOrder(order)
	if r, _ := l.Next(now); l.Order().Revision != 40 || r.OrderRevision != 40 {
		t.Errorf("the order's revision is %d, the record's %d, want 40", l.Order().Revision, r.OrderRevision)
	}
}

// Guards against a service whose new versions are no longer tried after many roll-outs in the life
// of a process.
func TestVersionsOfManyRolloutsAreForgotten(t *testing.T) {
	h := NewHost(Config{Share: 0.1, Slack: 50, RollbackTime: time.Second}, "host", 1)
	now := time.Unix(1000, 0)
	h.SeeReplica(now, "s", "v0")
	h.SetListed()
	for i := 1; i <= 3*maxVersions; i++ {
		now = now.Add(time.Second)
		version := fmt.Sprint("v", i)
		h.SeeReplica(now, "s", version)
		id := OrderID{Name: "o", Service: "s", Version: version, Duration: time.Minute, Created: uint64(i)}
		h.PutOrder(now, Order{OrderID: id, Revision: uint64(2 * i)})
		h.PutOrder(now, Order{OrderID: id, Revision: uint64(2*i + 1), Status: Status{State: RolledBack, Version: version}})
	}
	versions := h.service("s").versions
	if len(versions) > maxVersions {
		t.Errorf("%d versions are kept, want %d at most", len(versions), maxVersions)
	}
	last := versions[fmt.Sprint("v", 3*maxVersions)]
	if last == nil || last.standing != refused || versions["v0"] == nil || versions["v0"].standing != settled {
		t.Errorf("the last version is %+v, the one in service %+v", last, versions["v0"])
	}
}
