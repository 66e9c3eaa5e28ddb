package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerPhase is what a caller's connection is doing.
type callerPhase int

const (
	// opened connections have carried no byte.
	opened callerPhase = iota
	// readingHeader connections have carried a part of a request's header.
	readingHeader
	// handling connections have a request in progress.
	handling
	// idle connections wait for the next request.
	idle
)

// callerConn is a caller's connection. It keeps the times for which a caller may take to send
// a header and may stay idle, which can change while it is open: net/http fixes them when a
// server starts.
type callerConn struct {
	net.Conn
	server *callerServer
	// roundTrip is the kernel's round-trip time to the caller when the connection was
	// accepted; 0 if it is not known.
	roundTrip time.Duration
	requests  atomic.Int64

	mu    sync.Mutex
	phase callerPhase
	since time.Time // when the phase began
}

func newCallerConn(c net.Conn, server *callerServer) *callerConn {
	result := &callerConn{Conn: c, server: server, roundTrip: roundTrip(c)}
	result.enter(opened)
	return result
}

// enter begins a phase.
func (c *callerConn) enter(p callerPhase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, time.Now()
	c.updateDeadline()
}

// limitsChanged applies changed limits to the present phase.
func (c *callerConn) limitsChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateDeadline()
}

// updateDeadline sets the deadline of the phase. The caller holds mu.
func (c *callerConn) updateDeadline() {
	limits := c.server.currentLimits()
	deadline := time.Time{}
	switch c.phase {
	case opened, readingHeader:
		deadline = c.since.Add(limits.HeaderTimeout)
	case idle:
		deadline = c.since.Add(limits.IdleTimeout + idleMargin)
	}
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(deadline)
}

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.mu.Lock()
		begins := c.phase == opened || c.phase == idle
		c.mu.Unlock()
		if begins {
			c.enter(readingHeader)
		}
	}
	return n, err
}

// SetReadDeadline implements net.Conn. The server sets deadlines only for its own purposes
// while a request is in progress; at all other times the limits decide.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != handling {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the sending side. The server uses it to avoid that a reset destroys the
// last answer.
func (c *callerConn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// stateChanged is called when the server sees another state of the connection.
func (c *callerConn) stateChanged(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.enter(handling)
	case http.StateIdle:
		c.enter(idle)
	}
}

// idleSince returns since when the connection has been idle, if it is.
func (c *callerConn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.phase == idle
}

// isSilent reports whether the connection has carried no byte.
func (c *callerConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == opened
}

// callerKey is the context key of a callerConn.
type callerKey struct{}

// withCallerConn attaches the connection to the context of its requests.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, c)
}

// roundTrip returns the kernel's round-trip time of a connection; 0 if it is not known,
// as for connections other than TCP.
func roundTrip(c net.Conn) time.Duration {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var rtt time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return rtt
}

// networkTime returns how much of a caller's request time passes in the network: one
// round trip, and another for the first request on a connection, which had to be
// opened.
func networkTime(ctx context.Context) (time.Duration, bool) {
	c, ok := ctx.Value(callerKey{}).(*callerConn)
	if !ok || c.roundTrip == 0 {
		return 0, false
	}
	if c.requests.Add(1) == 1 {
		return 2 * c.roundTrip, true
	}
	return c.roundTrip, true
}
