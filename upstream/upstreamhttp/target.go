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
	// dialTimeout limits a dial, which may outlive its request, and separately the wait
	// for a connection within the limit.
	dialTimeout = 3 * time.Second
	idleTimeout = 90 * time.Second
	// maxHeaderBytes limits the size of the headers of a reply.
	maxHeaderBytes = 64 << 10
)

// target is an upstream address with its own connections. Each address has its own
// transport, since http.Transport limits connections per host and port, which several
// addresses may share.
type target struct {
	dial sendtrace.DialFunc
	// Both limits apply to the current and the replaced transports together.
	semaphore   semaphore // requests in flight
	connections semaphore // connections, from the start of the dial until they are closed

	mu      sync.Mutex
	current *clientTransport
}

// clientTransport is a transport with the client that uses it. After it is retired, its
// connections are closed as soon as they are idle.
type clientTransport struct {
	client    *http.Client
	transport *http.Transport
	retired   bool // guarded by target.mu
}

func newTarget(connections int, dial sendtrace.DialFunc) *target {
	t := &target{dial: dial}
	t.current = t.newClientTransport(connections)
	t.connections.setLimit(connections)
	t.semaphore.setLimit(connections)
	return t
}

// connect opens a connection as soon as the limit allows it. The limit of a transport is not
// sufficient: a transport continues a dial after its request was given another connection,
// and a replaced transport may still have connections of its own.
func (t *target) connect(ctx context.Context, network, address string) (net.Conn, error) {
	waiting, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if err := t.connections.acquire(waiting); err != nil {
		return nil, errors.Wrap(err, "wait for a connection within the limit")
	}
	conn, err := t.dial(ctx, network, address)
	if err != nil {
		t.connections.release()
		return nil, err
	}
	return &limitedConn{Conn: conn, release: sync.OnceFunc(t.connections.release)}, nil
}

// limitedConn releases its permit when it is closed.
type limitedConn struct {
	net.Conn
	release func()
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.release()
	return err
}

func (t *target) newClientTransport(connections int) *clientTransport {
	transport := &http.Transport{
		DialContext:         sendtrace.CountWrites(t.connect),
		DisableCompression:  true,
		MaxConnsPerHost:     max(connections, 1),
		MaxIdleConnsPerHost: max(connections, 1),
		IdleConnTimeout:     idleTimeout,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
	client := &http.Client{Transport: transport, CheckRedirect: noRedirect}
	return &clientTransport{client: client, transport: transport}
}

// noRedirect disables redirects, so that a request is never sent twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// setConnections changes the limit. The limit of a transport is fixed, so the transport is
// replaced; the semaphores keep the requests and connections of both transports together
// within the limit.
func (t *target) setConnections(n int) {
	t.connections.setLimit(n)
	if !t.semaphore.setLimit(n) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current
	t.current = t.newClientTransport(n)
	old.retired = true
	old.transport.CloseIdleConnections()
}

// retire makes the connections close as soon as they are idle.
func (t *target) retire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.current.retired = true
	t.current.transport.CloseIdleConnections()
}

// beginRequest waits until the limit allows a request and returns the transport to use.
func (t *target) beginRequest(ctx context.Context) (*clientTransport, error) {
	if err := t.semaphore.acquire(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.current, nil
}

// endRequest ends the use of a transport. The reply must have been read completely.
func (t *target) endRequest(used *clientTransport) {
	t.mu.Lock()
	if used.retired {
		used.transport.CloseIdleConnections()
	}
	t.mu.Unlock()
	t.semaphore.release()
}
