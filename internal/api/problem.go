package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Run states whether non-idempotent work is known to have run.
type Run string

// Values of Run.
const (
	NotRun     Run = "not_run"
	Ran        Run = "ran"
	MayHaveRun Run = "may_have_run"
)

// Kind is the type of a problem.
type Kind string

// Kinds of problems. The HTTP status of each kind is in httpStatus.
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

var httpStatus = map[Kind]int{
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

// Problem is the error that callers receive as application/problem+json.
type Problem struct {
	Kind   Kind   `json:"kind"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Run is always set. For a query it is NotRun, because a query changes nothing.
	Run       Run  `json:"run"`
	RetrySafe bool `json:"retry_safe"`
	// RetryAfterMS is the minimum delay before a retry, in milliseconds.
	RetryAfterMS int64     `json:"retry_after_ms"`
	RequestID    string    `json:"request_id,omitempty"`
	Coverage     *Coverage `json:"coverage,omitempty"`
	// Current is the newest configuration number. It is set if the base was stale.
	Current uint64 `json:"current,omitempty"`
	// Differences lists what changed between the stale base and Current.
	Differences json.RawMessage `json:"differences,omitempty"`
	Errors      []string        `json:"errors,omitempty"`
}

// NewProblem returns a problem of the given kind for work that did not run and that is
// safe to retry.
func NewProblem(kind Kind, format string, args ...any) *Problem {
	return &Problem{
		Kind:      kind,
		Title:     http.StatusText(httpStatus[kind]),
		Status:    httpStatus[kind],
		Detail:    fmt.Sprintf(format, args...),
		Run:       NotRun,
		RetrySafe: true,
	}
}

// WithRun sets Run.
func (p *Problem) WithRun(run Run) *Problem {
	p.Run = run
	return p
}

// WithRetry sets whether a retry is safe and the minimum delay before it.
func (p *Problem) WithRetry(safe bool, after time.Duration) *Problem {
	p.RetrySafe = safe
	p.RetryAfterMS = after.Milliseconds()
	return p
}

// Error returns the kind and the detail.
func (p *Problem) Error() string {
	return fmt.Sprintf("%s (%s): %s", p.Kind, p.Run, p.Detail)
}
