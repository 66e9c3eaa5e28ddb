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

// tableChain returns a table of epoch 1 with the members, followed by one table
// per change.
func tableChain(members []Member, changes ...Change) []Table {
	tables := []Table{{DataCentre: "bole", Epoch: 1, Members: members, RecentChanges: []Change{{Joined: members}}}}
	for i, c := range changes {
		c.Base = uint64(i + 1)
		next := tables[i].apply(c)
		next.Epoch = c.Base + 1
		tables = append(tables, next)
	}
	return tables
}

// settledHolder returns a holder whose handover delay for the table has passed,
// with a proof at the returned time.
func settledHolder(cfg Config, self Member, t Table) (*LeaseHolder, time.Time) {
	h := NewLeaseHolder(cfg, self)
	h.AdoptTable(start, t)
	now := start
	for ; !now.After(start.Add(cfg.handoverDelay())); now = now.Add(time.Second) {
		h.AddProof(now, t.Epoch, now)
	}
	h.AddProof(now, t.Epoch, now)
	return h, now
}

const totalSlots = 4 // slots of the replica in these tests: two for each of two hosts

// Guards the times at which slots become usable or unusable: lost and released
// slots immediately, gained slots after the handover delay, and all slots after
// the delay if an epoch was skipped.
func TestSlotHandoverTimes(t *testing.T) {
	twoMembers := []Member{hostX, hostY}
	removal := Change{Removed: []Member{hostY}}
	release := Change{Released: []Member{hostY}}
	join := Change{Joined: []Member{hostZ}}
	handoverDelay := simConfig.handoverDelay()
	for name, c := range map[string]struct {
		members []Member
		changes []Change
		adopt   []int // indexes of tables to adopt after the first
		after   time.Duration
		want    int
	}{
		"settled":                            {members: twoMembers, want: 2},
		"removed, immediately":               {members: twoMembers, changes: []Change{removal}, adopt: []int{1}, want: 2},
		"removed, before the handover delay": {members: twoMembers, changes: []Change{removal}, adopt: []int{1}, after: handoverDelay - 1, want: 2},
		"removed, after the handover delay":  {members: twoMembers, changes: []Change{removal}, adopt: []int{1}, after: handoverDelay, want: 4},
		"released, immediately":              {members: twoMembers, changes: []Change{release}, adopt: []int{1}, want: 4},
		"release adopted with a later table": {members: twoMembers, changes: []Change{release, join}, adopt: []int{2}, want: 2},
		"lost and gained again":              {members: []Member{hostX}, changes: []Change{{Joined: []Member{hostY}}, removal}, adopt: []int{1, 2}, want: 2},
	} {
		tables := tableChain(c.members, c.changes...)
		h, now := settledHolder(simConfig, hostX, tables[0])
		for _, i := range c.adopt {
			h.AdoptTable(now, tables[i])
		}
		for end := now.Add(c.after); now.Before(end); {
			now = now.Add(min(time.Second, end.Sub(now)))
			h.AddProof(now, h.Table().Epoch, now)
		}
		if got := h.AllowedSlots(now, "r", totalSlots); got != c.want {
			t.Errorf("%s: %d slots, want %d", name, got, c.want)
		}
	}
	tables := tableChain(twoMembers, join, removal)
	tables[2].RecentChanges = tables[2].RecentChanges[:1]
	h, now := settledHolder(simConfig, hostX, tables[0])
	if h.AdoptTable(now, tables[2]); h.AllowedSlots(now, "r", totalSlots) != 0 {
		t.Error("slots allowed directly after a skipped epoch")
	}
}

// Guards against a process that takes over its predecessor's slots without the
// handover delay, and a predecessor that continues to send.
func TestNewIncarnationWaits(t *testing.T) {
	next := Member{ID: "x", Incarnation: "2"}
	tables := tableChain([]Member{hostX, hostY}, Change{Joined: []Member{next}, Removed: []Member{hostX}})
	old, now := settledHolder(simConfig, hostX, tables[0])
	successor := NewLeaseHolder(simConfig, next)
	for _, h := range []*LeaseHolder{old, successor} {
		h.AdoptTable(now, tables[1])
		h.AddProof(now, 2, now)
		if n := h.AllowedSlots(now, "r", totalSlots); n != 0 {
			t.Errorf("%v has %d slots, want none", h.self, n)
		}
	}
}

// Guards against a host that continues under an old table after a long pause. It
// was removed from the table during the pause, an outage of the platform begins,
// and a short pause keeps its peer, which uses the gained slots, from answering.
// Without the rule that all slots count as gained after an expired lease, 6 slots
// of a replica with 4 are in use.
func TestExpiredLeaseDuringOutage(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		cfg := simConfig
		cfg.disabled.resetOnExpiry = disabled
		tables := tableChain([]Member{hostX, hostY}, Change{Removed: []Member{hostX}})
		paused, _ := settledHolder(cfg, hostX, tables[0])
		active, now := settledHolder(cfg, hostY, tables[0])
		active.AdoptTable(now, tables[1])
		for end := now.Add(cfg.handoverDelay()); now.Before(end); now = now.Add(time.Second) {
			active.AddProof(now, 2, now)
		}
		paused.ExtendInOutage(now, OutageCheck{SentAt: now, PlatformUnreachable: true})
		sum := active.AllowedSlots(now, "r", totalSlots) + paused.AllowedSlots(now, "r", totalSlots)
		if (sum > totalSlots) != disabled {
			t.Errorf("rule disabled %v: %d of %d slots allowed", disabled, sum, totalSlots)
		}
	}
}

// Guards conditions (a) and (b) of ExtendInOutage, and the conditions that prevent
// the extension.
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
		"two members, alone":            {three[:2], OutageCheck{PlatformUnreachable: true}, true},
		"three members, alone":          {three, OutageCheck{PlatformUnreachable: true}, false},
		"three, own answer":             {three, OutageCheck{PlatformUnreachable: true, Answers: []PeerAnswer{answer(hostX, 1, time.Minute)}}, false},
		"three, answer of a non-member": {three, OutageCheck{PlatformUnreachable: true, Answers: []PeerAnswer{answer(Member{ID: "s"}, 1, time.Minute)}}, false},
		"three, one answers":            {three, OutageCheck{PlatformUnreachable: true, Answers: []PeerAnswer{answer(hostY, 1, time.Minute)}}, true},
		"peer knows a newer epoch":      {three, OutageCheck{PlatformUnreachable: true, Answers: []PeerAnswer{answer(hostY, 2, time.Minute)}}, false},
		"peer has fresh proof":          {three, OutageCheck{PlatformUnreachable: true, Answers: []PeerAnswer{answer(hostY, 1, time.Second)}}, false},
		"platform reachable":            {three, OutageCheck{Answers: []PeerAnswer{answer(hostY, 1, time.Minute)}}, false},
		"round older than the lease":    {three[:2], OutageCheck{PlatformUnreachable: true, SentAt: start}, false},
	} {
		h, now := settledHolder(simConfig, hostX, tableChain(c.members)[0])
		now = now.Add(2 * time.Second)
		if c.check.SentAt.IsZero() {
			c.check.SentAt = now
		}
		if got := h.ExtendInOutage(now.Add(4*time.Second), c.check); got {
			t.Errorf("%s: lease extended by a round of 4 s ago", name)
		}
		h, now = settledHolder(simConfig, hostX, tableChain(c.members)[0])
		now = now.Add(2 * time.Second)
		h.ExtendInOutage(now, c.check)
		later := now.Add(2 * time.Second) // the proof has expired
		if got := h.AllowedSlots(later, "r", totalSlots) > 0; got != (c.want || name == "peer has fresh proof") {
			t.Errorf("%s: slots allowed: %v, want the opposite", name, got)
		}
	}
}
