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

const (
	// boundsTime is how long the host is held at its bounds.
	boundsTime = 6 * time.Second
	// boundsWork is how long replicas work on a request meanwhile.
	boundsWork = 700 * time.Millisecond
	// boundsMemoryMB is the memory of the host.
	boundsMemoryMB = 160
	// refusalPause is the time after which a caller that was refused comes back, much too soon.
	refusalPause = 100 * time.Millisecond
	// patience is the timeout of the routes and how long callers wait for an answer. The time of
	// answers is not judged: the callers of this test leave little processor time to the host
	// and to themselves.
	patience = time.Minute
	// oddBatch is how many entries come with one change.
	oddBatch = 500
	// largeRecords is the number of records of a reply: 1 MB, half of the largest one.
	largeRecords = 1 << 20 / 16
	oddEntries   = 20_000
	// lastVersion is above all versions of the configuration that the test writes meanwhile.
	lastVersion = 1 << 20
	idleCallers = 400
	bodyCallers = 200
	partCallers = 160
)

// TestHostAtAllBounds fills everything that a host keeps to its bound at the same time, with a
// store, replicas and callers that ask for more: a registry with entries of another writer,
// versions of the configuration of the largest size, idle connections, bodies, requests over
// all shards, large replies. The host must stay within its memory, refuse what it can't take
// and serve as before afterwards.
func TestHostAtAllBounds(t *testing.T) {
	f := newFleet(t, buildHost(t), tierSize{hosts: 1, shards: 24, replicas: 1}, grace)
	f.memoryMB, f.timeout = boundsMemoryMB, patience
	f.environment = []string{"GODEBUG=gctrace=1"}
	var pressed atomic.Bool
	f.run = func(*http.Request) {
		if pressed.Load() {
			time.Sleep(boundsWork)
		}
	}
	f.startTier(largestRoutes(t, f.shardNames(), 1))
	h := f.hosts[0]
	for _, r := range f.replicas[1:] { // the first one answers /once/, with bodies that are large
		r.records.Store(largeRecords)
	}
	pressed.Store(true)
	var press sync.WaitGroup
	statuses := newStatusCount()
	for i := range bodyCallers {
		press.Go(func() { f.pressWith(h, statuses, "POST /once/x", strings.Repeat("b", 60<<10), i) })
	}
	for i := range partCallers {
		press.Go(func() { f.pressWith(h, statuses, "GET /scatter/x", "", bodyCallers+i) })
	}
	for range idleCallers {
		press.Go(func() { f.stayIdle(h) })
	}
	press.Go(func() { f.floodStore() })
	var samples []float64
	for end := time.Now().Add(boundsTime); time.Now().Before(end); time.Sleep(heapSample) {
		samples = append(samples, anonymousMB(t, h.command.Process.Pid))
	}
	close(f.stop)
	press.Wait()
	pressed.Store(false)
	slices.Sort(samples)
	most := peakMemoryMB(t, h.command.Process.Pid)
	t.Logf("memory in MB without the program file: median %.0f, most %.0f; at its peak with it: %.0f of %d; answers by status %v",
		samples[len(samples)/2], samples[len(samples)-1], most, boundsMemoryMB, statuses.count)
	if most > boundsMemoryMB {
		t.Errorf("the host took %.0f of %d MB", most, boundsMemoryMB)
	}
	if statuses.count[http.StatusServiceUnavailable] == 0 || statuses.count[http.StatusOK] == 0 {
		t.Error("the host was not at its bounds, or served nothing there")
	}
	for _, r := range f.replicas {
		r.records.Store(1)
	}
	f.timeout = routeTimeout
	f.configure(lastVersion)
	f.checkServes(h)
	f.checkRuns()
	f.killAll()
	held := heldAfterCollections(h.output.String())
	slices.Sort(held)
	t.Logf("held after collections in MB: median %.0f, most %.0f", held[len(held)/2], held[len(held)-1])
}

// statusCount counts answers by status.
type statusCount struct {
	mu    sync.Mutex
	count map[int]int
}

func newStatusCount() *statusCount { return &statusCount{count: map[int]int{}} }

func (s *statusCount) add(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count[status]++
}

// requestText returns a request as bytes.
func requestText(target, id, body string) string {
	return fmt.Sprintf("%s HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s", target, id, patience.Milliseconds(), len(body), body)
}

// pressWith sends one request after the other until the run ends.
func (f *fleet) pressWith(h *host, statuses *statusCount, target, body string, caller int) {
	for n := 0; ; n++ {
		select {
		case <-f.stop:
			return
		default:
		}
		id := fmt.Sprintf("%08x%08x", caller, n)
		sent := time.Now()
		status, err := f.ask(h, requestText(target, id, body))
		statuses.add(status)
		switch {
		case status == http.StatusServiceUnavailable:
			f.mu.Lock()
			f.refused = append(f.refused, id)
			f.mu.Unlock()
			time.Sleep(refusalPause)
		case err != nil && f.counter.ran(id):
			f.t.Errorf("LOST: %s ran, and its caller got no answer after %v: %v", id, time.Since(sent), err)
		}
	}
}

// ask sends a request on a connection of its own and returns the status of its answer.
func (f *fleet) ask(h *host, text string) (int, error) {
	c, err := net.DialTimeout("tcp", h.caller, patience)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(patience)) // fails only on a closed connection
	if _, err := io.WriteString(c, text); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// stayIdle keeps a connection open, and opens another one when it is closed.
func (f *fleet) stayIdle(h *host) {
	for {
		c, err := net.DialTimeout("tcp", h.caller, time.Second)
		if err == nil {
			fmt.Fprint(c, requestText("GET /nowhere/", "0123456789abcdef", ""))
			_ = c.SetReadDeadline(time.Now().Add(boundsTime)) // fails only on a closed connection
			go func() {
				<-f.stop
				c.Close()
			}()
			_, _ = io.Copy(io.Discard, c) // ends when the connection is closed
		}
		select {
		case <-f.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// floodStore writes versions of the configuration, and entries of replicas that nothing uses.
func (f *fleet) floodStore() {
	odd := map[string]any{"service": strings.Repeat("x", 400), "address": "127.0.0.1:1", "zone": "dc", "slots": 2, "state": "ready", "born": 1}
	for i := 0; i < oddEntries; i += oddBatch {
		var names []string
		for j := range oddBatch {
			names = append(names, fmt.Sprint("odd-", i+j))
		}
		f.store.putMany("servers", names, odd)
	}
	f.writeVersions(oddEntries, func(uint64) {})
}

// checkServes checks that the host answers all kinds of requests again, within the usual timeout
// of the routes.
func (f *fleet) checkServes(h *host) {
	f.t.Helper()
	for _, target := range []string{"GET /scatter/x", "POST /once/x"} {
		status := 0
		for deadline := time.Now().Add(10 * time.Second); status != http.StatusOK && time.Now().Before(deadline); {
			var err error
			sent := time.Now()
			status, err = f.ask(h, requestText(target, fmt.Sprintf("%016x", sent.UnixNano()), "b"))
			if err != nil || time.Since(sent) > routeTimeout {
				status = 0
			}
		}
		if status != http.StatusOK {
			f.t.Errorf("%s after the bounds: %d", target, status)
		}
	}
}
