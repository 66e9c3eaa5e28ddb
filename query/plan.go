package query

import (
	"math/big"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// Preference states whether a contract favours coverage or latency.
type Preference string

const (
	// PreferCoverage waits for full coverage until the deadline.
	PreferCoverage Preference = "coverage"
	// PreferLatency answers at the latency goal, or later as soon as the minimum
	// coverage is reached.
	PreferLatency Preference = "latency"
)

// Reason is why a replica is not used or why a part is missing.
type Reason string

const (
	// ReasonTimedOut means that no reply arrived in time.
	ReasonTimedOut Reason = "timed_out"
	// ReasonShed means that the request was refused because of overload.
	ReasonShed Reason = "shed"
	// ReasonNoReplica means that no usable replica covers the range.
	ReasonNoReplica Reason = "no_replica"
	// ReasonOut means that the replicas are in data centres that are out of
	// service or not allowed for this query.
	ReasonOut Reason = "out"
	// ReasonLeaving means that the replicas are draining before they leave.
	ReasonLeaving Reason = "leaving"
	// ReasonPaused means that the replicas want no requests from this host for a while.
	ReasonPaused Reason = "paused"
	// ReasonMoved means that the partition moved and that it is not known which
	// replica covers the range now.
	ReasonMoved Reason = "moved"
	// ReasonSnapshot means that no usable replica holds the snapshot of the
	// answer.
	ReasonSnapshot Reason = "snapshot"
	// ReasonBroken means that connections failed or replies were malformed.
	ReasonBroken Reason = "broken"
	// ReasonAbandoned means that the query ended before the part arrived, because
	// it could no longer reach its minimum coverage.
	ReasonAbandoned Reason = "abandoned"
)

// maxReplicas is the number of replicas of a service that are considered. Sets of
// replicas are stored as bits of a uint64.
const maxReplicas = 64

// Plan describes one query. The machine does not modify it, and the caller must
// not modify it while the query runs.
type Plan struct {
	// ID is the prefix of all attempt IDs and must be unique to the query.
	ID       string
	Contract string
	Groups   []Group
	// DataCentres lists the data centres that may get attempts; nil allows all.
	DataCentres []string
	// AnswerTime is the time from Start to the deadline of the answer.
	AnswerTime time.Duration
	// LatencyGoal is the time from Start after which PreferLatency answers as soon as
	// MinimumCoverage is reached. A query whose parts have all arrived finishes
	// earlier. LatencyGoal is ignored with PreferCoverage.
	LatencyGoal time.Duration
	// MinimumCoverage is the smallest mean coverage of the groups with which the
	// query is answered; nil means 0. All groups have the same weight.
	MinimumCoverage *big.Rat
	Prefer          Preference
	// AtMostOnce forbids hedges, and retries after an attempt that may have run.
	AtMostOnce bool
	// LocalDataCentre is the data centre whose replicas LeastExpectedLatency
	// prefers.
	LocalDataCentre string
	// Tuning defaults to DefaultTuning if it is the zero value.
	Tuning Tuning
}

// Group is a set of services that partition the whole hash space.
type Group struct {
	Name     string
	Services []Service
}

// Service covers one hash range of its group with several replicas. Only the
// first 64 replicas are used.
type Service struct {
	Name      string
	Partition upstream.HashRange
	Replicas  []Replica
}

// Replica is an upstream that holds the partition of a service.
type Replica struct {
	ID         string
	DataCentre string
	// UnusableReason is why the replica must not get new attempts. It is empty if
	// the replica is usable.
	UnusableReason Reason
	// Held lists the snapshots that the replica is known to hold; nil means that
	// they are unknown.
	Held []uint64
	// Cold replicas can handle little load for the time being, as after a start.
	// LeastExpectedLatency chooses them after all other reachable replicas.
	Cold bool
	// Lapsed replicas are no longer registered but may register again.
	// LeastExpectedLatency chooses them after registered replicas.
	Lapsed bool
	// Unconnected replicas have no idle connection, so that a request to them has to
	// open one.
	Unconnected bool
	// Unreachable replicas are in a data centre that can't be reached at the moment.
	// LeastExpectedLatency chooses them last.
	Unreachable bool
}

// Selection is the rule for choosing among usable replicas.
type Selection string

const (
	// TwoChoices chooses the better of two random replicas by their requests in
	// flight and recent latency.
	TwoChoices Selection = "two_choices"
	// Random chooses among the replicas with equal probability.
	Random Selection = "random"
	// LeastExpectedLatency chooses the replica with the lowest expected latency. The
	// estimate uses its recent latency, its failure rate, its number of requests in
	// flight and the age of the oldest of them, and the load that it last reported, if any.
	LeastExpectedLatency Selection = "least_expected"
	// RoundRobin chooses the replicas of a service in turn.
	RoundRobin Selection = "round_robin"
)

// Hedging is the rule for when a hedge is sent.
type Hedging string

const (
	// HedgeQuantile sends the hedge after a quantile of the service's recent latency.
	HedgeQuantile Hedging = "quantile"
	// HedgeGroupQuantile sends the hedge after a quantile of the group's recent
	// latency, or earlier if the hedge would otherwise reply after the latency goal.
	HedgeGroupQuantile Hedging = "group"
	// HedgeFixed sends the hedge after Tuning.HedgeDelay.
	HedgeFixed Hedging = "fixed"
	// HedgeOff sends no hedges.
	HedgeOff Hedging = "off"
)

// Tuning holds the parameters that do not come from a contract.
type Tuning struct {
	Selection Selection
	Hedging   Hedging
	// HedgeQuantile is the latency quantile for the rules HedgeQuantile and
	// HedgeGroupQuantile, between 0 and 1.
	HedgeQuantile float64
	// HedgeDelay is the delay for HedgeFixed, and for the quantile rules until
	// enough latencies are known.
	HedgeDelay time.Duration
	// FinishMargin is the time between Finish and the deadline that is reserved for
	// encoding and sending the answer.
	FinishMargin time.Duration
	// AttemptMargin is the time between the deadline of an attempt and Finish that is
	// reserved for receiving the reply.
	AttemptMargin time.Duration
	// RetryInterval is the base of the exponential backoff before a failed replica is
	// tried again. It is also the interval at which an exhausted retry budget is
	// checked.
	RetryInterval time.Duration
	// MaxTries is the maximum number of attempts per sub-request and snapshot that
	// may have run.
	MaxTries int
	// MaxRestarts is the maximum number of moves to a newer snapshot.
	MaxRestarts int
}

// DefaultTuning returns the parameters for plans without Tuning.
func DefaultTuning() Tuning {
	return Tuning{
		Selection:     TwoChoices,
		Hedging:       HedgeQuantile,
		HedgeQuantile: 0.975,
		HedgeDelay:    20 * time.Millisecond,
		FinishMargin:  5 * time.Millisecond,
		AttemptMargin: 2 * time.Millisecond,
		RetryInterval: 5 * time.Millisecond,
		MaxTries:      4,
		MaxRestarts:   2,
	}
}

// Services returns the number of services that the query asks.
func (p Plan) Services() int {
	services := 0
	for _, g := range p.Groups {
		services += len(g.Services)
	}
	return services
}
