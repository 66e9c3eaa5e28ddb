// Package daemon runs the state machines of the other packages with sockets, clocks
// and the platform. Each file runs one state machine; Daemon connects them.
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
	"github.com/marigoldlever/marigoldlever/internal/callers"
	"github.com/marigoldlever/marigoldlever/internal/lifecycle"
	"github.com/marigoldlever/marigoldlever/internal/membudget"
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
	// maxScatterStripes limits the number of stripes, each with a lock of its own, that
	// queries are spread over. More than a few don't lower contention further, but
	// split the latency statistics.
	maxScatterStripes = 4
	// retryBurst is the largest number of extra sends, retries and hedges, that a
	// query budget accumulates.
	retryBurst = 20
	// burstSeconds is the burst of platform calls, in seconds of the sustained rate.
	burstSeconds = 2
	// maintenanceInterval is the period in which the host list and the shares are
	// refreshed and ramp levels are sent to co-owners.
	maintenanceInterval = time.Second
	// statisticsAge is the time after which unused latency statistics are dropped.
	statisticsAge = 10 * time.Minute
	// shutDownMargin extends the grace period by the time to write the release of
	// the shares and the host list entry.
	shutDownMargin = 3 * time.Second
)

// Daemon is one host of the system.
type Daemon struct {
	settings    settings.Settings
	incarnation string
	registry    metrics.Registry
	tuning      query.Tuning
	memory      memory

	platform *httpstore.Client
	client   *upstreamhttp.Client
	node     *peer.Node
	server   *api.Server

	directory     *directory
	gateway       *gateway
	router        *router
	scatter       *scatter.Executor
	configuration *configurationRunner
	tables        *tableRunner
	proofs        *proofRunner
	members       *memberRunner
	hosts         *hostList
	drainedProber *drainedProber
	journal       *journalRunner
	lifecycle     *lifecycle.Lifecycle

	ctx    context.Context
	cancel context.CancelFunc
	wait   sync.WaitGroup

	supersededOnce sync.Once
}

// New returns a daemon that does not listen until Run is called.
func New(s settings.Settings) (*Daemon, error) {
	registry := metrics.NewRegistry()
	limit := membudget.Host(s.Limits.MemoryMB)
	client, err := httpstore.New(httpstore.Config{
		BaseURL: "http://" + s.Platform.Address, DataCentre: s.Host.DataCentre, CallTimeout: s.Platform.Timeout,
		Reads:   httpstore.Rate{PerSecond: float64(s.Platform.ReadsPerSecond), Burst: burstSeconds * s.Platform.ReadsPerSecond},
		Writes:  httpstore.Rate{PerSecond: float64(s.Platform.WritesPerSecond), Burst: burstSeconds * s.Platform.WritesPerSecond},
		Metrics: registry, HostListBytes: limit.Share(membudget.ListsShare),
	})
	if err != nil {
		return nil, errors.Wrap(err, "platform client")
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s, registry: registry, platform: client, ctx: ctx, cancel: cancel,
		// The prefix makes the incarnations of a host sort by start time.
		incarnation: strconv.FormatInt(time.Now().UnixMilli(), 36) + "-" + uuid.NewString()[:8],
		node:        peer.NewNode(peer.Config{Advertise: s.Host.PeerAddress, MaxTotalBytes: int(limit.Share(membudget.PeersShare))}),
		tuning:      tuningOf(s.Policy),
		memory:      newMemory(limit),
	}
	d.client = upstreamhttp.New(upstreamhttp.Config{MaxReplyBytes: limit.Share(membudget.ReplyShare), Memory: d.memory.content})
	if err := d.build(newTracedStore(client)); err != nil {
		cancel()
		return nil, err
	}
	return d, nil
}

// build creates the components and connects them.
func (d *Daemon) build(store objectstore.Store) error {
	s := d.settings
	limit := membudget.Host(s.Limits.MemoryMB)
	self := ownership.Member{ID: s.Host.ID, Incarnation: d.incarnation, PeerAddress: s.Host.PeerAddress}
	seed := uint64(time.Now().UnixNano())
	drainConfig := drain.DefaultConfig()
	drainConfig.BalancerLag = s.Drain.BalancerLag
	drainConfig.Grace = s.Drain.Grace
	drainConfig.LongestDeadline = s.Limits.LongestDeadline
	drainConfig.AnswerTime = min(drainConfig.AnswerTime, drainConfig.Grace-drainConfig.MinimumGrace())
	if err := drainConfig.Validate(); err != nil {
		return errors.Wrap(err, "settings [drain]")
	}
	holder := ownership.NewLeaseHolder(ownership.Config{Lease: s.Ownership.Lease, LongestDeadline: s.Limits.LongestDeadline}, self)
	d.directory = newDirectory(self, s.Host.DataCentre, drain.NewGate(drainConfig), holder)
	d.gateway = newGateway(d.client, d.directory, d.registry)
	d.router = newRouter(s.Host.ID, d.directory, d.gateway, d.node, d.registry)
	d.scatter = scatter.New(scatter.Config{
		Stripes:     min(runtime.GOMAXPROCS(0), maxScatterStripes),
		RetryBudget: func() query.RetryBudget { return query.NewRatioBudget(s.Policy.ExtraLoad, retryBurst) },
		Seed:        seed,
		OnReply:     d.observeReply,
	})
	d.configuration = newConfigurationRunner(d.ctx, &d.wait, s.Host.ID, store, d.node)
	reconcilerConfig := ownership.DefaultReconcilerConfig()
	reconcilerConfig.Lease = s.Ownership.Lease
	d.tables = newTableRunner(d.ctx, reconcilerConfig, s.Host.DataCentre, self, store, d.node, d.directory)
	d.proofs = newProofRunner(self, s.Ownership.Lease, d.tables, d.node)
	d.lifecycle = lifecycle.New(drainConfig)
	onceConfig := once.DefaultConfig()
	onceConfig.Journals = s.Once.Journals
	onceConfig.MaxAge = s.Once.MaximumAge
	onceConfig.ClockError = s.Once.ClockError
	onceConfig.MaxPendingBytes = int(limit.Share(membudget.BodiesShare))
	dispatcher := &upstreamDispatcher{router: d.router, replicas: d.directory}
	var err error
	if d.journal, err = newJournalRunner(d.ctx, onceConfig, s.Host.ID, d.incarnation, store, d.node, dispatcher, seed); err != nil {
		return err
	}
	d.members = newMemberRunner(d.ctx, s.Membership.Period, self, s.Host.DataCentre, s.Peers.Seeds, d.node, seed)
	d.hosts = newHostList(s.Host.ID, d.platform, d.node)
	d.drainedProber = newDrainedProber(d)
	d.node.Handle(methodColdNotice, d.handleColdNotice)
	d.node.Handle(methodStatusHost, d.handleStatus)
	d.server = api.NewServer(d, api.Limits{
		BodyBytes: s.Limits.BodyBytes, ConcurrentRequests: s.Limits.ConcurrentRequests,
		HeaderTimeout: s.Limits.HeaderTimeout, BodyTimeout: s.Limits.BodyTimeout, LongestDeadline: s.Limits.LongestDeadline,
		Connections: callers.Places(limit.Connections(), callers.DescriptorLimit()), Memory: d.memory.content,
	}, d.registry)
	d.connect()
	return nil
}

// connect sets the callbacks between the components.
func (d *Daemon) connect() {
	d.gateway.connect = d.client.SetConnections
	d.gateway.isClosed = d.directory.isClosed
	d.gateway.onReceive = d.observeReply
	d.gateway.notifyOwners = d.sendLevel
	d.configuration.onInForce = d.applyConfiguration
	d.tables.holders = d.members.tableHolders
	d.tables.onChange = d.tableChanged
	d.members.onChange, d.members.onReceive, d.members.superseded = d.applyMembers, d.applyFacts, d.stopSuperseded
	d.members.proof = func(p membership.Proof) { d.tables.addProof(p.Epoch, p.At) }
	d.proofs.onProof = d.members.setProof
	d.proofs.live = d.members.liveInDataCentre
	d.directory.live = d.members.isLive
	d.hosts.live, d.hosts.peers, d.hosts.onChange = d.members.liveInDataCentre, d.members.othersInDataCentre, d.applyHostList
	d.journal.hosts, d.journal.address = d.members.journalWriters, d.members.address
	d.lifecycle.Announce = d.announcePhase
	d.lifecycle.Release = d.release
	d.lifecycle.Conclude = d.scatter.Conclude
	d.router.beginWork = func(deadline time.Time) bool { return d.beginWork(drain.OwnerWork, deadline) }
	d.router.reserve = d.memory.reserveWork
	d.router.endWork = func() { d.endWork(drain.OwnerWork) }
	d.journal.beginWork = func(deadline time.Time) bool { return d.beginWork(drain.RecordWork, deadline) }
	d.journal.endWork = func() { d.endWork(drain.RecordWork) }
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

// Run serves until ctx ends and then makes a planned stop. It returns the number of
// requests that were still running when the stop ended.
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

// background runs a function in a goroutine that Kill waits for.
func (d *Daemon) background(run func()) {
	d.wait.Add(1)
	go func() {
		defer d.wait.Done()
		run()
	}()
}

// stop makes a planned stop and returns the number of requests that were still
// running at its end.
func (d *Daemon) stop() int {
	klog.InfoS("Planned stop begins", "host", d.settings.Host.ID, "inFlight", d.lifecycle.InFlight())
	ctx, cancel := context.WithTimeout(context.Background(), d.settings.Drain.Grace+shutDownMargin)
	defer cancel()
	cutOff := d.lifecycle.StopAndWait(ctx)
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

// Kill stops all components immediately, without draining, as a crash would.
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

// announcePhase publishes the phase of this host to the peers and the host list.
func (d *Daemon) announcePhase(p drain.Phase) {
	d.members.announcePhase(p)
	if p == drain.Leaving {
		go d.register()
	}
}

// release waits until pending submissions are answered and their outcomes written, then
// releases this host's shares.
func (d *Daemon) release() {
	if lost := d.journal.flush(d.ctx); lost > 0 {
		klog.InfoS("Outcomes are not written: a resent request gets may_have_run", "host", d.settings.Host.ID, "outcomes", lost)
	}
	d.tables.release(d.ctx)
}

// stopSuperseded stops this process because a later process of the same host runs:
// otherwise both would use the host's shares.
func (d *Daemon) stopSuperseded() {
	d.supersededOnce.Do(func() {
		klog.ErrorS(nil, "Another process of this host was seen, stopping this process", "host", d.settings.Host.ID)
		go d.lifecycle.Stop()
	})
}

// tableChanged applies a new ownership table of any data centre.
func (d *Daemon) tableChanged(t ownership.Table) {
	d.members.setEpoch(t.DataCentre, t.Epoch)
	if t.DataCentre == d.settings.Host.DataCentre {
		d.gateway.refresh()
	}
}

// beginWork counts a piece of work that starts and ends by a deadline. It returns false
// if this host no longer accepts such work.
func (d *Daemon) beginWork(w drain.Work, deadline time.Time) bool {
	return d.lifecycle.Begin(drain.Request{Work: w, Deadline: deadline})
}

// beginRequest is beginWork for a caller's request.
func (d *Daemon) beginRequest() bool {
	return d.beginWork(drain.CallerWork, time.Now().Add(d.settings.Limits.LongestDeadline))
}

// endWork counts the end of work that beginWork accepted.
func (d *Daemon) endWork(w drain.Work) { d.lifecycle.End(w) }

// attemptPrefix returns an id that no other host or incarnation uses, even if two
// callers send the same request id.
func (d *Daemon) attemptPrefix(requestID string) string {
	return requestID + "." + uuid.NewString()[:13]
}

// applyConfiguration applies a new configuration to all components.
func (d *Daemon) applyConfiguration(active *configuration.Active) {
	resets := d.directory.setConfiguration(time.Now(), active)
	d.lifecycle.SetConfiguration(active.Out(d.settings.Host.DataCentre))
	d.gateway.refresh()
	d.resetRamps(resets)
	for _, centre := range active.Document.DataCentres {
		if centre.Out {
			d.scatter.Exclude(query.Exclusion{DataCentre: centre.Name, Reason: query.ReasonOut})
		}
	}
	d.scatter.Repartition(func(r *scatter.Run) []query.Group { return d.directory.currentGroups(r.Groups()) })
	d.members.setConfiguration(active.Number)
}

// resetRamps restarts the ramps of upstreams that have become cold.
func (d *Daemon) resetRamps(resets []drain.RampReset) {
	for _, reset := range resets {
		d.gateway.resetRamps(reset.Replicas)
	}
}

func (d *Daemon) countSends(c query.Counts) {
	metrics.GetOrRegisterCounter("query.sends.primary", d.registry).Inc(int64(c.Primary))
	metrics.GetOrRegisterCounter("query.sends.hedges", d.registry).Inc(int64(c.Hedges))
	metrics.GetOrRegisterCounter("query.sends.retries", d.registry).Inc(int64(c.Retries))
	metrics.GetOrRegisterCounter("query.replies.dropped", d.registry).Inc(int64(c.DroppedReplies))
}
