package query

import (
	"math/big"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// Preference tells what a contract gives up first.
type Preference string

const (
	// PreferCoverage waits for the whole answer until the deadline.
	PreferCoverage Preference = "coverage"
	// PreferLatency answers at the latency goal once the minimum coverage is
	// reached.
	PreferLatency Preference = "latency"
)

// Reason tells why a replica is not used or why a part is missing.
type Reason string

const (
	// ReasonTimedOut means that no reply came in time.
	ReasonTimedOut Reason = "timed_out"
	// ReasonShed means that the request was refused because of load.
	ReasonShed Reason = "shed"
	// ReasonNoReplica means that no usable replica holds the range.
	ReasonNoReplica Reason = "no_replica"
	// ReasonOut means that the replicas are in data centres taken out of
	// service or not allowed for this query.
	ReasonOut Reason = "out"
	// ReasonLeaving means that the replicas are leaving.
	ReasonLeaving Reason = "leaving"
	// ReasonMoved means that the partition moved and no replica is known that
	// covers the range now.
	ReasonMoved Reason = "moved"
	// ReasonSnapshot means that no usable replica holds the snapshot of the
	// answer.
	ReasonSnapshot Reason = "snapshot"
	// ReasonBroken means that connections failed or replies were damaged.
	ReasonBroken Reason = "broken"
	// ReasonAbandoned means that the part was not waited for, because the
	// query could no longer reach its minimum coverage.
	ReasonAbandoned Reason = "abandoned"
)

// maxReplicas is the number of replicas of a service that are considered; the
// set of tried replicas is kept in one machine word.
const maxReplicas = 64

// Plan describes one query. The machine does not change it; the caller must
// not change it while the query runs.
type Plan struct {
	// ID is the prefix of all attempt ids and must be unique to the query.
	ID       string
	Contract string
	Groups   []Group
	// DataCentres lists the data centres that may get work; nil allows all.
	DataCentres []string
	// AnswerTime is the time from Start to the deadline of the answer.
	AnswerTime time.Duration
	// LatencyGoal is the time from Start after which PreferLatency answers
	// once MinimumCoverage is reached.
	LatencyGoal time.Duration
	// MinimumCoverage is the lowest share of the data of all groups that may
	// be answered; nil stands for 0. Every group has the same weight.
	MinimumCoverage *big.Rat
	Prefer          Preference
	// AtMostOnce forbids any attempt after one that may have run, and hedges.
	AtMostOnce bool
	// LocalDataCentre is the data centre whose replicas are preferred by LeastExpectedLatency.
	LocalDataCentre string
	// Tuning is replaced by DefaultTuning if it is the zero value.
	Tuning Tuning
}

// Group is a set of services that divide the whole hash space.
type Group struct {
	Name     string
	Services []Service
}

// Service holds one hash range of its group on several replicas. At most 64
// replicas are considered.
type Service struct {
	Name      string
	Partition upstream.HashRange
	Replicas  []Replica
}

// Replica is one upstream of a service.
type Replica struct {
	ID         string
	DataCentre string
	// UnusableReason is why the replica must not get new work; empty if it may.
	UnusableReason Reason
	// Held lists the snapshots that the replica is known to hold; nil means
	// that nothing is known.
	Held []uint64
	// Cold replicas bear little load; LeastExpectedLatency takes them last.
	Cold bool
	// Lapsed replicas are no longer registered but may be back; LeastExpectedLatency takes
	// them after those that are.
	Lapsed bool
	// Unconnected replicas need a new connection first.
	Unconnected bool
	// Unreachable replicas are in a data centre that can't be reached at the moment;
	// LeastExpectedLatency takes them last.
	Unreachable bool
}

// Selection is the rule for choosing between usable replicas.
type Selection string

const (
	// TwoChoices takes the better of two random replicas, judged by requests
	// in flight and recent latency.
	TwoChoices Selection = "two_choices"
	// Random takes any replica with equal probability.
	Random Selection = "random"
	// LeastExpectedLatency takes the replica whose reply is expected first, by its
	// recent latency, failures, requests in flight and how long the oldest of
	// them has been waited for.
	LeastExpectedLatency Selection = "least_expected"
	// RoundRobin takes the replicas of a service in turn.
	RoundRobin Selection = "round_robin"
)

// Hedging is the rule for when a second attempt is made.
type Hedging string

const (
	// HedgeQuantile waits for a quantile of the service's recent latency.
	HedgeQuantile Hedging = "quantile"
	// HedgeGroupQuantile waits for a quantile of the group's recent latency, and no
	// longer than leaves the hedge the time to reply before the latency goal.
	HedgeGroupQuantile Hedging = "group"
	// HedgeFixed waits for Tuning.HedgeDelay.
	HedgeFixed Hedging = "fixed"
	// HedgeOff never hedges.
	HedgeOff Hedging = "off"
)

// Tuning holds the parameters that do not come from a contract.
type Tuning struct {
	Selection Selection
	Hedging   Hedging
	// HedgeQuantile is the quantile of recent latency for the quantile rules,
	// between 0 and 1.
	HedgeQuantile float64
	// HedgeDelay is the wait of HedgeFixed, and of the quantile rules until enough
	// latencies are known.
	HedgeDelay time.Duration
	// FinishMargin is kept free between Finish and the deadline, for encoding
	// and sending the answer.
	FinishMargin time.Duration
	// AttemptMargin is kept free between the deadline of an attempt and
	// Finish, for the way back of the reply.
	AttemptMargin time.Duration
	// RetryInterval is the wait before a replica that failed is tried again
	// and between two looks at an empty budget.
	RetryInterval time.Duration
	// MaxTries limits the attempts for one sub-request and snapshot that may
	// have run.
	MaxTries int
	// MaxRestarts limits how often a query moves to another snapshot.
	MaxRestarts int
}

// DefaultTuning returns the parameters used when a plan has none.
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
