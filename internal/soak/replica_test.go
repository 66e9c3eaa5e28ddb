package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// behaviour is how a replica treats requests.
type behaviour int32

const (
	serves  behaviour = iota
	pauses            // answers late
	sheds             // refuses without running
	loses             // runs and loses the answer
	repeats           // sends a second answer
	fails             // runs and answers 500
)

// runs counts how often each request ran, over all replicas.
type runs struct {
	mu    sync.Mutex
	count map[string]int
	// spread holds the replicas of a shard that ran a request, by id and shard.
	spread map[string][]string
}

func (r *runs) ran(id, shard, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := id + " " + shard
	if !slices.Contains(r.spread[key], replica) {
		r.spread[key] = append(r.spread[key], replica)
	}
}

func (r *runs) checkSpread(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, replicas := range r.spread {
		if len(replicas) > maxAttempts {
			t.Errorf("SPREAD: %s ran on %v", key, replicas)
		}
	}
}

func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[id]++
}

func (r *runs) of(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id]
}

// replica is a stand-in of a replica behind a relay, whose address is registered.
type replica struct {
	id, service string
	relay       *relay
	runs        *runs
	behaviour   atomic.Int32
	arrivedAt   atomic.Int64 // Unix nanoseconds of the last request
}

func startReplica(t *testing.T, service, id string, once *runs) *replica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	r := &replica{id: id, service: service, runs: once, relay: startRelay(t, l.Addr().String())}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func (r *replica) registration(state string) map[string]any {
	return map[string]any{"service": r.service, "address": r.relay.address(), "zone": "dc", "slots": 2, "state": state, "cold_remaining_ms": 0, "sequence": 1}
}

func (r *replica) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		text := r.answer(request)
		if text == "" {
			return
		}
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// answer returns the reply, or nothing if the connection is to be closed.
func (r *replica) answer(request *http.Request) string {
	id := request.Header.Get("X-Request-Id")
	if request.Header.Get("X-Expected-Replica") != r.id {
		return "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"
	}
	r.arrivedAt.Store(time.Now().UnixNano())
	mode := behaviour(r.behaviour.Load())
	if mode == sheds {
		return "HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	if request.Method == http.MethodPost {
		r.runs.add(id)
	}
	r.runs.ran(id, r.service, r.id)
	if mode == pauses {
		time.Sleep(150 * time.Millisecond)
	}
	status := "200 OK"
	if mode == fails {
		status = "500 Internal Server Error"
	}
	text := fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s/%s/%s\r\nContent-Length: 16\r\n\r\n%-16s", status, id, r.service, r.id, id, r.service)
	switch mode {
	case loses:
		return ""
	case repeats:
		return text + text
	}
	return text
}
