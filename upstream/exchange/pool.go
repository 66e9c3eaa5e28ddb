package exchange

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/upstream"
)

const (
	// connectTimeout limits the TCP handshake. A replica whose accept queue is full drops
	// the SYN packet, which is retransmitted only after a second.
	connectTimeout = 400 * time.Millisecond
	// replyGrace is the time for which a reply is awaited after the deadline. A replica's
	// refusal at the deadline arrives within it, so that the connection can be reused.
	replyGrace = 20 * time.Millisecond
	// lingerTime is the time for which the reply to a cancelled request is awaited, so
	// that the connection can be reused. After it the connection is closed.
	lingerTime = 200 * time.Millisecond
	// defaultIdle is the idle time of a connection if the replica states none.
	defaultIdle = 60 * time.Second
	// idleMargin is the minimum time between the reuse of an idle connection and the time
	// at which the replica closes it.
	idleMargin = 700 * time.Millisecond
	// maxFreshIdle is the maximum idle time of a connection for Call.AtMostOnce.
	maxFreshIdle = time.Second
	// maxRequestsPerConn is the number of requests after which a connection is closed. It
	// bounds the memory for their ids.
	maxRequestsPerConn = 512

	readBufferBytes = 2 << 10
)

// Pool keeps connections to replicas, separately for each incarnation of a replica.
type Pool struct {
	codec  Codec
	memory replyMemory
	limit  func(incarnation replicas.Incarnation) int
	dial   func(ctx context.Context, address string) (net.Conn, error)

	opened, reused, lost, mismatched metrics.Counter
	passedOver                       metrics.Counter // idle connections that had carried the request before
	registry                         metrics.Registry

	mu      sync.Mutex
	targets map[replicas.Incarnation]*target
}

// NewPool returns a pool without connections. limit returns the number of connections that
// this host may hold to an incarnation of a replica.
func NewPool(codec Codec, limit func(replicas.Incarnation) int, registry metrics.Registry) *Pool {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return &Pool{
		codec: codec, limit: limit, registry: registry,
		memory: replyMemory{maxBody: defaultMaxBodyBytes, total: membudget.New(defaultMaxTotalBytes)},
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		opened:     metrics.GetOrRegisterCounter("exchange.connections.opened", registry),
		reused:     metrics.GetOrRegisterCounter("exchange.connections.reused", registry),
		lost:       metrics.GetOrRegisterCounter("exchange.replies.lost", registry),
		mismatched: metrics.GetOrRegisterCounter("exchange.replies.stray", registry),
		passedOver: metrics.GetOrRegisterCounter("exchange.connections.passed_over", registry),
		targets:    make(map[replicas.Incarnation]*target),
	}
}

// LimitMemory bounds the body of a reply and all large bodies that are held together, in
// bytes. It must be called before the first request.
func (p *Pool) LimitMemory(body, total int64) {
	p.memory.maxBody, p.memory.total = body, membudget.New(total)
}

// Release returns the memory of replies, the sum of their Reply.Held. It must be called
// once they are no longer used.
func (p *Pool) Release(held int64) { p.memory.total.Release(held) }

// Do sends the request and reads the reply. When ctx ends, a request that was not sent is
// dropped; the reply to one that was sent is awaited for up to lingerTime.
func (p *Pool) Do(ctx context.Context, c Call) (Reply, error) {
	conn, err := p.acquire(ctx, c)
	if err != nil {
		return Reply{}, err
	}
	if conn.carried.empty() && c.Permitted != nil {
		if err := c.Permitted(); err != nil {
			p.release(c.Destination, conn, true)
			return Reply{}, err
		}
	}
	started := time.Now()
	reply, keep, err := p.roundTrip(ctx, conn, c)
	reply.Elapsed = time.Since(started)
	if errors.Is(err, upstream.ErrTimeout) {
		p.suspectIdle(c.Destination, started)
	}
	p.release(c.Destination, conn, keep)
	return reply, err
}

// Probe opens a connection to an address and closes it.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// acquire returns an idle connection or opens one.
func (p *Pool) acquire(ctx context.Context, c Call) (*conn, error) {
	for {
		idle, err := p.reserve(c)
		if err != nil {
			return nil, err
		}
		if idle == nil {
			break
		}
		if idle.usable() {
			p.reused.Inc(1)
			return idle, nil
		}
		p.countClosed("found_closed")
		p.release(c.Destination, idle, false)
	}
	dialCtx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	raw, err := p.dial(dialCtx, c.Destination.Address)
	if err != nil {
		p.release(c.Destination, nil, false)
		return nil, errors.Wrapf(upstream.ErrConnect, "replica %s at %s: %v", c.Destination.ID, c.Destination.Address, err)
	}
	p.opened.Inc(1)
	bounded := &boundedReader{Reader: raw}
	opened := &conn{Conn: raw, bounded: bounded, reader: bufio.NewReaderSize(bounded, readBufferBytes), idle: defaultIdle}
	if s, ok := raw.(syscall.Conn); ok {
		if opened.raw, err = s.SyscallConn(); err != nil {
			opened.raw = nil // the connection is then reused without the check in usable
		}
	}
	return opened, nil
}

// roundTrip sends the request and reads the reply. It also reports whether the connection
// can be reused. It can if the deadline passed or ctx ended before the request was sent.
func (p *Pool) roundTrip(ctx context.Context, c *conn, call Call) (Reply, bool, error) {
	now := time.Now()
	remaining := call.Deadline.Sub(now)
	if remaining <= 0 || ctx.Err() != nil {
		return Reply{}, true, errors.Wrap(upstream.ErrConnect, "request ended before it was sent: deadline passed or cancelled")
	}
	first := c.carried.empty()
	c.carried.add(hashID(call.Request.ID))
	if err := c.SetDeadline(call.Deadline.Add(replyGrace)); err != nil {
		return Reply{}, false, errors.Wrapf(upstream.ErrConnect, "replica %s: %v", call.Destination.ID, err)
	}
	serial := c.startRequest()
	stop := context.AfterFunc(ctx, func() { p.linger(call, c, serial) })
	defer c.endRequest()
	defer stop()
	if err := c.writeRequest(p.codec, call, remaining); err != nil {
		return Reply{}, false, p.exchangeError(call, err)
	}
	reply, keep, err := p.read(c, call)
	if err != nil {
		return Reply{}, false, p.exchangeError(call, err)
	}
	if !belongs(call, &reply, first) {
		p.mismatched.Inc(1)
		p.Release(reply.Held)
		return Reply{}, false, errors.Wrapf(upstream.ErrMismatch, "replica %s answered request %q", call.Destination.ID, reply.RequestID)
	}
	return reply, keep, nil
}

// belongs reports whether a reply answers this send of the request, given whether it is the
// first on its connection.
//
// All sends of a request have the same id, and a replica may send a second copy of a reply
// late, on the same connection. The id is proof only because no connection carries a request
// twice (see takeIdle). A refusal may lack the id. It is then known to answer its request only
// as the first reply of a connection: later it may be a copy of any earlier one, and this
// request may run. Counted as refused, it would be sent to too many replicas.
func belongs(call Call, reply *Reply, first bool) bool {
	if reply.RequestID != "" {
		return reply.RequestID == call.Request.ID
	}
	return reply.NotRun && first
}

// exchangeError counts a lost reply and returns its error.
func (p *Pool) exchangeError(call Call, err error) error {
	p.lost.Inc(1)
	kind := upstream.ErrReplyLost
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		kind = upstream.ErrTimeout
		p.countClosed("timeout")
	}
	if errors.Is(err, ErrTooLarge) {
		p.countClosed("too_large")
		return errors.Mark(errors.Wrapf(err, "replica %s", call.Destination.ID), kind)
	}
	return errors.Wrapf(kind, "replica %s: %v", call.Destination.ID, err)
}

// read reads one complete reply and reports whether the connection can be reused.
func (p *Pool) read(c *conn, call Call) (Reply, bool, error) {
	c.bounded.left = maxHeadBytes
	response, err := readResponse(c.reader, call.Request.Method)
	if err != nil {
		return Reply{}, false, err
	}
	c.bounded.left = framingFactor*p.memory.maxBody + maxHeadBytes
	body, held, err := p.memory.readBody(response)
	if err != nil {
		return Reply{}, false, err
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	keep := true
	switch {
	case !framed:
		keep = p.countClosed("unframed")
	case response.Close:
		keep = p.countClosed("replica_closes")
	case c.reader.Buffered() > 0:
		keep = p.countClosed("extra_bytes")
	case len(c.carried) >= maxRequestsPerConn:
		keep = p.countClosed("request_limit")
	}
	c.idle = keepAliveTime(response.Header.Get("Keep-Alive"))
	reply := p.codec.ReadReply(response.StatusCode, response.Header, body)
	reply.Held = held
	if keep && reply.Leaving {
		keep = p.countClosed("replica_leaves")
	}
	return reply, keep, nil
}

// countClosed counts a connection that is closed, by cause. It returns false.
func (p *Pool) countClosed(cause string) bool {
	metrics.GetOrRegisterCounter("exchange.closed."+cause, p.registry).Inc(1)
	return false
}

// keepAliveTime returns the time for which the replica keeps an idle connection open,
// according to the value of its Keep-Alive header.
func keepAliveTime(value string) time.Duration {
	for part := range strings.SplitSeq(value, ",") {
		name, number, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(number); err == nil && seconds >= 0 {
			return time.Duration(seconds) * time.Second
		}
	}
	return defaultIdle
}
