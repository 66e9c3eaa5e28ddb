package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// behaviour is how a replica handles requests.
type behaviour int32

const (
	serveNormally    behaviour = iota
	replyLate                  // replies after a delay
	shedRequests               // refuses requests without running them
	loseReplies                // runs requests and closes the connection without a reply
	duplicateReplies           // sends each reply twice
	failRequests               // runs requests and replies with status 500
	replyWithoutEnd            // runs requests and replies with header lines until the connection is closed
	refuseAfterRun             // runs requests and replies with 503, without the statement that they did not run
	cutReplies                 // runs requests and closes the connection in the middle of the reply's header

	behaviours
)

// runCounter counts how often each request ran on all replicas together.
type runCounter struct {
	mu    sync.Mutex
	count map[string]int
	// replicasOf holds the replicas that ran a request, by request ID and shard.
	replicasOf map[string][]string
	started    map[string]bool // requests that any replica ran
}

func newRunCounter() *runCounter {
	return &runCounter{count: map[string]int{}, replicasOf: map[string][]string{}, started: map[string]bool{}}
}

// addReplica records that a replica of the shard ran the request.
func (r *runCounter) addReplica(id, shard, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[id] = true
	key := id + " " + shard
	if !slices.Contains(r.replicasOf[key], replica) {
		r.replicasOf[key] = append(r.replicasOf[key], replica)
	}
}

// checkSpread checks that no request ran on more than maxAttempts replicas of a shard.
func (r *runCounter) checkSpread(t *testing.T) {
	t.Helper()
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, replicas := range r.replicasOf {
		if len(replicas) > maxAttempts {
			t.Errorf("SPREAD: %s ran on %v", key, replicas)
		}
	}
}

// ran reports whether any replica ran a request.
func (r *runCounter) ran(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id] > 0 || r.started[id]
}

func (r *runCounter) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.count[id]++
}

func (r *runCounter) runsOf(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count[id]
}

// replica is a stand-in for a replica. It is registered with the address of its relay.
type replica struct {
	id, service string
	started     time.Time
	relay       *relay
	runCounter  *runCounter
	behaviour   atomic.Int32
	arrivedAt   atomic.Int64 // Unix nanoseconds of the last request
	signals     signals
	// run is called for each request that the replica runs; nil for no work.
	run func(request *http.Request)
	// records is the number of records of a reply.
	records atomic.Int32
}

func startReplica(t *testing.T, service, id string, counter *runCounter, run func(*http.Request)) *replica {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	r := &replica{id: id, service: service, started: time.Now(), runCounter: counter, relay: startRelay(t, l.Addr().String()), run: run}
	r.records.Store(1)
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
	return map[string]any{"service": r.service, "address": r.relay.address(), "zone": "dc", "slots": 2, "state": state, "cold_remaining_ms": 0, "sequence": 1, "born": r.started.UnixMilli()}
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
		for once := true; once || behaviour(r.behaviour.Load()) == replyWithoutEnd; once = false {
			if _, err := io.WriteString(c, text); err != nil {
				return
			}
			text = "X-More: 1\r\n"
		}
		if behaviour(r.behaviour.Load()) == cutReplies {
			return
		}
	}
}

// answer returns the HTTP reply, or an empty string to close the connection.
func (r *replica) answer(request *http.Request) string {
	id := request.Header.Get("X-Request-Id")
	if request.Header.Get("X-Expected-Replica") != r.id {
		return "HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	r.arrivedAt.Store(time.Now().UnixNano())
	signal, paused := r.signals.arrived(time.Now())
	mode := behaviour(r.behaviour.Load())
	if mode == shedRequests || paused {
		return "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + id + "\r\n" + signal + "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	if request.Method == http.MethodPost {
		r.runCounter.add(id)
	}
	r.runCounter.addReplica(id, r.service, r.id)
	if r.run != nil {
		r.run(request)
	}
	if mode == replyLate {
		time.Sleep(150 * time.Millisecond)
	}
	status := "200 OK"
	switch mode {
	case failRequests:
		status = "500 Internal Server Error"
	case refuseAfterRun:
		status = "503 Service Unavailable"
	}
	head := fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\n%s", status, id, signal)
	body := strings.Repeat(fmt.Sprintf("%-16s", r.service), int(r.records.Load()))
	text := head + fmt.Sprintf("X-Server-Stamp: %s/%s/%s\r\nContent-Length: %d\r\n\r\n%s", r.service, r.id, id, len(body), body)
	switch mode {
	case replyWithoutEnd:
		return head
	case loseReplies:
		return ""
	case cutReplies:
		return text[:len(head)-len(signal)-1]
	case duplicateReplies:
		return text + text
	}
	return text
}
