// Package httpstore is the HTTP client of the platform's object API and host
// list.
//
// This host has call budgets, one for reads and one for writes. A call above its budget is
// refused with objectstore.ErrBudget. The error of a call that the platform refuses, or that
// was not sent, is objectstore.ErrUnavailable. The error of a Put that was sent and whose
// reply is lost, late or truncated is objectstore.ErrUnknownOutcome: the platform may apply
// the Put even after the call has returned.
package httpstore

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/internal/sendtrace"
	"github.com/marigoldlever/marigoldlever/objectstore"
)

// HeaderDataCentre names the data centre that a request comes from.
const HeaderDataCentre = "X-Data-Centre"

const (
	defaultCallTimeout   = 2 * time.Second
	defaultWatchWait     = 10 * time.Second
	defaultHostListBytes = 16 << 20 // 16,000 hosts take about 3 MB
	maxErrorBytes        = 64 << 10 // bytes; limit of a reply without a value
	idleTimeout          = 90 * time.Second
	maxIdleConns         = 8
	maxHeaderBytes       = 64 << 10 // bytes; limit of the headers of a reply
)

// Config holds the settings of a Client.
type Config struct {
	BaseURL    string // "http://127.0.0.1:7400"
	DataCentre string // sent with every call
	Reads      Rate   // Get, Watch and Hosts
	Writes     Rate   // Put, Register and Deregister
	// CallTimeout limits a call; a watch may take WatchWait longer. 0 means 2 s.
	CallTimeout time.Duration
	// HostListBytes limits the size of the host list. 0 means 16 MiB.
	HostListBytes int64
	// WatchWait is the maximum time for which the platform holds a watch. 0 means 10 s.
	WatchWait time.Duration
	// Now is the clock of the budgets. Nil means time.Now.
	Now func() time.Time
	// Metrics receives the call counters. Nil means that none are published.
	Metrics metrics.Registry
}

// Client implements objectstore.Store and objectstore.HostList over HTTP.
type Client struct {
	cfg           Config
	base          *url.URL
	http          *http.Client
	transport     *http.Transport
	reads, writes *tokenBucket
	counters      counters
}

var (
	_ objectstore.Store    = (*Client)(nil)
	_ objectstore.HostList = (*Client)(nil)
)

type counters struct {
	reads, writes, overBudget metrics.Counter
}

// New returns a client of the platform at cfg.BaseURL.
func New(cfg Config) (*Client, error) {
	base, err := url.Parse(cfg.BaseURL)
	if err != nil {
		return nil, errors.Wrap(err, "platform address")
	}
	if base.Scheme != "http" || base.Host == "" {
		return nil, errors.Newf("platform address %q is not an http URL", cfg.BaseURL)
	}
	if cfg.Reads.Burst < 1 || cfg.Writes.Burst < 1 {
		return nil, errors.New("platform call budget needs a burst of at least one call")
	}
	cfg = withDefaults(cfg)
	transport := newTransport()
	now := cfg.Now()
	return &Client{
		cfg:       cfg,
		base:      base,
		http:      &http.Client{Transport: transport, CheckRedirect: noRedirect},
		transport: transport,
		reads:     newTokenBucket(cfg.Reads, now),
		writes:    newTokenBucket(cfg.Writes, now),
		counters:  newCounters(cfg.Metrics),
	}, nil
}

func withDefaults(cfg Config) Config {
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = defaultCallTimeout
	}
	if cfg.HostListBytes <= 0 {
		cfg.HostListBytes = defaultHostListBytes
	}
	if cfg.WatchWait <= 0 {
		cfg.WatchWait = defaultWatchWait
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return cfg
}

func newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         sendtrace.CountWrites((&net.Dialer{}).DialContext),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func newCounters(r metrics.Registry) counters {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return counters{
		reads:      metrics.GetOrRegisterCounter("platform.reads", r),
		writes:     metrics.GetOrRegisterCounter("platform.writes", r),
		overBudget: metrics.GetOrRegisterCounter("platform.over_budget", r),
	}
}

// noRedirect disables redirects, so that a Put is never sent twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// call describes a request.
type call struct {
	method   string
	path     string // escaped
	query    url.Values
	header   http.Header
	body     []byte
	timeout  time.Duration
	maxReply int64
}

// reply is a response whose body was read completely.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (k call) isWrite() bool { return k.method != http.MethodGet }

// charge subtracts the call from its budget.
func (c *Client) charge(k call) error {
	b, counter := c.reads, c.counters.reads
	if k.isWrite() {
		b, counter = c.writes, c.counters.writes
	}
	if !b.take(c.cfg.Now()) {
		c.counters.overBudget.Inc(1)
		return errors.Wrapf(objectstore.ErrBudget, "%s %s", k.method, k.path)
	}
	counter.Inc(1)
	return nil
}

// do sends the call and reads the whole reply. Its errors match those of package
// objectstore.
func (c *Client) do(ctx context.Context, k call) (reply, error) {
	if err := c.charge(k); err != nil {
		return reply{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, k.timeout)
	defer cancel()
	var trace sendtrace.Trace
	req, err := c.request(trace.Attach(ctx), k)
	if err != nil {
		return reply{}, failure(objectstore.ErrUnavailable, k, err)
	}
	r, err := roundTrip(c.http, req, k.maxReply)
	if err == nil {
		return r, nil
	}
	if k.isWrite() && trace.MaybeSent() {
		return reply{}, failure(objectstore.ErrUnknownOutcome, k, err)
	}
	return reply{}, failure(objectstore.ErrUnavailable, k, err)
}

func (c *Client) request(ctx context.Context, k call) (*http.Request, error) {
	target := strings.TrimSuffix(c.base.String(), "/") + k.path
	if len(k.query) > 0 {
		target += "?" + k.query.Encode()
	}
	req, err := http.NewRequestWithContext(ctx, k.method, target, bodyReader(k.body))
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http can't resend the request.
	req.GetBody = nil
	for name, values := range k.header {
		req.Header[name] = values
	}
	req.Header.Set(HeaderDataCentre, c.cfg.DataCentre)
	return req, nil
}

// roundTrip sends req and reads the whole body of the response.
func roundTrip(client *http.Client, req *http.Request, limit int64) (reply, error) {
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	if unframed(resp) {
		return reply{}, errors.New("reply has neither a length nor chunks, so a truncation can't be detected")
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return reply{}, err
	}
	if int64(len(body)) > limit {
		return reply{}, errors.Newf("reply is larger than %d bytes", limit)
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: body}, nil
}

// unframed reports whether only the end of the connection delimits the body.
func unframed(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// failure wraps one of the errors of package objectstore with the call and the cause.
func failure(kind error, k call, cause any) error {
	return errors.Wrapf(kind, "%s %s: %v", k.method, k.path, cause)
}
