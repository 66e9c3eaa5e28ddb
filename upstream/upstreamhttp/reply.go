package upstreamhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/sendtrace"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// Codes of the error bodies.
const (
	codeShed         = "shed"
	codeDraining     = "draining"
	codeSnapshotGone = "snapshot_gone"
	codeMoved        = "moved"
)

// refusal is the body of an error.
type refusal struct {
	Code string `json:"code"`
	upstream.Reply
}

// workReply converts the answer to r.
func (a answer) workReply(r upstream.Request) (upstream.Reply, error) {
	if a.status == http.StatusOK {
		return a.result(r)
	}
	return a.refusal(r)
}

func (a answer) result(r upstream.Request) (upstream.Reply, error) {
	var reply upstream.Reply
	if err := decode(a.body, &reply); err != nil {
		return upstream.Reply{}, errors.Wrapf(upstream.ErrReplyLost, "reply: %v", err)
	}
	if reply.Attempt != r.Attempt || reply.Service != r.Service {
		return mismatch(reply, r)
	}
	return reply, nil
}

func (a answer) refusal(r upstream.Request) (upstream.Reply, error) {
	kind := func(code string) error { return refusalKind(a.status, code) }
	var body refusal
	if err := decode(a.body, &body); err != nil || kind(body.Code) == nil {
		return upstream.Reply{}, errors.Wrapf(upstream.ErrReplyLost, "status %d without a known refusal", a.status)
	}
	if body.Attempt != r.Attempt {
		return mismatch(body.Reply, r)
	}
	body.Records = nil
	return body.Reply, errors.Wrapf(kind(body.Code), "attempt %s", r.Attempt)
}

// mismatch keeps what a reply to another attempt tells of the upstream, and
// none of its records.
func mismatch(reply upstream.Reply, r upstream.Request) (upstream.Reply, error) {
	kept := upstream.Reply{Attempt: reply.Attempt, Held: reply.Held, Incarnation: reply.Incarnation, Load: reply.Load}
	return kept, errors.Wrapf(upstream.ErrMismatch, "attempt %q of service %q, want %q of %q",
		reply.Attempt, reply.Service, r.Attempt, r.Service)
}

// refusalKind returns the error of a refusal, or nil if the protocol does not
// have it.
func refusalKind(status int, code string) error {
	switch {
	case status == http.StatusServiceUnavailable && code == codeShed:
		return upstream.ErrShed
	case status == http.StatusServiceUnavailable && code == codeDraining:
		return upstream.ErrDraining
	case status == http.StatusConflict && code == codeSnapshotGone:
		return upstream.ErrSnapshotGone
	case status == http.StatusGone && code == codeMoved:
		return upstream.ErrMoved
	case status == http.StatusGatewayTimeout:
		return upstream.ErrTimeout
	}
	return nil
}

// decode accepts exactly one JSON object; a body of null or of another type
// would otherwise pass as an empty reply.
func decode(body []byte, into any) error {
	if !bytes.HasPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("{")) {
		return errors.New("body is not a JSON object")
	}
	return json.Unmarshal(body, into)
}

// Health is an upstream's report about itself. It may lag or mislead.
type Health struct {
	Status      string             `json:"status"`
	Service     string             `json:"service"`
	Incarnation string             `json:"incarnation"`
	Held        []uint64           `json:"held"`
	Partition   upstream.HashRange `json:"partition"`
	Load        upstream.Load      `json:"load"`
}

// Health asks the upstream at address for its report, within the connection
// limit. The caller bounds the time by ctx.
func (c *Client) Health(ctx context.Context, address string) (Health, error) {
	var trace sendtrace.Trace
	a, err := c.exchange(ctx, &trace, address, http.MethodGet, healthPath, nil)
	if err != nil {
		return Health{}, exchangeError(ctx, &trace, address, err)
	}
	var h Health
	if a.status != http.StatusOK {
		return Health{}, failure(upstream.ErrReplyLost, address, a.status)
	}
	if err := decode(a.body, &h); err != nil {
		return Health{}, failure(upstream.ErrReplyLost, address, err)
	}
	return h, nil
}
