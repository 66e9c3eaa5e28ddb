package upstreamstandin

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// LeaveMode is how a replica behaves after it was told to leave.
type LeaveMode string

// The leave modes.
const (
	LeaveQuiet  LeaveMode = "quiet"  // keeps working and reports nothing; only the host list may show it
	LeaveReport LeaveMode = "report" // keeps working and reports that it is draining
	LeaveRefuse LeaveMode = "refuse" // refuses new requests with the code draining
	LeaveNone   LeaveMode = ""       // is not leaving
)

// replica is one replica in its current incarnation.
type replica struct {
	cfg Replica

	mu              sync.Mutex
	rng             *rand.Rand
	faults          Faults
	incarnation     string
	starts          int
	lifetime        chan struct{} // closed when the incarnation ends
	frozen          chan struct{} // closed by thaw; nil if not frozen
	crashed         bool
	held            []uint64 // index versions, ascending
	partition       upstream.HashRange
	noPartition     bool // holds no partition
	leaveMode       LeaveMode
	leavingSince    time.Time
	served          int // requests served since the cold start
	coldExcess      int // requests above the capacity since the cold start
	running         int
	queue           []chan struct{}
	fallenOverUntil time.Time
	lastReport      upstream.Load
	lastReportAt    time.Time
	lastReply       *upstream.Reply // for Faults.CrossedShare
	connections     map[*connection]struct{}
	ownListener     *replicaListener // nil if served by the shared listener
	slips           int
	record          ReplicaRecord
}

func newReplica(cfg Replica, seed, snapshot uint64) *replica {
	cfg = cfg.withDefaults()
	hash := fnv.New64a()
	hash.Write([]byte(cfg.ID))
	r := &replica{
		cfg:       cfg,
		rng:       rand.New(rand.NewPCG(seed, hash.Sum64())),
		held:      []uint64{snapshot},
		partition: cfg.Partition,
		record:    newRecord(cfg),

		connections: make(map[*connection]struct{}),
	}
	r.startIncarnation(cfg.StartCold)
	return r
}

// startIncarnation starts an incarnation. The caller holds r.mu or has exclusive
// access.
func (r *replica) startIncarnation(cold bool) {
	r.starts++
	r.incarnation = fmt.Sprintf("%s-%d-%08x", r.cfg.ID, r.starts, r.rng.Uint32())
	r.lifetime = make(chan struct{})
	r.crashed = false
	r.running = 0
	r.queue = nil
	r.fallenOverUntil = time.Time{}
	r.lastReportAt = time.Time{}
	r.lastReply = nil
	r.ownListener.open(r)
	r.makeCold()
	if !cold {
		r.served = r.cfg.WarmUpRequests
	}
}

// currentLifetime returns the lifetime channel of the current incarnation.
func (r *replica) currentLifetime() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lifetime
}

// makeCold resets the warm-up.
func (r *replica) makeCold() { r.served, r.coldExcess = 0, 0 }

// endIncarnation ends the incarnation and aborts its requests.
func (r *replica) endIncarnation() {
	if !r.crashed {
		close(r.lifetime)
	}
	r.crashed = true
	r.thaw()
	r.ownListener.close()
	for c := range r.connections {
		c.conn.Close()
	}
	clear(r.connections)
}

func (r *replica) thaw() {
	if r.frozen != nil {
		close(r.frozen)
		r.frozen = nil
	}
}

func (r *replica) cold() bool { return r.served < r.cfg.WarmUpRequests }

// capacity is the number of requests that the replica can run at once. During the
// warm-up it rises from ColdSlots to Slots in proportion to the requests served.
func (r *replica) capacity() int {
	if !r.cold() {
		return r.cfg.Slots
	}
	floor := min(r.cfg.ColdSlots, r.cfg.Slots)
	return floor + (r.cfg.Slots-floor)*r.served/r.cfg.WarmUpRequests
}

func (r *replica) hasFallenOver(now time.Time) bool { return now.Before(r.fallenOverUntil) }

func (r *replica) fallOver(now time.Time) {
	r.fallenOverUntil = now.Add(fallOverDuration)
	r.coldExcess = 0
	r.record.FallOvers++
}

// reportedLoad returns the load to report. Faults can make it out of date or wrong.
func (r *replica) reportedLoad(now time.Time) upstream.Load {
	if r.faults.ReportedLoad != nil {
		return *r.faults.ReportedLoad
	}
	lag := time.Duration(r.faults.ReportLagMS) * time.Millisecond
	if r.lastReportAt.IsZero() || now.Sub(r.lastReportAt) >= lag {
		r.lastReportAt = now
		r.lastReport = upstream.Load{
			InFlight: r.running + len(r.queue),
			Slots:    r.cfg.Slots,
			Draining: r.leaveMode == LeaveReport || r.leaveMode == LeaveRefuse,
			Cold:     r.cold(),
		}
	}
	return r.lastReport
}

// baseReply returns the fields that every reply and refusal contains.
func (r *replica) baseReply(now time.Time, attempt string) upstream.Reply {
	return upstream.Reply{
		Attempt:     attempt,
		Service:     r.cfg.Service,
		Held:        slices.Clone(r.held),
		Partition:   r.partition,
		Incarnation: r.incarnation,
		Load:        r.reportedLoad(now),
	}
}

// publish adds an index version and drops the oldest above maxHeldSnapshots.
func (r *replica) publish(snapshot uint64) {
	if slices.Contains(r.held, snapshot) {
		return
	}
	r.held = append(r.held, snapshot)
	slices.Sort(r.held)
	if extra := len(r.held) - maxHeldSnapshots; extra > 0 {
		r.held = r.held[extra:]
	}
}

// coveredRange returns the part of the requested range that the replica holds, and
// false if it holds none of it.
func (r *replica) coveredRange(requested upstream.HashRange) (upstream.HashRange, bool) {
	if r.noPartition || !r.partition.Overlaps(requested) {
		return upstream.HashRange{}, false
	}
	part := upstream.HashRange{Start: max(r.partition.Start, requested.Start), End: requested.End}
	if requested.End == 0 || (r.partition.End != 0 && r.partition.End < requested.End) {
		part.End = r.partition.End
	}
	return part, true
}
