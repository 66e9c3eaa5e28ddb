package entry

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/rollout"
	"github.com/marigoldlever/marigoldlever/upstream"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
	"github.com/marigoldlever/marigoldlever/watchers"
)

// methodReport reports to the leader of a roll-out what a host has seen.
const methodReport = "rollout.report"

const (
	// reportInterval is the time between two reports of a host. With many hosts it is
	// reportIntervalPerHost for each of them, which bounds the reports that a leader gets in a
	// second.
	reportInterval        = 500 * time.Millisecond
	reportIntervalPerHost = 5 * time.Millisecond
	// reportTimeout is the timeout of a report.
	reportTimeout = 400 * time.Millisecond
	// leaderTimeout is how long after its last reply a leader is called before others are.
	leaderTimeout = 1500 * time.Millisecond
)

// RolloutStore holds the state of roll-outs.
type RolloutStore interface {
	// ReadRecord returns the record of the roll-out with a name and its revision, or nil if
	// there is none.
	ReadRecord(ctx context.Context, name string) (*rollout.Record, uint64, error)
	// WriteRecord replaces the record with a revision, or creates it if that is 0, and returns
	// the new revision. The error is objectstore.ErrConflict if the record has another one.
	WriteRecord(ctx context.Context, name string, r rollout.Record, revision uint64) (uint64, error)
	// WriteStatus writes the status of an order whose object has a revision, and returns the
	// new one.
	WriteStatus(ctx context.Context, name string, status rollout.Status, revision uint64) (uint64, error)
}

// rollouts carries out the operator's roll-outs on this host. It guards a rollout.Host and the
// rollout.Leaders of those that this host leads. Its lock is taken after that of the view.
type rollouts struct {
	entry *Entry
	node  *peer.Node
	store RolloutStore
	cfg   rollout.Config

	mu     sync.Mutex
	host   *rollout.Host
	hosts  []rollout.Peer
	active map[rollout.OrderID]*activeRollout
	// stopping is set once this host stops: it then leads no roll-out.
	stopping bool
	listed   bool // whether the orders were listed once

	exposed, bad, reports, failures metrics.Counter
	running, leading                metrics.Gauge
}

// EnableRollouts lets the entry carry out roll-outs, with records in the store. It must be
// called before Run, and before the node listens. Without bounds on the exposure to a new
// version in the settings, roll-outs stay off.
func (e *Entry) EnableRollouts(node *peer.Node, store RolloutStore, run uint64) {
	b := e.settings.Bounds
	cfg := rollout.Config{
		Share: b.ExposureShare, Slack: b.ExposureSlack, RollbackTime: b.RollbackTime,
		SettleTime: b.ConfigurationTime, LocalDataCentre: e.settings.DataCentre,
	}
	if !b.RolloutsInForce() {
		return
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("rollout."+name, e.metrics.registry)
	}
	e.rollouts = &rollouts{
		entry: e, node: node, store: store, cfg: cfg, host: rollout.NewHost(cfg, e.settings.Host, run), active: map[rollout.OrderID]*activeRollout{},
		exposed: counter("exposed"), bad: counter("bad"), reports: counter("reports"), failures: counter("report_failures"),
		running: metrics.GetOrRegisterGauge("rollout.running", e.metrics.registry),
		leading: metrics.GetOrRegisterGauge("rollout.leading", e.metrics.registry),
	}
	e.view.rollouts = e.rollouts
	node.Handle(methodReport, e.rollouts.handleReport)
}

// setHosts applies a new list of all hosts.
func (r *rollouts) setHosts(hosts []watchers.Host) {
	if r == nil {
		return
	}
	peers := make([]rollout.Peer, len(hosts))
	for i, h := range hosts {
		peers[i] = rollout.Peer{ID: h.ID, Address: h.Address, Cores: h.Cores}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = peers
}

// ready reports whether the orders are known. Without them, a host that has just started would
// send to a version under roll-out as to all others.
func (r *rollouts) ready() bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.listed
}

// see records that replicas are registered; whole tells that no others are.
func (r *rollouts) see(now time.Time, list []replicas.Replica, whole bool) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range list {
		r.host.SeeReplica(now, list[i].Service, list[i].Version)
	}
	if whole {
		r.host.SetListed()
	}
}

// choose returns the candidates of a service that may get a request.
func (r *rollouts) choose(now time.Time, service string, candidates []replicas.Candidate) (chosen []replicas.Candidate, tryFirst bool) {
	if r == nil {
		return candidates, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.host.Choose(now, service, candidates)
}

// admit permits a request to a replica right before it is sent. Others returns the usable
// replicas of the service.
func (r *rollouts) admit(now time.Time, rep *replicas.Replica, others func() []replicas.Candidate) (rollout.Pass, bool) {
	if r == nil {
		return rollout.Pass{}, true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.host.Admit(now, rep.Service, rep.Version, func() bool {
		chosen, _ := r.host.Choose(now, rep.Service, others())
		return slices.ContainsFunc(chosen, func(c replicas.Candidate) bool { return c.ID == rep.ID })
	})
}

// permits reports whether an admitted request may still be sent.
func (r *rollouts) permits(now time.Time, rep *replicas.Replica) bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.host.Permits(now, rep.Service, rep.Version)
}

// finish records how an admitted request ended. Took includes the time to get a connection, which
// says nothing about a version if there is a reply.
func (r *rollouts) finish(pass rollout.Pass, route string, result rollout.Result, took, elapsed time.Duration) {
	if r == nil || pass == (rollout.Pass{}) {
		return
	}
	if result == rollout.Answered {
		took = elapsed
	}
	if pass.Exposes() {
		r.exposed.Inc(1)
		if result == rollout.Failed {
			r.bad.Inc(1)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.host.Finish(pass, route, result, took)
}

// resultOf returns what an exchange says about the version of the replica. Expired is set if the
// deadline of the exchange has passed.
func resultOf(ctx context.Context, reply *exchange.Reply, err error, expired bool) rollout.Result {
	switch {
	case err != nil && (expired || ctx.Err() != nil), errors.Is(err, upstream.ErrTimeout):
		return rollout.Cut
	case errors.IsAny(err, exchange.ErrNoConnection, exchange.ErrTooLarge, errUnusable, upstream.ErrPaused):
		return rollout.Ignored
	case err != nil:
		return rollout.Failed
	case reply.NotRun || reply.Misdirected:
		return rollout.Ignored
	case reply.Status >= http.StatusInternalServerError:
		return rollout.Failed
	}
	return rollout.Answered
}

// orderSink receives the operator's orders.
type orderSink struct {
	listLog
	view     *view
	rollouts *rollouts
}

func (s orderSink) Available(now time.Time) {
	s.listLog.Available(now)
	s.available(now, true)
}

func (s orderSink) Unavailable(now time.Time, err error) {
	s.listLog.Unavailable(now, err)
	s.available(now, false)
}

// available tells the host whether the list of orders is kept up to date.
func (s orderSink) available(now time.Time, available bool) {
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	s.rollouts.host.SetOrdersAvailable(now, available)
}

// EraChanged implements follow.Sink. The store was restored from a copy.
func (s orderSink) EraChanged(now time.Time, era uint64) {
	s.listLog.EraChanged(now, era)
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	s.rollouts.host.BeginEra()
	for _, c := range s.rollouts.active {
		if c.leader != nil {
			c.leader.BeginEra()
		}
	}
}

func (s orderSink) Replace(now time.Time, items []follow.Item[rollout.Order], _ uint64) {
	var orders []rollout.Order
	for _, item := range items {
		if !item.Removed {
			orders = append(orders, item.Value)
		}
	}
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	s.rollouts.host.SetOrders(now, orders)
	if !s.rollouts.listed {
		s.rollouts.listed = true
		s.view.firstListed(now)
	}
	klog.InfoS("Roll-outs listed", "orders", len(orders))
}

func (s orderSink) Apply(now time.Time, items []follow.Item[rollout.Order], revision uint64) {
	s.rollouts.mu.Lock()
	defer s.rollouts.mu.Unlock()
	for _, item := range items {
		if item.Removed {
			s.rollouts.host.RemoveOrder(now, item.Name)
			klog.InfoS("Roll-out removed", "order", item.Name, "revision", revision)
			continue
		}
		o := item.Value
		s.rollouts.host.PutOrder(now, o)
		klog.InfoS("Roll-out", "order", o.Name, "service", o.Service, "version", o.Version, "duration", o.Duration, "state", o.Status.State, "revision", revision)
	}
}
