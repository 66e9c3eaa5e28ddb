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

// connection is one connection of a caller. It counts towards the connection limit of
// the replica that its last request addressed.
type connection struct {
	conn net.Conn

	mu      sync.Mutex
	replica *replica
}

type connectionKey struct{}

const (
	// closeGrace is how long a connection above the limit waits for another one to
	// close. Without it, a caller that replaces a connection would be refused when
	// the server sees the new connection before the end of the old one.
	closeGrace = 100 * time.Millisecond
	closePoll  = time.Millisecond
)

// bind counts the connection towards the limit of r and waits for r's ConnectDelay. It
// returns false if r is down or the limit is reached.
func (c *connection) bind(ctx context.Context, r *replica) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.replica == r {
		return true
	}
	c.release()
	if !r.connectWithGrace(ctx, c, closeGrace) {
		return false
	}
	c.replica = r
	sleep(ctx, r.cfg.ConnectDelay)
	return true
}

// handleClosed releases a connection that was closed.
func (c *connection) handleClosed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release()
}

// release ends the binding to a replica. The caller holds c.mu.
func (c *connection) release() {
	if c.replica != nil {
		c.replica.disconnect(c)
		c.replica = nil
	}
}

// connectWithGrace counts the connection. If the limit is reached, it retries until
// grace has passed.
func (r *replica) connectWithGrace(ctx context.Context, c *connection, grace time.Duration) bool {
	end := time.Now().Add(grace)
	for {
		ok, final := r.connect(c, !time.Now().Before(end) || ctx.Err() != nil)
		if ok || final {
			return ok
		}
		sleep(ctx, closePoll)
	}
}

// connect counts the connection if the limit allows it. final reports that there is
// nothing to retry: the connection was counted, this was the last attempt, or the replica
// is down. Reaching the limit is recorded as a refusal only on the last attempt.
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

// newTrackingServer returns a server that attaches a connection to the context of each
// request and releases it when the network connection is closed.
func newTrackingServer(h http.Handler) *http.Server {
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
			c.handleClosed()
		},
	}
}

// replicaListener is the listener of a single replica. It is closed while the replica is
// down, so that dialling fails as it does for a host without the process.
type replicaListener struct {
	address string
	server  *http.Server
}

// ListenEach gives every replica its own listener, on its Address or on a free port of
// the given IP address, and returns the addresses by replica ID. Call it before the first
// request.
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
		r.ownListener = &replicaListener{address: listener.Addr().String()}
		r.ownListener.serve(listener, d.replicaHandler(r))
		r.mu.Unlock()
		addresses[id] = r.ownListener.address
	}
	return addresses, nil
}

func (o *replicaListener) serve(l net.Listener, h http.Handler) {
	o.server = newTrackingServer(h)
	go o.server.Serve(l)
}

// close closes the listener and its connections.
func (o *replicaListener) close() {
	if o != nil {
		o.server.Close()
	}
}

// open listens on the same port again.
func (o *replicaListener) open(r *replica) {
	if o == nil {
		return
	}
	listener, err := net.Listen("tcp", o.address)
	if err != nil {
		klog.ErrorS(err, "Cannot listen for a restarted replica", "replica", r.cfg.ID, "address", o.address)
		return
	}
	o.serve(listener, o.server.Handler)
}

// Close closes the listeners that ListenEach opened.
func (d *DataCentre) Close() {
	for _, r := range d.replicas {
		r.mu.Lock()
		r.ownListener.close()
		r.mu.Unlock()
	}
}
