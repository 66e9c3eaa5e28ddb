package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// relayMode is what a relay does with the data that it forwards.
type relayMode int

const (
	relayForward     relayMode = iota
	relayDelay                 // delays data by 30 ms in each direction
	relayReset                 // closes all connections, including new ones
	relayDropReplies           // drops what the server sends and keeps the connection
	relayDropAll               // drops what both sides send and keeps the connection
)

// relay is a TCP proxy on the loopback address that injects network faults.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  relayMode
	conns map[net.Conn]struct{}
}

func startRelay(t *testing.T, target string) *relay {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	t.Cleanup(func() { l.Close(); r.switchTo(relayReset) })
	go r.run()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) switchTo(m relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	if m != relayReset {
		return
	}
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // makes Close send a reset
		}
		c.Close()
	}
	clear(r.conns)
}

func (r *relay) currentMode() relayMode {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.mode
}

func (r *relay) run() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		if r.currentMode() == relayReset {
			c.Close()
			continue
		}
		s, err := net.Dial("tcp", r.target)
		if err != nil {
			c.Close()
			continue
		}
		r.mu.Lock()
		r.conns[c], r.conns[s] = struct{}{}, struct{}{}
		r.mu.Unlock()
		go r.copy(s, c, relayDropAll)
		go r.copy(c, s, relayDropReplies)
	}
}

// copy forwards data until either side closes. It drops the data in mode dropMode, which is
// the one for this direction, and in relayDropAll.
func (r *relay) copy(to, from net.Conn, dropMode relayMode) {
	defer func() {
		to.Close()
		from.Close()
		r.mu.Lock()
		delete(r.conns, to)
		delete(r.conns, from)
		r.mu.Unlock()
	}()
	buffer := make([]byte, 16<<10)
	for dropped := false; ; {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		mode := r.currentMode()
		if mode == relayDelay {
			time.Sleep(30 * time.Millisecond)
		}
		// After a drop, all further data is dropped, because the stream would have a gap.
		if dropped = dropped || mode == relayDropAll || mode == dropMode; dropped {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
