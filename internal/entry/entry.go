package entry

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/internal/lifecycle"
	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/internal/wait"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
	"github.com/marigoldlever/marigoldlever/watchers"
)

const (
	// housekeeping is the interval between looks at lapsed entries, connections
	// of replicas that are gone and unused statistics.
	housekeeping = 500 * time.Millisecond
	// statisticsAge is how long unused statistics are kept.
	statisticsAge = time.Minute
	// balancerLag is how long the balancer goes on sending new connections to a
	// host that is not ready: two checks a second apart, and their way.
	balancerLag = 2300 * time.Millisecond
	// stopMargin is left before the end of the grace period.
	stopMargin = time.Second
	// refuseTime is how long requests that still arrive are refused before the
	// listeners close. Connections that look idle are not closed sooner, since a
	// request may just have arrived on one of them.
	refuseTime = 250 * time.Millisecond
	// lateRequest is the time that a request must have left within the grace
	// period to be accepted while this host leaves.
	lateRequest = time.Second
	// memoryShare of the memory limit is used before the garbage collector works
	// harder.
	memoryShare = 0.7
	megabyte    = 1 << 20
	// collectorPercent lets the heap grow to a few times its live size, which is
	// small: on a fifth of a core, collecting more often delays answers.
	collectorPercent = 300
)

// followTimes are the waits after failed calls for a list of the store.
var followTimes = follow.Config{RetryFirst: 50 * time.Millisecond, RetryMost: 800 * time.Millisecond}

// Sources are the lists of the store that an entry follows.
type Sources struct {
	Configuration  follow.Source[*routing.Table]
	Replicas       follow.Source[replicas.Replica]
	DataCentresOut follow.Source[struct{}]
	Hosts          Hosts
	// HostsKnown is called with each list of the hosts.
	HostsKnown func([]watchers.Host)
}

// Entry is one host of the tier.
type Entry struct {
	settings   Settings
	bounds     atomic.Pointer[Bounds]
	callers    CallerCodec
	view       *view
	pool       *exchange.Pool
	reach      *reachability
	scatter    *scatter.Scatter
	lifecycle  *lifecycle.Lifecycle
	readiness  readiness
	partitions partitions
	metrics    *requestMetrics
	requestLog requestLog
	answers    *answerTimes
	shares     *shares
	overload   *overload
	offload    *offloader // nil if this host does all requests itself
}

// New returns an entry that does not run yet.
func New(s Settings, codec interface {
	exchange.Codec
	CallerCodec
}, registry metrics.Registry, seed uint64) *Entry {
	e := &Entry{settings: s, callers: codec, view: newView(), shares: newShares(), overload: newOverload(registry), metrics: newRequestMetrics(registry), answers: newAnswerTimes(s.LinkMbps)}
	e.bounds.Store(&s.Bounds)
	e.pool = exchange.NewPool(codec, e.connections, registry)
	e.reach = newReachability(e.pool.Probe, e.view.someIn)
	e.scatter = scatter.New(scatter.Config{
		Loops:     1,
		Allowance: func() query.Allowance { return query.NewServiceBudgets(time.Now(), e.budgetLimits) },
		Seed:      seed,
	})
	e.lifecycle = lifecycle.New(drain.Config{BalancerLag: balancerLag, LongestDeadline: lateRequest, Grace: s.Bounds.Grace - stopMargin})
	return e
}

// Reload takes changed settings. Addresses and names hold until a restart.
func (e *Entry) Reload(s Settings) {
	e.bounds.Store(&s.Bounds)
	restart := s.CallerAddress != e.settings.CallerAddress || s.StoreAddress != e.settings.StoreAddress ||
		s.DataCentre != e.settings.DataCentre
	klog.InfoS("Settings reloaded", "needRestart", restart)
}

// Run serves until stop is closed and the planned stop has ended. It returns the
// number of requests that the stop cut off.
func (e *Entry) Run(ctx context.Context, stop <-chan struct{}, sources Sources) (int, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if e.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(e.settings.MemoryMB) * megabyte))
		debug.SetGCPercent(collectorPercent)
	}
	servers, err := e.listen()
	if err != nil {
		return 0, err
	}
	e.view.onTable = func(t *routing.Table) {
		e.shares.setTable(t)
		servers.callers.setLimits(t.Limits)
		e.lifecycle.SetConfiguration(false)
	}
	var group sync.WaitGroup
	joined := make(chan struct{})
	group.Go(func() { e.learnHosts(ctx, sources.Hosts, sources.HostsKnown, sync.OnceFunc(func() { close(joined) })) })
	group.Go(func() {
		<-joined
		e.follow(ctx, sources)
	})
	group.Go(func() { wait.Every(ctx, housekeeping, e.keepHouse) })
	if e.offload != nil {
		group.Go(func() { wait.Every(ctx, aliveInterval, func(time.Time) { e.offload.look(ctx) }) })
	}
	group.Go(func() { wait.Every(ctx, reachTick, func(now time.Time) { e.reach.look(ctx, now) }) })
	<-stop
	klog.InfoS("Planned stop begins", "host", e.settings.Host, "inFlight", e.lifecycle.InFlight())
	cutOff := e.lifecycle.ShutDown(ctx)
	time.Sleep(refuseTime)
	cancel()
	servers.close()
	group.Wait()
	return cutOff, nil
}

// follow keeps the view up to date until ctx ends.
func (e *Entry) follow(ctx context.Context, sources Sources) {
	var group sync.WaitGroup
	group.Go(func() {
		follow.Run(ctx, followTimes, sources.Configuration, tableSink{dependency{"configuration"}, e.view})
	})
	group.Go(func() {
		follow.Run(ctx, followTimes, sources.Replicas, replicaSink{dependency{"replicas"}, e.view})
	})
	group.Go(func() {
		follow.Run(ctx, followTimes, sources.DataCentresOut, outSink{dependency{"data centres out"}, e.view})
	})
	group.Wait()
}

func (e *Entry) keepHouse(now time.Time) {
	e.pool.RetainOnly(e.view.expire(now))
	e.scatter.Prune(now.Add(-statisticsAge))
	e.overload.prune(now.Add(-statisticsAge))
}
