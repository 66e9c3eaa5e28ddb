// Package upstreamstandin is a stand-in for the upstreams of one data centre.
//
// One process holds many replicas. Each enforces its slots and connections,
// starts cold, sheds, drains and falls over under more load than it can
// handle, and records what it was made to bear. The replicas are served over
// HTTP behind one listener, where the first path segment names the replica, or
// by one listener each; tests can call them in process through Direct.
package upstreamstandin

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

const (
	// defaultColdServes is the number of requests after which a replica is warm.
	defaultColdServes = 50
	// coldStrain is the number of requests above its capacity after which a
	// cold replica falls over.
	coldStrain = 3
	// queuePerSlot bounds the queue of a warm replica; one more request makes
	// it fall over.
	queuePerSlot = 4
	// fallTime is how long a replica that fell over sheds and works slowly.
	fallTime = 2 * time.Second
	// fallFactor is how much slower the work is meanwhile.
	fallFactor = 10
	// heldSnapshots is the number of index versions that a replica holds.
	heldSnapshots = 2
)

// WorkTime is the distribution of the time that one request takes: log-normal, so
// that it has the long tail of real services.
type WorkTime struct {
	Median time.Duration
	Sigma  float64 // standard deviation of the logarithm; 0 means constant
}

func (w WorkTime) draw(rng *rand.Rand) time.Duration {
	return time.Duration(float64(w.Median) * math.Exp(w.Sigma*rng.NormFloat64()))
}

// Replica describes one replica.
type Replica struct {
	ID             string
	Group          string
	Service        string
	Slots          int
	Connections    int           // 0 means no limit
	ConnectDelay   time.Duration // time that the first request on a connection waits
	Partition      upstream.HashRange
	WorkTime       WorkTime
	ColdSlots      int    // capacity just after a cold start; 0 means 1
	WarmUpRequests int    // requests served until it is warm; 0 means 50
	StartCold      bool   // otherwise the first incarnation starts warm
	Address        string // own listener's; empty lets ListenEach choose a port
}

func (r Replica) withDefaults() Replica {
	if r.ColdSlots <= 0 {
		r.ColdSlots = 1
	}
	if r.WarmUpRequests <= 0 {
		r.WarmUpRequests = defaultColdServes
	}
	return r
}

// Config describes the upstreams of one data centre.
type Config struct {
	DataCentre string
	Seed       uint64 // decides work times and faults
	Snapshot   uint64 // index version held at the start
	Replicas   []Replica
}

// Faults are the faults of one replica. Shares are between 0 and 1. The zero
// value is a healthy replica.
type Faults struct {
	// SlowFactor multiplies all work times; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// StragglerShare of the requests take StragglerFactor times as long.
	StragglerShare  float64 `json:"straggler_share,omitempty"`
	StragglerFactor float64 `json:"straggler_factor,omitempty"`
	// ShedShare of the requests are shed without need.
	ShedShare float64 `json:"shed_share,omitempty"`
	// LostShare of the replies are lost after the work was done.
	LostShare float64 `json:"lost_share,omitempty"`
	// BrokenShare of the replies are cut short.
	BrokenShare float64 `json:"broken_share,omitempty"`
	// CrossedShare of the replies are replaced by the reply to another attempt.
	CrossedShare float64 `json:"crossed_share,omitempty"`
	// LateShare of the replies are sent LateMS milliseconds after the deadline.
	LateShare float64 `json:"late_share,omitempty"`
	LateMS    int     `json:"late_ms,omitempty"`
	// ReportLagMS is how far health and load reports lag, in milliseconds.
	ReportLagMS int `json:"report_lag_ms,omitempty"`
	// ReportedLoad replaces the load that is reported.
	ReportedLoad *upstream.Load `json:"report,omitempty"`
}

// workFactor draws by how much the faults slow one request.
func (f Faults) workFactor(rng *rand.Rand) float64 {
	factor := 1.0
	if f.SlowFactor > 0 {
		factor = f.SlowFactor
	}
	if rng.Float64() < f.StragglerShare {
		factor *= f.StragglerFactor
	}
	return factor
}
