package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// newID returns a new request id.
func newID() string { return fmt.Sprintf("%016x", 0x9c41d07be2a30000+lastID.Add(1)) }

// connection is a client's connection to a daemon.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{c, bufio.NewReader(c)}, nil
}

// request is one client attempt.
type request struct {
	method, host, path, id string
	deadline               time.Duration
	body                   []byte
}

// head returns the header of the request.
func (q request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, q.id, q.deadline.Milliseconds())
	if q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n"
}

// reply is a whole answer to a client.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// ask sends a request and reads its answer.
func (c *connection) ask(q request) (reply, error) {
	_ = c.SetDeadline(time.Now().Add(q.deadline + 2*time.Second))
	if _, err := c.Write(append([]byte(q.head()), q.body...)); err != nil {
		return reply{}, err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return reply{response.StatusCode, response.Header, body}, err
}
