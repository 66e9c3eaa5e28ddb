// Package upstream defines the messages that are exchanged with upstreams, the replicas
// that hold the shards, and the interface of a client for them.
package upstream

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
)

// Kind states whether a request may be run more than once.
type Kind string

const (
	// Read is an idempotent request.
	Read Kind = "read"
	// Execute is a non-idempotent request.
	Execute Kind = "execute"
)

// Errors of this package. The client wraps them, so test with errors.Is.
var (
	// ErrShed reports that the upstream refused the request because of load;
	// it did not run.
	ErrShed = errors.New("upstream shed the request")
	// ErrDraining reports that the upstream is about to stop and refused the
	// request; it did not run.
	ErrDraining = errors.New("upstream is draining")
	// ErrPaused reports that the upstream wants no requests from this host for a while;
	// the request did not run.
	ErrPaused = errors.New("upstream asked for a pause")
	// ErrSnapshotGone reports that the upstream does not hold the snapshot
	// asked for. Reply.Held lists those that it holds.
	ErrSnapshotGone = errors.New("upstream does not hold the snapshot")
	// ErrMoved reports that the upstream no longer covers the partition.
	ErrMoved = errors.New("partition moved")
	// ErrConnect reports that there was no connection; the request was not sent.
	ErrConnect = errors.New("cannot connect to upstream")
	// ErrReplyLost reports that the request was sent, but that no complete reply
	// was received; it may have run.
	ErrReplyLost = errors.New("reply from upstream lost")
	// ErrMismatch reports a reply that belongs to another attempt.
	ErrMismatch = errors.New("reply belongs to another attempt")
	// ErrTimeout reports that the deadline passed after the request was sent.
	ErrTimeout = errors.New("upstream deadline exceeded")
)

// NotRun reports whether err proves that the upstream did not run the request.
func NotRun(err error) bool {
	return errors.IsAny(err, ErrShed, ErrDraining, ErrPaused, ErrSnapshotGone, ErrMoved, ErrConnect)
}

// Request is one sub-request to an upstream.
type Request struct {
	Attempt   string          `json:"attempt"`
	Service   string          `json:"service"`
	Kind      Kind            `json:"kind"`
	Snapshot  uint64          `json:"snapshot"` // 0 asks for the newest one held
	Partition HashRange       `json:"partition"`
	Key       string          `json:"key,omitempty"` // idempotency key of an Execute
	Deadline  time.Duration   `json:"-"`             // time to the deadline; sent as deadline_ms
	Body      json.RawMessage `json:"request"`
}

// Load is an upstream's own load report. It may be out of date or wrong, so it is used only
// to reduce the load that is sent.
type Load struct {
	InFlight int `json:"in_flight"`         // requests in its slots
	Waiting  int `json:"waiting,omitempty"` // requests that wait for a slot
	Slots    int `json:"slots"`             // 0 if there is no report
	// Pace is how long work takes at the moment, in percent of the usual time. It is 0 if
	// it is not reported.
	Pace     int  `json:"pace,omitempty"`
	Draining bool `json:"draining"`
	Cold     bool `json:"cold"`
}

// Reply is an upstream's answer to a Request. When Client.Do returns an error
// that came from the upstream, Attempt, Held, Incarnation and Load are set.
type Reply struct {
	Attempt     string          `json:"attempt"`
	Service     string          `json:"service"`
	Snapshot    uint64          `json:"snapshot"`
	Held        []uint64        `json:"held"`
	Partition   HashRange       `json:"partition"`
	Incarnation string          `json:"incarnation"`
	Load        Load            `json:"load"`
	Records     json.RawMessage `json:"records,omitempty"`
}

// Client sends requests to upstreams.
type Client interface {
	// Do sends r to the upstream at address and returns its reply.
	Do(ctx context.Context, address string, r Request) (Reply, error)
}
