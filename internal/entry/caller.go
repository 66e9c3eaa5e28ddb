package entry

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerConn is what is known of the connection of a caller.
type callerConn struct {
	// roundTrip is the shortest time that the kernel measured for the way to the
	// caller and back; 0 if it is not known.
	roundTrip time.Duration
	requests  atomic.Int64
}

// callerKey is the context key of a callerConn.
type callerKey struct{}

// withCaller attaches a callerConn to the context of a new connection.
func withCaller(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, &callerConn{roundTrip: roundTrip(c)})
}

// roundTrip returns 0 if the kernel does not tell, as some kinds of connections
// have no such time.
func roundTrip(c net.Conn) time.Duration {
	s, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return 0
	}
	var found time.Duration
	err = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			found = time.Duration(info.Rtt) * time.Microsecond
		}
	})
	if err != nil {
		return 0
	}
	return found
}

// wayTime returns how much of the caller's time passes outside this host: the way
// of the request and of the answer and, for the first request on a connection,
// the opening of it.
func wayTime(ctx context.Context) (time.Duration, bool) {
	c, ok := ctx.Value(callerKey{}).(*callerConn)
	if !ok || c.roundTrip == 0 {
		return 0, false
	}
	if c.requests.Add(1) == 1 {
		return 2 * c.roundTrip, true
	}
	return c.roundTrip, true
}
