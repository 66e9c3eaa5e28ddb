package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// maxAnswerBytes is the maximum number of bytes that the client reads of one answer.
const maxAnswerBytes = 64 << 20

// ErrNoCompleteAnswer reports that no complete answer was received. The work of a
// non-idempotent request may have run.
var ErrNoCompleteAnswer = errors.New("no complete answer from the daemon")

// Client calls the interface of one daemon.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client for the daemon at address that keeps up to the given
// number of idle connections open.
func NewClient(address string, connections int) *Client {
	transport := &http.Transport{
		MaxIdleConnsPerHost: connections,
		MaxIdleConns:        connections,
		IdleConnTimeout:     time.Minute,
	}
	return &Client{address: address, http: &http.Client{Transport: transport}}
}

// Query sends a query.
func (c *Client) Query(ctx context.Context, q QueryRequest) (Answer, error) {
	var answer Answer
	header := make(http.Header)
	if q.RequestID != "" {
		header.Set(HeaderRequestID, q.RequestID)
	}
	return answer, c.call(ctx, http.MethodPost, "/v1/query", header, q, &answer)
}

// Execute sends a non-idempotent request.
func (c *Client) Execute(ctx context.Context, e ExecuteRequest) (ExecuteAnswer, error) {
	var answer ExecuteAnswer
	header := make(http.Header)
	header.Set(HeaderIdempotencyKey, e.Key)
	if e.SubmissionNumber > 0 {
		header.Set(HeaderSubmissionNumber, strconv.Itoa(e.SubmissionNumber))
	}
	if e.RequestID != "" {
		header.Set(HeaderRequestID, e.RequestID)
	}
	return answer, c.call(ctx, http.MethodPost, "/v1/execute", header, e, &answer)
}

// Patch sends a configuration patch.
func (c *Client) Patch(ctx context.Context, p PatchRequest) (PatchAnswer, error) {
	var answer PatchAnswer
	return answer, c.call(ctx, http.MethodPost, "/v1/configuration/patches", nil, p, &answer)
}

// Configuration returns the configuration with the given number, or the newest one if
// number is 0.
func (c *Client) Configuration(ctx context.Context, number uint64) (ConfigurationAnswer, error) {
	path := "/v1/configuration"
	if number > 0 {
		path = fmt.Sprintf("%s/%d", path, number)
	}
	var answer ConfigurationAnswer
	return answer, c.call(ctx, http.MethodGet, path, nil, nil, &answer)
}

// History returns the accepted patches that are still in the recorded history.
func (c *Client) History(ctx context.Context) ([]HistoryEntry, error) {
	var entries []HistoryEntry
	return entries, c.call(ctx, http.MethodGet, "/v1/configuration/history", nil, nil, &entries)
}

// Status returns the daemon's status. If all is true, it includes the status of every
// host.
func (c *Client) Status(ctx context.Context, all bool) (Status, error) {
	path := "/status"
	if all {
		path += "?all=true"
	}
	var status Status
	return status, c.call(ctx, http.MethodGet, path, nil, nil, &status)
}

// Ready reports whether the daemon is ready for callers.
func (c *Client) Ready(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := c.http.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

func (c *Client) call(ctx context.Context, method, path string, header http.Header, in, out any) error {
	request, err := c.request(ctx, method, path, header, in)
	if err != nil {
		return err
	}
	response, err := c.http.Do(request)
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "%s %s", method, path), ErrNoCompleteAnswer)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "read answer to %s %s", method, path), ErrNoCompleteAnswer)
	}
	if response.StatusCode != http.StatusOK {
		return decodeProblem(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.Mark(errors.Wrapf(err, "decode answer to %s %s", method, path), ErrNoCompleteAnswer)
	}
	return nil
}

func (c *Client) request(ctx context.Context, method, path string, header http.Header, in any) (*http.Request, error) {
	var body io.Reader
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return nil, errors.Wrap(err, "encode request")
		}
		// The reader's concrete type is hidden so that net/http can't replay the body of
		// a non-idempotent request on a new connection.
		body = struct{ io.Reader }{bytes.NewReader(encoded)}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "create request")
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Content-Type", "application/json")
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(request.Header))
	return request, nil
}

func decodeProblem(status int, body []byte) error {
	var p Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Kind == "" {
		return errors.Mark(errors.Newf("status %d without a problem body", status), ErrNoCompleteAnswer)
	}
	return &p
}
