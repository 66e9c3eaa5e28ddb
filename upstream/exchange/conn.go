package exchange

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// conn is a connection to a replica, which serves one request at a time.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	usedAt time.Time
	idle   time.Duration
	lastID string

	mu sync.Mutex
	// serial counts the requests on the connection, so that the cancellation of
	// one can't shorten the wait of the next.
	serial int
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, readBuffer); return &b }}

func (c *conn) begin() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serial++
	return c.serial
}

func (c *conn) end() { c.begin() }

// shorten ends the wait for the reply to a cancelled request soon. It returns false
// if the request has ended.
func (c *conn) shorten(serial int, deadline time.Time) bool {
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

// readResponse skips interim responses.
func readResponse(r *bufio.Reader, method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for {
		response, err := http.ReadResponse(r, request)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errors.New("replica switched protocols")
		}
	}
}

func readBody(response *http.Response) ([]byte, error) {
	defer response.Body.Close()
	if n := response.ContentLength; n >= 0 && n <= maxReplyBody {
		body := make([]byte, n)
		_, err := io.ReadFull(response.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBody+1))
	if err == nil && len(body) > maxReplyBody {
		err = errors.Newf("reply is larger than %d bytes", maxReplyBody)
	}
	return body, err
}

// usable reports whether an idle connection is still open and silent. Bytes that
// have arrived belong to no request.
func (c *conn) usable() bool {
	if c.raw == nil {
		return true
	}
	silent := false
	// Control works whatever deadline the last request left, unlike RawConn.Read.
	err := c.raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
	})
	return err == nil && silent
}
