package upstreamstandin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// connection is one connection of a caller. It belongs to the replica that its
// last request named.
type connection struct {
	conn net.Conn

	mu      sync.Mutex
	replica *replica
}

type connectionKey struct{}

const (
	// closeGrace is how long a connection above the limit waits for another one
	// to close. A caller that replaces a connection is otherwise refused when
	// the server learns of the new one before the end of the old one.
	closeGrace = 100 * time.Millisecond
	closePoll  = time.Millisecond
)

// bind counts the connection for r and waits for the cost of opening it. It
// returns false if r has no connection left.
func (c *connection) bind(ctx context.Context, r *replica) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replica == r {
		return true
	}
	c.release()
	if !r.connectWithin(ctx, c, closeGrace) {
		return false
	}
	c.replica = r
	sleep(ctx, r.cfg.ConnectDelay)
	return true
}

// closed ends the connection.
func (c *connection) closed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release()
}

func (c *connection) release() {
	if c.replica != nil {
		c.replica.disconnect(c)
		c.replica = nil
	}
}

// connectWithin counts the connection, waiting for a free place for at most
// grace.
func (r *replica) connectWithin(ctx context.Context, c *connection, grace time.Duration) bool {
	end := time.Now().Add(grace)
	for {
		ok, final := r.connect(c, !time.Now().Before(end) || ctx.Err() != nil)
		if ok || final {
			return ok
		}
		sleep(ctx, closePoll)
	}
}

// connect counts the connection if there is a place. The last try records a
// refusal; there is no other try at a replica that is down.
func (r *replica) connect(c *connection, last bool) (ok, final bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashed {
		return false, true
	}
	if r.cfg.Connections > 0 && len(r.connections) >= r.cfg.Connections {
		if last {
			r.record.RefusedConnections++
		}
		return false, last
	}
	r.connections[c] = struct{}{}
	r.record.PeakConnections = max(r.record.PeakConnections, len(r.connections))
	return true, true
}

func (r *replica) disconnect(c *connection) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.connections, c)
}

// tracked returns a server that tracks its connections.
func tracked(h http.Handler) *http.Server {
	var mu sync.Mutex
	open := make(map[net.Conn]*connection)
	return &http.Server{
		Handler: h,
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			c := &connection{conn: conn}
			mu.Lock()
			defer mu.Unlock()
			open[conn] = c
			return context.WithValue(ctx, connectionKey{}, c)
		},
		ConnState: func(conn net.Conn, state http.ConnState) {
			if state != http.StateClosed && state != http.StateHijacked {
				return
			}
			mu.Lock()
			c := open[conn]
			delete(open, conn)
			mu.Unlock()
			c.closed()
		},
	}
}

// ownListener is the listener of a single replica. It is closed while the
// replica is down, so that a dial is refused as on a host that is gone.
type ownListener struct {
	address string
	server  *http.Server
}

// ListenEach gives every replica its own listener, on its Address or on a free
// port of the IP address ip, and returns the addresses by replica id. Call it
// before the first request.
func (d *DataCentre) ListenEach(ip string) (map[string]string, error) {
	addresses := make(map[string]string, len(d.ids))
	for _, id := range d.ids {
		r := d.replicas[id]
		address := r.cfg.Address
		if address == "" {
			address = net.JoinHostPort(ip, "0")
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			d.Close()
			return nil, errors.Wrapf(err, "replica %s", id)
		}
		r.mu.Lock()
		r.own = &ownListener{address: listener.Addr().String()}
		r.own.serve(listener, d.replicaHandler(r))
		r.mu.Unlock()
		addresses[id] = r.own.address
	}
	return addresses, nil
}

func (o *ownListener) serve(l net.Listener, h http.Handler) {
	o.server = tracked(h)
	go o.server.Serve(l)
}

// close closes the listener and its connections.
func (o *ownListener) close() {
	if o != nil {
		o.server.Close()
	}
}

// open listens again on the same port.
func (o *ownListener) open(r *replica) {
	if o == nil {
		return
	}
	listener, err := net.Listen("tcp", o.address)
	if err != nil {
		klog.ErrorS(err, "Replica cannot listen again", "replica", r.cfg.ID, "address", o.address)
		return
	}
	o.serve(listener, o.server.Handler)
}

// Close closes the replicas' own listeners.
func (d *DataCentre) Close() {
	for _, r := range d.replicas {
		r.mu.Lock()
		r.own.close()
		r.mu.Unlock()
	}
}
