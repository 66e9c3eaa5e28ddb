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

// DataCentre holds the replicas of one data centre. It uses the clock of package
// time, so it also runs in a testing/synctest bubble.
type DataCentre struct {
	name     string
	replicas map[string]*replica
	ids      []string // sorted

	mu       sync.Mutex
	rng      *rand.Rand
	outSince time.Time // zero while in service
}

// New returns a data centre in which all replicas run.
func New(cfg Config) (*DataCentre, error) {
	d := &DataCentre{
		name:     cfg.DataCentre,
		replicas: make(map[string]*replica),
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Replicas)))),
	}
	for _, r := range cfg.Replicas {
		if r.ID == "" || strings.Contains(r.ID, "/") || r.Slots < 1 {
			return nil, errors.Newf("replica %q: the ID must be non-empty and without slashes, and slots must be at least 1", r.ID)
		}
		if _, duplicate := d.replicas[r.ID]; duplicate {
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

// Replicas returns the IDs of the replicas in ascending order.
func (d *DataCentre) Replicas() []string { return slices.Clone(d.ids) }

// Selector selects replicas: "*" for all, "group:NAME", "service:NAME", or a
// replica ID.
type Selector string

// forSelected calls f for each selected replica with the replica's lock held. It
// returns an error if no replica is selected: a trial would otherwise run without the
// intended fault.
func (d *DataCentre) forSelected(s Selector, f func(*replica)) error {
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

// SetFaults replaces the faults of the selected replicas.
func (d *DataCentre) SetFaults(s Selector, f Faults) error {
	return d.forSelected(s, func(r *replica) { r.faults = f })
}

// Leave tells the selected replicas to leave; LeaveNone tells them to stay.
func (d *DataCentre) Leave(s Selector, mode LeaveMode) error {
	now := time.Now()
	return d.forSelected(s, func(r *replica) {
		if r.leaveMode == LeaveNone {
			r.leavingSince = now
		}
		r.leaveMode = mode
	})
}

// SetOutOfService records that the data centre was taken out of service or put back
// into service. It affects only the record, not the replicas.
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

func (d *DataCentre) outOfServiceSince() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outSince
}

// Freeze makes the selected replicas hold all requests until Thaw.
func (d *DataCentre) Freeze(s Selector) error {
	return d.forSelected(s, func(r *replica) {
		if r.frozen == nil && !r.crashed {
			r.frozen = make(chan struct{})
		}
	})
}

// Thaw ends Freeze. The replicas then handle the requests that they held.
func (d *DataCentre) Thaw(s Selector) error { return d.forSelected(s, (*replica).thaw) }

// Crash ends the selected replicas and aborts their requests without a reply.
func (d *DataCentre) Crash(s Selector) error { return d.forSelected(s, (*replica).endIncarnation) }

// Restart ends the selected replicas and starts them cold in a new incarnation, which
// is not leaving.
func (d *DataCentre) Restart(s Selector) error {
	return d.forSelected(s, func(r *replica) {
		r.endIncarnation()
		r.leaveMode = LeaveNone
		r.startIncarnation(true)
	})
}

// MakeCold makes the selected replicas cold without starting a new incarnation.
func (d *DataCentre) MakeCold(s Selector) error { return d.forSelected(s, (*replica).makeCold) }

// Publish adds an index version to all replicas, to each after a random delay of less
// than spread.
func (d *DataCentre) Publish(snapshot uint64, spread time.Duration) {
	for _, id := range d.ids {
		r := d.replicas[id]
		time.AfterFunc(d.randomDelay(spread), func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.publish(snapshot)
		})
	}
}

// randomDelay returns a random duration below spread.
func (d *DataCentre) randomDelay(spread time.Duration) time.Duration {
	if spread <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Duration(d.rng.Int64N(int64(spread)))
}

// SetPartition makes the selected replicas hold another partition of the hash space.
func (d *DataCentre) SetPartition(s Selector, h upstream.HashRange) error {
	return d.forSelected(s, func(r *replica) { r.partition, r.noPartition = h, false })
}

// DropPartition leaves the selected replicas without a partition, as after a merge of
// partitions.
func (d *DataCentre) DropPartition(s Selector) error {
	return d.forSelected(s, func(r *replica) { r.noPartition = true })
}

// Record describes the load that the upstreams of one data centre received.
type Record struct {
	DataCentre string          `json:"data_centre"`
	Replicas   []ReplicaRecord `json:"replicas"`
}

// Record returns the record of the time since the start.
func (d *DataCentre) Record() Record {
	record := Record{DataCentre: d.name}
	d.forSelected("*", func(r *replica) {
		c := r.record
		c.Runs = slices.Clone(c.Runs)
		c.AfterLeave.First = slices.Clone(c.AfterLeave.First)
		c.AfterOut.First = slices.Clone(c.AfterOut.First)
		record.Replicas = append(record.Replicas, c)
	})
	return record
}

// Runs returns the runs of non-idempotent requests by idempotency key.
func (c Record) Runs() map[string][]Run {
	runs := make(map[string][]Run)
	for _, r := range c.Replicas {
		for _, run := range r.Runs {
			runs[run.Key] = append(runs[run.Key], run)
		}
	}
	return runs
}
