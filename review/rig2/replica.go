package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// replica is a stand-in for one replica of a service. It serves one request at a time on a
// connection and processes a number of requests at a time on all of them.
type replica struct {
	id, service, zone, address string
	slots                      int
	born                       int64
	// work is called for each request that expects this replica and was read to its end. It returns
	// the answer.
	work func(p *replica, c *serverConn, q received) response
}

// received is a request that a replica has read.
type received struct {
	id, path string
	body     []byte
	at       time.Time
}

// response is the answer of a replica.
type response struct {
	status int
	header map[string]string
	body   []byte
}

// serverConn is a connection that a replica serves. Answers are written under mu.
type serverConn struct {
	net.Conn
	mu      sync.Mutex
	waiting bool     // whether a request waits for its answer
	extra   [][]byte // second copies of answers that are due and wait until an answer is expected
}

// startReplica starts a replica on a free port.
func startReplica(id, service, zone string, slots int, work func(*replica, *serverConn, received) response) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &replica{id: id, service: service, zone: zone, address: l.Addr().String(), slots: slots, born: time.Now().UnixMilli(), work: work}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(&serverConn{Conn: c})
		}
	}()
	return p, nil
}

// register writes the entry of the replica into the store.
func (p *replica) register(s *store, state string) {
	s.put("servers", p.id, map[string]any{
		"service": p.service, "address": p.address, "zone": p.zone, "version": "v1", "slots": p.slots,
		"state": state, "cold_remaining_ms": 0, "sequence": 1, "born": p.born,
	})
}

// serve answers the requests of a connection, one after the other.
func (p *replica) serve(c *serverConn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c.expect(true)
		a := p.answer(c, r, body)
		if err := c.reply(a.encode()); err != nil {
			return
		}
	}
}

// answer returns the answer to a request.
func (p *replica) answer(c *serverConn, r *http.Request, body []byte) response {
	if r.URL.Path == "/health" {
		return response{status: http.StatusOK, header: map[string]string{"X-Replica-Id": p.id}}
	}
	id := r.Header.Get("X-Request-Id")
	if expected := r.Header.Get("X-Expected-Replica"); expected != "" && expected != p.id {
		return response{status: http.StatusMisdirectedRequest, header: map[string]string{"X-Replica-Id": p.id, "X-Request-Id": id}}
	}
	a := p.work(p, c, received{id: id, path: r.URL.Path, body: body, at: time.Now()})
	if a.header == nil {
		a.header = map[string]string{}
	}
	a.header["X-Request-Id"] = id
	return a
}

// expect records whether a request waits for its answer. Second copies that are due come first then.
func (c *serverConn) expect(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting
	c.flush()
}

// reply writes the answer to the request that waits.
func (c *serverConn) reply(message []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = false
	_, err := c.Write(message)
	return err
}

// repeat writes a second copy of an answer after a delay, as soon as an answer is expected.
func (c *serverConn) repeat(message []byte, delay time.Duration) {
	time.AfterFunc(delay, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.extra = append(c.extra, message)
		c.flush()
	})
}

// flush writes the second copies that are due if an answer is expected. The caller holds mu.
func (c *serverConn) flush() {
	if !c.waiting {
		return
	}
	for _, message := range c.extra {
		_, _ = c.Write(message) // an error means that the caller has left
	}
	c.extra = nil
}

// encode returns the bytes of an answer.
func (a response) encode() []byte {
	text := fmt.Appendf(nil, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", a.status, http.StatusText(a.status), len(a.body))
	for name, value := range a.header {
		text = fmt.Appendf(text, "%s: %s\r\n", name, value)
	}
	text = append(text, "\r\n"...)
	return append(text, a.body...)
}

// stamp returns a signature of a replica for a request.
func (p *replica) stamp(id string) string {
	sum := sha256.Sum256([]byte(p.id + "|" + id))
	return p.id + "." + hex.EncodeToString(sum[:6])
}

// success returns the answer to a request that ran.
func (p *replica) success(id string, body []byte) response {
	return response{status: http.StatusOK, header: map[string]string{"X-Server-Stamp": p.stamp(id)}, body: body}
}

// records returns a number of records of 16 bytes.
func (p *replica) records(n int) []byte {
	const recordBytes = 16
	body := make([]byte, 0, n*recordBytes)
	for i := range n {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s|%d", p.service, i))
		body = append(body, sum[:recordBytes]...)
	}
	return body
}

// notRun is the answer that a request has not run.
func notRun() response {
	return response{status: http.StatusServiceUnavailable, header: map[string]string{"X-Not-Executed": "1"}}
}
