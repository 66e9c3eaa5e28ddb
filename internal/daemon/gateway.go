package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/capacity"
	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// cancelSettle is how long a slot stays occupied after its request was cancelled or
// timed out. The upstream frees its own slot only when the cancellation arrives, at
// most 3 ms later between hosts of one data centre.
const cancelSettle = 5 * time.Millisecond

// rights looks up what this host may use of an upstream.
type rights interface {
	// allowedSlots returns the number of slots that this host may use now.
	allowedSlots(now time.Time, replica string) int
	// shareOf returns this host's share, or false if it owns none.
	shareOf(replica string) (ownedShare, bool)
}

// ownedShare is an owner's share of an upstream.
type ownedShare struct {
	address     string // of the upstream
	limits      capacity.Config
	rank        int // of this host among the owners; 0 is the first
	owners      int // number of owners
	connections int // that this host may hold
}

// gateway sends requests to the upstreams of which this host owns slots; no other
// component does. It keeps one limiterRunner for each of these upstreams.
type gateway struct {
	client       upstream.Client
	connect      func(address string, connections int) // sets the connection limit
	rights       rights
	isClosed     func(now time.Time, replica string) bool                            // refuses new requests
	onReceive    func(replica string, r upstream.Reply, err error, sentAt time.Time) // called with each reply or error
	notifyOwners func(replica string, n capacity.Notice)                             // sends a ramp level to the other owners
	registry     metrics.Registry
	tracer       trace.Tracer

	mu             sync.Mutex
	limiterRunners map[string]*limiterRunner // by replica id
	retiring       map[string]*limiterRunner // removed ones whose requests may still run
	jobs           sync.Map                  // attempt id to *job
}

func newGateway(client upstream.Client, r rights, registry metrics.Registry) *gateway {
	return &gateway{
		client:         client,
		connect:        func(string, int) {},
		rights:         r,
		isClosed:       func(time.Time, string) bool { return false },
		onReceive:      func(string, upstream.Reply, error, time.Time) {},
		notifyOwners:   func(string, capacity.Notice) {},
		registry:       registry,
		tracer:         otel.Tracer("marigoldlever/gateway"),
		limiterRunners: make(map[string]*limiterRunner),
		retiring:       make(map[string]*limiterRunner),
	}
}

// job is one sub-request at its owner.
type job struct {
	scatter.Attempt
	ctx           context.Context
	cancel        context.CancelFunc
	limiterRunner *limiterRunner
	once          sync.Once
	done          func(upstream.Reply, error)
}

// finish reports the result of the job. Only the first call has an effect, since a
// cancellation and a reply may race.
func (j *job) finish(reply upstream.Reply, err error) {
	j.once.Do(func() {
		j.limiterRunner.gateway.jobs.Delete(j.ID)
		j.done(reply, err)
	})
}

// submit sends a request to an upstream within the limits. done is called exactly once.
func (g *gateway) submit(ctx context.Context, a scatter.Attempt, done func(upstream.Reply, error)) {
	now := time.Now()
	if g.isClosed(now, a.Replica) {
		done(upstream.Reply{}, &scatter.UnsentError{Cause: errors.Wrap(upstream.ErrDraining, "refused by the owner")})
		return
	}
	l, err := g.limiterRunner(a.Replica)
	if err != nil {
		done(upstream.Reply{}, err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	j := &job{Attempt: a, ctx: ctx, cancel: cancel, limiterRunner: l, done: done}
	if _, duplicate := g.jobs.LoadOrStore(a.ID, j); duplicate {
		cancel()
		// The first submission may have reached the upstream, so the error must not
		// say that the request did not run.
		done(upstream.Reply{}, errors.Wrap(upstream.ErrReplyLost, "attempt was submitted before"))
		return
	}
	l.offer(j)
}

// cancel ends an attempt: a queued one is removed from the queue, one that was sent is
// cancelled at the upstream.
func (g *gateway) cancel(id string) {
	value, ok := g.jobs.Load(id)
	if !ok {
		return
	}
	j := value.(*job)
	j.cancel()
	j.limiterRunner.cancelQueued(j)
}

// hasFreeSlot reports whether this host would send a request to the replica without
// queueing it.
func (g *gateway) hasFreeSlot(replica string) bool {
	g.mu.Lock()
	l, ok := g.limiterRunners[replica]
	g.mu.Unlock()
	if !ok {
		_, owned := g.rights.shareOf(replica)
		return owned && g.rights.allowedSlots(time.Now(), replica) > 0
	}
	return l.hasFreeSlot()
}

// limiterRunner returns the runner of a replica and creates it on first use.
func (g *gateway) limiterRunner(replica string) (*limiterRunner, error) {
	share, ok := g.rights.shareOf(replica)
	if !ok {
		return nil, errors.Wrapf(errNotOwner, "replica %s", replica)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.limiterRunners[replica]; ok {
		return l, nil
	}
	if old, ok := g.retiring[replica]; ok {
		// The old and the new runner together could exceed the share.
		if old.inFlight() > 0 {
			return nil, errors.Wrapf(errNotOwner, "requests under the previous share of replica %s are still running", replica)
		}
		delete(g.retiring, replica)
	}
	l, err := newLimiterRunner(g, replica, share)
	if err != nil {
		return nil, errors.Mark(err, errNotOwner)
	}
	g.limiterRunners[replica] = l
	return l, nil
}

// refresh applies the current shares to all runners. It removes those whose limits or
// address have changed or whose share is gone.
func (g *gateway) refresh() {
	for _, l := range g.allRunners() {
		share, ok := g.rights.shareOf(l.replica)
		if !ok || share.address != l.share().address || share.limits != l.share().limits {
			g.remove(l)
			continue
		}
		l.updateShare(share)
	}
}

func (g *gateway) allRunners() []*limiterRunner {
	g.mu.Lock()
	defer g.mu.Unlock()
	limiterRunners := make([]*limiterRunner, 0, len(g.limiterRunners))
	for _, l := range g.limiterRunners {
		limiterRunners = append(limiterRunners, l)
	}
	return limiterRunners
}

// remove takes a runner out of use. Its queued requests are handed back, so that the
// router can ask other owners; those that were sent continue.
func (g *gateway) remove(l *limiterRunner) {
	g.mu.Lock()
	if g.limiterRunners[l.replica] == l {
		delete(g.limiterRunners, l.replica)
		g.retiring[l.replica] = l
	}
	g.mu.Unlock()
	l.retire()
}

// resetRamps sets replicas back to the floor of their ramp. Their runners are kept,
// because the limiters know the earlier incarnations and ignore late notices about
// these.
func (g *gateway) resetRamps(replicas []string) {
	for _, replica := range replicas {
		g.mu.Lock()
		l, ok := g.limiterRunners[replica]
		g.mu.Unlock()
		if ok {
			l.resetRamps()
			klog.V(1).InfoS("Upstream returned, resetting its ramp", "replica", replica)
		}
	}
}

// applyReport passes a health report to a replica's limiter. Draining ends only with a
// new incarnation, and while no requests are sent no reply can announce one.
func (g *gateway) applyReport(replica, incarnation string, load upstream.Load) {
	g.mu.Lock()
	l, ok := g.limiterRunners[replica]
	g.mu.Unlock()
	if ok {
		l.step(func(now time.Time) capacity.Changes { return l.limiter.Report(now, incarnation, load) })
	}
}

// levelsToSend returns the ramp levels that this host, as the first owner, has to send
// to co-owners, by replica.
func (g *gateway) levelsToSend(now time.Time) map[string]capacity.Notice {
	due := make(map[string]capacity.Notice)
	for _, l := range g.allRunners() {
		l.limiterStep.View(func(time.Time) {
			if share := l.share(); share.rank == 0 && share.owners > 1 {
				due[l.replica] = l.limiter.Level(now)
			}
		})
	}
	return due
}

// applyLevel applies a ramp level that a co-owner sent.
func (g *gateway) applyLevel(replica string, n capacity.Notice) {
	l, err := g.limiterRunner(replica)
	if err != nil {
		return
	}
	l.step(func(now time.Time) capacity.Changes { return l.limiter.Notice(now, n) })
}

// inFlight returns the number of requests that are at upstreams or queued for them.
func (g *gateway) inFlight() int {
	n := 0
	for _, l := range g.allRunners() {
		l.limiterStep.View(func(time.Time) { n += l.limiter.InFlight() + l.limiter.QueueLength() })
	}
	return n
}

// send sends the job's request to the upstream and returns its reply.
func (g *gateway) send(j *job) (upstream.Reply, error) {
	ctx, span := g.tracer.Start(j.ctx, "upstream.work", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("replica", j.limiterRunner.replica), attribute.String("attempt", j.ID))
	r := j.Request
	r.Deadline = time.Until(j.Deadline)
	if r.Deadline <= 0 {
		return upstream.Reply{}, errors.Wrap(upstream.ErrShed, "deadline passed before the request was sent")
	}
	reply, err := g.client.Do(ctx, j.limiterRunner.share().address, r)
	if err != nil {
		span.SetAttributes(attribute.String("failure", string(codeOf(err))))
	}
	return reply, err
}
