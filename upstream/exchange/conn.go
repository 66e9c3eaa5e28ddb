package exchange

import (
	"bufio"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is a connection to a replica. It carries one request at a time.
type conn struct {
	net.Conn
	raw      syscall.RawConn
	reader   *bufio.Reader
	bounded  *boundedReader // below reader
	lastUsed time.Time
	idle     time.Duration // for which the replica keeps the idle connection open
	carried  carriedIDs

	mu sync.Mutex
	// serial changes at the start and end of each request, so that the cancellation of
	// one request can't shorten the wait of the next.
	serial int
}

// startRequest returns the serial number of a request that starts.
func (c *conn) startRequest() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	return c.serial
}

func (c *conn) endRequest() { c.startRequest() }

// shortenWait limits the wait for the reply to a cancelled request to lingerTime. It
// returns false if the request has already ended.
func (c *conn) shortenWait(serial int, deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serial != serial {
		return false
	}
	until := time.Now().Add(lingerTime)
	if deadline.Before(until) {
		until = deadline
	}
	// An error means that the connection is closed, which ends the wait as well.
	_ = c.SetDeadline(until)
	return true
}

// usable reports whether an idle connection is still open and has received no bytes. Such
// bytes would not belong to any request.
func (c *conn) usable() bool {
	if c.raw == nil {
		return true
	}
	silent := false
	// Control ignores the deadline that the last request set, unlike RawConn.Read.
	err := c.raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && silent
}
