package ownership

import (
	"fmt"
	"testing"
	"time"
)

// fleet runs keepers against one stored table; calls take 25 ms.
type fleet struct {
	now     time.Time
	keepers []*Reconciler
	store   Table
	writes  int
	lose    int // writes whose answers are still to be lost
}

func newFleet(n int) *fleet {
	f := &fleet{now: start}
	for i := range n {
		f.keepers = append(f.keepers, NewReconciler(DefaultReconcilerConfig(), "bole",
			Member{ID: fmt.Sprintf("h%03d", i), Incarnation: "1"}))
	}
	return f
}

// step lets all keepers plan and answers their calls in rounds: all calls of a
// round are made before the first is answered, so that writes conflict.
func (f *fleet) step(status func(i int) Status) {
	var peers []Peer
	for i, k := range f.keepers {
		peers = append(peers, Peer{Member: k.self, Status: status(i)})
	}
	calls := make(map[*Reconciler][]Action)
	for i, k := range f.keepers {
		if status(i) != Dead {
			calls[k] = k.SetPeers(f.now, peers)
			calls[k] = append(calls[k], k.ObserveEpoch(f.now, "bole", f.store.Epoch)...)
		}
	}
	for range 4 {
		f.now = f.now.Add(25 * time.Millisecond)
		next := make(map[*Reconciler][]Action)
		for _, k := range f.keepers {
			for _, a := range calls[k] {
				next[k] = append(next[k], f.answer(k, a)...)
			}
		}
		calls = next
	}
}

// answer carries out an action that the keeper asked for 25 ms ago.
func (f *fleet) answer(k *Reconciler, a Action) []Action {
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
		if f.lose > 0 {
			f.lose--
			return k.WriteDone(f.now, sentAt, 0, Unknown)
		}
		return k.WriteDone(f.now, sentAt, f.store.Epoch, Done)
	}
	return nil
}

func alive(int) Status { return Live }

// Guards against hosts that start together and write one join each, in as many
// rounds of conflicts: 200 hosts need few writes and few seconds.
func TestJoinsAreCoalesced(t *testing.T) {
	f := newFleet(200)
	for range 40 {
		f.step(alive)
	}
	if len(f.store.Members) != 200 || f.writes > 5 {
		t.Errorf("%d members after 4 s with %d writes", len(f.store.Members), f.writes)
	}
}

// Guards against removals on suspicion, before the verdict has stood for the
// lease, or by every host at once.
func TestRemoval(t *testing.T) {
	f := newFleet(5)
	for range 40 {
		f.step(alive)
	}
	epoch, writes := f.store.Epoch, f.writes
	verdict := func(s Status) func(int) Status {
		return func(i int) Status {
			if i == 2 {
				return s
			}
			return Live
		}
	}
	for _, s := range []Status{Suspect, Dead, Live, Dead} {
		for range 29 {
			f.step(verdict(s))
		}
		if f.store.Epoch != epoch {
			t.Fatalf("table changed by 2.9 s of status %d", s)
		}
	}
	for range 20 {
		f.step(verdict(Dead))
	}
	if f.store.Contains(f.keepers[2].self) || f.writes != writes+1 {
		t.Errorf("members %v after %d writes", f.store.Members, f.writes-writes)
	}
}

// Guards against taking a write with a lost answer as failed or as done, and
// against a release that is reported before it stands in the table.
func TestLostAnswerOfRelease(t *testing.T) {
	f := newFleet(2)
	for range 40 {
		f.step(alive)
	}
	f.lose = 1
	leaving := f.keepers[1]
	actions := leaving.Release(f.now)
	if len(actions) != 1 || leaving.Released() {
		t.Fatalf("actions %v, released %v", actions, leaving.Released())
	}
	readBack := f.answer(leaving, actions[0])
	if len(readBack) != 1 || leaving.Released() {
		t.Fatalf("after the lost answer: actions %v, released %v", readBack, leaving.Released())
	}
	f.answer(leaving, readBack[0])
	writes := f.writes
	for range 20 {
		f.step(alive)
	}
	if !leaving.Released() || f.writes != writes || !f.store.released(leaving.self) {
		t.Errorf("released %v, %d more writes, table %v", leaving.Released(), f.writes-writes, f.store)
	}
}

// Guards against losing track of the newest tables of other data centres.
func TestOtherDataCentres(t *testing.T) {
	k := newFleet(1).keepers[0]
	k.ObserveEpoch(start, "kality", 7)
	if k.ObserveEpoch(start, "kality", 6) != nil {
		t.Error("fetch of an older epoch")
	}
	retry := k.Tick(start.Add(time.Second))
	if len(retry) != 1 || retry[0] != (FetchTable{DataCentre: "kality", Epoch: 7}) {
		t.Errorf("actions %v", retry)
	}
	k.ReceiveTable(start, Table{DataCentre: "kality", Epoch: 8})
	k.ReceiveTable(start, Table{DataCentre: "kality", Epoch: 7})
	if e := k.Table("kality").Epoch; e != 8 {
		t.Errorf("epoch %d", e)
	}
}
