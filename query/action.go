package query

import (
	"encoding/json"
	"fmt"
	"math/big"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// Errors of this package; a Refusal wraps one of the first two.
var (
	// ErrBelowMinimum reports that the coverage reached is below the minimum
	// of the contract.
	ErrBelowMinimum = errors.New("coverage below the contract's minimum")
	// ErrNoCommonSnapshot reports that no snapshot is held by enough services
	// to reach the minimum coverage.
	ErrNoCommonSnapshot = errors.New("no common snapshot")
)

// Action is what the caller has to do: *Send, *Cancel or *Finish.
type Action interface{ action() }

// Send asks for one sub-request to be sent.
type Send struct {
	Attempt    string
	Group      string
	Service    string
	Replica    string
	DataCentre string
	Snapshot   uint64 // 0 asks for the newest one held
	Partition  upstream.HashRange
	Deadline   time.Time
	Hedge      bool // second attempt while the first is in flight
	Retry      bool // new attempt after a failure
	// HandBack means that another replica may be asked, so that the owner
	// should hand the request back rather than let it wait for long.
	HandBack bool
}

// Cancel asks for an attempt to be stopped; its reply would be dropped.
type Cancel struct{ Attempt string }

// Finish ends the query. It is the last action of a machine.
type Finish struct {
	Answer Answer
	// Refusal is set if the query has no answer; Answer then has no parts.
	Refusal *Refusal
	// MayHaveRun is set unless all attempts surely did not run.
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
	Attempt   string // id of the attempt that was merged
}

// GroupCoverage states which share of a group's hash space the parts cover.
type GroupCoverage struct {
	Name     string
	Coverage *big.Rat
	Missing  []Missing
}

// Missing is a range that no part covers.
type Missing struct {
	Service   string // empty if no service is known for the range
	Partition upstream.HashRange
	Reason    Reason
}

// Counts tells how much work a query caused.
type Counts struct {
	// Primary is the number of first attempts for the first snapshot tried.
	Primary int
	// Hedges and Retries are paid from the RetryBudget.
	Hedges, Retries int
	// BudgetExhausted is the number of hedges and retries that were put off or dropped
	// because the RetryBudget did not pay for them.
	BudgetExhausted int
	// Resent is the number of sub-requests sent again because the query
	// moved to another snapshot or a range was divided anew.
	Resent int
	// Redirected is the number of sub-requests that were given to another
	// replica after an owner had not sent them. They are not paid for.
	Redirected int
	// Restarts is the number of moves to another snapshot.
	Restarts int
	// DroppedReplies is the number of replies that were late, belonged to another
	// attempt or snapshot, or overlapped a merged range.
	DroppedReplies int
}

// Refusal tells why a query has no answer.
type Refusal struct {
	Cause    error // ErrBelowMinimum or ErrNoCommonSnapshot
	Coverage *big.Rat
	Minimum  *big.Rat
}

// Error returns the cause with the coverage reached.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%v: %s covered, %s required", r.Cause, r.Coverage.FloatString(6), r.Minimum.FloatString(6))
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// Failure tells how an attempt failed.
type Failure struct {
	// Reason is one of ReasonTimedOut, ReasonShed, ReasonLeaving, ReasonOut,
	// ReasonSnapshot, ReasonMoved, ReasonNoReplica and ReasonBroken. After
	// ReasonLeaving and ReasonOut the query sends nothing more to the replica;
	// after ReasonNoReplica it does not ask the same replica again.
	Reason Reason
	Held   []uint64 // snapshots held, with ReasonSnapshot
	// RetryAfter is the shortest time until the same replica may be asked
	// again; 0 if unknown.
	RetryAfter time.Duration
	// Unsent means that the owner refused or handed back the request before it
	// was sent to the upstream. Another replica may then be asked without
	// adding load to any upstream.
	Unsent bool
	// NotRun means that the upstream got the request and did not run it. The
	// attempt then does not count against MaxTries, but a new one is paid for.
	NotRun bool
}

// FailureOf converts an error of package upstream. The snapshots held come
// from the reply that accompanies upstream.ErrSnapshotGone.
func FailureOf(err error, held []uint64) Failure {
	switch {
	case errors.Is(err, upstream.ErrShed):
		return Failure{Reason: ReasonShed}
	case errors.Is(err, upstream.ErrDraining):
		return Failure{Reason: ReasonLeaving}
	case errors.Is(err, upstream.ErrSnapshotGone):
		return Failure{Reason: ReasonSnapshot, Held: held}
	case errors.Is(err, upstream.ErrMoved):
		return Failure{Reason: ReasonMoved}
	case errors.Is(err, upstream.ErrTimeout):
		return Failure{Reason: ReasonTimedOut}
	}
	return Failure{Reason: ReasonBroken}
}
