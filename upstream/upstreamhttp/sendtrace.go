package upstreamhttp

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

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// counted wraps the connections that dial returns.
func counted(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

// sendTrace tells which connection a request used and whether any byte of the
// request reached it.
type sendTrace struct {
	mu    sync.Mutex
	conn  net.Conn
	start int64
}

func (t *sendTrace) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *sendTrace) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn = info.Conn
	if c, ok := info.Conn.(*countedConn); ok {
		t.start = c.written.Load()
	}
}

// sent reports whether the upstream may have seen any part of the request.
// Call it only after the round trip has returned. A connection that is not
// counted is assumed to have been used.
func (t *sendTrace) sent() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn == nil {
		return false
	}
	c, ok := t.conn.(*countedConn)
	return !ok || c.written.Load() != t.start
}

// drop closes the connection, so that no later request uses it.
func (t *sendTrace) drop() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil {
		t.conn.Close()
	}
}
