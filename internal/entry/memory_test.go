package entry_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/watchers"
)

// startSmallTier is startTier for a host with little memory, whose replicas take a while.
func startSmallTier(t *testing.T, shards, memoryMB int, work time.Duration) *tier {
	t.Helper()
	tr := newTier(t, shards)
	tr.memoryMB = memoryMB
	for _, s := range tr.shards {
		s.reply = func(r *http.Request, body string) string {
			time.Sleep(work)
			return s.part(r, body)
		}
	}
	tr.run(t, watchers.Host{ID: "host", DataCentre: "dc"}, make(hostList, 1))
	return tr
}

// Guards against callers' connections that take the memory of a host: the one that has been
// idle longest gives way, and one with a request in progress never does.
func TestConnectionsOfCallersAreBounded(t *testing.T) {
	const memoryMB, bound = 1, 16
	tr := startSmallTier(t, 1, memoryMB, 300*time.Millisecond)
	tr.client.CloseIdleConnections()
	busy := tr.keepConn(t)
	answered := make(chan int, 1)
	go func() { answered <- busy.status(0) }()
	time.Sleep(50 * time.Millisecond)
	var kept []*keptConn
	for range 2 * bound {
		c := tr.keepConn(t)
		fmt.Fprintf(c, "GET /nowhere/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: a\r\nX-Deadline-Ms: 900\r\n\r\n")
		response, err := http.ReadResponse(c.reader, nil)
		if err != nil || response.StatusCode != http.StatusNotFound {
			t.Fatalf("a new connection got %v, %v", response, err)
		}
		response.Body.Close()
		kept = append(kept, c)
		tr.awaitKept(t, int64(len(kept)+len(answered))) // the busy connection becomes idle too
	}
	if got := <-answered; got != http.StatusOK {
		t.Errorf("the request in progress got %d", got)
	}
	open := 0
	for i, c := range kept {
		_ = c.SetReadDeadline(time.Now().Add(20 * time.Millisecond)) // fails only on a closed connection
		if _, err := c.reader.Peek(5); isTimeout(err) {
			open++
		} else if i >= len(kept)-bound+1 {
			t.Errorf("connection %d of %d was closed before those idle longer", i, len(kept))
		}
	}
	if open > bound {
		t.Errorf("%d connections are open, want %d at most", open, bound)
	}
}

// awaitKept waits until connections have become idle n times. The server notes it only after the
// caller has its answer.
func (tr *tier) awaitKept(t *testing.T, n int64) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); tr.counter("callers.kept") < n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections became idle, want %d", tr.counter("callers.kept"), n)
		}
	}
}

// Guards against large bodies that together take the memory of a host: those that find none
// left are refused, have not run and may come back. Small ones still run.
func TestLargeBodiesShareMemory(t *testing.T) {
	const memoryMB, bodyBytes, requests = 2, 60 << 10, 8
	tr := newTier(t, 1)
	tr.memoryMB, tr.bodyLimit = memoryMB, 1<<20
	tr.shards[0].reply = func(r *http.Request, body string) string {
		time.Sleep(300 * time.Millisecond)
		return tr.shards[0].part(r, body)
	}
	tr.run(t, watchers.Host{ID: "host", DataCentre: "dc"}, make(hostList, 1))
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range requests {
		group.Go(func() {
			g, err := tr.ask("POST", "/once/x", strings.Repeat("b", bodyBytes))
			if err != nil {
				t.Error(err)
				return
			}
			if g.status == http.StatusServiceUnavailable && g.header.Get("Retry-After") == "" {
				t.Error("a refusal without a time to come back")
			}
			mu.Lock()
			defer mu.Unlock()
			statuses[g.status]++
		})
	}
	time.Sleep(100 * time.Millisecond)
	if g := tr.mustAsk(t, "POST", "/once/x", "small"); g.status != http.StatusOK {
		t.Errorf("a small body got %d", g.status)
	}
	group.Wait()
	if statuses[http.StatusOK] == 0 || statuses[http.StatusServiceUnavailable] == 0 || statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable] != requests {
		t.Errorf("statuses are %v, want some answers and some refusals", statuses)
	}
	if n := tr.shards[0].requests.Load(); int(n) != statuses[http.StatusOK]+1 {
		t.Errorf("the replica got %d requests, %d were answered", n, statuses[http.StatusOK]+1)
	}
	if g := tr.mustAsk(t, "POST", "/once/x", strings.Repeat("b", bodyBytes)); g.status != http.StatusOK {
		t.Errorf("after the others had ended a large body got %d", g.status)
	}
}

// Guards against requests over many shards that together take the memory of a host.
func TestRequestsInProgressShareMemory(t *testing.T) {
	const memoryMB, shards, requests = 1, 10, 6 // room for 21 parts
	tr := startSmallTier(t, shards, memoryMB, 300*time.Millisecond)
	var group sync.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for range requests {
		group.Go(func() {
			c, err := net.Dial("tcp", tr.address)
			if err != nil {
				t.Error(err)
				return
			}
			defer c.Close()
			k := &keptConn{c, bufio.NewReader(c)}
			fmt.Fprintf(c, "GET /scatter/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-%d\r\nX-Deadline-Ms: 2000\r\n\r\n", lastRequestID.Add(1))
			response, err := http.ReadResponse(k.reader, nil)
			if err != nil {
				t.Error(err)
				return
			}
			response.Body.Close()
			mu.Lock()
			defer mu.Unlock()
			statuses[response.StatusCode]++
		})
	}
	group.Wait()
	if statuses[http.StatusOK] != 2 || statuses[http.StatusServiceUnavailable] != requests-2 {
		t.Errorf("statuses are %v, want 2 answers and %d refusals", statuses, requests-2)
	}
	if g := tr.mustAsk(t, "GET", "/scatter/x", ""); g.status != http.StatusOK {
		t.Errorf("after the others had ended a request got %d", g.status)
	}
}

// oddReplica is a change of another writer's entry, as large as an object may be in proportion
// to the memory of a small host.
func oddReplica(i int, removed bool) follow.Item[replicas.Replica] {
	id := fmt.Sprint("odd-", i)
	return follow.Item[replicas.Replica]{Name: id, Removed: removed, Value: replicas.Replica{
		ID: id, Service: "odd" + strings.Repeat("x", 500), Address: "127.0.0.1:1", DataCentre: "dc", Started: 1}}
}

// Guards against a registry of replicas that grows with changes beyond its share of the memory,
// and against replicas that stay unused once there is room for them. The tier serves all the
// while.
func TestRegistryOfReplicasIsBounded(t *testing.T) {
	const memoryMB, odd = 1, 120 // room for some 60 entries
	tr := startSmallTier(t, 1, memoryMB, 0)
	for i := range odd {
		tr.registry.put(oddReplica(i, false))
	}
	late := tr.addReplica(t, "late", "late")
	leftOut := metrics.GetOrRegisterCounter("replicas.left_out", tr.metrics)
	for deadline := time.Now().Add(10 * time.Second); leftOut.Count() < odd/4; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d entries were left out", leftOut.Count())
		}
	}
	if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusOK {
		t.Errorf("beside many entries a request got %d", g.status)
	}
	for i := range odd {
		tr.registry.put(oddReplica(i, true))
	}
	tr.configuration.put(follow.Item[*routing.Table]{Name: "main", Value: testTable(2, []string{"late"})})
	for deadline := time.Now().Add(10 * time.Second); late.requests.Load() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the replica that was left out gets no request")
		}
		tr.mustAsk(t, "GET", "/one/x", "")
	}
}
