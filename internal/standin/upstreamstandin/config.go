// Package upstreamstandin is a stand-in for the upstreams of one data centre.
//
// One process simulates many replicas. Each replica limits its slots and
// connections, warms up after a cold start, sheds load, drains, falls over under
// overload, and records the load that it received. The replicas are served over
// HTTP, either by one shared listener, where the first path segment is the replica
// ID, or by one listener per replica. Tests can also call them in process through
// Direct.
package upstreamstandin

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

const (
	// defaultWarmUpRequests is the default of Replica.WarmUpRequests.
	defaultWarmUpRequests = 50
	// maxColdExcess is the number of requests above its capacity at which a cold
	// replica falls over.
	maxColdExcess = 3
	// maxQueuePerSlot limits the queue length of a warm replica to this number for each
	// of its slots. A request above the limit makes the replica fall over.
	maxQueuePerSlot = 4
	// fallOverDuration is how long a replica sheds load and works slowly after it has
	// fallen over.
	fallOverDuration = 2 * time.Second
	// fallOverSlowdown multiplies the work times during fallOverDuration.
	fallOverSlowdown = 10
	// maxHeldSnapshots is the number of index versions that a replica holds.
	maxHeldSnapshots = 2
)

// WorkTime is the distribution of the time that a replica works on one request. It
// is log-normal, which has the long tail of real services.
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
	ConnectDelay   time.Duration // delay of the first request on a connection
	Partition      upstream.HashRange
	WorkTime       WorkTime
	ColdSlots      int    // capacity right after a cold start; 0 means 1
	WarmUpRequests int    // requests served until the replica is warm; 0 means 50
	StartCold      bool   // start the first incarnation cold instead of warm
	Address        string // of the replica's own listener; if empty, ListenEach chooses a port
}

func (r Replica) withDefaults() Replica {
	if r.ColdSlots <= 0 {
		r.ColdSlots = 1
	}
	if r.WarmUpRequests <= 0 {
		r.WarmUpRequests = defaultWarmUpRequests
	}
	return r
}

// Config describes the upstreams of one data centre.
type Config struct {
	DataCentre string
	Seed       uint64 // of the work times and the random faults
	Snapshot   uint64 // index version held at the start
	Replicas   []Replica
}

// Faults are the faults to inject into one replica. Shares are between 0 and 1. The
// zero value is a healthy replica.
type Faults struct {
	// SlowFactor multiplies all work times; 0 means 1.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// StragglerShare of the requests take StragglerFactor times as long.
	StragglerShare  float64 `json:"straggler_share,omitempty"`
	StragglerFactor float64 `json:"straggler_factor,omitempty"`
	// ShedShare of the requests are shed even if the replica has capacity.
	ShedShare float64 `json:"shed_share,omitempty"`
	// LostShare of the replies are lost after the request has run.
	LostShare float64 `json:"lost_share,omitempty"`
	// BrokenShare of the replies are truncated.
	BrokenShare float64 `json:"broken_share,omitempty"`
	// CrossedShare of the replies are replaced by the previous reply of the replica,
	// which belongs to another attempt.
	CrossedShare float64 `json:"crossed_share,omitempty"`
	// LateShare of the replies are sent LateMS milliseconds after the deadline.
	LateShare float64 `json:"late_share,omitempty"`
	LateMS    int     `json:"late_ms,omitempty"`
	// ReportLagMS is the lag of the load in health reports and replies, in
	// milliseconds.
	ReportLagMS int `json:"report_lag_ms,omitempty"`
	// ReportedLoad replaces the load in health reports and replies.
	ReportedLoad *upstream.Load `json:"report,omitempty"`
}

// workTimeFactor draws the factor by which the faults slow down one request.
func (f Faults) workTimeFactor(rng *rand.Rand) float64 {
	factor := 1.0
	if f.SlowFactor > 0 {
		factor = f.SlowFactor
	}
	if rng.Float64() < f.StragglerShare {
		factor *= f.StragglerFactor
	}
	return factor
}
