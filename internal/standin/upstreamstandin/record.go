package upstreamstandin

import (
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

const (
	// maxArrivals limits the number of arrivals that are kept individually.
	maxArrivals = 1000
	// overlapGrace is the time that a request may wait for a slot without being
	// counted as overload. When a caller cancels a request and sends the next one
	// at once, the two overlap until the replica has noticed the cancellation.
	overlapGrace = 5 * time.Millisecond
)

// Run is one run of a non-idempotent request.
type Run struct {
	Key     string    `json:"key"`
	Replica string    `json:"replica"`
	Slip    string    `json:"slip"`
	Attempt string    `json:"attempt"`
	Time    time.Time `json:"time"`
}

// Arrival is a request that reached a replica that should no longer get requests.
type Arrival struct {
	Attempt string        `json:"attempt"`
	Kind    upstream.Kind `json:"kind"`
	Time    time.Time     `json:"time"`
	SinceMS float64       `json:"since_ms"` // since the replica was told to leave, or the data centre was taken out of service
}

// Arrivals counts arrivals and keeps the first maxArrivals of them.
type Arrivals struct {
	Count  int64     `json:"count"`
	LastMS float64   `json:"last_ms"` // the largest SinceMS of all arrivals
	First  []Arrival `json:"first,omitempty"`
}

func (a *Arrivals) add(q upstream.Request, now, since time.Time) {
	ms := milliseconds(now.Sub(since))
	a.Count++
	a.LastMS = max(a.LastMS, ms)
	if len(a.First) < maxArrivals {
		a.First = append(a.First, Arrival{Attempt: q.Attempt, Kind: q.Kind, Time: now, SinceMS: ms})
	}
}

// ReplicaRecord describes the load that one replica received.
type ReplicaRecord struct {
	Replica            string   `json:"replica"`
	Group              string   `json:"group"`
	Service            string   `json:"service"`
	Slots              int      `json:"slots"`
	Connections        int      `json:"connections"`
	Requests           int64    `json:"requests"`
	Served             int64    `json:"served"`
	Shed               int64    `json:"shed"`
	Queued             int64    `json:"queued"`      // requests that found no free slot
	QueuedLong         int64    `json:"queued_long"` // queued requests that waited longer than overlapGrace
	LongestQueueTimeMS float64  `json:"longest_queue_ms"`
	FallOvers          int      `json:"fall_overs"`
	PeakOffered        int      `json:"peak_offered"` // running and queued at once
	PeakRunning        int      `json:"peak_work"`    // running at once
	PeakOfferedCold    int      `json:"peak_offered_cold"`
	PeakRunningCold    int      `json:"peak_work_cold"`
	OverCapacityCold   int64    `json:"over_capacity_cold"` // requests above the capacity of a cold replica
	StartedWhileCold   int64    `json:"starts_cold"`
	PeakConnections    int      `json:"peak_connections"`
	RefusedConnections int64    `json:"refused_connections"`
	AfterLeave         Arrivals `json:"after_leave"`
	AfterOut           Arrivals `json:"after_out"`
	Runs               []Run    `json:"runs,omitempty"`
}

func newRecord(cfg Replica) ReplicaRecord {
	return ReplicaRecord{
		Replica: cfg.ID, Group: cfg.Group, Service: cfg.Service,
		Slots: cfg.Slots, Connections: cfg.Connections,
	}
}

// addOffered records a request that is about to take a slot or to be queued.
func (c *ReplicaRecord) addOffered(r *replica) {
	n := r.running + len(r.queue) + 1
	c.PeakOffered = max(c.PeakOffered, n)
	if !r.cold() {
		return
	}
	c.PeakOfferedCold = max(c.PeakOfferedCold, n)
	if n > r.capacity() {
		c.OverCapacityCold++
	}
}

// addStarted records a request that has just taken a slot.
func (c *ReplicaRecord) addStarted(r *replica) {
	c.PeakRunning = max(c.PeakRunning, r.running)
	if r.cold() {
		c.StartedWhileCold++
		c.PeakRunningCold = max(c.PeakRunningCold, r.running)
	}
}

// addWait records how long a request was queued, whether or not it got a slot.
func (c *ReplicaRecord) addWait(d time.Duration) {
	if d > overlapGrace {
		c.QueuedLong++
	}
	c.LongestQueueTimeMS = max(c.LongestQueueTimeMS, milliseconds(d))
}

func (c *ReplicaRecord) addRun(run Run) { c.Runs = append(c.Runs, run) }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// arrive records the arrival of a request and returns the lifetime channel of the
// incarnation that handles it.
func (r *replica) arrive(q upstream.Request, outSince time.Time) (lifetime chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.record.Requests++
	if r.leaveMode != LeaveNone {
		r.record.AfterLeave.add(q, now, r.leavingSince)
	}
	if !outSince.IsZero() {
		r.record.AfterOut.add(q, now, outSince)
	}
	return r.lifetime
}
