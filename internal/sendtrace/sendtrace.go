// Package sendtrace tells whether an HTTP request surely never left this host. The
// clients of the platform and of upstreams rest on it when they say that a request
// had no effect.
package sendtrace

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// countedConn counts the bytes handed to the connection. The count rises
// before the write, so a request whose connection shows no new bytes after the
// transport has closed it was surely not sent.
type countedConn struct {
	net.Conn
	written atomic.Int64
}

func (c *countedConn) Write(p []byte) (int, error) {
	c.written.Add(int64(len(p)))
	return c.Conn.Write(p)
}

// DialFunc opens a connection, as http.Transport.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CountWrites returns dial with connections that count what is written to them.
func CountWrites(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// Trace tells which connection a request used and whether any byte of the
// request reached it.
type Trace struct {
	mu    sync.Mutex
	conn  net.Conn
	start int64
}

// Attach returns ctx for the request that the trace follows.
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

// MaybeSent reports whether the server may have seen any part of the request.
// Call it only after the round trip has returned. A connection that is not
// counted is assumed to have been used.
func (t *Trace) MaybeSent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return false
	}
	c, ok := t.conn.(*countedConn)
	return !ok || c.written.Load() != t.start
}

// CloseConnection closes the connection, so that no later request uses it.
func (t *Trace) CloseConnection() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.Close()
	}
}
