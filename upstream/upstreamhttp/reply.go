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

// Codes in the bodies of error responses.
const (
	codeShed         = "shed"
	codeDraining     = "draining"
	codeSnapshotGone = "snapshot_gone"
	codeMoved        = "moved"
)

// refusal is the body of an error response.
type refusal struct {
	Code string `json:"code"`
	upstream.Reply
}

// workReply converts the response to r.
func (resp response) workReply(r upstream.Request) (upstream.Reply, error) {
	if resp.status == http.StatusOK {
		return resp.result(r)
	}
	return resp.refusal(r)
}

func (resp response) result(r upstream.Request) (upstream.Reply, error) {
	var reply upstream.Reply
	if err := decode(resp.body, &reply); err != nil {
		return upstream.Reply{}, errors.Wrapf(upstream.ErrReplyLost, "reply: %v", err)
	}
	if reply.Attempt != r.Attempt || reply.Service != r.Service {
		return mismatch(reply, r)
	}
	return reply, nil
}

func (resp response) refusal(r upstream.Request) (upstream.Reply, error) {
	kind := func(code string) error { return refusalKind(resp.status, code) }
	var body refusal
	if err := decode(resp.body, &body); err != nil || kind(body.Code) == nil {
		return upstream.Reply{}, errors.Wrapf(upstream.ErrReplyLost, "status %d without a known refusal", resp.status)
	}
	if body.Attempt != r.Attempt {
		return mismatch(body.Reply, r)
	}
	body.Records = nil
	return body.Reply, errors.Wrapf(kind(body.Code), "attempt %s", r.Attempt)
}

// mismatch returns ErrMismatch with the state of the upstream from a reply to another
// attempt, without the reply's records.
func mismatch(reply upstream.Reply, r upstream.Request) (upstream.Reply, error) {
	kept := upstream.Reply{Attempt: reply.Attempt, Held: reply.Held, Incarnation: reply.Incarnation, Load: reply.Load}
	return kept, errors.Wrapf(upstream.ErrMismatch, "attempt %q of service %q, want %q of %q",
		reply.Attempt, reply.Service, r.Attempt, r.Service)
}

// refusalKind returns the error for the status and code of a refusal, or nil if the protocol
// does not define them.
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

// decode accepts only a JSON object. Otherwise a body such as null would decode as an empty
// reply.
func decode(body []byte, into any) error {
	if !bytes.HasPrefix(bytes.TrimLeft(body, " \t\r\n"), []byte("{")) {
		return errors.New("body is not a JSON object")
	}
	return json.Unmarshal(body, into)
}

// Health is an upstream's report about itself. It may be out of date or wrong.
type Health struct {
	Status      string             `json:"status"`
	Service     string             `json:"service"`
	Incarnation string             `json:"incarnation"`
	Held        []uint64           `json:"held"`
	Partition   upstream.HashRange `json:"partition"`
	Load        upstream.Load      `json:"load"`
}

// Health requests the health report of the upstream at address, within the connection limit.
// The caller limits the time by ctx.
func (c *Client) Health(ctx context.Context, address string) (Health, error) {
	var trace sendtrace.Trace
	resp, err := c.exchange(ctx, &trace, address, http.MethodGet, healthPath, nil)
	if err != nil {
		return Health{}, exchangeError(ctx, &trace, address, err)
	}
	defer c.cfg.Memory.Release(resp.held)
	var h Health
	if resp.status != http.StatusOK {
		return Health{}, failure(upstream.ErrReplyLost, address, resp.status)
	}
	if err := decode(resp.body, &h); err != nil {
		return Health{}, failure(upstream.ErrReplyLost, address, err)
	}
	return h, nil
}
