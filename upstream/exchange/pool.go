package exchange

import (
	"bufio"
	"context"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/upstream"
)

const (
	// connectTimeout bounds a handshake. A replica whose queue of connections is
	// full drops the opening packet, which is sent again only after a second.
	connectTimeout = 400 * time.Millisecond
	// replyGrace is how long after the deadline a reply is awaited: the replica's
	// own refusal at its deadline arrives then and keeps the connection.
	replyGrace = 20 * time.Millisecond
	// lingerTime is how long a cancelled request may go on, so that its
	// connection can be used again. A replica that works longer is cut off.
	lingerTime = 200 * time.Millisecond
	// defaultIdle is how long a connection is kept whose replica states no time.
	defaultIdle = 60 * time.Second
	// idleMargin is left between the last use of an idle connection and the time
	// at which the replica closes it.
	idleMargin = 700 * time.Millisecond
	// freshIdle is the longest idle time of a connection for Call.FreshConnection.
	freshIdle = time.Second

	readBuffer   = 2 << 10  // bytes
	maxReplyBody = 64 << 20 // bytes
)

// Pool keeps connections to replicas, apart for each run of a replica.
type Pool struct {
	codec Codec
	limit func(run replicas.Incarnation) int
	dial  func(ctx context.Context, address string) (net.Conn, error)

	opened, reused, lost, strays metrics.Counter
	registry                     metrics.Registry

	mu    sync.Mutex
	peers map[replicas.Incarnation]*peer
}

// peer is one run of a replica.
type peer struct {
	idle []*conn // the last one used is last
	// lingering are connections whose request was cancelled and may still end.
	lingering []*conn
	open      int // idle, in use and being opened
	// suspectBefore is the time up to which idle connections are not trusted: a
	// request that was sent then got no reply.
	suspectBefore time.Time
	forgotten     bool
}

// NewPool returns a pool without connections. limit returns how many connections
// this host may hold to a run of a replica.
func NewPool(codec Codec, limit func(replicas.Incarnation) int, registry metrics.Registry) *Pool {
	dialer := net.Dialer{Timeout: connectTimeout, KeepAlive: -1}
	return &Pool{
		codec: codec, limit: limit, registry: registry,
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		opened: metrics.GetOrRegisterCounter("exchange.connections.opened", registry),
		reused: metrics.GetOrRegisterCounter("exchange.connections.reused", registry),
		lost:   metrics.GetOrRegisterCounter("exchange.replies.lost", registry),
		strays: metrics.GetOrRegisterCounter("exchange.replies.stray", registry),
		peers:  make(map[replicas.Incarnation]*peer),
	}
}

// Do sends the request and reads the reply. When ctx ends, an unsent request is
// dropped; one that was sent may go on for lingerTime.
func (p *Pool) Do(ctx context.Context, c Call) (Reply, error) {
	conn, err := p.take(ctx, c)
	if err != nil {
		return Reply{}, err
	}
	started := time.Now()
	reply, keep, err := p.roundTrip(ctx, conn, c)
	if errors.Is(err, upstream.ErrTimeout) {
		p.suspect(c.Destination, started)
	}
	p.release(c.Destination, conn, keep)
	return reply, err
}

// Availability is the state of the connections to one incarnation of a replica.
type Availability struct {
	// HasIdle is set if an open connection is idle.
	HasIdle bool
	// AtLimit is set if all connections that this host may hold are in use by requests
	// that somebody waits for.
	AtLimit bool
}

// Availability returns the present state of the connections to an incarnation of a
// replica.
func (p *Pool) Availability(run replicas.Incarnation) Availability {
	idle, inUse := p.use(run)
	return Availability{HasIdle: idle, AtLimit: inUse > 0 && inUse >= p.limit(run)}
}

// use reports whether a connection is idle and, if none can be had without opening one,
// the number of those that are open. limit is not called under the lock, as in reserve.
func (p *Pool) use(run replicas.Incarnation) (idle bool, inUse int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.peers[run]
	if t == nil || len(t.idle) > 0 || len(t.lingering) > 0 {
		return t != nil && len(t.idle) > 0, 0
	}
	return false, t.open
}

// Probe opens a connection to an address and closes it.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	return c.Close()
}

// take returns an idle connection or opens one.
func (p *Pool) take(ctx context.Context, c Call) (*conn, error) {
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
		p.closing("found_closed")
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
	opened := &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), idle: defaultIdle}
	if s, ok := raw.(syscall.Conn); ok {
		if opened.raw, err = s.SyscallConn(); err != nil {
			opened.raw = nil // the connection is then used without a look at it first
		}
	}
	return opened, nil
}

// ErrNoConnection reports that this host's share of a replica's connections is in
// use.
var ErrNoConnection = errors.New("all connections to the replica are in use")

// reserve takes an idle connection, or the right to open one, which is nil.
func (p *Pool) reserve(c Call) (*conn, error) {
	limit := p.limit(c.Destination) // before the lock: it may look at state whose holder asks this pool
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.peers[c.Destination]
	if t == nil {
		t = &peer{}
		p.peers[c.Destination] = t
	}
	now := time.Now()
	for n := len(t.idle); n > 0; n = len(t.idle) {
		last := t.idle[n-1]
		age := now.Sub(last.usedAt)
		if age > last.idle-idleMargin || last.usedAt.Before(t.suspectBefore) {
			t.idle = t.idle[:n-1]
			t.open--
			last.Close()
			p.closing("idle_too_long")
			continue
		}
		if (c.FreshConnection && age > freshIdle) || last.lastID == c.Request.ID {
			break
		}
		t.idle = t.idle[:n-1]
		return last, nil
	}
	if t.open >= limit {
		switch {
		case len(t.idle) > 0:
			t.idle[0].Close()
			t.idle = t.idle[1:]
			t.open--
			p.closing("replaced")
		case len(t.lingering) > 0:
			// Its request gives its place in open up when it finds the connection
			// closed, which is at once.
			t.lingering[0].Close()
			t.lingering = t.lingering[1:]
			p.closing("lingering")
		default:
			return nil, errors.Mark(errors.Wrapf(ErrNoConnection, "replica %s", c.Destination.ID), upstream.ErrConnect)
		}
	}
	t.open++
	return nil, nil
}

// release gives back a connection, or the right to one that could not be opened.
func (p *Pool) release(run replicas.Incarnation, c *conn, keep bool) {
	p.mu.Lock()
	t := p.peers[run]
	t.lingering = slices.DeleteFunc(t.lingering, func(o *conn) bool { return o == c })
	if keep && !t.forgotten {
		c.usedAt = time.Now()
		t.idle = append(t.idle, c)
		c = nil
	} else {
		t.open--
	}
	if t.forgotten && t.open == 0 {
		delete(p.peers, run)
	}
	p.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// linger lets a cancelled request go on for a short time.
func (p *Pool) linger(call Call, c *conn, serial int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.shorten(serial, call.Deadline) {
		t := p.peers[call.Destination]
		t.lingering = append(t.lingering, c)
	}
}

// suspect closes the idle connections that were last used before the time.
func (p *Pool) suspect(run replicas.Incarnation, before time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t := p.peers[run]; t != nil && before.After(t.suspectBefore) {
		t.suspectBefore = before
	}
}

// RetainOnly closes the connections to all incarnations that are not in the set.
func (p *Pool) RetainOnly(runs map[replicas.Incarnation]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for run, t := range p.peers {
		t.forgotten = !runs[run]
		if !t.forgotten {
			continue
		}
		for _, c := range t.idle {
			c.Close()
		}
		t.open -= len(t.idle)
		t.idle = nil
		if t.open == 0 {
			delete(p.peers, run)
		}
	}
}

// roundTrip reports whether the connection may be used again. After a request that
// was not sent it is as good as before.
func (p *Pool) roundTrip(ctx context.Context, c *conn, call Call) (Reply, bool, error) {
	now := time.Now()
	left := call.Deadline.Sub(now)
	if left <= 0 || ctx.Err() != nil {
		return Reply{}, true, errors.Wrap(upstream.ErrConnect, "no time left to send the request")
	}
	message := buffers.Get().(*[]byte)
	*message = p.codec.AppendRequest((*message)[:0], call.Request, call.Destination.ID, left)
	defer buffers.Put(message)
	c.lastID = call.Request.ID
	if err := c.SetDeadline(call.Deadline.Add(replyGrace)); err != nil {
		return Reply{}, false, errors.Wrapf(upstream.ErrConnect, "replica %s: %v", call.Destination.ID, err)
	}
	serial := c.begin()
	stop := context.AfterFunc(ctx, func() { p.linger(call, c, serial) })
	defer c.end()
	defer stop()
	if _, err := c.Write(*message); err != nil {
		return Reply{}, false, p.failure(call, err)
	}
	reply, keep, err := p.read(c, call)
	if err != nil {
		return Reply{}, false, p.failure(call, err)
	}
	if reply.RequestID != call.Request.ID && (reply.RequestID != "" || !reply.NotRun) {
		p.strays.Inc(1)
		return Reply{}, false, errors.Wrapf(upstream.ErrMismatch, "replica %s answered request %q", call.Destination.ID, reply.RequestID)
	}
	return reply, keep, nil
}

func (p *Pool) failure(call Call, err error) error {
	p.lost.Inc(1)
	kind := upstream.ErrReplyLost
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		kind = upstream.ErrTimeout
		p.closing("timeout")
	}
	return errors.Wrapf(kind, "replica %s: %v", call.Destination.ID, err)
}

// read reads one whole reply and reports whether nothing follows it.
func (p *Pool) read(c *conn, call Call) (Reply, bool, error) {
	response, err := readResponse(c.reader, call.Request.Method)
	if err != nil {
		return Reply{}, false, err
	}
	body, err := readBody(response)
	if err != nil {
		return Reply{}, false, err
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	keep := true
	switch {
	case !framed:
		keep = p.closing("unframed")
	case response.Close:
		keep = p.closing("replica_closes")
	case c.reader.Buffered() > 0:
		keep = p.closing("extra_bytes")
	}
	c.idle = keepAliveTime(response.Header.Get("Keep-Alive"))
	return p.codec.ReadReply(response.StatusCode, response.Header, body), keep, nil
}

// closing counts a connection that is not used again, and returns false.
func (p *Pool) closing(cause string) bool {
	metrics.GetOrRegisterCounter("exchange.closed."+cause, p.registry).Inc(1)
	return false
}

// keepAliveTime returns how long the replica keeps an idle connection, by the
// value of its Keep-Alive header.
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
