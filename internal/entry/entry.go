package entry

import (
	"context"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/internal/lifecycle"
	"github.com/marigoldlever/marigoldlever/internal/membudget"
	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/internal/wait"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/rollout"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
	"github.com/marigoldlever/marigoldlever/watchers"
)

const (
	// housekeepingInterval is the time between removals of lapsed registry entries,
	// connections to unregistered replicas and unused statistics.
	housekeepingInterval = 500 * time.Millisecond
	// maxStatisticsAge is how long unused statistics are kept.
	maxStatisticsAge = time.Minute
	// gcPercent lets the heap grow to twice its live size: a larger heap only costs memory
	// on most hosts. The few hosts from strongCores on handle the large requests of all
	// others, whose answers more frequent collection would delay.
	gcPercent       = 100
	strongGCPercent = 300
	strongCores     = 0.5
)

// collectorPercent returns by how many percent the heap of a host may grow beyond its
// live size before it is collected.
func collectorPercent(cores float64) int {
	if cores >= strongCores {
		return strongGCPercent
	}
	return gcPercent
}

// followConfig sets the backoff after failed calls to the store, and the time over which hosts
// without a watcher list again when the store begins a new era.
var followConfig = follow.Config{InitialBackoff: 50 * time.Millisecond, MaxBackoff: 800 * time.Millisecond, EraSpread: time.Second}

// Sources are the lists in the store that an entry follows.
type Sources struct {
	Configuration  follow.Source[*routing.Table]
	Replicas       follow.Source[replicas.Replica]
	DataCentresOut follow.Source[struct{}]
	// Rollouts are the operator's orders to roll out versions; nil if EnableRollouts was not
	// called.
	Rollouts follow.Source[rollout.Order]
	Hosts    Hosts
	// OnEra adds an observer of new eras of the store, which is restored from a copy then; nil
	// if it never is.
	OnEra func(observer func(era uint64))
	// OnHosts is called with each list of hosts that was read.
	OnHosts func([]watchers.Host)
}

// Entry is one host of the entry tier.
type Entry struct {
	settings   Settings
	bounds     atomic.Pointer[Bounds]
	callers    CallerCodec
	view       *view
	pool       *exchange.Pool
	reach      *reachability
	scatter    *scatter.Executor
	lifecycle  *lifecycle.Lifecycle
	readiness  readiness
	partitions partitions
	metrics    *requestMetrics
	requestLog requestLog
	answers    *answerTimes
	shares     *shares
	eras       *eraSignal
	overload   *overload
	loads      *loadMetrics
	memory     memory
	rollouts   *rollouts  // nil if roll-outs are not in force
	offload    *offloader // nil if this host does all requests itself
	quotas     *quotas    // nil if this host keeps no quotas
}

// New returns an entry; Run starts it.
func New(s Settings, codec interface {
	exchange.Codec
	CallerCodec
}, registry metrics.Registry, seed uint64) *Entry {
	e := &Entry{
		settings: s, callers: codec, view: newView(s.memoryLimit().Share(membudget.RegistryShare), registry),
		shares: newShares(), eras: newEraSignal(), overload: newOverload(registry), loads: newLoadMetrics(registry),
		metrics: newRequestMetrics(registry), answers: newAnswerTimes(s.LinkMbps), memory: newMemory(s.memoryLimit()),
	}
	e.bounds.Store(&s.Bounds)
	e.pool = exchange.NewPool(codec, e.connections, registry)
	e.pool.LimitMemory(s.memoryLimit().Share(membudget.ReplyShare), s.memoryLimit().Share(membudget.RepliesShare))
	e.reach = newReachability(e.pool.Probe, e.view.sampleAddresses)
	e.scatter = scatter.New(scatter.Config{
		Stripes:     1,
		RetryBudget: func() query.RetryBudget { return query.NewServiceBudgets(time.Now(), e.budgetLimits) },
		Seed:        seed,
	})
	e.lifecycle = lifecycle.New(drainConfig(s.Bounds.Grace))
	e.lifecycle.Conclude = e.conclude
	return e
}

// Reload applies changed bounds. Changed addresses and names take effect only after a
// restart.
func (e *Entry) Reload(s Settings) {
	e.bounds.Store(&s.Bounds)
	e.quotas.setBounds(s.Bounds.Quota)
	e.lifecycle.SetConfig(drainConfig(s.Bounds.Grace))
	restart := s.CallerAddress != e.settings.CallerAddress || s.StoreAddress != e.settings.StoreAddress ||
		s.DataCentre != e.settings.DataCentre
	klog.InfoS("Settings reloaded", "needRestart", restart)
}

// Run serves until stop is closed and the planned stop has ended. It returns the number
// of requests that were still in progress then, and the time by which the process should
// end.
func (e *Entry) Run(ctx context.Context, stop <-chan struct{}, sources Sources) (cutOff int, end time.Time, _ error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if e.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(e.settings.memoryLimit().CollectorLimit())
		debug.SetGCPercent(collectorPercent(e.settings.Cores))
	}
	servers, err := e.listen()
	if err != nil {
		return 0, end, err
	}
	e.view.onTable = func(t *routing.Table) {
		e.shares.setTable(t)
		e.quotas.setTable(t)
		servers.callers.setLimits(t.Limits)
		e.lifecycle.SetConfiguration(false)
	}
	if sources.OnEra != nil {
		sources.OnEra(func(uint64) { e.eras.notify() })
	}
	var group sync.WaitGroup
	joined := make(chan struct{})
	group.Go(func() { e.trackHosts(ctx, sources.Hosts, sources.OnHosts, sync.OnceFunc(func() { close(joined) })) })
	group.Go(func() {
		<-joined
		e.follow(ctx, sources)
	})
	group.Go(func() { wait.Every(ctx, housekeepingInterval, e.housekeep) })
	group.Go(func() {
		wait.Every(ctx, loadInterval, func(now time.Time) { e.scatter.SummarizeLoad(now, e.loads.record) })
	})
	if e.offload != nil {
		group.Go(func() { wait.Every(ctx, aliveInterval, func(time.Time) { e.offload.tick(ctx) }) })
	}
	if e.rollouts != nil {
		group.Go(func() { e.rollouts.runUntil(ctx) })
	}
	group.Go(func() { e.quotas.run(ctx) })
	group.Go(func() { wait.Every(ctx, reachTick, func(now time.Time) { e.reach.tick(ctx, now) }) })
	<-stop
	e.rollouts.resign()
	cutOff, end = e.stop(ctx, servers)
	cancel()
	waitUntil(&group, end)
	return cutOff, end, nil
}

// follow keeps the view up to date until ctx ends.
func (e *Entry) follow(ctx context.Context, sources Sources) {
	var group sync.WaitGroup
	group.Go(func() {
		follow.Run(ctx, followConfig, sources.Configuration, tableSink{listLog{"configuration"}, e.view})
	})
	group.Go(func() {
		follow.Run(ctx, followConfig, sources.Replicas, replicaSink{listLog{"replicas"}, e.view})
	})
	group.Go(func() {
		follow.Run(ctx, followConfig, sources.DataCentresOut, outSink{listLog{"data centres out"}, e.view})
	})
	if e.rollouts != nil && sources.Rollouts != nil {
		group.Go(func() {
			follow.Run(ctx, followConfig, sources.Rollouts, orderSink{listLog{"roll-outs"}, e.view, e.rollouts})
		})
	}
	group.Wait()
}

func (e *Entry) housekeep(now time.Time) {
	e.pool.RetainOnly(e.view.expire(now))
	e.scatter.Prune(now.Add(-maxStatisticsAge), e.settings.memoryLimit().Statistics())
	e.overload.prune(now, now.Add(-maxStatisticsAge))
}
