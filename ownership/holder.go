package ownership

import (
	"slices"
	"time"
)

// Config holds durations that must be the same on all hosts of the system.
type Config struct {
	// Lease is the time for which a proof that the table is current allows a
	// host to send.
	Lease time.Duration
	// LongestDeadline is the maximum time that work runs at an upstream after it
	// was sent, under any configuration. It must be the same on all hosts and
	// must never change, because a host that gains slots waits this long for the
	// work of other hosts to end.
	LongestDeadline time.Duration

	disabled disabledRules
}

// disabledRules disables single safety rules, so that tests can show what each
// of them prevents.
type disabledRules struct {
	handoverDelay, leaseCheck, resetOnExpiry bool
}

// DefaultLease is the default of Config.Lease.
const DefaultLease = 3 * time.Second

// clockDriftPercent is the margin added to delays for clock drift. If the clocks
// of two hosts run 1 % too fast and 1 % too slow, a delay measured on one host is
// up to 2.02 % too short relative to a lease measured on the other.
const clockDriftPercent = 3

// maxTransit is the maximum time between the check that allows a request and its
// arrival at the upstream. It is part of the handover delay, because the upstream
// counts the deadline from the arrival.
const maxTransit = 250 * time.Millisecond

// handoverDelay returns the time for which a host must not use slots that it has
// gained. When it has passed, the work that their previous owner sent has ended.
func (c Config) handoverDelay() time.Duration {
	if c.disabled.handoverDelay {
		return 0
	}
	return withDrift(c.Lease + c.LongestDeadline + maxTransit)
}

func withDrift(d time.Duration) time.Duration {
	return d + d*clockDriftPercent/100
}

// LeaseHolder tracks which slots one process of a host may use. All times are of
// the host's own monotonic clock.
type LeaseHolder struct {
	cfg  Config
	self Member

	table          Table
	replacedTables []replacedTable // tables in use within the handover delay, oldest first
	allGainedAt    time.Time       // when all slots were last marked as gained
	provenAt       time.Time       // the table or a newer one was in force at or after this time
	hasProof       bool
	leaseEnd       time.Time // time of the last proof or outage check, plus the lease
	newestEpoch    uint64    // highest epoch known to exist
	stopped        bool      // Release was called
	released       []Member  // processes that have released their slots, according to the tables

	cache map[cacheKey]cachedShare
}

// replacedTable is a table that was replaced by a newer one.
type replacedTable struct {
	table Table
	until time.Time // when it was replaced
}

type cacheKey struct {
	replica                   string
	slots, connections, limit int
}

type cachedShare struct {
	slots, connections int
	until              time.Time // when the share must be recomputed; zero if never
}

// maxCachedShares is the maximum size of the cache. A full cache is cleared.
const maxCachedShares = 1 << 14

// NewLeaseHolder returns a holder without a lease.
func NewLeaseHolder(cfg Config, self Member) *LeaseHolder {
	return &LeaseHolder{cfg: cfg, self: self, cache: make(map[cacheKey]cachedShare)}
}

// Table returns the newest adopted table.
func (h *LeaseHolder) Table() Table { return h.table }

// ObserveEpoch records that a table with the epoch exists. The lease can't be
// extended in an outage while a newer table than the adopted one is known to exist.
func (h *LeaseHolder) ObserveEpoch(epoch uint64) { h.newestEpoch = max(h.newestEpoch, epoch) }

// AdoptTable replaces the current table if t is newer. Slots that this host loses
// become unusable immediately; slots that it gains become usable after the
// handover delay. If any table between the two is unknown, all slots count as
// gained.
//
// The proof remains valid: if the old table was in force at the time of the
// proof, the new one came into force after that.
func (h *LeaseHolder) AdoptTable(now time.Time, t Table) {
	if t.Epoch <= h.table.Epoch {
		return
	}
	h.ObserveEpoch(t.Epoch)
	chain, complete := tablesSince(t, h.table.Epoch)
	if !complete {
		h.markAllGained(now)
	}
	for _, newer := range chain {
		h.replacedTables = append(h.replacedTables, replacedTable{h.table, now})
		h.table = newer
		if len(newer.RecentChanges) > 0 {
			h.released = append(h.released, newer.RecentChanges[0].Released...)
		}
	}
	h.prune(now)
}

// tablesSince returns the tables that follow an epoch, up to and including t,
// oldest first. If some of them are unknown it returns only t and false.
func tablesSince(t Table, epoch uint64) ([]Table, bool) {
	tables := []Table{t}
	for tables[0].Epoch > epoch {
		previous, ok := tables[0].beforeLastChange()
		if !ok || previous.Epoch < epoch {
			return []Table{t}, false
		}
		if previous.Epoch == epoch {
			return tables, epoch != 0
		}
		tables = slices.Insert(tables, 0, previous)
	}
	return []Table{t}, false
}

// markAllGained treats all slots of this host as gained now.
func (h *LeaseHolder) markAllGained(now time.Time) {
	h.allGainedAt = now
	h.replacedTables = nil
	h.released = nil
	clear(h.cache)
}

// prune discards the tables that were replaced longer than the handover delay
// ago.
func (h *LeaseHolder) prune(now time.Time) {
	limit := now.Add(-h.cfg.handoverDelay())
	h.replacedTables = slices.DeleteFunc(h.replacedTables, func(r replacedTable) bool { return r.until.Before(limit) })
	if len(h.replacedTables) == 0 {
		h.released = nil
	}
	clear(h.cache)
}

// AddProof records that the table of an epoch was in force at or after sentAt,
// the time at which the request for the proof was sent. For a proof relayed by a
// peer, sentAt is the time of the request to the peer minus the age that the peer
// reports. A proof extends the lease only if its epoch is that of the adopted
// table.
func (h *LeaseHolder) AddProof(now time.Time, epoch uint64, sentAt time.Time) {
	h.ObserveEpoch(epoch)
	if epoch != h.table.Epoch || epoch == 0 {
		return
	}
	if h.hasProof && !sentAt.After(h.provenAt) {
		return
	}
	h.provenAt = sentAt
	h.hasProof = true
	h.extendLease(now, sentAt)
}

// extendLease extends the lease. If it had expired, all slots count as gained,
// because other hosts may have continued in outage mode while this host did not
// answer them.
func (h *LeaseHolder) extendLease(now, sentAt time.Time) {
	until := sentAt.Add(h.cfg.Lease)
	if until.Before(now) || !until.After(h.leaseEnd) {
		return
	}
	if h.leaseEnd.Before(now) && !h.cfg.disabled.resetOnExpiry {
		h.markAllGained(now)
	}
	h.leaseEnd = until
}

// Proof returns the epoch and the age of the holder's proof, for peers that ask.
// A proof is relayed even if it is older than the lease.
func (h *LeaseHolder) Proof(now time.Time) (epoch uint64, age time.Duration, ok bool) {
	return h.table.Epoch, now.Sub(h.provenAt), h.hasProof
}

// OutageCheck holds the results of one round of requests to the platform and to
// the other members of the table. The round waits for the members' answers even
// if the platform fails immediately.
type OutageCheck struct {
	// SentAt is when the first request of the round was sent.
	SentAt time.Time
	// PlatformUnreachable is set if the platform did not answer.
	PlatformUnreachable bool
	// Answers are the members that answered.
	Answers []PeerAnswer
}

// PeerAnswer is what a peer reports about this data centre's table.
type PeerAnswer struct {
	Member Member
	Epoch  uint64
	// Proven says whether the peer has a proof of Epoch; Age is the proof's age.
	Proven bool
	Age    time.Duration
}

// freshProofDivisor defines a fresh proof: one younger than the lease divided by
// it. A fresh proof shows that some host in the data centre can reach the
// platform. Fresh proofs must expire before the lease does, because outage mode
// has to start before the lease ends; otherwise all slots would count as gained.
const freshProofDivisor = 2

// ExtendInOutage records the proofs and epochs in the answers, and extends the
// lease without a proof if the platform is in an outage. This requires that the
// platform cannot be reached, that no peer that answered knows a newer epoch or
// has a fresh proof, and that (a) the table has at most two members or (b)
// another member answered. The lease then lasts from the start of the round. It
// reports whether the holder has a lease through outage mode.
//
// The caller must ask every member at least once per lease, and must pass the
// epoch of an answer that arrives after its round to ObserveEpoch: another host
// that gained this host's slots uses them after the handover delay, and this host
// must know of that host's table by then.
func (h *LeaseHolder) ExtendInOutage(now time.Time, c OutageCheck) bool {
	answered := false
	for _, a := range c.Answers {
		h.ObserveEpoch(a.Epoch)
		if a.Proven {
			h.AddProof(now, a.Epoch, c.SentAt.Add(-a.Age))
		}
		if !a.Member.sameProcess(h.self) && h.table.Contains(a.Member) {
			answered = true
		}
	}
	if !c.PlatformUnreachable || h.newestEpoch > h.table.Epoch || !h.table.Contains(h.self) {
		return false
	}
	if h.hasProof && c.SentAt.Sub(h.provenAt) < h.cfg.Lease/freshProofDivisor {
		return false
	}
	if len(h.table.Members) > 2 && !answered {
		return false
	}
	h.extendLease(now, c.SentAt)
	return h.HasLease(now)
}

// Release permanently ends the lease of this process. It must be called before
// the last work ends and the Reconciler writes the release.
func (h *LeaseHolder) Release() {
	h.stopped = true
}

// HasLease reports whether the holder is a member of the table and has a lease
// now, through a proof or outage mode.
func (h *LeaseHolder) HasLease(now time.Time) bool {
	if h.stopped || !h.table.Contains(h.self) {
		return false
	}
	return h.cfg.disabled.leaseCheck || !now.After(h.leaseEnd)
}

// AllowedSlots returns the number of slots of a replica that this host may have
// in use now. Call it before each send.
//
// The lease does not protect against a pause of the process between this check
// and the write to the socket: a request sent after the pause can exceed the
// replica's slots. Call HasLease again after the write, and cancel the request if
// the lease has ended.
func (h *LeaseHolder) AllowedSlots(now time.Time, replica string, slots int) int {
	return h.AllowedSlotsWithin(now, replica, slots, slots)
}

// AllowedSlotsWithin is like AllowedSlots for a limit below the replica's slots,
// which LimitedShares divides.
func (h *LeaseHolder) AllowedSlotsWithin(now time.Time, replica string, slots, limit int) int {
	return h.allowed(now, cacheKey{replica, slots, 0, limit}).slots
}

// AllowedConnections returns the number of connections to a replica that this
// host may have open now. The caller must close idle connections above it.
//
// Unlike work, connections have no deadline: the connections of a paused host
// stay open while the new owner opens its own. The caller should open few more
// connections than it has slots in use. The replica's connection limit is then
// kept if it is at least twice the number of slots.
func (h *LeaseHolder) AllowedConnections(now time.Time, replica string, slots, connections int) int {
	return h.allowed(now, cacheKey{replica, slots, connections, slots}).connections
}

func (h *LeaseHolder) allowed(now time.Time, key cacheKey) cachedShare {
	if !h.HasLease(now) || now.Before(h.allGainedAt.Add(h.cfg.handoverDelay())) {
		return cachedShare{}
	}
	if c, ok := h.cache[key]; ok && (c.until.IsZero() || now.Before(c.until)) {
		return c
	}
	if len(h.cache) >= maxCachedShares {
		clear(h.cache)
	}
	c := h.computeShare(now, key)
	h.cache[key] = c
	return c
}

// computeShare returns the smallest share under the current table and those
// replaced within the handover delay. Processes that have released are removed
// from the older tables: their work has ended, and removing a member does not
// lower the share of any other.
func (h *LeaseHolder) computeShare(now time.Time, key cacheKey) cachedShare {
	own := h.share(h.table, key)
	c := cachedShare{slots: own.Slots, connections: own.Connections}
	for _, r := range h.replacedTables {
		end := r.until.Add(h.cfg.handoverDelay())
		if !now.Before(end) {
			continue
		}
		if c.until.IsZero() || end.Before(c.until) {
			c.until = end
		}
		old := h.share(Table{Members: r.table.without(h.released)}, key)
		c.slots = min(c.slots, old.Slots)
		c.connections = min(c.connections, old.Connections)
	}
	return c
}

// share returns this process's share under a table, or the zero value if it has
// none.
func (h *LeaseHolder) share(t Table, key cacheKey) Share {
	for _, s := range LimitedShares(t, key.replica, key.slots, key.connections, key.limit) {
		if s.Member.sameProcess(h.self) {
			return s
		}
	}
	return Share{}
}
