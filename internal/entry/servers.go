package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/routing"
)

// defaultLimits apply until the first configuration is in force. That of the body also
// applies if the configuration sets none.
var defaultLimits = routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 8 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: time.Minute}

// idleMargin is added to the idle timeout that callers are told, so that a request sent
// just before it expires still finds the connection open.
const idleMargin = time.Second

// servers holds the HTTP servers of an entry.
type servers struct {
	callers *callerServer
	pages   *http.Server
}

// listen opens all listeners.
func (e *Entry) listen() (*servers, error) {
	s := &servers{pages: &http.Server{Handler: e.pages(), ReadHeaderTimeout: defaultLimits.HeaderTimeout}}
	listener, err := net.Listen("tcp", e.settings.CallerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen for callers")
	}
	s.callers = newCallerServer(e, listener, e.settings.memoryLimit().Connections())
	for _, address := range []string{e.settings.ReadinessAddress, e.settings.MetricsAddress} {
		if address == "" {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			s.close()
			return nil, errors.Wrap(err, "listen for readiness and metrics")
		}
		go serve(s.pages, listener)
	}
	go serve(s.callers.http, s.callers)
	return s, nil
}

func serve(server *http.Server, listener net.Listener) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		klog.ErrorS(err, "Server stopped unexpectedly", "address", listener.Addr())
	}
}

// shutDown closes the servers. Requests that have arrived are answered if ctx leaves the
// time.
func (s *servers) shutDown(ctx context.Context) {
	s.callers.shutDown(ctx)
	s.close()
}

func (s *servers) close() {
	s.callers.close()
	if err := s.pages.Close(); err != nil {
		klog.V(1).InfoS("Failed to close the readiness and metrics server", "err", err)
	}
}

// maxHeaderBytes bounds the header of a request whatever the limits of the configuration.
const maxHeaderBytes = 256 << 10

// callerServer serves callers with the limits of the configuration, which apply from the
// next request of each connection on.
type callerServer struct {
	http     *http.Server
	listener net.Listener
	limits   atomic.Pointer[routing.Limits]

	maxConnections int
	mu             sync.Mutex
	conns          map[*callerConn]struct{}
}

func newCallerServer(handler http.Handler, listener net.Listener, maxConnections int) *callerServer {
	s := &callerServer{listener: listener, maxConnections: maxConnections, conns: map[*callerConn]struct{}{}}
	s.limits.Store(&defaultLimits)
	s.http = &http.Server{Handler: handler, ConnContext: withCallerConn, MaxHeaderBytes: maxHeaderBytes, ConnState: s.stateChanged}
	return s
}

// Accept implements net.Listener. Beyond the largest number of connections, the one that has
// been idle longest is closed or, if none is idle, the new one.
func (s *callerServer) Accept() (net.Conn, error) {
	for {
		raw, err := s.listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newCallerConn(raw, s)
		if s.add(c) {
			return c, nil
		}
		_ = raw.Close() // fails only on a closed connection
	}
}

// add registers a connection. It reports whether there is room for it.
func (s *callerServer) add(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.maxConnections {
		oldest := s.longestIdle()
		if oldest == nil {
			klog.V(1).InfoS("Too many connections of callers", "connections", len(s.conns))
			return false
		}
		delete(s.conns, oldest)
		_ = oldest.Close() // fails only on a closed connection
	}
	s.conns[c] = struct{}{}
	return true
}

// longestIdle returns the connection that has been idle longest, nil if none is. The caller
// holds mu.
func (s *callerServer) longestIdle() *callerConn {
	var oldest *callerConn
	var since time.Time
	for c := range s.conns {
		if at, ok := c.idleSince(); ok && (oldest == nil || at.Before(since)) {
			oldest, since = c, at
		}
	}
	return oldest
}

// Close implements net.Listener.
func (s *callerServer) Close() error { return s.listener.Close() }

// Addr implements net.Listener.
func (s *callerServer) Addr() net.Addr { return s.listener.Addr() }

// stateChanged is the server's ConnState function.
func (s *callerServer) stateChanged(c net.Conn, state http.ConnState) {
	conn, ok := c.(*callerConn)
	if !ok {
		return
	}
	if state == http.StateClosed {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, conn)
		return
	}
	conn.stateChanged(state)
}

// setLimits applies the limits of a configuration version.
func (s *callerServer) setLimits(l routing.Limits) {
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultLimits.IdleTimeout
	}
	if l == s.currentLimits() {
		return
	}
	s.limits.Store(&l)
	s.mu.Lock()
	for c := range s.conns {
		c.limitsChanged()
	}
	s.mu.Unlock()
	klog.InfoS("Caller limits changed", "headerBytes", l.HeaderBytes, "bodyBytes", l.BodyBytes,
		"headerTimeout", l.HeaderTimeout, "idleTimeout", l.IdleTimeout)
}

func (s *callerServer) currentLimits() routing.Limits { return *s.limits.Load() }

// shutDown closes the listener and the idle connections, and each of the others after its
// answer. It waits for them until ctx ends, but not for connections that have carried no
// byte.
func (s *callerServer) shutDown(ctx context.Context) {
	s.mu.Lock()
	for c := range s.conns {
		if c.isSilent() {
			_ = c.Close() // fails only on a closed connection
		}
	}
	s.mu.Unlock()
	if err := s.http.Shutdown(ctx); err != nil {
		klog.V(1).InfoS("Connections of callers were still in use", "err", err)
	}
}

func (s *callerServer) close() {
	_ = s.listener.Close() // fails only on a closed listener
	if err := s.http.Close(); err != nil {
		klog.V(1).InfoS("Failed to close the server of callers", "err", err)
	}
}

// headerBytes returns the size of a request's header on the wire, without fields that the
// server removes.
func headerBytes(r *http.Request) int {
	const separators = 4 // of a field or of the request line
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}
