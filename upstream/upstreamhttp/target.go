package upstreamhttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/sendtrace"
)

const (
	// dialTimeout bounds a dial that outlives its request.
	dialTimeout = 3 * time.Second
	idleTimeout = 90 * time.Second
	// maxHeaderBytes bounds the headers of a reply.
	maxHeaderBytes = 64 << 10
)

// target is one upstream address with its own connections. Each address has
// its own transport, since http.Transport limits connections per host and port
// and several addresses may share these.
type target struct {
	gate gate // requests in flight, over the current and the replaced transports

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

func newTarget(connections int) *target {
	t := &target{current: newLane(connections)}
	t.gate.setLimit(connections)
	return t
}

func newLane(connections int) *lane {
	transport := &http.Transport{
		DialContext:         sendtrace.Counted((&net.Dialer{Timeout: dialTimeout}).DialContext),
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
// transport is replaced; the gate keeps the requests on both together within
// the limit, and a new connection is only made for a request in flight.
func (t *target) setConnections(n int) {
	if !t.gate.setLimit(n) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.current
	t.current = newLane(n)
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
