package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Run tells what is known about whether non-idempotent work ran.
type Run string

// Values of Run.
const (
	NotRun     Run = "not_run"
	Ran        Run = "ran"
	MayHaveRun Run = "may_have_run"
)

// Kind is the type of a problem.
type Kind string

// Kinds of problems, with the HTTP status that each is sent with.
const (
	KindInvalidRequest       Kind = "invalid_request"
	KindBodyTooLarge         Kind = "body_too_large"
	KindNotFound             Kind = "not_found"
	KindStaleBase            Kind = "stale_base"
	KindPatchRefused         Kind = "patch_refused"
	KindKeyReused            Kind = "key_reused"
	KindKeyExpired           Kind = "key_expired"
	KindOverloaded           Kind = "overloaded"
	KindNotReady             Kind = "not_ready"
	KindLeaving              Kind = "leaving"
	KindNoCommonSnapshot     Kind = "no_common_snapshot"
	KindCoverageBelowMinimum Kind = "coverage_below_minimum"
	KindPlatformUnavailable  Kind = "platform_unavailable"
	KindOutcomeUnknown       Kind = "outcome_unknown"
	KindUpstreamFailed       Kind = "upstream_failed"
	KindDeadlineExceeded     Kind = "deadline_exceeded"
	KindInternal             Kind = "internal"
	KindJournalFull          Kind = "journal_full"
	KindKeyInProgress        Kind = "key_in_progress"
)

var statusOfKind = map[Kind]int{
	KindInvalidRequest:       http.StatusBadRequest,
	KindBodyTooLarge:         http.StatusRequestEntityTooLarge,
	KindNotFound:             http.StatusNotFound,
	KindStaleBase:            http.StatusConflict,
	KindPatchRefused:         http.StatusUnprocessableEntity,
	KindKeyReused:            http.StatusUnprocessableEntity,
	KindKeyExpired:           http.StatusUnprocessableEntity,
	KindOverloaded:           http.StatusTooManyRequests,
	KindNotReady:             http.StatusServiceUnavailable,
	KindLeaving:              http.StatusServiceUnavailable,
	KindNoCommonSnapshot:     http.StatusServiceUnavailable,
	KindCoverageBelowMinimum: http.StatusServiceUnavailable,
	KindPlatformUnavailable:  http.StatusServiceUnavailable,
	KindOutcomeUnknown:       http.StatusServiceUnavailable,
	KindUpstreamFailed:       http.StatusBadGateway,
	KindDeadlineExceeded:     http.StatusGatewayTimeout,
	KindInternal:             http.StatusInternalServerError,
	KindJournalFull:          http.StatusServiceUnavailable,
	KindKeyInProgress:        http.StatusConflict,
}

// Problem is the error that callers get, as application/problem+json.
type Problem struct {
	Kind   Kind   `json:"kind"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Run is always set. For a query it is NotRun, since a read changes nothing.
	Run       Run  `json:"run"`
	RetrySafe bool `json:"retry_safe"`
	// RetryAfterMS is the earliest time for a retry, in milliseconds.
	RetryAfterMS int64     `json:"retry_after_ms"`
	RequestID    string    `json:"request_id,omitempty"`
	Coverage     *Coverage `json:"coverage,omitempty"`
	// Current is the newest configuration number, for a stale base.
	Current uint64 `json:"current,omitempty"`
	// Differences lists what changed between the stale base and Current.
	Differences json.RawMessage `json:"differences,omitempty"`
	Errors      []string        `json:"errors,omitempty"`
}

// NewProblem returns a problem of kind for work that did not run and may be
// retried.
func NewProblem(kind Kind, format string, args ...any) *Problem {
	return &Problem{
		Kind:      kind,
		Title:     http.StatusText(statusOfKind[kind]),
		Status:    statusOfKind[kind],
		Detail:    fmt.Sprintf(format, args...),
		Run:       NotRun,
		RetrySafe: true,
	}
}

// WithRun sets what is known about the run.
func (p *Problem) WithRun(run Run) *Problem {
	p.Run = run
	return p
}

// WithRetry sets whether a retry is safe and the earliest time for it.
func (p *Problem) WithRetry(safe bool, after time.Duration) *Problem {
	p.RetrySafe = safe
	p.RetryAfterMS = after.Milliseconds()
	return p
}

// Error returns the kind and the detail.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Kind, p.Run, p.Detail)
}
