// Package api defines the HTTP/JSON interface for callers and operators, with its
// server and its client.
package api

import (
	"context"
	"encoding/json"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// Header names of the interface.
const (
	HeaderRequestID        = "X-Request-Id"
	HeaderIdempotencyKey   = "Idempotency-Key"
	HeaderSubmissionNumber = "Submission-Number"
)

// QueryRequest asks all services that a contract names for one combined answer.
type QueryRequest struct {
	// Memory is what the request holds until its answer is written.
	Memory     *membudget.Hold `json:"-"`
	Contract   string          `json:"contract"`
	Request    json.RawMessage `json:"request"`
	DeadlineMS int64           `json:"deadline_ms,omitempty"` // milliseconds; 0 means the contract's answer time
	RequestID  string          `json:"-"`
}

// Answer is the combined answer to a query.
type Answer struct {
	RequestID string   `json:"request_id"`
	Snapshot  uint64   `json:"snapshot"`
	Coverage  Coverage `json:"coverage"`
	Parts     []Part   `json:"parts"`
	ElapsedMS float64  `json:"elapsed_ms"`
	Sends     Sends    `json:"sends"`
}

// Coverage states how much of the data an answer covers.
type Coverage struct {
	// Share is rounded down so that it is 1 only if Complete is true.
	Share    float64         `json:"share"`
	Complete bool            `json:"complete"`
	Groups   []GroupCoverage `json:"groups"`
}

// GroupCoverage is the coverage of one group of services.
type GroupCoverage struct {
	Group   string    `json:"group"`
	Share   float64   `json:"share"`
	Missing []Missing `json:"missing,omitempty"`
}

// Missing is a part of the hash space that an answer does not cover, with the reason.
type Missing struct {
	Service   string             `json:"service"`
	Partition upstream.HashRange `json:"partition"`
	Reason    string             `json:"reason"`
}

// Part is the answer of one replica of a service.
type Part struct {
	Service   string             `json:"service"`
	Partition upstream.HashRange `json:"partition"`
	Records   json.RawMessage    `json:"records"`
}

// Sends counts the sub-requests that were sent for a query.
type Sends struct {
	Primary int `json:"primary"`
	Hedges  int `json:"hedges"`
	Retries int `json:"retries"`
}

// ExecuteRequest asks for non-idempotent work by one service.
type ExecuteRequest struct {
	Contract         string          `json:"contract"`
	Service          string          `json:"service"`
	Request          json.RawMessage `json:"request"`
	DeadlineMS       int64           `json:"deadline_ms,omitempty"` // milliseconds; 0 means the contract's answer time
	Key              string          `json:"-"`
	SubmissionNumber int             `json:"-"` // 0 if the caller did not send one
	RequestID        string          `json:"-"`
}

// ExecuteAnswer is the outcome of non-idempotent work that ran.
type ExecuteAnswer struct {
	RequestID string          `json:"request_id"`
	Key       string          `json:"key"`
	Run       Run             `json:"run"`
	Result    json.RawMessage `json:"result,omitempty"`
	// Resent reports that the work ran for an earlier submission of the key.
	Resent    bool    `json:"resent"`
	ElapsedMS float64 `json:"elapsed_ms"`
}

// PatchRequest changes the configuration. Base is the number of the version that the
// patch was made for.
type PatchRequest struct {
	ID     string          `json:"id"`
	Base   uint64          `json:"base"`
	Type   string          `json:"type"` // merge or json-patch
	Author string          `json:"author,omitempty"`
	Patch  json.RawMessage `json:"patch"`
}

// PatchAnswer contains the number of the version that a patch produced.
type PatchAnswer struct {
	Number uint64 `json:"number"`
	// AlreadyAccepted reports that the patch had been accepted before.
	AlreadyAccepted bool `json:"known"`
}

// ConfigurationAnswer is one version of the configuration.
type ConfigurationAnswer struct {
	Number   uint64          `json:"number"`
	Digest   string          `json:"digest"`
	Document json.RawMessage `json:"document"`
}

// HistoryEntry is one accepted patch.
type HistoryEntry struct {
	ID     string    `json:"id"`
	Number uint64    `json:"number"`
	Type   string    `json:"type"`
	Author string    `json:"author,omitempty"`
	Time   time.Time `json:"time"`
}

// Status is the state of the host that answers and, if requested, of every host.
type Status struct {
	Host  HostStatus   `json:"host"`
	Hosts []HostStatus `json:"hosts,omitempty"`
}

// HostStatus is the state of one host.
type HostStatus struct {
	ID               string `json:"id"`
	DataCentre       string `json:"data_centre"`
	Phase            string `json:"phase"`
	Ready            bool   `json:"ready"`
	Reason           string `json:"reason,omitempty"`
	Configuration    uint64 `json:"configuration"`
	TableEpoch       uint64 `json:"table_epoch"`
	ProofAgeMS       int64  `json:"proof_age_ms"` // milliseconds; -1 if there is no proof
	InFlight         int    `json:"in_flight"`
	UpstreamRequests int    `json:"at_upstreams"` // requests queued for or sent to upstreams of this host
	CutOff           int    `json:"cut_off"`
	Members          int    `json:"members"`
	Error            string `json:"error,omitempty"` // why the host's status could not be fetched
}

// Service is what the server needs from a daemon. Its errors are of type
// *Problem; any other error is reported as internal.
type Service interface {
	Query(ctx context.Context, q QueryRequest) (Answer, error)
	Execute(ctx context.Context, e ExecuteRequest) (ExecuteAnswer, error)
	Patch(ctx context.Context, p PatchRequest) (PatchAnswer, error)
	// Configuration returns the configuration with the given number, or the newest one
	// if number is 0.
	Configuration(ctx context.Context, number uint64) (ConfigurationAnswer, error)
	History(ctx context.Context) ([]HistoryEntry, error)
	// Status includes the status of every host if all is true.
	Status(ctx context.Context, all bool) (Status, error)
	// Ready reports whether new callers should be sent to this host. If not, it returns
	// the reason.
	Ready() (bool, string)
}
