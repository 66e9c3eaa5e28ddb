package entry

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/callers"
	"github.com/marigoldlever/marigoldlever/routing"
)

// defaultLimits apply until the first configuration is in force. That of the body also
// applies if the configuration sets none.
var defaultLimits = routing.Limits{HeaderBytes: 16 << 10, BodyBytes: 8 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: time.Minute}

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
	s.callers = newCallerServer(e, listener, e.settings.places(), e.metrics.registry)
	e.memory.bodies.WhenShort(s.callers.conns.FreeMemory)
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
	go serve(s.callers.http, s.callers.conns)
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
	http   *http.Server
	conns  *callers.Listener
	limits atomic.Pointer[routing.Limits]
}

func newCallerServer(handler http.Handler, listener net.Listener, places int, registry metrics.Registry) *callerServer {
	s := &callerServer{http: &http.Server{Handler: handler, MaxHeaderBytes: maxHeaderBytes}}
	s.limits.Store(&defaultLimits)
	s.conns = callers.NewListener(listener, places, s.callerLimits, registry)
	s.conns.Attach(s.http)
	return s
}

// callerLimits returns the limits for all callers. The time for a body depends on its request.
func (s *callerServer) callerLimits() callers.Limits {
	limits := s.limits.Load()
	return callers.Limits{HeaderBytes: limits.HeaderBytes, Header: limits.HeaderTimeout, Idle: limits.IdleTimeout}
}

// setLimits applies the limits of a configuration version.
func (s *callerServer) setLimits(l routing.Limits) {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultLimits.HeaderBytes
	}
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultLimits.HeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultLimits.IdleTimeout
	}
	if l == *s.limits.Load() {
		return
	}
	s.limits.Store(&l)
	s.conns.LimitsChanged()
	klog.InfoS("Caller limits changed", "headerBytes", l.HeaderBytes, "bodyBytes", l.BodyBytes,
		"headerTimeout", l.HeaderTimeout, "idleTimeout", l.IdleTimeout)
}

// shutDown closes the listener and the idle connections, and each of the others after its
// answer. It waits for them until ctx ends, but not for connections that have carried no
// byte.
func (s *callerServer) shutDown(ctx context.Context) {
	s.conns.CloseSilent()
	if err := s.http.Shutdown(ctx); err != nil {
		klog.V(1).InfoS("Connections of callers were still in use", "err", err)
	}
}

func (s *callerServer) close() {
	_ = s.conns.Close() // fails only on a closed listener
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
