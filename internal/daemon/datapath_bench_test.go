package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/configuration"
	"github.com/marigoldlever/marigoldlever/contract"
	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/internal/layout"
	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/ownership"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/upstream"
)

const (
	benchCentre = "dc-1"
	// benchSlots exceeds the requests that any benchmark has in flight at a replica, so
	// that no time in a queue is measured.
	benchSlots = 1000
	// benchServices is the largest fan-out.
	benchServices = 620
	benchDeadline = 5 * time.Second
	// benchLease lasts for the whole benchmark.
	benchLease = 4 * time.Hour
)

var (
	benchBody    = json.RawMessage(`{"query":"` + strings.Repeat("q", 52) + `"}`)
	benchRecords = json.RawMessage(`{"records":"` + strings.Repeat("r", 242) + `"}`)
)

// instantClient is an upstream that answers immediately.
type instantClient struct{}

func (instantClient) Do(_ context.Context, _ string, r upstream.Request) (upstream.Reply, error) {
	return upstream.Reply{
		Attempt: r.Attempt, Service: r.Service, Snapshot: r.Snapshot, Held: []uint64{6, 7}, Partition: r.Partition,
		Incarnation: "i-1", Load: upstream.Load{Slots: benchSlots}, Records: benchRecords,
	}, nil
}

// benchHost is the data path of one daemon with its real directory and rights.
type benchHost struct {
	node      *peer.Node
	directory *directory
	gateway   *gateway
	router    *router
}

func benchActive(b *testing.B) *configuration.Active {
	b.Helper()
	l := layout.Layout{
		Name: "bench", Region: "bench", DataCentres: []string{benchCentre},
		Groups: []layout.Group{{Name: "shards", Services: benchServices, Replicas: 2, Slots: benchSlots, Connections: benchSlots}},
		Contracts: []contract.Contract{{
			Name: "bench", Groups: []string{"shards"}, AnswerTime: "2 second", MinimumCoverage: "1 whole",
			UpstreamLoad: "1000 slot", ColdFloor: "1000 slot", ColdStep: "1 slot", Prefer: contract.PreferCoverage,
		}},
	}
	active, err := configuration.Compile(configuration.Version{Number: 1, Document: l.Document(netip.MustParseAddrPort("127.0.0.1:20000"))})
	if err != nil {
		b.Fatal(err)
	}
	return active
}

func newBenchHost(b *testing.B, id string, active *configuration.Active) *benchHost {
	b.Helper()
	node := peer.NewNode(peer.Config{})
	if err := node.Listen("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = node.Close(context.Background()) })
	self := ownership.Member{ID: id, Incarnation: "1", PeerAddress: node.Address()}
	registry := metrics.NewRegistry()
	holder := ownership.NewLeaseHolder(ownership.Config{Lease: benchLease, LongestDeadline: benchDeadline}, self)
	d := newDirectory(self, benchCentre, drain.NewGate(drain.DefaultConfig()), holder)
	d.setConfiguration(time.Now(), active)
	g := newGateway(instantClient{}, d, registry)
	g.isClosed = d.isClosed
	g.onReceive = func(replica string, r upstream.Reply, err error, at time.Time) { d.recordReply(replica, r, err, at) }
	return &benchHost{node: node, directory: d, gateway: g, router: newRouter(id, d, g, node, registry)}
}

// setOwners makes the members the owners of all replicas, with their rights in force.
func (h *benchHost) setOwners(members ...ownership.Member) {
	now := time.Now()
	adopted, proven := now.Add(-6*time.Hour), now.Add(-3*time.Hour)
	h.directory.setTable(adopted, ownership.Table{DataCentre: benchCentre, Epoch: 1, Members: members})
	h.directory.withHolder(func(_ time.Time, holder *ownership.LeaseHolder) {
		holder.AddProof(adopted, 1, adopted)
		holder.AddProof(proven, 1, proven)
	})
}

var benchSerial atomic.Uint64

func benchAttempt(replica int, finish func(error)) scatter.Attempt {
	service := fmt.Sprintf("shards-%02d", replica+1)
	id := fmt.Sprintf("0123456789abcdef.%d", benchSerial.Add(1))
	return scatter.Attempt{
		ID: id, Replica: service + "-1", Deadline: time.Now().Add(benchDeadline),
		Request: upstream.Request{Attempt: id, Service: service, Kind: upstream.Read, Snapshot: 7, Body: benchBody},
		Done:    func(_ upstream.Reply, err error) { finish(err) },
	}
}

// fanOut sends n sub-requests, in one call of Send if grouped or else in one each, and
// waits for their replies.
func (h *benchHost) fanOut(b *testing.B, n int, grouped bool) {
	var wait sync.WaitGroup
	wait.Add(n)
	finish := func(err error) {
		if err != nil {
			b.Error(err)
		}
		wait.Done()
	}
	attempts := make([]scatter.Attempt, n)
	for i := range attempts {
		attempts[i] = benchAttempt(i%benchServices, finish)
	}
	if grouped {
		h.router.Send(context.Background(), attempts)
	} else {
		for i := range attempts {
			h.router.Send(context.Background(), attempts[i:i+1])
		}
	}
	wait.Wait()
}

// reportPerSubRequest reports the cost of one sub-request: processor time of all cores,
// bytes and allocations. The benchmark's own ns/op is wall time, which depends on the
// other load of the machine.
func reportPerSubRequest(b *testing.B, n int, nodes []*peer.Node, run func()) {
	b.Helper()
	run() // creates the limiters and connections
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start, sent := processorTime(), sentBytes(nodes)
	for b.Loop() {
		run()
	}
	used, bytes := processorTime()-start, sentBytes(nodes)-sent
	runtime.ReadMemStats(&after)
	subs := float64(b.N * n)
	b.ReportMetric(float64(used.Nanoseconds())/subs, "cpu-ns/sub")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/subs, "allocs/sub")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/subs, "B/sub")
	b.ReportMetric(float64(bytes)/subs, "wire-B/sub")
}

func processorTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

func sentBytes(nodes []*peer.Node) int64 {
	var n int64
	for _, node := range nodes {
		n += node.Stats().SentBytes
	}
	return n
}

// BenchmarkLocalOwner measures sub-requests whose owner is this host.
func BenchmarkLocalOwner(b *testing.B) {
	active := benchActive(b)
	for _, n := range []int{20, 60, 200, 620} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			h := newBenchHost(b, "a", active)
			h.setOwners(h.directory.self)
			reportPerSubRequest(b, n, nil, func() { h.fanOut(b, n, true) })
		})
	}
}

// BenchmarkRemoteOwner measures sub-requests whose owner is another host, including the
// cost at the owner: all sub-requests of a query in one call, or one call each.
func BenchmarkRemoteOwner(b *testing.B) {
	active := benchActive(b)
	for _, grouped := range []bool{true, false} {
		for _, n := range []int{1, 2, 20, 60, 200, 620} {
			b.Run(fmt.Sprintf("grouped=%t/%d", grouped, n), func(b *testing.B) {
				entry, owner := newBenchHost(b, "a", active), newBenchHost(b, "b", active)
				entry.setOwners(owner.directory.self)
				owner.setOwners(owner.directory.self)
				reportPerSubRequest(b, n, []*peer.Node{entry.node, owner.node}, func() { entry.fanOut(b, n, grouped) })
			})
		}
	}
}

// BenchmarkManyRemoteOwners spreads the sub-requests of a query over 20 owners. At the
// target size almost every owner gets only one sub-request of a query.
func BenchmarkManyRemoteOwners(b *testing.B) {
	const owners = 20
	active := benchActive(b)
	entry := newBenchHost(b, "entry", active)
	nodes := []*peer.Node{entry.node}
	var members []ownership.Member
	var hosts []*benchHost
	for i := range owners {
		h := newBenchHost(b, fmt.Sprintf("owner-%02d", i), active)
		nodes, members, hosts = append(nodes, h.node), append(members, h.directory.self), append(hosts, h)
	}
	for _, h := range append(hosts, entry) {
		h.setOwners(members...)
	}
	b.Run("20", func(b *testing.B) { reportPerSubRequest(b, 20, nodes, func() { entry.fanOut(b, 20, true) }) })
	b.Run("620", func(b *testing.B) { reportPerSubRequest(b, 620, nodes, func() { entry.fanOut(b, 620, true) }) })
}

// BenchmarkLocalOwnerContended sends from all cores concurrently to an owner in the same
// process, to measure the cost of its locks.
func BenchmarkLocalOwnerContended(b *testing.B) {
	h := newBenchHost(b, "a", benchActive(b))
	h.setOwners(h.directory.self)
	h.fanOut(b, benchServices, true)
	start := processorTime()
	var next atomic.Uint64
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			done := make(chan error, 1)
			a := benchAttempt(int(next.Add(1)%benchServices), func(err error) { done <- err })
			h.router.Send(context.Background(), []scatter.Attempt{a})
			if err := <-done; err != nil {
				b.Error(err)
			}
		}
	})
	b.ReportMetric(float64((processorTime()-start).Nanoseconds())/float64(b.N), "cpu-ns/sub")
}
