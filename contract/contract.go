// Package contract converts the limits of contracts, which operators specify in
// units of their own, to exact numbers in base units.
//
// An operator defines units such as "pal" or "ghari" as a multiple of a base unit
// (second, whole, slot) or of another unit. Compile resolves the units, converts
// every quantity with exact rational arithmetic and checks that the limits do not
// contradict each other. A value that does not fit its type exactly is rounded to
// the safe side: times down, so that an answer is never later than the contract
// allows; coverage up; load down. Compile either accepts everything or returns an
// InvalidError that lists all problems.
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
	// Share is a fraction of the data, measured in wholes.
	Share Dimension = "share"
	// Load is measured in slots, which are requests that an upstream serves
	// concurrently.
	Load Dimension = "load"
)

// Base units. They are built in and cannot be redefined.
const (
	BaseTime  = "second"
	BaseShare = "whole"
	BaseLoad  = "slot"
)

// Limits of what Compile accepts.
const (
	// MaxUnits is the largest number of units in one configuration.
	MaxUnits = 1000
	// MaxContracts is the largest number of contracts in one configuration.
	MaxContracts = 1000
	// MaxNumberLength is the largest number of characters of a number. It bounds
	// the cost of exact arithmetic.
	MaxNumberLength = 64
	// MaxFactorBits is the largest size in bits of the numerator and of the
	// denominator of a unit's factor relative to the base unit.
	MaxFactorBits = 1024
	// MaxNameLength is the largest length of a name in bytes.
	MaxNameLength = 128
	// MaxAnswerTime is the longest answer time. The ownership of slots moves to
	// another host only after the longest deadline, so an unbounded answer time
	// would block all moves.
	MaxAnswerTime = 10 * time.Minute
	// MaxSlots is the largest load in slots.
	MaxSlots = 1 << 30
)

// Defaults of the optional fields of a contract.
const (
	// DefaultColdFloor is the number of slots that may be used on a replica that
	// has just started.
	DefaultColdFloor = 1
	// DefaultColdStep is the number of slots added by each step of the ramp.
	DefaultColdStep = 1
	// DefaultColdStepTime is the shortest time between two steps of the ramp.
	DefaultColdStepTime = time.Second
)

// Values of Contract.Prefer.
const (
	// PreferCoverage waits for the complete answer until the deadline.
	PreferCoverage = "coverage"
	// PreferLatency answers at the latency goal if the minimum coverage is
	// reached, otherwise as soon as it is reached.
	PreferLatency = "latency"
)

// Quantity is a positive number and a unit, such as "3 pal" or "1/2 ghari".
type Quantity string

// Unit is a unit defined by the operator.
type Unit struct {
	Name      string    `json:"name"`
	Dimension Dimension `json:"dimension"`
	// Factor is a decimal ("0.4") or a ratio ("1/3"), relative to the base unit
	// or to another unit of the same dimension that follows it ("1/2 ghari").
	Factor string `json:"factor"`
}

// Contract defines the limits for the queries of some callers.
type Contract struct {
	Name   string   `json:"name"`
	Groups []string `json:"groups"`
	// AnswerTime is the time within which a query must be answered.
	AnswerTime Quantity `json:"answer_time"`
	// MinimumCoverage is the smallest share of the data with which a query is
	// answered.
	MinimumCoverage Quantity `json:"minimum_coverage"`
	// UpstreamLoad is the largest load that the contract may put on each upstream.
	UpstreamLoad Quantity `json:"upstream_load"`
	// ColdFloor is the largest load on an upstream that has just started. The
	// default is DefaultColdFloor.
	ColdFloor Quantity `json:"cold_floor,omitempty"`
	// ColdStep is the amount by which the largest load on a starting upstream
	// rises in each step. The default is DefaultColdStep.
	ColdStep Quantity `json:"cold_step,omitempty"`
	// ColdStepTime is the shortest time between two steps. The default is
	// DefaultColdStepTime.
	ColdStepTime Quantity `json:"cold_step_time,omitempty"`
	// Prefer is PreferCoverage or PreferLatency. The default is PreferCoverage.
	Prefer string `json:"prefer,omitempty"`
	// LatencyGoal is required with PreferLatency. The default is AnswerTime.
	LatencyGoal Quantity `json:"latency_goal,omitempty"`
}

// Limits are the converted limits of a contract.
type Limits struct {
	Groups []string
	// AnswerTime and LatencyGoal are rounded down to a nanosecond.
	AnswerTime, LatencyGoal time.Duration
	// MinimumCoverage is exact, above 0 and at most 1. It must not be modified.
	MinimumCoverage *big.Rat
	// UpstreamLoad is the number of slots of each upstream that all requests of
	// the contract together may use, rounded down. An upstream may have fewer.
	UpstreamLoad int
	// ColdFloor is the number of slots at which the ramp of a cold upstream
	// starts. ColdStep is the number added by each step. Both are rounded down.
	ColdFloor, ColdStep int
	// ColdStepTime is the shortest time between two steps. It is rounded up,
	// because a slower ramp is safer.
	ColdStepTime time.Duration
	// Prefer is PreferCoverage or PreferLatency.
	Prefer string
}

// MinimumParts returns the number of parts, out of n equal ones, that the minimum
// coverage requires, rounded up.
func (l Limits) MinimumParts(n int) int {
	parts := new(big.Rat).Mul(l.MinimumCoverage, big.NewRat(int64(n), 1))
	return int(ceiling(parts).Int64())
}

// Covered reports whether a share of the data reaches the minimum coverage.
func (l Limits) Covered(share *big.Rat) bool {
	return share.Cmp(l.MinimumCoverage) >= 0
}
