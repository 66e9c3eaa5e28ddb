package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/internal/entry"
	"github.com/marigoldlever/marigoldlever/platform"
	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/watchers"

	"github.com/rcrowley/go-metrics"
)

// refuseReply is the reply of a replica that does not run a request.
func refuseReply(r *http.Request, _ string) string {
	return "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: " + r.Header.Get("X-Request-Id") + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
}

func closeConnection(*http.Request, string) string { return "" }

// Guards against a merged answer whose records, signatures or number of missing parts
// do not match its parts.
func TestScatterMergesAllParts(t *testing.T) {
	tr := startTier(t, 4)
	g := tr.mustAsk(t, "GET", "/scatter/x?q=1", "")
	want := fmt.Sprintf("%-16s%-16s%-16s", "replica-003", "replica-002", "replica-001")
	if g.status != http.StatusOK || g.body != want {
		t.Errorf("answer is %d %q, want 200 %q", g.status, g.body, want)
	}
	if n := len(strings.Split(g.header.Get("X-Part-Stamps"), ",")); n != 4 || g.header.Get("X-Missing-Parts") != "0" {
		t.Errorf("%d signatures and %s missing parts, want 4 and 0", n, g.header.Get("X-Missing-Parts"))
	}
}

// Guards against an answer that waits for a silent shard beyond the target latency, or
// omits its part without reporting it as missing.
func TestSilentShardIsReportedMissing(t *testing.T) {
	tr := startTier(t, 4)
	release := make(chan struct{})
	t.Cleanup(func() { close(release) })
	tr.shards[2].reply = func(*http.Request, string) string { <-release; return "" }
	began := time.Now()
	g := tr.mustAsk(t, "GET", "/scatter/x", "")
	if g.status != http.StatusOK || g.header.Get("X-Missing-Parts") != "1" {
		t.Errorf("answer is %d with %s missing parts, want 200 with 1", g.status, g.header.Get("X-Missing-Parts"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("answer took %v, the target is 300 ms", took)
	}
}

// Guards against a successful answer with fewer parts than the route's minimum.
func TestTooFewPartsFail(t *testing.T) {
	tr := startTier(t, 4)
	for _, s := range tr.shards[:2] {
		s.reply = closeConnection
	}
	if g := tr.mustAsk(t, "GET", "/scatter/x", ""); g.status != http.StatusBadGateway && g.status != http.StatusGatewayTimeout {
		t.Errorf("status is %d with half of the parts, want 502 or 504", g.status)
	}
}

// Guards against a request that every replica refused and that is not reported as not
// run, or gets no Retry-After time. With one shard, no attempt is in flight when the
// last one is refused; with more, one may be, and whether the request ran is unknown.
func TestRefusedRequestIsReportedNotRun(t *testing.T) {
	tr := startTier(t, 1)
	tr.shards[0].reply = refuseReply
	for _, path := range []string{"/scatter/x", "/one/x", "/once/x"} {
		g := tr.mustAsk(t, "GET", path, "")
		if g.status != http.StatusServiceUnavailable || g.header.Get("Retry-After") == "" {
			t.Errorf("%s: status is %d, Retry-After %q, want 503 with a time", path, g.status, g.header.Get("Retry-After"))
		}
	}
}

// Guards against a refusal that says "not run" although a part has run.
func TestExecutedPartIsNotReportedNotRun(t *testing.T) {
	tr := startTier(t, 4)
	for _, s := range tr.shards[1:] {
		s.reply = refuseReply
	}
	for range 20 {
		before := tr.shards[0].requests.Load()
		g := tr.mustAsk(t, "GET", "/scatter/x", "")
		time.Sleep(20 * time.Millisecond) // a request already sent may arrive after the answer
		if ran := tr.shards[0].requests.Load() > before; ran && g.status == http.StatusServiceUnavailable {
			t.Fatal("status is 503 although one part has run")
		}
	}
}

// Guards against a request that is not idempotent and runs twice after its reply was
// lost, or is reported as not run.
func TestLostReplyOfNonIdempotentRequest(t *testing.T) {
	tr := startTier(t, 1)
	other := tr.addReplica(t, "shard-000", "replica-b")
	tr.shards[0].reply, other.reply = closeConnection, closeConnection
	time.Sleep(100 * time.Millisecond)
	before := tr.shards[0].requests.Load() + other.requests.Load()
	g := tr.mustAsk(t, "POST", "/once/x", "permit")
	if g.status != http.StatusBadGateway {
		t.Errorf("status is %d, want 502", g.status)
	}
	if n := tr.shards[0].requests.Load() + other.requests.Load() - before; n != 1 {
		t.Errorf("the request was sent %d times, want once", n)
	}
}

// Guards against giving up on a request that certainly did not run while another
// replica could run it.
func TestRefusedNonIdempotentRequestRunsElsewhere(t *testing.T) {
	tr := startTier(t, 1)
	other := tr.addReplica(t, "shard-000", "replica-b")
	tr.shards[0].reply = refuseReply
	other.reply = func(r *http.Request, body string) string {
		return fmt.Sprintf("HTTP/1.1 201 Created\r\nX-Request-Id: %s\r\nX-Server-Stamp: s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Request-Id"), len(body), body)
	}
	time.Sleep(1500 * time.Millisecond) // the retry budget starts empty
	for range 4 {
		g := tr.mustAsk(t, "POST", "/once/x", "permit")
		if g.status != http.StatusCreated || g.body != "permit" || g.header.Get("X-Server-Stamp") != "s" {
			t.Errorf("answer is %d %q, want 201 with the replica's body and signature", g.status, g.body)
		}
	}
}

// Guards against forwarding a replica's failure with another status or without its
// signature.
func TestReplicaFailureIsForwarded(t *testing.T) {
	tr := startTier(t, 1)
	tr.shards[0].reply = func(r *http.Request, _ string) string {
		return fmt.Sprintf("HTTP/1.1 500 Internal Server Error\r\nX-Request-Id: %s\r\nX-Server-Stamp: s\r\nContent-Length: 4\r\n\r\noops", r.Header.Get("X-Request-Id"))
	}
	for _, path := range []string{"/once/x", "/one/x"} {
		g := tr.mustAsk(t, "POST", path, "")
		if g.status != http.StatusInternalServerError || g.body != "oops" || g.header.Get("X-Server-Stamp") != "s" {
			t.Errorf("%s: answer is %d %q, want the replica's 500", path, g.status, g.body)
		}
	}
}

// Guards against passing on a replica's status that promises callers that a request has not
// run, although the replica does not say so and may have run it. An idempotent request is
// tried again instead.
func TestPromiseOfReplicaThatRanIsNotPassedOn(t *testing.T) {
	for _, status := range []string{"408 Request Timeout", "429 Too Many Requests", "503 Service Unavailable"} {
		t.Run(status, func(t *testing.T) {
			tr := startTier(t, 1)
			ran := tr.shards[0]
			ran.reply = func(r *http.Request, body string) string {
				return withHeader(func(r *http.Request, body string) string {
					return strings.Replace(ran.part(r, body), "200 OK", status, 1)
				}, "Retry-After: 0")(r, body)
			}
			for _, c := range []struct{ method, path string }{{"POST", "/once/x"}, {"GET", "/one/x"}} {
				g := tr.mustAsk(t, c.method, c.path, "")
				if g.status != http.StatusBadGateway || g.header.Get("X-Server-Stamp") != "" || g.header.Get("Retry-After") != "" {
					t.Errorf("%s: answer is %d with signature %q, Retry-After %q; want 502 without both", c.path, g.status, g.header.Get("X-Server-Stamp"), g.header.Get("Retry-After"))
				}
			}
			tr.addReplica(t, "shard-000", "replica-b")
			time.Sleep(1500 * time.Millisecond) // the retry budget starts empty
			for range 4 {
				if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusOK {
					t.Errorf("answer is %d, want that of the other replica", g.status)
				}
			}
		})
	}
}

// Guards against rejecting invalid requests with the wrong status, or sending them to a
// replica.
func TestInvalidRequestsAreRejected(t *testing.T) {
	tr := startTier(t, 1)
	for _, c := range []struct {
		path, body string
		want       int
	}{
		{"/nowhere/x", "", http.StatusNotFound},
		{"/one", "", http.StatusNotFound}, // the prefix ends with a slash
		{"/one/x", strings.Repeat("x", 1001), http.StatusRequestEntityTooLarge},
	} {
		if g := tr.mustAsk(t, "POST", c.path, c.body); g.status != c.want {
			t.Errorf("%s: status is %d, want %d", c.path, g.status, c.want)
		}
	}
	request, err := http.NewRequest("GET", "http://"+tr.address+"/one/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	response, err := tr.client.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	if response.StatusCode != http.StatusBadRequest {
		t.Errorf("status of a request without an id is %d, want 400", response.StatusCode)
	}
	if n := tr.shards[0].requests.Load(); n != 0 {
		t.Errorf("%d requests reached the replica, want none", n)
	}
}

// Guards against new work for a draining replica, and against other replicas losing
// work because of it.
func TestDrainingReplicaGetsNoNewWork(t *testing.T) {
	tr := startTier(t, 1)
	other := tr.addReplica(t, "shard-000", "replica-b")
	leaving := tr.shards[0].registration()
	leaving.Draining = true
	tr.registry.put(follow.Item[replicas.Replica]{Name: leaving.ID, Value: leaving})
	time.Sleep(200 * time.Millisecond)
	before := tr.shards[0].requests.Load()
	for range 10 {
		if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusOK {
			t.Fatalf("status is %d", g.status)
		}
	}
	if n := tr.shards[0].requests.Load() - before; n != 0 || other.requests.Load() < 10 {
		t.Errorf("%d requests reached the draining replica", n)
	}
}

// Guards against new work for a data centre that was taken out.
func TestDataCentreThatIsOutGetsNoNewWork(t *testing.T) {
	tr := startTier(t, 1)
	tr.dataCentresOut.put(follow.Item[struct{}]{Name: "dc"})
	time.Sleep(200 * time.Millisecond)
	if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusServiceUnavailable {
		t.Errorf("status is %d, want 503 for a request that has not run", g.status)
	}
	if n := tr.shards[0].requests.Load(); n != 0 {
		t.Errorf("%d requests reached the data centre that is out", n)
	}
	tr.dataCentresOut.put(follow.Item[struct{}]{Name: "dc", Removed: true})
	time.Sleep(200 * time.Millisecond)
	if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusOK {
		t.Errorf("status is %d after the data centre came back, want 200", g.status)
	}
}

// Guards against replacing a configuration by an older version.
func TestConfigurationNeverRegresses(t *testing.T) {
	tr := startTier(t, 2)
	newer := routing.New(9, []routing.Route{{Name: "moved", Host: "h", Prefix: "/new/", Idempotent: true, Timeout: time.Second,
		Services: []routing.WeightedService{{Service: "shard-000", Weight: 1}}, MaxAttempts: 1}}, nil, routing.Limits{})
	tr.configuration.put(follow.Item[*routing.Table]{Name: "main", Value: newer})
	time.Sleep(150 * time.Millisecond)
	tr.configuration.put(follow.Item[*routing.Table]{Name: "main", Value: testTable(5, []string{"shard-000"})})
	time.Sleep(150 * time.Millisecond)
	if g := tr.mustAsk(t, "GET", "/new/x", ""); g.status != http.StatusOK {
		t.Errorf("status on the newer route is %d, want 200", g.status)
	}
	if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusNotFound {
		t.Errorf("status on a route of the older version is %d, want 404", g.status)
	}
}

// Guards against a planned stop that aborts a request, on a new or a kept connection,
// before the process ends.
func TestPlannedStopAbortsNoRequest(t *testing.T) {
	tr := startTier(t, 2)
	usualReply := tr.shards[0].part
	tr.shards[0].reply = func(r *http.Request, b string) string { time.Sleep(60 * time.Millisecond); return usualReply(r, b) }
	var wait sync.WaitGroup
	started := time.Now()
	for range 4 {
		wait.Go(func() {
			for time.Since(started) < 3*time.Second {
				g, err := tr.ask("GET", "/scatter/x", "")
				if err != nil && !strings.Contains(err.Error(), "refused") && time.Since(started) < 2*time.Second {
					t.Errorf("request failed %v after the start: %v", time.Since(started), err)
				}
				if err == nil && g.status != http.StatusOK && g.status != http.StatusServiceUnavailable {
					t.Errorf("status is %d", g.status)
				}
				if err != nil {
					time.Sleep(20 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	close(tr.stop)
	time.Sleep(50 * time.Millisecond)
	if tr.ready() {
		t.Error("the entry is ready during a planned stop")
	}
	select {
	case aborted := <-tr.stopped:
		if aborted != 0 {
			t.Errorf("%d requests were aborted, want none", aborted)
		}
	case <-time.After(6 * time.Second):
		t.Error("the entry did not stop within its grace period")
	}
	wait.Wait()
}

// Guards against an entry that serves, or reports ready, before it knows the
// configuration.
func TestEntryWithoutConfigurationIsNotReady(t *testing.T) {
	tr := &tier{address: freeAddress(t), readiness: freeAddress(t), stop: make(chan struct{}), client: http.DefaultClient}
	e := entry.New(entry.Settings{Host: "host", DataCentre: "dc", CallerAddress: tr.address, ReadinessAddress: tr.readiness,
		Bounds: entry.Bounds{Grace: time.Second}}, platform.Codec{}, metrics.NewRegistry(), 1)
	go func() {
		if _, _, err := e.Run(t.Context(), tr.stop, entry.Sources{
			Configuration: newStoreList[*routing.Table](), Replicas: newStoreList[replicas.Replica](), DataCentresOut: newStoreList[struct{}](), Hosts: hostList{}, OnHosts: ignoreHosts,
		}); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { close(tr.stop) })
	time.Sleep(300 * time.Millisecond)
	if tr.ready() {
		t.Error("the entry is ready without a configuration")
	}
	if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusServiceUnavailable || g.header.Get("Retry-After") == "" {
		t.Errorf("status is %d, want 503 with Retry-After", g.status)
	}
}

// Guards against a deadlock by lock order: concurrent requests need the connection
// limits of the pool and the view at the same time.
func TestConcurrentRequestsDoNotDeadlock(t *testing.T) {
	tr := startTier(t, 12)
	var wait sync.WaitGroup
	for range 16 {
		wait.Go(func() {
			for range 20 {
				if g, err := tr.ask("GET", "/scatter/x", ""); err != nil || (g.status != http.StatusOK && g.status != http.StatusServiceUnavailable) {
					t.Errorf("answer is %d, %v", g.status, err)
					return
				}
			}
		})
	}
	done := make(chan struct{})
	go func() { wait.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(60 * time.Second):
		t.Fatal("requests did not finish within 60 s: deadlock")
	}
}

// Guards against retrying a replica after another one has answered at its address.
func TestMisdirectedReplicaIsNotRetried(t *testing.T) {
	tr := startTier(t, 1)
	tr.addReplica(t, "shard-000", "replica-b")
	tr.shards[0].reply = func(*http.Request, string) string {
		return "HTTP/1.1 421 Misdirected Request\r\nX-Replica-Id: other\r\nContent-Length: 0\r\n\r\n"
	}
	time.Sleep(1500 * time.Millisecond) // the retry budget starts empty
	for range 8 {
		if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusOK {
			t.Errorf("status is %d, want 200", g.status)
		}
	}
	if n := tr.shards[0].requests.Load(); n > 1 {
		t.Errorf("%d requests reached the address of another replica, want 1 at most", n)
	}
}

// outdatedList is a list whose first copy is out of date, as a stale one may be. The
// changes since then follow with the first watch, after the time that a call takes.
type outdatedList struct {
	*storeList[replicas.Replica]
	first follow.Response[replicas.Replica]
}

func (l outdatedList) List(context.Context) (follow.Response[replicas.Replica], error) {
	return l.first, nil
}

func (l outdatedList) Watch(ctx context.Context, from follow.Position) (follow.Response[replicas.Replica], error) {
	time.Sleep(40 * time.Millisecond)
	return l.storeList.Watch(ctx, from)
}

// Guards against work for a replica that left before this host started, while the host
// knows only a list that is out of date.
func TestStartedHostWaitsForChangesSinceStaleList(t *testing.T) {
	for range 5 {
		tr := newTier(t, 1)
		gone := tr.addReplica(t, "shard-000", "replica-gone")
		first, err := tr.registry.List(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		tr.registry.put(follow.Item[replicas.Replica]{Name: gone.id, Removed: true})
		tr.replicas = outdatedList{tr.registry, first}
		tr.run(t, watchers.Host{ID: "host", DataCentre: "dc"}, make(hostList, 1))
		for range 20 {
			if g := tr.mustAsk(t, "GET", "/one/x", ""); g.status != http.StatusOK {
				t.Fatalf("answer is %d %q", g.status, g.body)
			}
		}
		if n := gone.requests.Load(); n != 0 {
			t.Errorf("the replica that had left got %d requests", n)
		}
	}
}
