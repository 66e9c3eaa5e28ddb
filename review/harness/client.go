package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a caller with one kept connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// answer is what a client got for a request. Its status is 0 if the connection ended
// without a complete answer.
type answer struct {
	status int
	header http.Header
	body   []byte
	took   time.Duration
	err    error
}

func (a answer) String() string {
	if a.status == 0 {
		return fmt.Sprintf("no answer after %v: %v", a.took.Round(time.Millisecond), a.err)
	}
	return fmt.Sprintf("status %d after %v, stamp %q, Retry-After %q, %d bytes", a.status, a.took.Round(time.Millisecond), a.header.Get("X-Server-Stamp"), a.header.Get("Retry-After"), len(a.body))
}

func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{Conn: c, reader: bufio.NewReader(c)}, nil
}

// send writes a request with a deadline. A body makes it a POST.
func (c *client) send(path, id string, deadline time.Duration, body string) error {
	method, length := "GET", ""
	if body != "" {
		method, length = "POST", fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: yards.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s\r\n%s", method, path, id, deadline.Milliseconds(), length, body)
	return err
}

// receive reads the answer to a request that was sent at a time.
func (c *client) receive(sent time.Time, deadline time.Duration) answer {
	if err := c.SetReadDeadline(sent.Add(deadline)); err != nil {
		return answer{err: err}
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{took: time.Since(sent), err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{took: time.Since(sent), err: err}
	}
	return answer{status: response.StatusCode, header: response.Header, body: body, took: time.Since(sent)}
}

// do sends a request and reads its answer.
func (c *client) do(path, id string, deadline time.Duration, body string) answer {
	sent := time.Now()
	if err := c.send(path, id, deadline, body); err != nil {
		return answer{err: err}
	}
	return c.receive(sent, deadline)
}
