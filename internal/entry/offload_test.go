package entry_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/offload"
	"github.com/marigoldlever/marigoldlever/routing"
)

// startPair starts a weak and a strong host in front of the same shards.
func startPair(t *testing.T) (weak, strong *tier) {
	t.Helper()
	weak, strong = newPair(t)
	runPair(t, weak, strong)
	return weak, strong
}

// newPair returns a weak and a strong host that are not started yet.
func newPair(t *testing.T) (weak, strong *tier) {
	t.Helper()
	weak = newTier(t, offload.MinParts)
	strong = &tier{configuration: weak.configuration, registry: weak.registry, dataCentresOut: weak.dataCentresOut, shards: weak.shards}
	return weak, strong
}

func runPair(t *testing.T, weak, strong *tier) {
	t.Helper()
	list := hostList{
		{ID: "strong", DataCentre: "dc", Address: freeAddress(t), Cores: 0.8},
		{ID: "weak", DataCentre: "dc", Address: freeAddress(t), Cores: 0.2},
	}
	strong.run(t, list[0], list)
	weak.run(t, list[1], list)
	weak.awaitAlive(t, 1)
}

func (tr *tier) counter(name string) int64 {
	c, ok := tr.metrics.Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

// awaitAlive waits until the host has n live stronger hosts.
func (tr *tier) awaitAlive(t *testing.T, n int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if g, ok := tr.metrics.Get("offload.stronger_alive").(metrics.Gauge); ok && g.Value() == n {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("number of live stronger hosts is not %d after 10 s", n)
		}
	}
}

func (tr *tier) sent() int64 {
	n := int64(0)
	for _, s := range tr.shards {
		n += s.requests.Load()
	}
	return n
}

// Guards against answers that change when another host merges them, and against a weak
// host that handles large requests itself or forwards small ones.
func TestLargeRequestIsForwardedToStrongerHost(t *testing.T) {
	weak, strong := startPair(t)
	last := offload.MinParts - 1
	want := fmt.Sprintf("%-16s%-16s%-16s", fmt.Sprintf("replica-%03d", last), fmt.Sprintf("replica-%03d", last-1), fmt.Sprintf("replica-%03d", last-2))
	for _, tr := range []*tier{weak, strong} {
		g := tr.mustAsk(t, "GET", "/scatter/x?q=1", "")
		if g.status != http.StatusOK || g.body != want {
			t.Errorf("answer is %d %q, want 200 %q", g.status, g.body, want)
		}
		if n := len(strings.Split(g.header.Get("X-Part-Stamps"), ",")); n != offload.MinParts || g.header.Get("X-Missing-Parts") != "0" {
			t.Errorf("%d signatures and %s missing parts", n, g.header.Get("X-Missing-Parts"))
		}
		tr.mustAsk(t, "GET", "/one/x", "")
	}
	if forwarded, accepted := weak.counter("offload.given"), strong.counter("offload.taken"); forwarded != 1 || accepted != 1 {
		t.Errorf("%d requests forwarded, %d accepted, want 1 and 1", forwarded, accepted)
	}
	if n := weak.sent(); n != 2*offload.MinParts+2 {
		t.Errorf("the replicas got %d requests, want one for each part", n)
	}
}

// Guards against missing parts, or too few parts, that are not reported when another
// host handles the request.
func TestFailuresAreReportedThroughStrongerHost(t *testing.T) {
	weak, _ := startPair(t)
	weak.shards[2].reply = closeConnection
	if g := weak.mustAsk(t, "GET", "/scatter/x", ""); g.status != http.StatusOK || g.header.Get("X-Missing-Parts") != "1" {
		t.Errorf("answer is %d with %s missing parts, want 200 with 1", g.status, g.header.Get("X-Missing-Parts"))
	}
	weak, strong := startPair(t)
	for _, s := range weak.shards[:offload.MinParts/2] {
		s.reply = closeConnection
	}
	if g := weak.mustAsk(t, "GET", "/scatter/x", ""); g.status != http.StatusBadGateway && g.status != http.StatusGatewayTimeout {
		t.Errorf("status is %d with half of the parts, want 502 or 504", g.status)
	}
	if strong.counter("offload.taken") != 1 {
		t.Errorf("%d requests accepted, want 1", strong.counter("offload.taken"))
	}
}

// Guards against a small host that handles a large request itself while the stronger host has
// another version of the configuration, in which the route is the same.
func TestOtherVersionWithTheSameRouteIsAccepted(t *testing.T) {
	weak, strong := newPair(t)
	strong.configuration = newStoreList(follow.Item[*routing.Table]{Name: "main", Revision: 1, Value: testTable(2, serviceNames(offload.MinParts))})
	runPair(t, weak, strong)
	askAll(t, weak, 1)
	if forwarded, accepted := weak.counter("offload.given"), strong.counter("offload.taken"); forwarded != 1 || accepted != 1 {
		t.Errorf("%d requests forwarded, %d accepted, want 1 and 1", forwarded, accepted)
	}
}

// Guards against a small host that handles a large request itself because the first of two
// stronger hosts refuses it.
func TestSecondStrongerHostIsAsked(t *testing.T) {
	weak, first := newPair(t)
	first.configuration = newStoreList(follow.Item[*routing.Table]{Name: "main", Revision: 1, Value: testTable(2, serviceNames(offload.MinParts-1))})
	second := &tier{configuration: weak.configuration, registry: weak.registry, dataCentresOut: weak.dataCentresOut, shards: weak.shards}
	list := hostList{
		{ID: "first", DataCentre: "dc", Address: freeAddress(t), Cores: 0.8},
		{ID: "second", DataCentre: "dc", Address: freeAddress(t), Cores: 0.8},
		{ID: "weak", DataCentre: "dc", Address: freeAddress(t), Cores: 0.2},
	}
	first.run(t, list[0], list)
	second.run(t, list[1], list)
	weak.run(t, list[2], list)
	weak.awaitAlive(t, 2)
	const requests = 4
	askAll(t, weak, requests)
	if accepted := second.counter("offload.taken"); accepted != requests {
		t.Errorf("the second host accepted %d requests, want %d", accepted, requests)
	}
}

// Guards against requests that fail because the stronger host is gone or leaving.
func TestRequestsAreServedWithoutStrongerHost(t *testing.T) {
	t.Run("gone", func(t *testing.T) {
		weak, strong := startPair(t)
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_ = strong.node.Close(ctx)
		weak.awaitAlive(t, 0)
		askAll(t, weak, 5)
	})
	t.Run("leaving", func(t *testing.T) {
		weak, strong := startPair(t)
		strong.shutDown()
		askAll(t, weak, 5)
		select {
		case aborted := <-strong.stopped:
			if aborted != 0 {
				t.Errorf("%d requests aborted, want none", aborted)
			}
		case <-time.After(10 * time.Second):
			t.Error("the stronger host did not stop within 10 s")
		}
		askAll(t, weak, 5)
	})
}

func askAll(t *testing.T, tr *tier, n int) {
	t.Helper()
	for range n {
		askAllParts(t, tr, offload.MinParts)
	}
}

// askAllParts requests an answer and expects the given number of parts.
func askAllParts(t *testing.T, tr *tier, parts int) {
	t.Helper()
	g := tr.mustAsk(t, "GET", "/scatter/x", "")
	if g.status != http.StatusOK || g.header.Get("X-Missing-Parts") != fmt.Sprint(offload.MinParts-parts) {
		t.Errorf("answer is %d %q with %s missing parts", g.status, g.body, g.header.Get("X-Missing-Parts"))
	}
}

// block makes a replica silent until the end of the test, and signals each request.
func (s *shard) block(t *testing.T) (arrived chan struct{}) {
	t.Helper()
	arrived, release := make(chan struct{}, 4), make(chan struct{})
	s.reply = func(*http.Request, string) string {
		arrived <- struct{}{}
		<-release
		return ""
	}
	t.Cleanup(func() { close(release) })
	return arrived
}

// Guards against a caller that waits until its timeout after the stronger host has
// stopped, and against a request that is sent again or reported as not run although it
// may have run.
func TestStrongerHostStopsDuringRequest(t *testing.T) {
	weak, strong := startPair(t)
	arrived := weak.shards[3].block(t)
	go func() {
		<-arrived
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = strong.node.Close(ctx)
	}()
	began := time.Now()
	g := weak.mustAsk(t, "GET", "/scatter/x", "")
	if g.status != http.StatusBadGateway || g.header.Get("Retry-After") != "" {
		t.Errorf("answer is %d, Retry-After %q, want 502 without Retry-After", g.status, g.header.Get("Retry-After"))
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("answer took %v", took)
	}
	// The stronger host may stop before it has sent all parts.
	if n := weak.shards[0].requests.Load(); n > 1 {
		t.Errorf("a part was sent %d times", n)
	}
	askAllParts(t, weak, offload.MinParts-1)
}

// Guards against answers made with the route of another version of the configuration.
func TestHostWithOtherConfigurationRefuses(t *testing.T) {
	weak, strong := startPair(t)
	table := testTable(2, serviceNames(offload.MinParts))
	for route := range table.All() {
		route.MaxRecords--
	}
	updated := &tier{
		configuration: newStoreList(follow.Item[*routing.Table]{Name: "main", Revision: 9, Value: table}),
		registry:      weak.registry, dataCentresOut: weak.dataCentresOut, shards: weak.shards,
	}
	list := hostList{
		{ID: "strong", DataCentre: "dc", Address: strong.peerAddress, Cores: 0.8},
		{ID: "late", DataCentre: "dc", Address: freeAddress(t), Cores: 0.2},
	}
	updated.run(t, list[1], list)
	updated.awaitAlive(t, 1)
	askAll(t, updated, 3)
	if strong.counter("offload.taken") != 0 || updated.counter("offload.refused") == 0 {
		t.Errorf("%d requests accepted, want 0; %d refused, want some", strong.counter("offload.taken"), updated.counter("offload.refused"))
	}
}

// Guards against another host that continues a request after the caller has
// disconnected.
func TestCallerDisconnectsDuringRequest(t *testing.T) {
	weak, strong := startPair(t)
	arrived := weak.shards[3].block(t)
	ctx, cancel := context.WithCancel(t.Context())
	request, err := http.NewRequestWithContext(ctx, "GET", "http://"+weak.address+"/scatter/x", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	request.Header.Set("X-Request-Id", "disconnects")
	request.Header.Set("X-Deadline-Ms", "2000")
	go func() {
		<-arrived
		cancel()
	}()
	began := time.Now()
	if response, err := weak.client.Do(request); err == nil {
		response.Body.Close()
		t.Fatal("the request was answered")
	}
	for strong.counter("requests.failed") == 0 {
		if time.Since(began) > 200*time.Millisecond { // the target latency is 300 ms
			t.Fatal("the stronger host continues the request after the caller has disconnected")
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a request whose bytes change on their way through a stronger host.
func TestStrongerHostSendsTheBytesOfTheCaller(t *testing.T) {
	weak, strong := newPair(t)
	const target, value = "/scatter/caf\xe9?q=\xff<&>", "na\xefve"
	for _, s := range weak.shards {
		s.reply = func(r *http.Request, body string) string {
			if r.RequestURI != target || r.Header.Get("X-Name") != value || body != "b\xe9" {
				t.Errorf("the replica got %q, header %q, body %q", r.RequestURI, r.Header.Get("X-Name"), body)
			}
			return s.part(r, body)
		}
	}
	runPair(t, weak, strong)
	c, err := net.Dial("tcp", weak.address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Request-Id: id-bytes\r\nX-Name: %s\r\nX-Deadline-Ms: 2000\r\nContent-Length: 2\r\n\r\nb\xe9", target, value)
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("answer is %v, %v", response, err)
	}
	if strong.counter("offload.taken") != 1 {
		t.Error("the stronger host did not get the request")
	}
}

// serviceNames returns the names of the first n shards of a test tier.
func serviceNames(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("shard-%03d", i)
	}
	return names
}
