// Package sendtrace detects HTTP requests of which no byte left this host. The clients of
// the platform and of upstreams rely on it when they report that a request had no effect.
package sendtrace

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countedConn counts the bytes written to the connection. The count is increased before the
// write. A request was therefore not sent if the count is unchanged after the transport has
// closed the connection.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// DialFunc opens a connection, like http.Transport.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CountWrites wraps dial so that its connections count the bytes written to them, which
// Trace.MaybeSent needs.
func CountWrites(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// Trace records which connection a request used and whether any byte of the request was
// written to it.
type Trace struct {
	mu    sync.Mutex
	conn  net.Conn
	start int64
}

// Attach returns a copy of ctx for the request to trace.
func (t *Trace) Attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *Trace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = info.Conn
	if c, ok := info.Conn.(*countedConn); ok {
		t.start = c.written.Load()
	}
}

// MaybeSent reports whether the server may have received any part of the request. Call it
// only after the round trip has returned. MaybeSent returns false if the request got no
// connection, and true if its connection does not count its writes.
func (t *Trace) MaybeSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return false
	}
	c, ok := t.conn.(*countedConn)
	return !ok || c.written.Load() != t.start
}

// CloseConnection closes the connection that the request used, so that no later request
// reuses it.
func (t *Trace) CloseConnection() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.Close()
	}
}
