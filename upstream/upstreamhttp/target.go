package upstreamhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/sendtrace"
)

const (
	// dialTimeout bounds a dial that outlives its request, and its wait for the limit.
	dialTimeout = 3 * time.Second
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the headers of a reply.
	maxHeaderBytes = 64 << 10
)

// target is one upstream address with its own connections. Each address has
// its own transport, since http.Transport limits connections per host and port
// and several addresses may share these.
type target struct {
	dial sendtrace.DialFunc
	// Both gates hold over the current and the replaced transports together.
	gate        gate // requests in flight
	connections gate // from the begin of a dial until the connection is closed

	mu      sync.Mutex
	current *lane
}

// lane is a transport with the client that uses it. Once retired, its
// connections are closed as soon as they are idle.
type lane struct {
	client    *http.Client
	transport *http.Transport
	retired   bool // guarded by target.mu
}

func newTarget(connections int, dial sendtrace.DialFunc) *target {
	t := &target{dial: dial}
	t.current = t.newLane(connections)
	t.connections.setLimit(connections)
	t.gate.setLimit(connections)
	return t
}

// connect opens a connection once the limit allows one more. The limit of a transport is
// not enough: it also dials for a request that is then given another connection, while
// a replaced transport may still have connections of its own.
func (t *target) connect(ctx context.Context, network, address string) (net.Conn, error) {
	waiting, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := t.connections.acquire(waiting); err != nil {
		return nil, errors.Wrap(err, "wait for a connection to be closed")
	}
	conn, err := t.dial(ctx, network, address)
	if err != nil {
		t.connections.release()
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(t.connections.release)}, nil
}

// limitedConn gives its place back when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

func (t *target) newLane(connections int) *lane {
	transport := &http.Transport{
		DialContext:         sendtrace.Counted(t.connect),
		DisableCompression:  true,
		MaxConnsPerHost:     max(connections, 1),
		MaxIdleConnsPerHost: max(connections, 1),
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	client := &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return &lane{client: client, transport: transport}
}

// noRedirect keeps a redirected request from being sent twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// setConnections changes the limit. A transport's limit is fixed, so the
// transport is replaced; the gates keep the requests and the connections of both
// together within the limit.
func (t *target) setConnections(n int) {
	t.connections.setLimit(n)
	if !t.gate.setLimit(n) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current
	t.current = t.newLane(n)
	old.retired = true
	old.transport.CloseIdleConnections()
}

// retire closes the connections as soon as they are idle.
func (t *target) retire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.retired = true
	t.current.transport.CloseIdleConnections()
}

// enter waits for a place and returns the lane to use.
func (t *target) enter(ctx context.Context) (*lane, error) {
	if err := t.gate.acquire(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current, nil
}

// leave ends the use of a lane. The reply must have been read to its end.
func (t *target) leave(l *lane) {
	t.mu.Lock()
	if l.retired {
		l.transport.CloseIdleConnections()
	}
	t.mu.Unlock()
	t.gate.release()
}
