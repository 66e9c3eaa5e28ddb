package membership

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed of rapid to make runs reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func host(i int) Member {
	return Member{ID: fmt.Sprintf("h%d", i), DataCentre: "bole", Address: fmt.Sprintf("10.0.0.%d:1", i), Incarnation: "1", Phase: Serving}
}

func testMachine(i int) *StateMachine {
	return New(DefaultConfig(), host(i), rand.New(rand.NewPCG(1, uint64(i))))
}

func (m *StateMachine) stateOf(i int) MemberState {
	if s := m.members[host(i).ID]; s != nil {
		return *s
	}
	return MemberState{}
}

// Guards against hosts whose states permanently differ because they received the
// same records in different orders, and against digests that do not match the
// records.
func TestRecordOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := rapid.Custom(func(t *rapid.T) Member {
			m := host(rapid.IntRange(1, 3).Draw(t, "host"))
			m.Incarnation = rapid.SampledFrom([]string{"1", "2"}).Draw(t, "incarnation")
			m.Version = rapid.Uint64Range(0, 2).Draw(t, "version")
			m.Status = Status(rapid.IntRange(0, 2).Draw(t, "status"))
			// Only the host itself sets its phase, so there is one phase per version.
			m.Phase = []Phase{Joining, Serving, Leaving}[m.Version]
			return m
		})
		records := rapid.SliceOfN(record, 1, 10).Draw(t, "records")
		shuffled := rapid.Permutation(records).Draw(t, "shuffled")
		// The hosts are known before, because a dead record of an unknown host is
		// discarded.
		known := []Member{host(1), host(2), host(3)}
		a, b := testMachine(0), testMachine(0)
		for i := range known {
			known[i].Incarnation = "0"
			a.merge(start, known[i])
			b.merge(start, known[i])
		}
		for i := range records {
			a.merge(start, records[i])
			b.merge(start, shuffled[i])
		}
		if !slices.Equal(a.Members(), b.Members()) {
			t.Fatalf("members differ:\n%v\n%v", a.Members(), b.Members())
		}
		var digest uint64
		for _, s := range a.Members() {
			if !s.gone() {
				digest ^= s.digest()
			}
		}
		if a.recordDigests["bole"].digest != digest || b.recordDigests["bole"].digest != digest {
			t.Fatal("digest does not match the records")
		}
	})
}

// Guards against a live host that can't refute that it was declared dead, and
// against a process that is not superseded by its successor.
func TestRefutation(t *testing.T) {
	a, b := testMachine(0), testMachine(1)
	a.merge(start, host(1))
	dead := host(1)
	dead.Status = Dead
	a.merge(start, dead)
	for _, msg := range b.heartbeatTo(start, host(0)) {
		for _, answer := range a.Receive(start, host(1).Address, msg) {
			b.Receive(start, host(0).Address, answer)
		}
	}
	if b.Self().Version != 1 {
		t.Fatalf("own version %d, want 1", b.Self().Version)
	}
	for _, msg := range b.heartbeatTo(start, host(0)) {
		a.Receive(start, host(1).Address, msg)
	}
	if s := a.stateOf(1); s.Status != Live {
		t.Errorf("status %v after the refutation, want Live", s.Status)
	}
	later := host(1)
	later.Incarnation = "2"
	if b.Receive(start, "", Message{Kind: News, From: later}); !b.Superseded() {
		t.Error("not superseded by a later process")
	}
	old := host(1)
	old.Version = 9
	if a.merge(start, later); a.stateOf(1).Incarnation != "2" {
		t.Error("record of the later process was not adopted")
	}
	if a.merge(start, old); a.stateOf(1).Incarnation != "2" {
		t.Error("record of the earlier process was adopted")
	}
}

func (m *StateMachine) heartbeatTo(now time.Time, to Member) []Message {
	m.merge(now, to)
	return []Message{m.heartbeat(now, to.ID, true)}
}

// Guards against a proof that appears fresher than it is. Its time must be
// calculated only from the answer to a heartbeat, relative to the time at which the
// heartbeat was sent.
func TestProofIsDatedByHeartbeat(t *testing.T) {
	a, b := testMachine(0), testMachine(1)
	a.merge(start, host(1))
	b.merge(start, host(0))
	b.SetProof(start, 5, start.Add(-time.Second))
	news := b.push(start)
	if len(news) != 1 || news[0].Proof == nil {
		t.Fatalf("pushed %v, want one message with the proof", news)
	}
	answered := start.Add(40 * time.Millisecond)
	requests := a.Receive(answered, host(1).Address, news[0])
	if a.Proof().Epoch != 0 || len(requests) != 1 || requests[0].Kind != Heartbeat {
		t.Fatalf("proof %v from news, requests %v, want no proof and one heartbeat", a.Proof(), requests)
	}
	answer := b.Receive(answered, host(0).Address, requests[0])[0]
	received := answered.Add(time.Hour) // long transit
	a.Receive(received, host(1).Address, answer)
	age := received.Sub(a.Proof().At)
	if a.Proof().Epoch != 5 || age < time.Hour+time.Second {
		t.Errorf("proof of epoch %d with age %v, want epoch 5 and at least 1h0m1s", a.Proof().Epoch, age)
	}
	if a.Facts().Epochs["bole"] != 5 {
		t.Error("the epoch of the proof is not among the facts")
	}
}

// Guards against a host that suspects others because of its own pause.
func TestOwnPauseCausesNoSuspicion(t *testing.T) {
	a := testMachine(0)
	a.merge(start, host(1))
	a.Tick(start)
	resumed := start.Add(time.Minute)
	a.Tick(resumed)
	if s := a.stateOf(1); s.Status != Live {
		t.Fatalf("status %v after an own pause, want Live", s.Status)
	}
	for now := resumed; now.Before(resumed.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
		a.Tick(now)
	}
	if s := a.stateOf(1); s.Status != Dead {
		t.Errorf("status %v of a silent host, want Dead", s.Status)
	}
}

// Guards against messages with an unlimited number of records.
func TestMessageSizeIsBounded(t *testing.T) {
	a := testMachine(0)
	for i := range 500 {
		a.merge(start, host(i+1))
	}
	out := a.Receive(start, "", Message{Kind: Join, From: host(1)})
	records := 0
	for _, msg := range append(out, a.push(start)...) {
		if len(msg.Updates) > a.cfg.MaxUpdates {
			t.Errorf("%d records in a message, want at most MaxUpdates", len(msg.Updates))
		}
		if msg.Kind == Records {
			records += len(msg.Updates)
		}
	}
	if records < 500 {
		t.Errorf("%d records for a host that joins, want at least 500", records)
	}
	if a.pushAt.IsZero() {
		t.Error("no push scheduled for the rest of the news")
	}
}
