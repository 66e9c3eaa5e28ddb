package soak

import (
	"net"
	"sync"
	"testing"
	"time"
)

// relayMode is what a relay does to the bytes that pass.
type relayMode int

const (
	relayPasses  relayMode = iota
	relayDelays            // 30 ms each way
	relayResets            // closes all connections, new ones too
	relayCutBack           // what the server sends is lost, the connection stays
	relaySilent            // what both sides send is lost, the connection stays
)

// relay is a loopback proxy that injects the faults of a network.
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
	t.Cleanup(func() { l.Close(); r.set(relayResets) })
	go r.run()
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) set(m relayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.mode = m
	if m != relayResets {
		return
	}
	for c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the close is then a reset
		}
		c.Close()
	}
	clear(r.conns)
}

func (r *relay) now() relayMode {
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
		if r.now() == relayResets {
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
		go r.copy(s, c, relaySilent)
		go r.copy(c, s, relayCutBack)
	}
}

// copy moves bytes until either side ends. In the mode that loses this direction, or
// in relaySilent, bytes are dropped.
func (r *relay) copy(to, from net.Conn, lossy relayMode) {
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
		mode := r.now()
		if mode == relayDelays {
			time.Sleep(30 * time.Millisecond)
		}
		// A stream that lost bytes stays silent: its later bytes would be torn.
		if dropped = dropped || mode == relaySilent || mode == lossy; dropped {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}
