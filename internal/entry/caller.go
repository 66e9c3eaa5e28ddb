package entry

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// callerConn describes a caller's connection.
type callerConn struct {
	// roundTrip is the kernel's round-trip time to the caller when the connection was
	// accepted; 0 if it is not known.
	roundTrip time.Duration
	requests  atomic.Int64
}

// callerKey is the context key of a callerConn.
type callerKey struct{}

// withCallerConn attaches a callerConn to the context of a new connection.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerKey{}, &callerConn{roundTrip: roundTrip(c)})
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

// networkTime returns how much of a caller's request time passes in the network: one
// round trip, and another for the first request on a connection, which had to be
// opened.
func networkTime(ctx context.Context) (time.Duration, bool) {
	c, ok := ctx.Value(callerKey{}).(*callerConn)
	if !ok || c.roundTrip == 0 {
		return 0, false
	}
	if c.requests.Add(1) == 1 {
		return 2 * c.roundTrip, true
	}
	return c.roundTrip, true
}
