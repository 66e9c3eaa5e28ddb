package callers

import (
	"io"
	"math"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
)

// phase is what a connection is doing.
type phase int

const (
	// opened connections have carried no byte.
	opened phase = iota
	// readingHeader connections have carried a part of a request's header.
	readingHeader
	// readingBody connections have carried a whole header and a part of its body.
	readingBody
	// handling connections have a whole request in progress.
	handling
	// unread connections have an answer and the rest of a body that nobody reads.
	unread
	// idle connections wait for the next request.
	idle
)

const (
	// ordinaryTime is the time in which most requests arrive whole. Those that have taken
	// longer are the first to give way.
	ordinaryTime = time.Second
	// arrivalTime is the time in which a connection doesn't give way, so that a whole request
	// can arrive also while others return as soon as they are closed.
	arrivalTime = 250 * time.Millisecond
	// flushTime is the time after the end of a handler in which the server writes the rest of
	// the answer from its buffer. The connection keeps its place meanwhile.
	flushTime = 100 * time.Millisecond
	// idleMargin is added to the idle timeout that callers are told, so that a request sent
	// just before it expires still finds the connection open.
	idleMargin = time.Second
)

// ErrGaveWay reports a request whose connection gave way to others before its body was whole.
var ErrGaveWay = errors.New("the request took long to arrive and gave way to others")

// Conn is a caller's connection. It keeps the times that a caller may take, which can change
// while it is open: net/http fixes them when a server starts. LimitBody, BodyRead, GaveWay and
// NetworkTime do nothing on a nil Conn, which stands for a connection that is not known.
type Conn struct {
	net.Conn
	limits  func() Limits
	address netip.Addr
	// roundTrip is the kernel's round-trip time to the caller when the connection was
	// accepted; 0 if it is not known.
	roundTrip time.Duration
	requests  atomic.Int64
	// writingSince is when the write in progress began, in Unix nanoseconds; 0 if there is
	// none.
	writingSince atomic.Int64
	// writeLimit is the server's deadline for writing, in Unix nanoseconds; 0 if there is none.
	writeLimit  atomic.Int64
	headerBytes atomic.Int64 // of the header that is being read
	bodyBytes   atomic.Int64 // of the body that is being read

	mu        sync.Mutex
	phase     phase
	since     time.Time // when the phase began
	bodyLimit time.Time // of the body that is being read; zero if there is none
	gaveWay   bool
}

func newConn(c net.Conn, limits func() Limits) *Conn {
	result := &Conn{Conn: c, limits: limits, roundTrip: roundTrip(c)}
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		result.address = a.AddrPort().Addr().Unmap()
	}
	result.enter(opened)
	return result
}

// enter begins a phase.
func (c *Conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.bodyLimit = p, time.Now(), time.Time{}
	if p == readingBody {
		c.bodyBytes.Store(0)
		if limit := c.limits().Body; limit > 0 {
			c.bodyLimit = c.since.Add(limit)
		}
	}
	c.updateDeadline()
}

// limitsChanged applies changed limits to the present phase.
func (c *Conn) limitsChanged() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateDeadline()
}

// updateDeadline sets the deadline of the phase. The caller holds mu.
func (c *Conn) updateDeadline() {
	if c.gaveWay {
		return // with a deadline that has passed
	}
	deadline := time.Time{}
	switch c.phase {
	case opened, readingHeader:
		deadline = c.since.Add(c.limits().Header)
	case readingBody:
		deadline = c.bodyLimit
	case unread:
		deadline = c.since.Add(unreadTime)
	case idle:
		deadline = c.since.Add(c.limits().Idle + idleMargin)
	}
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(deadline)
}

// LimitBody sets the time by which the rest of the body must have arrived.
func (c *Conn) LimitBody(deadline time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == readingBody {
		c.bodyLimit = deadline
		c.updateDeadline()
	}
}

// BodyRead begins the handling of a request whose body was read to its end. The connection
// doesn't give way from now on; the error is ErrGaveWay if it has done so already.
func (c *Conn) BodyRead() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gaveWay {
		return ErrGaveWay
	}
	if c.phase == readingBody {
		c.phase, c.since = handling, time.Now()
		c.updateDeadline()
	}
	return nil
}

// ReadBody reads the whole body of a request and begins its handling. The caller has to release
// held, also after an error. The error is ErrGaveWay if the connection gave way meanwhile.
func (c *Conn) ReadBody(memory *membudget.Budget, body io.Reader, size, limit int64) (content []byte, held int64, err error) {
	content, held, err = memory.ReadAll(body, size, limit)
	if err == nil {
		err = c.BodyRead()
	}
	if c.GaveWay() {
		err = ErrGaveWay
	}
	return content, held, err
}

// GaveWay reports whether the connection gave way before a whole request had arrived.
func (c *Conn) GaveWay() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.gaveWay
}

// giveWay ends the reading of an incomplete request.
func (c *Conn) giveWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == handling {
		return
	}
	c.gaveWay = true
	// A deadline that has passed ends a read in progress. An error means that the connection is
	// closed.
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// endRequest is called when the answer to a request with a body is ready. What is left of the
// body must arrive soon.
func (c *Conn) endRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == readingBody {
		c.phase, c.since = unread, time.Now()
		c.updateDeadline()
	}
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	phase := c.phase
	c.mu.Unlock()
	switch phase {
	case opened, idle:
		c.enter(readingHeader)
		c.headerBytes.Store(int64(n))
	case readingHeader:
		if c.headerBytes.Add(int64(n)) > c.maxHeaderBytes() {
			return 0, c.refuseHeader()
		}
	case readingBody:
		c.bodyBytes.Add(int64(n))
	}
	return n, err
}

// maxHeaderBytes returns the number of bytes after which a header is no longer read.
func (c *Conn) maxHeaderBytes() int64 {
	limit := c.limits().HeaderBytes
	if limit <= 0 {
		return math.MaxInt64
	}
	return int64(max(headerFactor*limit, minHeaderBytes))
}

// refuseHeader answers a request whose header is too large to be read, and returns an error
// after which the server closes the connection.
func (c *Conn) refuseHeader() error {
	const answer = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	if _, err := c.Write([]byte(answer)); err != nil {
		return err
	}
	return io.EOF
}

// Write implements net.Conn. A caller that takes nothing of an answer for long loses it.
func (c *Conn) Write(p []byte) (written int, err error) {
	defer c.writingSince.Store(0)
	if len(p) <= smallWrite {
		c.writingSince.Store(time.Now().UnixNano())
		return c.Conn.Write(p)
	}
	for {
		now := time.Now()
		c.writingSince.Store(now.UnixNano())
		deadline := now.Add(writeTimeout)
		if limit := c.writeLimit.Load(); limit != 0 && limit < deadline.UnixNano() {
			deadline = time.Unix(0, limit)
		}
		if err := c.Conn.SetWriteDeadline(deadline); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[:min(len(p), writeBytes)])
		written += n
		if p = p[n:]; err != nil || len(p) == 0 {
			return written, err
		}
	}
}

// SetWriteDeadline implements net.Conn. Write keeps within the deadline although it sets its own.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	limit := int64(0)
	if !t.IsZero() {
		limit = t.UnixNano()
	}
	c.writeLimit.Store(limit)
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. The server sets deadlines only for its own purposes
// while a request is in progress; at all other times the limits decide.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case handling:
		return c.Conn.SetReadDeadline(t)
	case readingBody, unread:
		if !t.IsZero() {
			return c.Conn.SetReadDeadline(t)
		}
		c.updateDeadline()
	}
	return nil
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.CombineErrors(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite ends the sending side. The server uses it to avoid that a reset destroys the
// last answer.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}

// isSilent reports whether the connection has carried no byte.
func (c *Conn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == opened
}

// incompleteBody returns when the reading of the present body began. It returns false if there
// is none, if less than a number of bytes of it has arrived, or if the connection gave way.
func (c *Conn) incompleteBody(bytes int64) (since time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since, c.phase == readingBody && !c.gaveWay && c.bodyBytes.Load() >= bytes
}

// class is how readily a connection gives way; a lower one goes first.
type class int

const (
	answered   class = iota // has its answer, and the rest of a body that nobody reads
	stalled                 // has been without a whole request, or not reading its answer, for long
	waits                   // is idle
	incomplete              // has been without a whole request for less long
	keeps                   // has a whole request in progress, or is new
)

// rank orders connections by who gives way first.
type rank struct {
	class class
	since time.Time
}

// before reports whether a connection of rank r gives way before one of rank o.
func (r rank) before(o rank) bool {
	if r.class != o.class {
		return r.class < o.class
	}
	return r.since.Before(o.since)
}

// rank returns the connection's rank at a time.
func (c *Conn) rank(now time.Time) rank {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case opened, readingHeader, readingBody:
		if now.Sub(c.since) > ordinaryTime {
			return rank{stalled, c.since}
		}
		if now.Sub(c.since) > arrivalTime {
			return rank{incomplete, c.since}
		}
	case unread:
		if now.Sub(c.since) > flushTime {
			return rank{answered, c.since}
		}
	case idle:
		return rank{waits, c.since}
	}
	if at := c.writingSince.Load(); at != 0 && now.Sub(time.Unix(0, at)) > ordinaryTime {
		return rank{stalled, time.Unix(0, at)}
	}
	return rank{keeps, c.since}
}

// roundTrip returns the kernel's round-trip time of a connection; 0 if it is not known,
// as for connections other than TCP.
func roundTrip(c net.Conn) time.Duration {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var rtt time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			rtt = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return rtt
}

// NetworkTime returns how much of a request's time passes in the network: one round trip, and
// another for the first request on the connection, which had to be opened. It counts a request.
func (c *Conn) NetworkTime() (time.Duration, bool) {
	if c == nil || c.roundTrip == 0 {
		return 0, false
	}
	if c.requests.Add(1) == 1 {
		return 2 * c.roundTrip, true
	}
	return c.roundTrip, true
}
