package ownership

import (
	"slices"
	"time"
)

// Config holds the times that all hosts of the system agree on.
type Config struct {
	// Lease is how long a proof that a table is current allows sends.
	Lease time.Duration
	// LongestDeadline bounds the time that work runs at an upstream after it
	// was sent, under any configuration. It is the same on all hosts for good:
	// hosts would otherwise wait for less than another host's work lasts.
	LongestDeadline time.Duration

	off rules
}

// rules switches single rules off, so that tests can show what each prevents.
type rules struct {
	wait, proof, lapse bool
}

// DefaultLease is the lease of the design.
const DefaultLease = 3 * time.Second

// driftPercent is the margin added to waits. Two clocks may run 1 % off the true
// rate in opposite directions, so that a wait can be short by 2.02 % against
// another host's lease.
const driftPercent = 3

// transit bounds how long a request is under way to an upstream after the check
// that allowed it. It is part of the wait, as the upstream counts the deadline
// from arrival.
const transit = 250 * time.Millisecond

// wait returns how long gained slots stay unused.
func (c Config) wait() time.Duration {
	if c.off.wait {
		return 0
	}
	return withDrift(c.Lease + c.LongestDeadline + transit)
}

func withDrift(d time.Duration) time.Duration {
	return d + d*driftPercent/100
}

// LeaseHolder holds the rights of one process of a host. All times are of the host's
// own monotonic clock.
type LeaseHolder struct {
	cfg  Config
	self Member

	table    Table
	views    []view    // tables this host went by within the wait, oldest first
	barrier  time.Time // before it, this host's shares count as not held
	proof    time.Time // the table, or a later one, was in force at or after this time
	proven   bool
	covered  time.Time // rights end after this time: proof or outage check plus lease
	newest   uint64    // highest epoch heard of
	stopped  bool      // this process has released
	released []Member  // processes that released, named by tables seen

	cache map[cacheKey]cached
}

// view is a table that was replaced by a newer one.
type view struct {
	table Table
	until time.Time
}

type cacheKey struct {
	replica                   string
	slots, connections, limit int
}

type cached struct {
	slots, connections int
	until              time.Time // when an old view leaves the wait; zero if none does
}

// maxCached bounds the cache; it is emptied when full.
const maxCached = 1 << 14

// NewLeaseHolder returns a holder without rights.
func NewLeaseHolder(cfg Config, self Member) *LeaseHolder {
	return &LeaseHolder{cfg: cfg, self: self, cache: make(map[cacheKey]cached)}
}

// Table returns the newest table that the holder goes by.
func (h *LeaseHolder) Table() Table { return h.table }

// ObserveEpoch notes that an epoch exists, without its table. It ends outage mode.
func (h *LeaseHolder) ObserveEpoch(epoch uint64) { h.newest = max(h.newest, epoch) }

// AdoptTable makes a newer table the one to go by; others are ignored. Slots lost
// stop at once, slots gained wait. If the tables in between are unknown, all
// slots count as gained.
//
// The proof carries over: if the old table was in force at the time of the
// proof, the new one came into force after it.
func (h *LeaseHolder) AdoptTable(now time.Time, t Table) {
	if t.Epoch <= h.table.Epoch {
		return
	}
	h.ObserveEpoch(t.Epoch)
	chain, complete := since(t, h.table.Epoch)
	if !complete {
		h.reset(now)
	}
	for _, next := range chain {
		h.views = append(h.views, view{h.table, now})
		h.table = next
		if len(next.RecentChanges) > 0 {
			h.released = append(h.released, next.RecentChanges[0].Released...)
		}
	}
	h.prune(now)
}

// since returns the tables after an epoch up to t, oldest first, and whether
// none is missing. If some are missing it returns only t.
func since(t Table, epoch uint64) ([]Table, bool) {
	chain := []Table{t}
	for chain[0].Epoch > epoch {
		previous, ok := chain[0].before()
		if !ok || previous.Epoch < epoch {
			return []Table{t}, false
		}
		if previous.Epoch == epoch {
			return chain, epoch != 0
		}
		chain = slices.Insert(chain, 0, previous)
	}
	return []Table{t}, false
}

// reset makes all slots count as gained now.
func (h *LeaseHolder) reset(now time.Time) {
	h.barrier = now
	h.views = nil
	h.released = nil
	clear(h.cache)
}

// prune forgets the views that left the wait.
func (h *LeaseHolder) prune(now time.Time) {
	limit := now.Add(-h.cfg.wait())
	h.views = slices.DeleteFunc(h.views, func(v view) bool { return v.until.Before(limit) })
	if len(h.views) == 0 {
		h.released = nil
	}
	clear(h.cache)
}

// AddProof notes that the table of an epoch was in force at some time not before
// sentAt, when the request for the proof was sent. For a proof that a peer
// relays, sentAt is the time of the request to the peer less the age that the
// peer states. A proof for another epoch than the adopted one gives no rights.
func (h *LeaseHolder) AddProof(now time.Time, epoch uint64, sentAt time.Time) {
	h.ObserveEpoch(epoch)
	if epoch != h.table.Epoch || epoch == 0 {
		return
	}
	if h.proven && !sentAt.After(h.proof) {
		return
	}
	h.proof = sentAt
	h.proven = true
	h.cover(now, sentAt)
}

// cover extends the rights. If they had ended, all slots count as gained: while
// this host did not answer, others may have continued without proof.
func (h *LeaseHolder) cover(now, sentAt time.Time) {
	until := sentAt.Add(h.cfg.Lease)
	if until.Before(now) || !until.After(h.covered) {
		return
	}
	if h.covered.Before(now) && !h.cfg.off.lapse {
		h.reset(now)
	}
	h.covered = until
}

// Proof returns the epoch that the holder has proof of and the proof's age, for
// peers that ask. It is relayed even if it is older than the lease.
func (h *LeaseHolder) Proof(now time.Time) (epoch uint64, age time.Duration, ok bool) {
	return h.table.Epoch, now.Sub(h.proof), h.proven
}

// OutageCheck is one round of questions to the platform and to the other members of
// the table. The round waits for the members' answers even if the platform
// refuses at once.
type OutageCheck struct {
	// SentAt is when the first question of the round was sent.
	SentAt time.Time
	// PlatformUnreachable is set if the platform did not answer.
	PlatformUnreachable bool
	// Answers are the members that answered.
	Answers []PeerAnswer
}

// PeerAnswer is what a peer knows of this data centre's table.
type PeerAnswer struct {
	Member Member
	Epoch  uint64
	// Proven and Age describe the peer's own proof of Epoch.
	Proven bool
	Age    time.Duration
}

// freshPart of the lease is the age up to which a proof shows that somebody in
// the data centre reaches the platform. Outage mode has to start before the
// lease of the last proof ends, or all slots would count as gained.
const freshPart = 2

// ExtendInOutage lets the holder continue without proof if the round shows that it may:
// the platform cannot be reached, no peer that answered knows a newer epoch or
// has a fresh proof, and (a) the table has at most two members or (b) another
// member answered. The rights last for the lease from the start of the round.
// Proofs and epochs in the answers are taken over. It reports whether the holder
// has rights by outage mode.
//
// Every member has to be asked at least once a lease, and an answer that comes
// after its round has to be passed to ObserveEpoch: another host that gained this
// host's slots uses them only after the wait, and this host must have heard of
// its table by then.
func (h *LeaseHolder) ExtendInOutage(now time.Time, c OutageCheck) bool {
	answered := false
	for _, a := range c.Answers {
		h.ObserveEpoch(a.Epoch)
		if a.Proven {
			h.AddProof(now, a.Epoch, c.SentAt.Add(-a.Age))
		}
		if !a.Member.is(h.self) && h.table.Contains(a.Member) {
			answered = true
		}
	}
	if !c.PlatformUnreachable || h.newest > h.table.Epoch || !h.table.Contains(h.self) {
		return false
	}
	if h.proven && c.SentAt.Sub(h.proof) < h.cfg.Lease/freshPart {
		return false
	}
	if len(h.table.Members) > 2 && !answered {
		return false
	}
	h.cover(now, c.SentAt)
	return h.HasLease(now)
}

// Release ends the rights of this process for good. Call it before the last work
// ends and the Reconciler writes the release.
func (h *LeaseHolder) Release() {
	h.stopped = true
}

// HasLease reports whether the holder has rights now, by proof or outage mode.
func (h *LeaseHolder) HasLease(now time.Time) bool {
	if h.stopped || !h.table.Contains(h.self) {
		return false
	}
	return h.cfg.off.proof || !now.After(h.covered)
}

// AllowedSlots returns the slots of a replica that this host may have in use now.
// Call it before each send.
//
// A pause of the process between this check and the write to the socket is not
// covered by the lease: what it sends on resuming can exceed the replica's slots.
// Check HasLease again after the write and cancel the request if the rights ended.
func (h *LeaseHolder) AllowedSlots(now time.Time, replica string, slots int) int {
	return h.AllowedSlotsWithin(now, replica, slots, slots)
}

// AllowedSlotsWithin is AllowedSlots for a limit below the slots, as divided by LimitedShares.
func (h *LeaseHolder) AllowedSlotsWithin(now time.Time, replica string, slots, limit int) int {
	return h.allowed(now, cacheKey{replica, slots, 0, limit}).slots
}

// AllowedConnections returns the connections to a replica that this host may have open
// now. Idle connections beyond it have to be closed.
//
// Unlike work, connections have no deadline: those of a host that is paused stay
// open while their new owner opens its own. Open few more than the slots in use;
// then the replica's limit holds as long as it is at least twice its slots.
func (h *LeaseHolder) AllowedConnections(now time.Time, replica string, slots, connections int) int {
	return h.allowed(now, cacheKey{replica, slots, connections, slots}).connections
}

func (h *LeaseHolder) allowed(now time.Time, key cacheKey) cached {
	if !h.HasLease(now) || now.Before(h.barrier.Add(h.cfg.wait())) {
		return cached{}
	}
	if c, ok := h.cache[key]; ok && (c.until.IsZero() || now.Before(c.until)) {
		return c
	}
	if len(h.cache) >= maxCached {
		clear(h.cache)
	}
	c := h.compute(now, key)
	h.cache[key] = c
	return c
}

// compute returns the smallest share under any table within the wait. Processes
// that released are left out of the older tables: their work has ended, and
// leaving out a member lowers nobody else's share.
func (h *LeaseHolder) compute(now time.Time, key cacheKey) cached {
	own := h.share(h.table, key)
	c := cached{slots: own.Slots, connections: own.Connections}
	for _, v := range h.views {
		end := v.until.Add(h.cfg.wait())
		if !now.Before(end) {
			continue
		}
		if c.until.IsZero() || end.Before(c.until) {
			c.until = end
		}
		old := h.share(Table{Members: v.table.without(h.released)}, key)
		c.slots = min(c.slots, old.Slots)
		c.connections = min(c.connections, old.Connections)
	}
	return c
}

// share returns this process's share; the zero value if it has none.
func (h *LeaseHolder) share(t Table, key cacheKey) Share {
	for _, s := range LimitedShares(t, key.replica, key.slots, key.connections, key.limit) {
		if s.Member.is(h.self) {
			return s
		}
	}
	return Share{}
}
