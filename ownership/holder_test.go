package ownership

import (
	"testing"
	"time"
)

var (
	start = time.Unix(1000, 0)
	hostX = Member{ID: "x", Incarnation: "1"}
	hostY = Member{ID: "y", Incarnation: "1"}
	hostZ = Member{ID: "z", Incarnation: "1"}
)

// chained returns a table of epoch 1 with the members, then one per change.
func chained(members []Member, changes ...Change) []Table {
	tables := []Table{{DataCentre: "bole", Epoch: 1, Members: members, RecentChanges: []Change{{Joined: members}}}}
	for i, c := range changes {
		c.Base = uint64(i + 1)
		next := tables[i].apply(c)
		next.Epoch = c.Base + 1
		tables = append(tables, next)
	}
	return tables
}

// settled returns a holder whose slots under the table are in use, with proof at
// the returned time.
func settled(cfg Config, self Member, t Table) (*LeaseHolder, time.Time) {
	h := NewLeaseHolder(cfg, self)
	h.AdoptTable(start, t)
	now := start
	for ; !now.After(start.Add(cfg.wait())); now = now.Add(time.Second) {
		h.AddProof(now, t.Epoch, now)
	}
	h.AddProof(now, t.Epoch, now)
	return h, now
}

const all = 4 // slots of the replica in these tests: two for each of two hosts

// Guards the times at which slots change hands: lost ones at once, gained ones
// after the wait, released ones at once, all after skipped epochs.
func TestHandover(t *testing.T) {
	two := []Member{hostX, hostY}
	leaves := Change{Removed: []Member{hostY}}
	releases := Change{Released: []Member{hostY}}
	joins := Change{Joined: []Member{hostZ}}
	wait := simConfig.wait()
	for name, c := range map[string]struct {
		members []Member
		changes []Change
		adopt   []int // indexes of tables to adopt after the first
		after   time.Duration
		want    int
	}{
		"settled":               {members: two, want: 2},
		"removed, at once":      {members: two, changes: []Change{leaves}, adopt: []int{1}, want: 2},
		"removed, before wait":  {members: two, changes: []Change{leaves}, adopt: []int{1}, after: wait - 1, want: 2},
		"removed, after wait":   {members: two, changes: []Change{leaves}, adopt: []int{1}, after: wait, want: 4},
		"released, at once":     {members: two, changes: []Change{releases}, adopt: []int{1}, want: 4},
		"release seen late":     {members: two, changes: []Change{releases, joins}, adopt: []int{2}, want: 2},
		"lost and gained again": {members: []Member{hostX}, changes: []Change{{Joined: []Member{hostY}}, leaves}, adopt: []int{1, 2}, want: 2},
	} {
		tables := chained(c.members, c.changes...)
		h, now := settled(simConfig, hostX, tables[0])
		for _, i := range c.adopt {
			h.AdoptTable(now, tables[i])
		}
		for end := now.Add(c.after); now.Before(end); {
			now = now.Add(min(time.Second, end.Sub(now)))
			h.AddProof(now, h.Table().Epoch, now)
		}
		if got := h.AllowedSlots(now, "r", all); got != c.want {
			t.Errorf("%s: %d slots, want %d", name, got, c.want)
		}
	}
	tables := chained(two, joins, leaves)
	tables[2].RecentChanges = tables[2].RecentChanges[:1]
	h, now := settled(simConfig, hostX, tables[0])
	if h.AdoptTable(now, tables[2]); h.AllowedSlots(now, "r", all) != 0 {
		t.Error("slots in use after a skipped epoch")
	}
}

// Guards against a process that keeps its predecessor's shares, or a predecessor
// that keeps sending beside its successor.
func TestNewIncarnationWaits(t *testing.T) {
	next := Member{ID: "x", Incarnation: "2"}
	tables := chained([]Member{hostX, hostY}, Change{Joined: []Member{next}, Removed: []Member{hostX}})
	old, now := settled(simConfig, hostX, tables[0])
	successor := NewLeaseHolder(simConfig, next)
	for _, h := range []*LeaseHolder{old, successor} {
		h.AdoptTable(now, tables[1])
		h.AddProof(now, 2, now)
		if n := h.AllowedSlots(now, "r", all); n != 0 {
			t.Errorf("%v has %d slots", h.self, n)
		}
	}
}

// Guards against a host that continues under an old table when a pause of its
// own, a removal, an outage and a short pause of its peer meet: the peer uses the
// gained slots and cannot say so. Without the rule that an expired proof makes
// all slots count as gained, the replica gets 6 of 4.
func TestLapsedHostDuringOutage(t *testing.T) {
	for _, off := range []bool{false, true} {
		cfg := simConfig
		cfg.off.lapse = off
		tables := chained([]Member{hostX, hostY}, Change{Removed: []Member{hostX}})
		paused, _ := settled(cfg, hostX, tables[0])
		active, now := settled(cfg, hostY, tables[0])
		active.AdoptTable(now, tables[1])
		for end := now.Add(cfg.wait()); now.Before(end); now = now.Add(time.Second) {
			active.AddProof(now, 2, now)
		}
		paused.ExtendInOutage(now, OutageCheck{SentAt: now, PlatformUnreachable: true})
		sum := active.AllowedSlots(now, "r", all) + paused.AllowedSlots(now, "r", all)
		if (sum > all) != off {
			t.Errorf("rule off %v: %d of %d slots", off, sum, all)
		}
	}
}

// Guards conditions (a) and (b) of outage mode and what ends it.
func TestOutageConditions(t *testing.T) {
	three := []Member{hostX, hostY, hostZ}
	answer := func(m Member, epoch uint64, age time.Duration) PeerAnswer {
		return PeerAnswer{Member: m, Epoch: epoch, Proven: true, Age: age}
	}
	for name, c := range map[string]struct {
		members []Member
		check   OutageCheck
		want    bool
	}{
		"two members, alone":    {three[:2], OutageCheck{PlatformUnreachable: true}, true},
		"three members, alone":  {three, OutageCheck{PlatformUnreachable: true}, false},
		"three, own answer":     {three, OutageCheck{PlatformUnreachable: true, Answers: []PeerAnswer{answer(hostX, 1, time.Minute)}}, false},
		"three, a stranger":     {three, OutageCheck{PlatformUnreachable: true, Answers: []PeerAnswer{answer(Member{ID: "s"}, 1, time.Minute)}}, false},
		"three, one answers":    {three, OutageCheck{PlatformUnreachable: true, Answers: []PeerAnswer{answer(hostY, 1, time.Minute)}}, true},
		"peer knows more":       {three, OutageCheck{PlatformUnreachable: true, Answers: []PeerAnswer{answer(hostY, 2, time.Minute)}}, false},
		"peer has fresh proof":  {three, OutageCheck{PlatformUnreachable: true, Answers: []PeerAnswer{answer(hostY, 1, time.Second)}}, false},
		"platform reachable":    {three, OutageCheck{Answers: []PeerAnswer{answer(hostY, 1, time.Minute)}}, false},
		"round older than 3 s ": {three[:2], OutageCheck{PlatformUnreachable: true, SentAt: start}, false},
	} {
		h, now := settled(simConfig, hostX, chained(c.members)[0])
		now = now.Add(2 * time.Second)
		if c.check.SentAt.IsZero() {
			c.check.SentAt = now
		}
		if got := h.ExtendInOutage(now.Add(4*time.Second), c.check); got {
			t.Errorf("%s: rights from a round of 4 s ago", name)
		}
		h, now = settled(simConfig, hostX, chained(c.members)[0])
		now = now.Add(2 * time.Second)
		h.ExtendInOutage(now, c.check)
		later := now.Add(2 * time.Second) // the proof has expired
		if got := h.AllowedSlots(later, "r", all) > 0; got != (c.want || name == "peer has fresh proof") {
			t.Errorf("%s: slots in use %v", name, got)
		}
	}
}
