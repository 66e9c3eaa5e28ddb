package entry

import (
	"context"
	"net"
	"net/http"
	"sync"
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
	s.callers = newCallerServer(e, listener)
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
	go s.callers.accept()
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

// callerServer serves callers with the limits of the configuration. net/http fixes the
// limits when a server starts, so a version with other limits gets a new server for new
// connections; existing connections keep their limits.
type callerServer struct {
	handler  http.Handler
	listener net.Listener

	mu      sync.Mutex
	limits  routing.Limits
	servers []*handoffServer // the last one gets new connections
}

func newCallerServer(handler http.Handler, listener net.Listener) *callerServer {
	s := &callerServer{handler: handler, listener: listener}
	s.addServer(defaultLimits)
	return s
}

// setLimits applies the limits of a configuration version.
func (s *callerServer) setLimits(l routing.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l != s.limits {
		s.addServer(l)
		klog.InfoS("Caller limits changed", "headerBytes", l.HeaderBytes, "bodyBytes", l.BodyBytes,
			"headerTimeout", l.HeaderTimeout, "idleTimeout", l.IdleTimeout)
	}
}

func (s *callerServer) addServer(l routing.Limits) {
	s.limits = l
	h := &handoffServer{connections: make(chan net.Conn), closed: make(chan struct{}), address: s.listener.Addr(), silent: map[net.Conn]struct{}{}}
	h.server = &http.Server{
		Handler: s.handler, ConnContext: withCallerConn, MaxHeaderBytes: l.HeaderBytes,
		ReadHeaderTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout + idleMargin, ConnState: h.trackSilent,
	}
	if l.IdleTimeout <= 0 {
		h.server.IdleTimeout = defaultLimits.IdleTimeout
	}
	s.servers = append(s.servers, h)
	go serve(h.server, h)
}

// accept hands each new connection to the newest server.
func (s *callerServer) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.ErrorS(err, "Failed to accept a caller's connection")
			time.Sleep(acceptRetryDelay)
			continue
		}
		s.mu.Lock()
		h := s.servers[len(s.servers)-1]
		s.mu.Unlock()
		h.handOff(c)
	}
}

// acceptRetryDelay is the wait after a failed accept, which usually means that the
// process is out of file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// shutDown closes the listener and the idle connections, and waits until the requests in
// progress are answered or ctx ends.
func (s *callerServer) shutDown(ctx context.Context) {
	_ = s.listener.Close() // fails only on a closed listener
	s.mu.Lock()
	defer s.mu.Unlock()
	var group sync.WaitGroup
	for _, h := range s.servers {
		group.Go(func() { h.shutDown(ctx) })
	}
	group.Wait()
}

func (s *callerServer) close() {
	_ = s.listener.Close() // fails only on a closed listener
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.servers {
		if err := h.server.Close(); err != nil {
			klog.V(1).InfoS("Failed to close a caller server", "err", err)
		}
	}
}

// handoffServer is an http.Server that gets its connections through handOff. It is the
// server's net.Listener.
type handoffServer struct {
	server      *http.Server
	connections chan net.Conn
	once        sync.Once
	closed      chan struct{}
	address     net.Addr

	mu     sync.Mutex
	silent map[net.Conn]struct{} // connections that have carried no byte of a request yet
}

// trackSilent is the server's ConnState function.
func (h *handoffServer) trackSilent(c net.Conn, state http.ConnState) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state == http.StateNew {
		h.silent[c] = struct{}{}
	} else {
		delete(h.silent, c)
	}
}

// shutDown closes the idle connections, and each of the others after its answer. It waits
// for them until ctx ends, but not for connections that have carried no request.
func (h *handoffServer) shutDown(ctx context.Context) {
	h.mu.Lock()
	for c := range h.silent {
		c.Close()
	}
	h.mu.Unlock()
	if err := h.server.Shutdown(ctx); err != nil {
		klog.V(1).InfoS("Connections of callers were still in use", "err", err)
	}
}

func (h *handoffServer) handOff(c net.Conn) {
	select {
	case h.connections <- c:
	case <-h.closed:
		c.Close()
	}
}

// Accept implements net.Listener.
func (h *handoffServer) Accept() (net.Conn, error) {
	select {
	case c := <-h.connections:
		return c, nil
	case <-h.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handoffServer) Close() error {
	h.once.Do(func() { close(h.closed) })
	return nil
}

// Addr implements net.Listener.
func (h *handoffServer) Addr() net.Addr { return h.address }
