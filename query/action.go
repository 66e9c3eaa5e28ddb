package query

import (
	"encoding/json"
	"fmt"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// Causes of a Refusal.
var (
	// ErrBelowMinimum means that the coverage reached is below the minimum of the
	// contract.
	ErrBelowMinimum = errors.New("coverage below the contract's minimum")
	// ErrConcluded means that the query was ended before its time and its coverage was
	// below the minimum.
	ErrConcluded = errors.New("ended early because the host stops")
	// ErrNoCommonSnapshot means that no snapshot is held by enough services to reach
	// the minimum coverage.
	ErrNoCommonSnapshot = errors.New("no common snapshot")
)

// Action is an instruction to the caller: *Send, *Cancel or *Finish.
type Action interface{ action() }

// Send instructs the caller to send one attempt of a sub-request.
type Send struct {
	Attempt    string
	Group      string
	Service    string
	Replica    string
	DataCentre string
	Snapshot   uint64 // 0 asks for the newest one that the replica holds
	Partition  upstream.HashRange
	Deadline   time.Time
	Hedge      bool // second attempt while another one is in flight
	Retry      bool // new attempt after a failure
	// HandBack means that another replica is available, so the owner should hand the
	// request back if it waits for long.
	HandBack bool
}

// Cancel instructs the caller to cancel an attempt whose reply would be dropped.
type Cancel struct{ Attempt string }

// Finish ends the query. It is the last action that a machine emits.
type Finish struct {
	Answer Answer
	// Refusal is set if the query has no answer. Answer then has no parts.
	Refusal *Refusal
	// MayHaveRun is false only if it is certain that no attempt has run on an upstream.
	MayHaveRun bool
}

func (*Send) action()   {}
func (*Cancel) action() {}
func (*Finish) action() {}

// Answer is the result of a query.
type Answer struct {
	Snapshot uint64
	Parts    []Part
	// Coverage is the mean of the groups' coverage.
	Coverage *big.Rat
	Groups   []GroupCoverage
	Counts   Counts
}

// Part is one merged reply.
type Part struct {
	Group     string
	Service   string
	Replica   string
	Partition upstream.HashRange
	Records   json.RawMessage
	Attempt   string // ID of the attempt that was merged
}

// GroupCoverage is the share of a group's hash space that the parts cover.
type GroupCoverage struct {
	Name     string
	Coverage *big.Rat
	Missing  []Missing
}

// Missing is a range that no part covers.
type Missing struct {
	Service   string // empty if no known service covers the range
	Partition upstream.HashRange
	Reason    Reason
}

// Counts summarises the attempts and replies of a query.
type Counts struct {
	// Primary is the number of attempts that Start sends.
	Primary int
	// Tries is the largest number of attempts of a sub-request that may have run.
	Tries int
	// Hedges and Retries are charged to the RetryBudget.
	Hedges, Retries int
	// BudgetExhausted is the number of sub-requests with a hedge or retry that was
	// postponed or dropped because the RetryBudget refused it.
	BudgetExhausted int
	// Resent is the number of attempts that were sent because the query moved to
	// another snapshot or because the services of a range changed.
	Resent int
	// Redirected is the number of sub-requests that were sent to another replica
	// after an owner had not sent them. They are not charged to the RetryBudget.
	Redirected int
	// Restarts is the number of moves to a newer snapshot.
	Restarts int
	// DroppedReplies is the number of replies that were late, belonged to another
	// attempt or snapshot, or overlapped a merged range.
	DroppedReplies int
}

// Refusal is the error of a query without an answer.
type Refusal struct {
	Cause    error // ErrBelowMinimum, ErrConcluded or ErrNoCommonSnapshot
	Coverage *big.Rat
	Minimum  *big.Rat
}

// Error returns the cause with the coverage reached.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%v: %s covered, %s required", r.Cause, r.Coverage.FloatString(6), r.Minimum.FloatString(6))
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// Failure describes a failed attempt.
type Failure struct {
	// Reason is one of ReasonTimedOut, ReasonShed, ReasonLeaving, ReasonPaused,
	// ReasonOut, ReasonSnapshot, ReasonMoved, ReasonNoReplica and ReasonBroken. After
	// ReasonLeaving, ReasonPaused and ReasonOut the query sends nothing more to the
	// replica; after ReasonNoReplica it does not try the same replica again.
	Reason Reason
	Held   []uint64 // snapshots that the replica holds; set with ReasonSnapshot
	// RetryAfter is the minimum wait before the same replica is tried again; 0 if
	// unknown.
	RetryAfter time.Duration
	// Unsent means that the owner refused the request or handed it back before
	// sending it to the upstream. Trying another replica then adds no load to any
	// upstream.
	Unsent bool
	// NotRun means that the upstream received the request and did not run it. The
	// attempt does not count towards MaxTries, but a retry is charged to the
	// RetryBudget.
	NotRun bool
	// Load is the load that the replica reported with its failure.
	Load upstream.Load
}

// FailureOf converts an error of package upstream to a Failure. Held comes from
// the reply that accompanies upstream.ErrSnapshotGone.
func FailureOf(err error, held []uint64) Failure {
	switch {
	case errors.Is(err, upstream.ErrShed):
		return Failure{Reason: ReasonShed}
	case errors.Is(err, upstream.ErrDraining):
		return Failure{Reason: ReasonLeaving}
	case errors.Is(err, upstream.ErrPaused):
		return Failure{Reason: ReasonPaused}
	case errors.Is(err, upstream.ErrSnapshotGone):
		return Failure{Reason: ReasonSnapshot, Held: held}
	case errors.Is(err, upstream.ErrMoved):
		return Failure{Reason: ReasonMoved}
	case errors.Is(err, upstream.ErrTimeout):
		return Failure{Reason: ReasonTimedOut}
	}
	return Failure{Reason: ReasonBroken}
}
