package ownership

import (
	"fmt"
	"testing"
	"time"
)

// reconcilerGroup runs several reconcilers against one stored table. Calls take
// 25 ms.
type reconcilerGroup struct {
	now           time.Time
	reconcilers   []*Reconciler
	store         Table
	writes        int
	answersToLose int // number of following writes whose answers are lost
}

func newReconcilerGroup(n int) *reconcilerGroup {
	f := &reconcilerGroup{now: start}
	for i := range n {
		f.reconcilers = append(f.reconcilers, NewReconciler(DefaultReconcilerConfig(), "bole",
			Member{ID: fmt.Sprintf("h%03d", i), Incarnation: "1"}))
	}
	return f
}

// step passes the status of all hosts to the reconcilers and performs their
// actions in rounds. All calls of a round are made before the first is answered,
// so writes can conflict.
func (f *reconcilerGroup) step(status func(i int) Status) {
	var peers []Peer
	for i, k := range f.reconcilers {
		peers = append(peers, Peer{Member: k.self, Status: status(i)})
	}
	calls := make(map[*Reconciler][]Action)
	for i, k := range f.reconcilers {
		if status(i) != Dead {
			calls[k] = k.SetPeers(f.now, peers)
			calls[k] = append(calls[k], k.ObserveEpoch(f.now, "bole", f.store.Epoch)...)
		}
	}
	for range 4 {
		f.now = f.now.Add(25 * time.Millisecond)
		next := make(map[*Reconciler][]Action)
		for _, k := range f.reconcilers {
			for _, a := range calls[k] {
				next[k] = append(next[k], f.answer(k, a)...)
			}
		}
		calls = next
	}
}

// answer performs an action that the reconciler returned 25 ms ago.
func (f *reconcilerGroup) answer(k *Reconciler, a Action) []Action {
	sentAt := f.now.Add(-25 * time.Millisecond)
	switch a := a.(type) {
	case FetchTable:
		return k.ReceiveTable(f.now, f.store)
	case ReadTable:
		return k.ReadDone(f.now, sentAt, f.store, Done)
	case WriteTable:
		f.writes++
		if a.Base != f.store.Epoch {
			return k.WriteDone(f.now, sentAt, 0, Conflict)
		}
		f.store = a.Table
		f.store.Epoch = a.Base + 1
		if f.answersToLose > 0 {
			f.answersToLose--
			return k.WriteDone(f.now, sentAt, 0, Unknown)
		}
		return k.WriteDone(f.now, sentAt, f.store.Epoch, Done)
	}
	return nil
}

func allLive(int) Status { return Live }

// Guards against a separate write, with conflicts, for each host that joins when
// hosts start together: 200 hosts must join with few writes in a few seconds.
func TestJoinsAreCoalesced(t *testing.T) {
	f := newReconcilerGroup(200)
	for range 40 {
		f.step(allLive)
	}
	if len(f.store.Members) != 200 || f.writes > 5 {
		t.Errorf("%d members after 4 s with %d writes, want 200 with at most 5", len(f.store.Members), f.writes)
	}
}

// Guards against the removal of a suspect member, of a member that has been dead
// for less than the lease, and of the same member by several hosts.
func TestRemovalNeedsLastingDeadStatus(t *testing.T) {
	f := newReconcilerGroup(5)
	for range 40 {
		f.step(allLive)
	}
	epoch, writes := f.store.Epoch, f.writes
	thirdHost := func(s Status) func(int) Status {
		return func(i int) Status {
			if i == 2 {
				return s
			}
			return Live
		}
	}
	for _, s := range []Status{Suspect, Dead, Live, Dead} {
		for range 29 {
			f.step(thirdHost(s))
		}
		if f.store.Epoch != epoch {
			t.Fatalf("table changed after 2.9 s with status %d", s)
		}
	}
	for range 20 {
		f.step(thirdHost(Dead))
	}
	if f.store.Contains(f.reconcilers[2].self) || f.writes != writes+1 {
		t.Errorf("members %v after %d writes, want the dead host removed by one write", f.store.Members, f.writes-writes)
	}
}

// Guards against treating a write with a lost answer as failed or as successful,
// and against reporting a release before it is in the table.
func TestLostAnswerOfRelease(t *testing.T) {
	f := newReconcilerGroup(2)
	for range 40 {
		f.step(allLive)
	}
	f.answersToLose = 1
	leaving := f.reconcilers[1]
	actions := leaving.Release(f.now)
	if len(actions) != 1 || leaving.Released() {
		t.Fatalf("actions %v, released %v, want one write and no release yet", actions, leaving.Released())
	}
	readBack := f.answer(leaving, actions[0])
	if len(readBack) != 1 || leaving.Released() {
		t.Fatalf("after the lost answer: actions %v, released %v, want one read and no release yet", readBack, leaving.Released())
	}
	f.answer(leaving, readBack[0])
	writes := f.writes
	for range 20 {
		f.step(allLive)
	}
	if !leaving.Released() || f.writes != writes || !f.store.released(leaving.self) {
		t.Errorf("released %v, %d more writes, table %v, want the release in the table without another write", leaving.Released(), f.writes-writes, f.store)
	}
}

// Guards against missing or replacing the newest table of another data centre.
func TestTablesOfOtherDataCentres(t *testing.T) {
	k := newReconcilerGroup(1).reconcilers[0]
	k.ObserveEpoch(start, "kality", 7)
	if k.ObserveEpoch(start, "kality", 6) != nil {
		t.Error("an older epoch caused a fetch")
	}
	retry := k.Tick(start.Add(time.Second))
	if len(retry) != 1 || retry[0] != (FetchTable{DataCentre: "kality", Epoch: 7}) {
		t.Errorf("actions %v, want a repeated fetch of epoch 7", retry)
	}
	k.ReceiveTable(start, Table{DataCentre: "kality", Epoch: 8})
	k.ReceiveTable(start, Table{DataCentre: "kality", Epoch: 7})
	if e := k.Table("kality").Epoch; e != 8 {
		t.Errorf("epoch %d after a table of epoch 7, want 8", e)
	}
}
