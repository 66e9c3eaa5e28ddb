package upstreamstandin

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// DataCentre holds the replicas of one data centre. Its clock is time.Now, so
// it also runs in a testing/synctest bubble.
type DataCentre struct {
	name     string
	replicas map[string]*replica
	ids      []string // sorted

	mu       sync.Mutex
	rng      *rand.Rand
	outSince time.Time // zero while in service
}

// New returns the data centre with all replicas running.
func New(cfg Config) (*DataCentre, error) {
	d := &DataCentre{
		name:     cfg.DataCentre,
		replicas: make(map[string]*replica),
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Replicas)))),
	}
	for _, r := range cfg.Replicas {
		if r.ID == "" || strings.Contains(r.ID, "/") || r.Slots < 1 {
			return nil, errors.Newf("replica %q needs an id without slash and at least one slot", r.ID)
		}
		if _, double := d.replicas[r.ID]; double {
			return nil, errors.Newf("replica %q is listed twice", r.ID)
		}
		d.replicas[r.ID] = newReplica(r, cfg.Seed, cfg.Snapshot)
		d.ids = append(d.ids, r.ID)
	}
	slices.Sort(d.ids)
	return d, nil
}

// Name returns the name of the data centre.
func (d *DataCentre) Name() string { return d.name }

// Replicas returns the ids of the replicas, sorted.
func (d *DataCentre) Replicas() []string { return slices.Clone(d.ids) }

// Selector chooses replicas: "*" for all, "group:NAME", "service:NAME", or a
// replica id.
type Selector string

// each runs f on every chosen replica under its lock. A selector that chooses
// none is an error, since a trial would otherwise run without its fault.
func (d *DataCentre) each(s Selector, f func(*replica)) error {
	found := false
	for _, id := range d.ids {
		r := d.replicas[id]
		if !s.matches(r.cfg) {
			continue
		}
		found = true
		r.mu.Lock()
		f(r)
		r.mu.Unlock()
	}
	if !found {
		return errors.Newf("no replica matches %q", string(s))
	}
	return nil
}

func (s Selector) matches(r Replica) bool {
	kind, name, qualified := strings.Cut(string(s), ":")
	switch {
	case s == "*":
		return true
	case qualified && kind == "group":
		return name == r.Group
	case qualified && kind == "service":
		return name == r.Service
	default:
		return string(s) == r.ID
	}
}

// SetFaults replaces the faults of the chosen replicas.
func (d *DataCentre) SetFaults(s Selector, f Faults) error {
	return d.each(s, func(r *replica) { r.faults = f })
}

// Leave tells the chosen replicas to leave, or with LeaveNone to stay.
func (d *DataCentre) Leave(s Selector, mode LeaveMode) error {
	now := time.Now()
	return d.each(s, func(r *replica) {
		if r.leave == LeaveNone {
			r.leftAt = now
		}
		r.leave = mode
	})
}

// SetOutOfService records that the data centre was taken out of service or back in. It
// changes nothing but the record.
func (d *DataCentre) SetOutOfService(out bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !out {
		d.outSince = time.Time{}
		return
	}
	if d.outSince.IsZero() {
		d.outSince = time.Now()
	}
}

func (d *DataCentre) outTime() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outSince
}

// Freeze makes the chosen replicas stop answering until Thaw.
func (d *DataCentre) Freeze(s Selector) error {
	return d.each(s, func(r *replica) {
		if r.frozen == nil && !r.crashed {
			r.frozen = make(chan struct{})
		}
	})
}

// Thaw ends Freeze. Requests that waited are handled then.
func (d *DataCentre) Thaw(s Selector) error { return d.each(s, (*replica).thaw) }

// Crash ends the chosen replicas. Their requests are cut off.
func (d *DataCentre) Crash(s Selector) error { return d.each(s, (*replica).end) }

// Restart ends the chosen replicas and starts them cold in a new incarnation.
// They no longer leave.
func (d *DataCentre) Restart(s Selector) error {
	return d.each(s, func(r *replica) {
		r.end()
		r.leave = LeaveNone
		r.begin(true)
	})
}

// MakeCold makes the chosen replicas cold without a new incarnation.
func (d *DataCentre) MakeCold(s Selector) error { return d.each(s, (*replica).chill) }

// Publish adds an index version to all replicas, each at a random time within
// spread.
func (d *DataCentre) Publish(snapshot uint64, spread time.Duration) {
	for _, id := range d.ids {
		r := d.replicas[id]
		time.AfterFunc(d.within(spread), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.publish(snapshot)
		})
	}
}

// within draws a time below spread.
func (d *DataCentre) within(spread time.Duration) time.Duration {
	if spread <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.Int64N(int64(spread)))
}

// SetPartition moves the chosen replicas to another part of the hash space.
func (d *DataCentre) SetPartition(s Selector, h upstream.HashRange) error {
	return d.each(s, func(r *replica) { r.partition, r.gone = h, false })
}

// DropPartition leaves the chosen replicas without any part of the hash space,
// as after a merge into others.
func (d *DataCentre) DropPartition(s Selector) error {
	return d.each(s, func(r *replica) { r.gone = true })
}

// Record is what the upstreams of the data centre were made to bear.
type Record struct {
	DataCentre string          `json:"data_centre"`
	Replicas   []ReplicaRecord `json:"replicas"`
}

// Record returns the record since the start.
func (d *DataCentre) Record() Record {
	record := Record{DataCentre: d.name}
	d.each("*", func(r *replica) {
		c := r.record
		c.Runs = slices.Clone(c.Runs)
		c.AfterLeave.First = slices.Clone(c.AfterLeave.First)
		c.AfterOut.First = slices.Clone(c.AfterOut.First)
		record.Replicas = append(record.Replicas, c)
	})
	return record
}

// Runs returns the runs of non-idempotent requests by key.
func (c Record) Runs() map[string][]Run {
	runs := make(map[string][]Run)
	for _, r := range c.Replicas {
		for _, run := range r.Runs {
			runs[run.Key] = append(runs[run.Key], run)
		}
	}
	return runs
}
