// Package callers accepts the connections of callers and bounds what these hold: places,
// descriptors, and the time for a header, a body and an answer. A place is room for one open
// connection.
//
// While places are free, callers may take the time that the configuration allows. When places
// run short, connections without a whole request give way to new ones, which means that they
// are closed, and so do those whose callers do not read their answers. Any other connection
// with a whole request in progress keeps its place.
package callers

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
)

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	// HeaderBytes is the size of the header of a request; 0 for no limit but that of the server.
	HeaderBytes int
	// Header is the time for the header of a request, from its first byte, and for the first
	// byte of a new connection.
	Header time.Duration
	// Body is the time for a body; 0 for no limit but that of Conn.LimitBody.
	Body time.Duration
	// Idle is the time between two requests.
	Idle time.Duration
}

const (
	// unreadTime is the time in which the rest of a body that nobody reads must arrive after
	// the answer, so that the connection can be kept or closed without a reset.
	unreadTime = 500 * time.Millisecond
	// writeTimeout is the time in which a caller must take writeBytes of an answer. It does not
	// apply to writes of up to smallWrite: these hold little memory, and their connections give
	// way when places run short.
	writeTimeout = 30 * time.Second
	writeBytes   = 64 << 10
	smallWrite   = 4 << 10
	// headerFactor times the limit, but at least minHeaderBytes, is the number of bytes after
	// which a header is no longer read. The handler refuses headers between the limit and that
	// number.
	headerFactor   = 2
	minHeaderBytes = 32 << 10
	// minPlaces is the number of places on the smallest host.
	minPlaces = 16
	// descriptorShare is the share of a process's descriptors that is for callers. The others are
	// for replicas, the store and other hosts, without which no caller gets an answer.
	descriptorShare = 0.5
)

// Places returns the number of places for connections, given the number for which there is
// memory and the number of descriptors of the process; 0 descriptors if that is not known.
func Places(memory, descriptors int) int {
	if descriptors <= 0 {
		return memory
	}
	return max(min(memory, int(descriptorShare*float64(descriptors))), minPlaces)
}

// DescriptorLimit returns the operating system's limit on this process's descriptors; 0 if it
// has none.
func DescriptorLimit() int {
	const most = 1 << 30 // above it counts as no limit
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > most {
		return 0
	}
	return int(limit.Cur)
}

// Listener accepts the connections of callers, up to a number of places.
type Listener struct {
	net.Listener
	places int
	limits func() Limits
	// gaveWay counts connections that gave way, and noPlace new ones that were closed because
	// none did.
	gaveWay, noPlace metrics.Counter
	// kept counts the times that a connection became idle after an answer.
	kept metrics.Counter

	mu        sync.Mutex
	conns     map[*Conn]struct{}
	addresses map[netip.Addr]int // the number of connections of each address
	lastFreed time.Time          // when free last looked for a connection
}

// NewListener returns a listener that accepts connections of l. The limits are asked for
// again at each phase of a connection.
func NewListener(l net.Listener, places int, limits func() Limits, registry metrics.Registry) *Listener {
	return &Listener{
		Listener: l, places: places, limits: limits, conns: map[*Conn]struct{}{}, addresses: map[netip.Addr]int{},
		gaveWay: metrics.GetOrRegisterCounter("callers.gave_way", registry),
		noPlace: metrics.GetOrRegisterCounter("callers.no_place", registry),
		kept:    metrics.GetOrRegisterCounter("callers.kept", registry),
	}
}

// Attach makes a server that serves this listener tell it what its connections do. The
// server's own time limits for reading have no effect.
func (l *Listener) Attach(s *http.Server) {
	s.ConnState, s.ConnContext = l.stateChanged, withConn
	s.Handler = trackBodies(s.Handler)
}

// Accept implements net.Listener. A connection for which there is no place is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(raw, l.limits)
		if l.add(c) {
			return c, nil
		}
		_ = raw.Close() // fails only on a closed connection
	}
}

// add registers a connection, in place of another one if all places are taken. It reports
// whether there is a place for it.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.places {
		other := l.candidate(c.address, time.Now())
		if other == nil {
			l.noPlace.Inc(1)
			klog.V(1).InfoS("Too many connections of callers", "connections", len(l.conns))
			return false
		}
		l.gaveWay.Inc(1)
		l.remove(other)
		other.giveWay()
		_ = other.Close() // fails only on a closed connection
	}
	l.conns[c] = struct{}{}
	l.addresses[c.address]++
	return true
}

// remove unregisters a connection. The caller holds mu.
func (l *Listener) remove(c *Conn) {
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	if l.addresses[c.address]--; l.addresses[c.address] == 0 {
		delete(l.addresses, c.address)
	}
}

// candidate returns the connection that gives way to a new one from an address, nil if none
// does. If the address holds more than half of the places, only its own connections give way.
// The caller holds mu.
func (l *Listener) candidate(address netip.Addr, now time.Time) *Conn {
	ownOnly := l.addresses[address] > l.places/2
	var best *Conn
	var bestRank rank
	for c := range l.conns {
		if ownOnly && c.address != address {
			continue
		}
		if r := c.rank(now); r.class != keeps && (best == nil || r.before(bestRank)) {
			best, bestRank = c, r
		}
	}
	return best
}

// FreeMemory makes the connection give way whose large body has been incomplete for longest,
// if that is longer than an ordinary body takes. Its request is answered as one that has not
// run.
func (l *Listener) FreeMemory() { l.free(membudget.SmallBytes) }

// FreeRequest is FreeMemory for a body of any size. It frees a request's place in a limit on
// requests in progress.
func (l *Listener) FreeRequest() { l.free(0) }

// free makes the connection give way whose body has been incomplete for longest, of those that
// have brought at least a number of bytes of it.
func (l *Listener) free(bodyBytes int64) {
	const interval = 10 * time.Millisecond // between searches, which visit all connections
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if now.Sub(l.lastFreed) < interval {
		return
	}
	l.lastFreed = now
	var longest *Conn
	var since time.Time
	for c := range l.conns {
		if at, ok := c.incompleteBody(bodyBytes); ok && now.Sub(at) > ordinaryTime && (longest == nil || at.Before(since)) {
			longest, since = c, at
		}
	}
	if longest != nil {
		l.gaveWay.Inc(1)
		longest.giveWay()
	}
}

// LimitsChanged applies changed limits to the present phases of all connections.
func (l *Listener) LimitsChanged() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.limitsChanged()
	}
}

// CloseSilent closes the connections that have carried no byte. Shutdown of an http.Server would
// wait some seconds for them.
func (l *Listener) CloseSilent() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.isSilent() {
			_ = c.Close() // fails only on a closed connection
		}
	}
}

// stateChanged is the server's ConnState function.
func (l *Listener) stateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.enter(handling)
	case http.StateIdle:
		c.enter(idle)
		l.kept.Inc(1)
	case http.StateClosed:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.remove(c)
	}
}

// trackBodies returns a handler that tells the connection of each request when its body is
// due.
func trackBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			if c := FromContext(r.Context()); c != nil {
				c.enter(readingBody)
				defer c.endRequest()
			}
		}
		next.ServeHTTP(w, r)
	})
}

// connKey is the context key of a Conn.
type connKey struct{}

// withConn attaches a connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// FromContext returns the connection of a request; nil if it is not known.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}
