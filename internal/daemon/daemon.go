// Package daemon wires the cores to sockets, clocks and the platform. Each file
// runs one core; Daemon connects them.
package daemon

import (
	"context"
	"net"
	"runtime"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/configuration"
	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/lifecycle"
	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/internal/settings"
	"github.com/marigoldlever/marigoldlever/membership"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/objectstore/httpstore"
	"github.com/marigoldlever/marigoldlever/once"
	"github.com/marigoldlever/marigoldlever/ownership"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream/upstreamhttp"
)

const (
	// maxScatterLoops bounds the locks that queries are divided over; more than
	// a few no longer lower contention but split the latency statistics.
	maxScatterLoops = 4
	// retryBurst is how many extra sends a budget can save up.
	retryBurst = 20
	// burstSeconds is how many seconds of its call rate a host may save up.
	burstSeconds = 2
	// maintenanceInterval is the time between looks at shares, host list and
	// ramp notices.
	maintenanceInterval = time.Second
	// statisticsAge is when unused latency statistics are forgotten.
	statisticsAge = 10 * time.Minute
	// shutDownMargin is allowed on top of the grace period for writing the
	// release and the host list entry.
	shutDownMargin = 3 * time.Second
)

// Daemon is one host of the system.
type Daemon struct {
	settings    settings.Settings
	incarnation string
	registry    metrics.Registry
	tuning      query.Tuning

	platform *httpstore.Client
	client   *upstreamhttp.Client
	node     *peer.Node
	server   *api.Server

	directory     *directory
	gateway       *gateway
	router        *router
	scatter       *scatter.Scatter
	configuration *configurationRunner
	tables        *tableRunner
	proofs        *proofRunner
	members       *memberRunner
	hosts         *hostList
	reopener      *reopener
	journal       *journalRunner
	lifecycle     *lifecycle.Lifecycle

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	replacedOnce sync.Once
}

// New returns a daemon that doesn't listen yet.
func New(s settings.Settings) (*Daemon, error) {
	registry := metrics.NewRegistry()
	client, err := httpstore.New(httpstore.Config{
		BaseURL: "http://" + s.Platform.Address, DataCentre: s.Host.DataCentre, CallTimeout: s.Platform.Timeout,
		Reads:   httpstore.Rate{PerSecond: float64(s.Platform.ReadsPerSecond), Burst: burstSeconds * s.Platform.ReadsPerSecond},
		Writes:  httpstore.Rate{PerSecond: float64(s.Platform.WritesPerSecond), Burst: burstSeconds * s.Platform.WritesPerSecond},
		Metrics: registry,
	})
	if err != nil {
		return nil, errors.Wrap(err, "platform client")
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, registry: registry, platform: client, ctx: ctx, cancel: cancel,
		// Incarnations of a host sort by time of start.
		incarnation: strconv.FormatInt(time.Now().UnixMilli(), 36) + "-" + uuid.NewString()[:8],
		client:      upstreamhttp.New(upstreamhttp.Config{}),
		node:        peer.NewNode(peer.Config{Advertise: s.Host.PeerAddress}),
		tuning:      tuningOf(s.Policy),
	}
	if err := d.build(newTracedStore(client)); err != nil {
		cancel()
		return nil, err
	}
	return d, nil
}

// build makes the parts and connects them.
func (d *Daemon) build(store objectstore.Store) error {
	s := d.settings
	self := ownership.Member{ID: s.Host.ID, Incarnation: d.incarnation, PeerAddress: s.Host.PeerAddress}
	seed := uint64(time.Now().UnixNano())
	drainConfig := drain.DefaultConfig()
	drainConfig.BalancerLag = s.Drain.BalancerLag
	drainConfig.Grace = s.Drain.Grace
	drainConfig.LongestDeadline = s.Limits.LongestDeadline
	if err := drainConfig.Validate(); err != nil {
		return errors.Wrap(err, "settings [drain]")
	}
	holder := ownership.NewHolder(ownership.Config{Lease: s.Ownership.Lease, LongestDeadline: s.Limits.LongestDeadline}, self)
	d.directory = newDirectory(self, s.Host.DataCentre, drain.NewGate(drainConfig), holder)
	d.gateway = newGateway(d.client, d.directory, d.registry)
	d.router = newRouter(s.Host.ID, d.directory, d.gateway, d.node, d.registry)
	d.scatter = scatter.New(scatter.Config{
		Loops:     min(runtime.GOMAXPROCS(0), maxScatterLoops),
		Allowance: func() query.Allowance { return query.NewBudget(s.Policy.ExtraLoad, retryBurst) },
		Seed:      seed,
		Observe:   d.learn,
	})
	d.configuration = newConfigurationRunner(d.ctx, &d.wait, s.Host.ID, store, d.node)
	keeperConfig := ownership.DefaultKeeperConfig()
	keeperConfig.Lease = s.Ownership.Lease
	d.tables = newTableRunner(d.ctx, keeperConfig, s.Host.DataCentre, self, store, d.node, d.directory)
	d.proofs = newProofRunner(self, s.Ownership.Lease, d.tables, d.node)
	d.lifecycle = lifecycle.New(drainConfig)
	onceConfig := once.DefaultConfig()
	onceConfig.Journals = s.Once.Journals
	onceConfig.MaxAge = s.Once.MaximumAge
	onceConfig.ClockError = s.Once.ClockError
	dispatcher := &upstreamDispatcher{router: d.router, replicas: d.directory}
	var err error
	if d.journal, err = newJournalRunner(d.ctx, onceConfig, s.Host.ID, d.incarnation, store, d.node, dispatcher, seed); err != nil {
		return err
	}
	d.members = newMemberRunner(d.ctx, s.Membership.Period, self, s.Host.DataCentre, s.Peers.Seeds, d.node, seed)
	d.hosts = newHostList(s.Host.ID, d.platform, d.node)
	d.reopener = newReopener(d)
	d.node.Handle(methodColdNotice, d.handleColdNotice)
	d.node.Handle(methodStatusHost, d.handleStatus)
	d.server = api.NewServer(d, api.Limits{
		BodyBytes: s.Limits.BodyBytes, ConcurrentRequests: s.Limits.ConcurrentRequests,
		HeaderTimeout: s.Limits.HeaderTimeout, BodyTimeout: s.Limits.BodyTimeout, LongestDeadline: s.Limits.LongestDeadline,
	}, d.registry)
	d.connect()
	return nil
}

// connect sets what the parts tell each other.
func (d *Daemon) connect() {
	d.gateway.connect = d.client.SetConnections
	d.gateway.closed = d.directory.closed
	d.gateway.heard = d.learn
	d.gateway.tell = d.tellLevel
	d.configuration.inForce = d.putInForce
	d.tables.holders = d.members.holdersOfTable
	d.tables.changed = d.tableChanged
	d.members.changed, d.members.heard, d.members.superseded = d.membersChanged, d.factsHeard, d.replaced
	d.members.proof = func(p membership.Proof) { d.tables.prove(p.Epoch, p.At) }
	d.proofs.proven = d.members.setProof
	d.proofs.live = d.members.liveHere
	d.directory.live = d.members.isLive
	d.hosts.live, d.hosts.peers, d.hosts.changed = d.members.liveHere, d.members.othersHere, d.takeHosts
	d.journal.hosts, d.journal.address = d.members.journalWriters, d.members.address
	d.lifecycle.Announce = d.announce
	d.lifecycle.Release = d.release
	d.router.begin = func() bool { return d.begin(drain.OwnerWork) }
	d.router.end = func() { d.end(drain.OwnerWork) }
	d.journal.begin = func() bool { return d.begin(drain.RecordWork) }
	d.journal.end = func() { d.end(drain.RecordWork) }
}

func tuningOf(p settings.Policy) query.Tuning {
	t := query.DefaultTuning()
	t.Selection = map[string]query.Selection{
		"two-choices": query.TwoChoices, "round-robin": query.RoundRobin, "random": query.Random,
	}[p.Choice]
	t.Hedging = map[string]query.Hedging{
		"quantile": query.HedgeQuantile, "fixed": query.HedgeFixed, "off": query.HedgeOff,
	}[p.Hedge]
	t.HedgeDelay = p.HedgeDelay
	t.HedgeQuantile = p.HedgeQuantile
	return t
}

// Run serves until ctx ends, then makes a planned stop. It returns the number of
// requests that the stop cut off.
func (d *Daemon) Run(ctx context.Context) (int, error) {
	callers, err := net.Listen("tcp", d.settings.Host.CallerAddress)
	if err != nil {
		return 0, errors.Wrap(err, "listen for callers")
	}
	if err := d.node.Listen(d.settings.Host.PeerAddress); err != nil {
		return 0, errors.CombineErrors(errors.Wrap(err, "listen for peers"), callers.Close())
	}
	failed := make(chan error, 1)
	go func() { failed <- d.server.Serve(callers) }()
	d.start()
	klog.InfoS("Host started", "host", d.settings.Host.ID, "dataCentre", d.settings.Host.DataCentre,
		"incarnation", d.incarnation, "callers", callers.Addr(), "peers", d.node.Address())
	select {
	case err := <-failed:
		d.Kill()
		return 0, errors.Wrap(err, "serve callers")
	case <-ctx.Done():
		return d.stop(), nil
	}
}

func (d *Daemon) start() {
	d.background(d.configuration.pollUntilReady)
	d.background(func() { d.proofs.run(d.ctx) })
	d.background(d.maintain)
	d.members.start()
	d.tables.start()
}

func (d *Daemon) background(run func()) {
	d.wait.Add(1)
	go func() {
		defer d.wait.Done()
		run()
	}()
}

// stop makes a planned stop and returns the number of requests cut off.
func (d *Daemon) stop() int {
	klog.InfoS("Planned stop begins", "host", d.settings.Host.ID, "inFlight", d.lifecycle.InFlight())
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Drain.Grace+shutDownMargin)
	defer cancel()
	cutOff := d.lifecycle.ShutDown(ctx)
	if err := d.platform.Deregister(ctx, d.settings.Host.ID); err != nil {
		klog.V(1).InfoS("Host list entry not removed", "err", err)
	}
	closing, stop := context.WithTimeout(ctx, shutDownMargin)
	defer stop()
	if err := d.server.Shutdown(closing); err != nil {
		klog.ErrorS(err, "Caller connections still open")
	}
	if err := d.node.Close(closing); err != nil {
		klog.V(1).InfoS("Peer connections still in use", "err", err)
	}
	d.Kill()
	klog.InfoS("Planned stop done", "host", d.settings.Host.ID, "cutOff", cutOff)
	return cutOff
}

// Kill ends everything at once, as a crash does.
func (d *Daemon) Kill() {
	d.cancel()
	d.members.step.Stop()
	d.tables.step.Stop()
	d.configuration.stop()
	d.journal.step.Stop()
	closed, cancel := context.WithCancel(context.Background())
	cancel()
	_ = d.server.Shutdown(closed)
	_ = d.node.Close(closed)
	d.client.Close()
	d.platform.Close()
	d.wait.Wait()
}

// announce tells peers and the host list the phase of this host.
func (d *Daemon) announce(p drain.Phase) {
	d.members.announce(p)
	if p == drain.Leaving {
		go d.register()
	}
}

// release writes what this host still has to write, then gives up its shares.
func (d *Daemon) release() {
	d.journal.flush(d.ctx)
	d.tables.release(d.ctx)
}

// replaced ends this process: a later one of the same host runs, and two would
// use the host's shares together.
func (d *Daemon) replaced() {
	d.replacedOnce.Do(func() {
		klog.ErrorS(nil, "Another process of this host was seen, this one stops", "host", d.settings.Host.ID)
		go d.lifecycle.Stop()
	})
}

// tableChanged applies a new table of any data centre.
func (d *Daemon) tableChanged(t ownership.Table) {
	d.members.setEpoch(t.DataCentre, t.Epoch)
	if t.DataCentre == d.settings.Host.DataCentre {
		d.gateway.refresh()
	}
}

func (d *Daemon) begin(w drain.Work) bool { return d.lifecycle.Begin(w) }

func (d *Daemon) end(w drain.Work) { d.lifecycle.End(w) }

// attemptPrefix makes ids that no other host or incarnation uses, even if two
// callers choose the same request id.
func (d *Daemon) attemptPrefix(requestID string) string {
	return requestID + "." + uuid.NewString()[:13]
}

// putInForce applies a new configuration to all parts.
func (d *Daemon) putInForce(active *configuration.Active) {
	cold := d.directory.setConfiguration(time.Now(), active)
	d.lifecycle.SetConfiguration(active.Out(d.settings.Host.DataCentre))
	d.gateway.refresh()
	d.chill(cold)
	for _, centre := range active.Document.DataCentres {
		if centre.Out {
			d.scatter.Exclude(query.Exclusion{DataCentre: centre.Name, Reason: query.ReasonOut})
		}
	}
	d.scatter.Repartition(func(r *scatter.Run) []query.Group { return d.directory.regroup(r.Groups()) })
	d.members.setConfiguration(active.Number)
}

func (d *Daemon) chill(cold []drain.Cold) {
	for _, c := range cold {
		d.gateway.chill(c.Replicas)
	}
}

func (d *Daemon) countSends(c query.Counts) {
	metrics.GetOrRegisterCounter("query.sends.primary", d.registry).Inc(int64(c.Primary))
	metrics.GetOrRegisterCounter("query.sends.hedges", d.registry).Inc(int64(c.Hedges))
	metrics.GetOrRegisterCounter("query.sends.retries", d.registry).Inc(int64(c.Retries))
	metrics.GetOrRegisterCounter("query.replies.dropped", d.registry).Inc(int64(c.Dropped))
}
