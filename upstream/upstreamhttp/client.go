// Package upstreamhttp is the HTTP client of upstreams.
//
// It limits the connections per upstream address and never sends a request twice. Its
// errors distinguish a request that was not sent (upstream.ErrConnect) from one whose reply
// was lost (upstream.ErrReplyLost). A reply is accepted only if it is complete and echoes
// the attempt: a refusal of another attempt does not prove that this one did not run.
//
// An address is "host:port", or "host:port/path" for an upstream behind a
// shared listener.
package upstreamhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
	"github.com/marigoldlever/marigoldlever/internal/sendtrace"
	"github.com/marigoldlever/marigoldlever/upstream"
)

const (
	workPath   = "/v1/work"
	healthPath = "/v1/health"

	defaultMaxReplyBytes = 8 << 20
	// defaultReplyGrace is enough for the upstream's own 504 response to arrive. It
	// carries a load report, and the connection can be reused after it.
	defaultReplyGrace = 20 * time.Millisecond
)

// Config holds the settings of a Client.
type Config struct {
	// Connections is the connection limit of an address for which SetConnections was not
	// called. 0 means that no requests are sent to such an address.
	Connections int
	// MaxReplyBytes limits the size of a reply. 0 means 8 MiB.
	MaxReplyBytes int64
	// Memory bounds the replies that are being read and decoded, in bytes together. Nil
	// bounds only each of them.
	Memory *membudget.Budget
	// ReplyGrace is the time for which a reply is awaited after the deadline. 0 means
	// 20 ms.
	ReplyGrace time.Duration
	// Metrics receives the counters. Nil means that none are published.
	Metrics metrics.Registry
}

// Client implements upstream.Client over HTTP.
type Client struct {
	cfg        Config
	dial       sendtrace.DialFunc
	mismatches metrics.Counter

	mu      sync.Mutex
	targets map[string]*target
}

var _ upstream.Client = (*Client)(nil)

// New returns a client without connections.
func New(cfg Config) *Client {
	if cfg.MaxReplyBytes <= 0 {
		cfg.MaxReplyBytes = defaultMaxReplyBytes
	}
	if cfg.ReplyGrace <= 0 {
		cfg.ReplyGrace = defaultReplyGrace
	}
	if cfg.Memory == nil {
		cfg.Memory = membudget.New(math.MaxInt64)
	}
	registry := cfg.Metrics
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	return &Client{
		cfg:        cfg,
		dial:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		mismatches: metrics.GetOrRegisterCounter("upstream.mismatches", registry),
		targets:    make(map[string]*target),
	}
}

// SetConnections sets the connection limit of an address. Requests in flight above a
// lowered limit finish. With a limit of 0 no requests are sent.
func (c *Client) SetConnections(address string, n int) {
	c.mu.Lock()
	t, ok := c.targets[address]
	if !ok {
		c.targets[address] = newTarget(n, c.dial)
	}
	c.mu.Unlock()
	if ok {
		t.setConnections(n)
	}
}

// Forget removes the limit and closes the connections of an address that is no longer used.
// Requests in flight finish.
func (c *Client) Forget(address string) {
	c.mu.Lock()
	t, ok := c.targets[address]
	delete(c.targets, address)
	c.mu.Unlock()
	if ok {
		t.retire()
	}
}

// Close closes the connections of all addresses. Requests in flight finish.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, t := range c.targets {
		t.retire()
		delete(c.targets, address)
	}
}

// target returns the target of an address and creates it on first use.
func (c *Client) target(address string) *target {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.targets[address]
	if !ok {
		t = newTarget(c.cfg.Connections, c.dial)
		c.targets[address] = t
	}
	return t
}

// wireRequest is the JSON body of a request.
type wireRequest struct {
	upstream.Request
	DeadlineMS int64 `json:"deadline_ms"`
}

// Do implements upstream.Client. It waits for a connection within the limit. If none is
// free before the deadline, the error is upstream.ErrConnect.
func (c *Client) Do(ctx context.Context, address string, r upstream.Request) (upstream.Reply, error) {
	if r.Deadline <= 0 {
		return upstream.Reply{}, failure(upstream.ErrConnect, address, "deadline passed before the request was sent")
	}
	body, err := json.Marshal(wireRequest{Request: r, DeadlineMS: milliseconds(r.Deadline)})
	if err != nil {
		return upstream.Reply{}, failure(upstream.ErrConnect, address, err)
	}
	ctx, cancel := context.WithTimeout(ctx, r.Deadline+c.cfg.ReplyGrace)
	defer cancel()
	var trace sendtrace.Trace
	resp, err := c.exchange(ctx, &trace, address, http.MethodPost, workPath, body)
	if err != nil {
		return upstream.Reply{}, exchangeError(ctx, &trace, address, err)
	}
	defer c.cfg.Memory.Release(resp.held)
	reply, err := resp.workReply(r)
	if errors.Is(err, upstream.ErrMismatch) {
		c.mismatches.Inc(1)
		trace.CloseConnection()
	}
	if err != nil {
		return reply, errors.Wrap(err, address)
	}
	return reply, nil
}

// response is an HTTP response whose body was read completely.
type response struct {
	status int
	body   []byte
	held   int64 // of the client's memory, to be released
}

// exchange sends one request within the connection limit of the address and reads the
// response.
func (c *Client) exchange(ctx context.Context, trace *sendtrace.Trace, address, method, path string, body []byte) (response, error) {
	t := c.target(address)
	pooled, err := t.beginRequest(ctx)
	if err != nil {
		return response{}, errors.Wrap(err, "no free connection within the limit")
	}
	defer t.endRequest(pooled)
	req, err := http.NewRequestWithContext(withInterimCheck(trace.Attach(ctx)), method, targetURL(address, path), bytes.NewReader(body))
	if err != nil {
		return response{}, err
	}
	// Without GetBody net/http can't resend the request.
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	resp, err := roundTrip(pooled.client, req, c.cfg.Memory, c.cfg.MaxReplyBytes)
	if errors.Is(err, errBadStatus) {
		trace.CloseConnection()
		// net/http keeps a connection without a body in its pool before it returns the response.
		pooled.transport.CloseIdleConnections()
	}
	return resp, err
}

// roundTrip sends req and reads the whole body of the response.
func roundTrip(client *http.Client, req *http.Request, memory *membudget.Budget, limit int64) (response, error) {
	resp, err := client.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	if err := checkStatus(resp); err != nil {
		return response{}, err
	}
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
		return response{}, errors.New("reply has neither a length nor chunks, so a truncation can't be detected")
	}
	body, held, err := memory.ReadAll(resp.Body, resp.ContentLength, limit)
	if err != nil {
		return response{}, err
	}
	return response{status: resp.StatusCode, body: body, held: held}, nil
}

// exchangeError converts the error of an exchange without a complete reply.
func exchangeError(ctx context.Context, trace *sendtrace.Trace, address string, err error) error {
	switch {
	case !trace.MaybeSent():
		return failure(upstream.ErrConnect, address, err)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return failure(upstream.ErrTimeout, address, err)
	default:
		return failure(upstream.ErrReplyLost, address, err)
	}
}

func targetURL(address, path string) string {
	return "http://" + strings.TrimSuffix(address, "/") + path
}

// milliseconds rounds up, so that a positive deadline never becomes 0.
func milliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

// failure wraps one of the errors of package upstream with the address and the cause.
func failure(kind error, address string, cause any) error {
	return errors.Wrapf(kind, "%s: %v", address, cause)
}
