package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/explain"
	"github.com/marigoldlever/marigoldlever/offload"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/watchers"
)

const (
	// aliveInterval is the time between liveness checks of the stronger hosts, and
	// aliveTimeout the timeout of one. The timeout is many times what a call within a
	// data centre takes, because a host with a fifth of a core may be busy for that
	// long.
	aliveInterval = 250 * time.Millisecond
	aliveTimeout  = 60 * time.Millisecond
	// initialOverhead is the assumed overhead of forwarding a request until one is
	// measured, and maxOverhead bounds the measured ones.
	initialOverhead = 3 * time.Millisecond
	maxOverhead     = 25 * time.Millisecond
	// leaveTimeout is the timeout of the notification that a caller has disconnected.
	leaveTimeout = time.Second
)

// offloader forwards requests with many parts to stronger hosts, and handles those of
// weaker hosts.
type offloader struct {
	entry *Entry
	node  *peer.Node

	mu      sync.Mutex
	chooser *offload.Chooser
	// pending holds the calls in flight, by host.
	pending map[string]map[*pendingCall]struct{}
	// concluded is set when this host ends its requests because it stops.
	concluded bool

	// running holds the cancel functions of other hosts' requests in progress, by host
	// and request id.
	running map[[2]string]context.CancelFunc

	slots chan struct{} // holds an element for each request of another host in progress
	// overheads are the times that forwarded requests took beyond the other host's
	// work, by host.
	overheads *upperEstimate[string]

	forwarded, refused, failed, accepted metrics.Counter
	alive                                metrics.Gauge // number of live stronger hosts
}

// pendingCall is a call that is aborted when its host fails its liveness checks or this
// host stops.
type pendingCall struct{ abort context.CancelCauseFunc }

// EnableOffload lets the entry forward requests to other hosts and handle theirs. It
// must be called before Run, and before the node listens.
func (e *Entry) EnableOffload(node *peer.Node) {
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("offload."+name, e.metrics.registry)
	}
	e.offload = &offloader{
		entry: e, node: node, chooser: offload.NewChooser(e.settings.Self()), pending: map[string]map[*pendingCall]struct{}{}, running: map[[2]string]context.CancelFunc{},
		slots: make(chan struct{}, offload.MaxConcurrent(e.settings.Cores)), overheads: newUpperEstimate[string](),
		forwarded: counter("given"), refused: counter("refused"), failed: counter("broken"), accepted: counter("taken"),
		alive: metrics.GetOrRegisterGauge("offload.stronger_alive", e.metrics.registry),
	}
	node.Handle(methodGather, e.offload.handleGather)
	node.Handle(methodLeave, e.offload.handleLeave)
	node.Handle(methodAlive, func(context.Context, peer.Request) (any, error) {
		return aliveReply{Unreachable: e.reach.unreachable()}, nil
	})
}

func (o *offloader) setHosts(hosts []watchers.Host) {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.chooser.SetHosts(hosts)
}

// errStopping ends the calls in flight when this host stops.
var errStopping = errors.New("this host stops")

// conclude ends all calls in flight because this host stops.
func (o *offloader) conclude() {
	if o == nil {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.concluded = true
	for _, calls := range o.pending {
		for c := range calls {
			c.abort(errStopping)
		}
	}
}

// addPending registers a call in flight until the returned function is called.
func (o *offloader) addPending(host string, c *pendingCall) (remove func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.pending[host] == nil {
		o.pending[host] = map[*pendingCall]struct{}{}
	}
	o.pending[host][c] = struct{}{}
	if o.concluded {
		c.abort(errStopping)
	}
	return func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.pending[host], c)
	}
}

// offloadable reports whether requests of a route may be forwarded to another host.
func offloadable(route *routing.Route) bool {
	return route.Idempotent && offload.Large(len(route.Shards))
}

func (o *offloader) next(now time.Time, route *routing.Route) (watchers.Host, bool) {
	if o == nil || !offloadable(route) {
		return watchers.Host{}, false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.chooser.Next(now, len(route.Shards))
}

func (o *offloader) recordResult(id string, r offload.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.chooser.RecordResult(time.Now(), id, r)
}

// tick checks whether the stronger hosts are alive.
func (o *offloader) tick(ctx context.Context) {
	o.mu.Lock()
	hosts := o.chooser.Candidates()
	o.mu.Unlock()
	var group sync.WaitGroup
	for _, h := range hosts {
		group.Go(func() {
			callCtx, cancel := context.WithTimeout(ctx, aliveTimeout)
			defer cancel()
			var reply aliveReply
			o.recordProbe(h, o.node.Call(callCtx, h.Address, methodAlive, struct{}{}, &reply))
			o.entry.reach.verify(ctx, reply.Unreachable)
		})
	}
	group.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.alive.Update(int64(o.chooser.AliveCount()))
}

// recordProbe records the result of a liveness check.
func (o *offloader) recordProbe(h watchers.Host, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if err == nil {
		if o.chooser.MarkAlive(h.ID) {
			klog.InfoS("Stronger host takes requests", "host", h.ID, "cores", h.Cores)
		}
		return
	}
	changed, unresponsive := o.chooser.MarkMissed(h.ID)
	if changed {
		klog.InfoS("Stronger host shows no sign of life", "host", h.ID, "err", err)
	}
	if unresponsive {
		for c := range o.pending[h.ID] {
			c.abort(errors.Newf("host %s failed its liveness checks", h.ID))
		}
	}
}

// explain returns the hosts that requests of a route are forwarded to.
func (o *offloader) explain(route *routing.Route) []explain.StrongerHost {
	if o == nil || !offloadable(route) {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	var hosts []explain.StrongerHost
	for _, h := range o.chooser.States() {
		hosts = append(hosts, explain.StrongerHost{ID: h.ID, Alive: h.Alive, InFlight: h.InFlight})
	}
	return hosts
}
