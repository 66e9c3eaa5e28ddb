// Package contract converts the limits of contracts, which operators state in
// units of their own, into exact numbers.
//
// An operator defines units such as "pal" or "ghari" by a factor of a base unit
// (second, whole, slot) or of another unit. Compile resolves the units,
// converts every quantity with exact rational arithmetic and checks the limits
// against each other. Where a converted value does not fit its type, it is
// rounded to the safe side: times down, so that an answer is never later than
// the contract states; coverage up; load down. Compile either accepts
// everything or returns an InvalidError that lists all problems.
package contract

import (
	"math/big"
	"time"
)

// Dimension is what a unit measures.
type Dimension string

const (
	// Time is measured in seconds.
	Time Dimension = "time"
	// Share is a part of the data, measured in wholes.
	Share Dimension = "share"
	// Load is measured in slots: the requests that an upstream serves at once.
	Load Dimension = "load"
)

// The base units, which are built in and cannot be redefined.
const (
	BaseTime  = "second"
	BaseShare = "whole"
	BaseLoad  = "slot"
)

// Bounds on what Compile accepts.
const (
	// MaxUnits is the largest number of units in one configuration.
	MaxUnits = 1000
	// MaxContracts is the largest number of contracts in one configuration.
	MaxContracts = 1000
	// MaxNumberLength is the largest number of characters of a number, which
	// bounds the work of exact arithmetic.
	MaxNumberLength = 64
	// MaxFactorBits is the largest size in bits of the numerator and of the
	// denominator of a resolved unit.
	MaxFactorBits = 1024
	// MaxNameLength is the largest number of characters of a name.
	MaxNameLength = 128
	// MaxAnswerTime is the longest answer time. Slots change hands only after
	// the longest deadline, so an unbounded one would block all moves.
	MaxAnswerTime = 10 * time.Minute
	// MaxSlots is the largest load in slots.
	MaxSlots = 1 << 30
)

// Defaults of fields that a contract may leave empty.
const (
	// DefaultColdFloor is the number of slots used of a replica that has just
	// started.
	DefaultColdFloor = 1
	// DefaultColdStep is the number of slots added by each step of the ramp.
	DefaultColdStep = 1
	// DefaultColdStepTime is the shortest time between two steps of the ramp.
	DefaultColdStepTime = time.Second
)

// Values of Contract.Prefer.
const (
	// PreferCoverage waits for the whole answer until the deadline.
	PreferCoverage = "coverage"
	// PreferLatency answers at the latency goal once the minimum coverage is
	// reached.
	PreferLatency = "latency"
)

// Quantity is a positive number and a unit, such as "3 pal" or "1/2 ghari".
type Quantity string

// Unit is a unit that the operator defines.
type Unit struct {
	Name      string    `json:"name"`
	Dimension Dimension `json:"dimension"`
	// Factor is an exact decimal ("0.4") or ratio ("1/3") of the base unit, or
	// of another unit of the same dimension if that is named ("1/2 ghari").
	Factor string `json:"factor"`
}

// Contract states the limits for the queries of some callers.
type Contract struct {
	Name   string   `json:"name"`
	Groups []string `json:"groups"`
	// AnswerTime is the time within which a query is answered.
	AnswerTime Quantity `json:"answer_time"`
	// MinimumCoverage is the share of the data below which a query is refused.
	MinimumCoverage Quantity `json:"minimum_coverage"`
	// UpstreamLoad is the load that each upstream may carry.
	UpstreamLoad Quantity `json:"upstream_load"`
	// ColdFloor is the load that an upstream may carry when it has just
	// started; empty stands for DefaultColdFloor.
	ColdFloor Quantity `json:"cold_floor,omitempty"`
	// ColdStep is the load by which a starting upstream is raised each time;
	// empty stands for DefaultColdStep.
	ColdStep Quantity `json:"cold_step,omitempty"`
	// ColdStepTime is the shortest time between two steps; empty stands for
	// DefaultColdStepTime.
	ColdStepTime Quantity `json:"cold_step_time,omitempty"`
	// Prefer is PreferCoverage or PreferLatency; empty stands for
	// PreferCoverage.
	Prefer string `json:"prefer,omitempty"`
	// LatencyGoal is required with PreferLatency; empty stands for AnswerTime.
	LatencyGoal Quantity `json:"latency_goal,omitempty"`
}

// Limits are the converted limits of a contract.
type Limits struct {
	Groups []string
	// AnswerTime and LatencyGoal are rounded down to a nanosecond.
	AnswerTime, LatencyGoal time.Duration
	// MinimumCoverage is exact, above 0 and at most 1. It must not be changed.
	MinimumCoverage *big.Rat
	// UpstreamLoad is the number of slots of each upstream that the contract
	// lets all its requests use, rounded down. An upstream may have fewer.
	UpstreamLoad int
	// ColdFloor is the number of slots at which the ramp of a cold upstream
	// starts, and ColdStep the number added by each step, both rounded down.
	ColdFloor, ColdStep int
	// ColdStepTime is the shortest time between two steps. It is rounded up,
	// because a slower ramp is the safe side.
	ColdStepTime time.Duration
	// Prefer is PreferCoverage or PreferLatency.
	Prefer string
}

// MinimumParts returns how many of n equal parts the minimum coverage
// requires, rounded up.
func (l Limits) MinimumParts(n int) int {
	parts := new(big.Rat).Mul(l.MinimumCoverage, big.NewRat(int64(n), 1))
	return int(ceiling(parts).Int64())
}

// Covered reports whether a share of the data reaches the minimum coverage.
func (l Limits) Covered(share *big.Rat) bool {
	return share.Cmp(l.MinimumCoverage) >= 0
}
