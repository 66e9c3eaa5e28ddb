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

// LeaveMode says how a replica that was told to leave shows it.
type LeaveMode string

// The ways in which a replica leaves.
const (
	LeaveQuiet  LeaveMode = "quiet"  // works on; only the host list may tell
	LeaveReport LeaveMode = "report" // works on, and reports that it drains
	LeaveRefuse LeaveMode = "refuse" // refuses new work as draining
	LeaveNone   LeaveMode = ""       // does not leave, or stays after all
)

// replica is one replica in its current incarnation.
type replica struct {
	cfg Replica

	mu          sync.Mutex
	rng         *rand.Rand
	faults      Faults
	incarnation string
	starts      int
	life        chan struct{} // closed when the incarnation ends
	frozen      chan struct{} // closed at the thaw; nil when not frozen
	crashed     bool
	held        []uint64 // ascending
	partition   upstream.HashRange
	gone        bool // holds no partition
	leave       LeaveMode
	leftAt      time.Time
	served      int // requests since the cold start
	strain      int // requests above the capacity since the cold start
	running     int
	queue       []chan struct{}
	fallenUntil time.Time
	report      upstream.Load
	reportedAt  time.Time
	last        *upstream.Reply // for crossed replies
	connections map[*connection]struct{}
	own         *ownListener // nil when served behind the shared listener
	slips       int
	record      ReplicaRecord
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
	r.begin(cfg.StartCold)
	return r
}

// begin starts an incarnation. The caller holds the lock, or is the only user.
func (r *replica) begin(cold bool) {
	r.starts++
	r.incarnation = fmt.Sprintf("%s-%d-%08x", r.cfg.ID, r.starts, r.rng.Uint32())
	r.life = make(chan struct{})
	r.crashed = false
	r.running = 0
	r.queue = nil
	r.fallenUntil = time.Time{}
	r.reportedAt = time.Time{}
	r.last = nil
	r.own.open(r)
	r.chill()
	if !cold {
		r.served = r.cfg.WarmUpRequests
	}
}

// current returns the incarnation.
func (r *replica) current() chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.life
}

// chill makes the replica cold.
func (r *replica) chill() { r.served, r.strain = 0, 0 }

// end ends the incarnation: all work in it is cut off.
func (r *replica) end() {
	if !r.crashed {
		close(r.life)
	}
	r.crashed = true
	r.thaw()
	r.own.close()
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

// capacity is the number of requests that the replica can handle at once. It
// rises from the cold slots to all slots with the requests served.
func (r *replica) capacity() int {
	if !r.cold() {
		return r.cfg.Slots
	}
	floor := min(r.cfg.ColdSlots, r.cfg.Slots)
	return floor + (r.cfg.Slots-floor)*r.served/r.cfg.WarmUpRequests
}

func (r *replica) fallen(now time.Time) bool { return now.Before(r.fallenUntil) }

func (r *replica) fallOver(now time.Time) {
	r.fallenUntil = now.Add(fallTime)
	r.strain = 0
	r.record.FallOvers++
}

// load is the report, which the faults make lag or lie.
func (r *replica) load(now time.Time) upstream.Load {
	if r.faults.ReportedLoad != nil {
		return *r.faults.ReportedLoad
	}
	lag := time.Duration(r.faults.ReportLagMS) * time.Millisecond
	if r.reportedAt.IsZero() || now.Sub(r.reportedAt) >= lag {
		r.reportedAt = now
		r.report = upstream.Load{
			InFlight: r.running + len(r.queue),
			Slots:    r.cfg.Slots,
			Draining: r.leave == LeaveReport || r.leave == LeaveRefuse,
			Cold:     r.cold(),
		}
	}
	return r.report
}

// state fills in what every reply and refusal carries.
func (r *replica) state(now time.Time, attempt string) upstream.Reply {
	return upstream.Reply{
		Attempt:     attempt,
		Service:     r.cfg.Service,
		Held:        slices.Clone(r.held),
		Partition:   r.partition,
		Incarnation: r.incarnation,
		Load:        r.load(now),
	}
}

// publish adds an index version and drops the oldest beyond those it holds.
func (r *replica) publish(snapshot uint64) {
	if slices.Contains(r.held, snapshot) {
		return
	}
	r.held = append(r.held, snapshot)
	slices.Sort(r.held)
	if extra := len(r.held) - heldSnapshots; extra > 0 {
		r.held = r.held[extra:]
	}
}

// cover returns the part of the range asked for that the replica holds.
func (r *replica) cover(asked upstream.HashRange) (upstream.HashRange, bool) {
	if r.gone || !r.partition.Overlaps(asked) {
		return upstream.HashRange{}, false
	}
	part := upstream.HashRange{Start: max(r.partition.Start, asked.Start), End: asked.End}
	if asked.End == 0 || (r.partition.End != 0 && r.partition.End < asked.End) {
		part.End = r.partition.End
	}
	return part, true
}
