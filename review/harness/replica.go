package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// exchangeAtReplica is one request that reached a replica.
type exchangeAtReplica struct {
	id, method, target string
	body               []byte
	conn               net.Conn
}

// replica is a stand-in for a replica. It runs every request that names it in
// X-Expected-Replica, and answers 421 to the others.
type replica struct {
	id, service string
	listener    net.Listener
	log         *record
	quiet       bool // whether its requests are left out of the record
	// work runs a request and returns the head lines after X-Request-Id, with the status
	// line first, and the body. An empty status line closes the connection.
	work func(r exchangeAtReplica) (status, headers, body string)

	mu   sync.Mutex
	runs map[string]int // by request id
}

func startReplica(id, service string, log *record, work func(r exchangeAtReplica) (string, string, string)) (*replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &replica{id: id, service: service, listener: l, log: log, work: work, runs: map[string]int{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r, nil
}

func (r *replica) address() string { return r.listener.Addr().String() }

func (r *replica) registration() map[string]any {
	return map[string]any{
		"service": r.service, "address": r.address(), "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
		"cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}
}

func (r *replica) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.runs[id]
}

func (r *replica) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		e := exchangeAtReplica{id: request.Header.Get("X-Request-Id"), method: request.Method, target: request.RequestURI, body: body, conn: c}
		if request.Header.Get("X-Expected-Replica") != r.id {
			if _, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nX-Replica-Id: %s\r\nContent-Length: 0\r\n\r\n", e.id, r.id); err != nil {
				return
			}
			continue
		}
		r.mu.Lock()
		r.runs[e.id]++
		r.mu.Unlock()
		r.printf("replica %s runs %s %s %s, %s ms left", r.id, e.method, e.target, e.id, request.Header.Get("X-Deadline-Ms"))
		status, headers, content := r.work(e)
		if status == "" {
			r.printf("replica %s closes the connection of %s", r.id, e.id)
			return
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, e.id, headers, len(content), content)
		r.printf("replica %s answers %s: %s (write error: %v)", r.id, e.id, status, err)
		if err != nil {
			return
		}
	}
}

// stamp returns the header line of a replica's signature.
func (r *replica) stamp(id string) string {
	return fmt.Sprintf("X-Server-Stamp: %s.%s\r\n", r.id, id)
}

func (r *replica) printf(format string, args ...any) {
	if !r.quiet {
		r.log.printf(format, args...)
	}
}
