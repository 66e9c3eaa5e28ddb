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

// cancelSettle is how long a slot stays taken after its request was cancelled or
// timed out: the upstream learns of it one network trip later, 3 ms at most
// between the hosts of a data centre, and only then frees its slot.
const cancelSettle = 5 * time.Millisecond

// rights tells what this host may use of an upstream.
type rights interface {
	// allowed returns the slots that may be in use now.
	allowed(now time.Time, replica string) int
	// place returns this host's share, or false if it owns none.
	place(replica string) (ownedShare, bool)
}

// ownedShare is the upstream as seen by one of its owners.
type ownedShare struct {
	address     string
	limits      capacity.Config
	rank        int
	owners      int
	connections int
}

// gateway is the owner's side: the only place that sends to upstreams. It keeps
// one lane for each upstream of which this host owns slots.
type gateway struct {
	client   upstream.Client
	connect  func(address string, connections int)
	rights   rights
	closed   func(now time.Time, replica string) bool
	heard    func(replica string, r upstream.Reply, err error, sentAt time.Time)
	tell     func(replica string, n capacity.Notice) // sends a ramp level to the other owners
	registry metrics.Registry
	tracer   trace.Tracer

	mu       sync.Mutex
	lanes    map[string]*lane
	retiring map[string]*lane // replaced lanes whose requests may still run
	jobs     sync.Map         // attempt id to *job
}

func newGateway(client upstream.Client, r rights, registry metrics.Registry) *gateway {
	return &gateway{
		client:   client,
		connect:  func(string, int) {},
		rights:   r,
		closed:   func(time.Time, string) bool { return false },
		heard:    func(string, upstream.Reply, error, time.Time) {},
		tell:     func(string, capacity.Notice) {},
		registry: registry,
		tracer:   otel.Tracer("marigoldlever/gateway"),
		lanes:    make(map[string]*lane),
		retiring: make(map[string]*lane),
	}
}

// job is one sub-request at its owner.
type job struct {
	scatter.Attempt
	ctx    context.Context
	cancel context.CancelFunc
	lane   *lane
	once   sync.Once
	done   func(upstream.Reply, error)
}

// finish reports the end of the job. Only the first call counts: a cancellation
// and a reply may meet.
func (j *job) finish(reply upstream.Reply, err error) {
	j.once.Do(func() {
		j.lane.gateway.jobs.Delete(j.ID)
		j.done(reply, err)
	})
}

// submit brings a request to an upstream. done is called exactly once.
func (g *gateway) submit(ctx context.Context, a scatter.Attempt, done func(upstream.Reply, error)) {
	now := time.Now()
	if g.closed(now, a.Replica) {
		done(upstream.Reply{}, &scatter.UnsentError{Cause: errors.Wrap(upstream.ErrDraining, "refused by the owner")})
		return
	}
	l, err := g.lane(a.Replica)
	if err != nil {
		done(upstream.Reply{}, err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, a.Deadline)
	j := &job{Attempt: a, ctx: ctx, cancel: cancel, lane: l, done: done}
	if _, duplicate := g.jobs.LoadOrStore(a.ID, j); duplicate {
		cancel()
		// The first one may be at the upstream, so it can't be said that it did
		// not run.
		done(upstream.Reply{}, errors.Wrap(upstream.ErrReplyLost, "attempt is already known"))
		return
	}
	l.offer(j)
}

// cancel ends an attempt. A queued one is dropped; one that was sent is cancelled
// at the upstream.
func (g *gateway) cancel(id string) {
	value, ok := g.jobs.Load(id)
	if !ok {
		return
	}
	j := value.(*job)
	j.cancel()
	j.lane.drop(j)
}

// room reports whether a request to the replica would start at once here.
func (g *gateway) room(replica string) bool {
	g.mu.Lock()
	l, ok := g.lanes[replica]
	g.mu.Unlock()
	if !ok {
		_, owned := g.rights.place(replica)
		return owned && g.rights.allowed(time.Now(), replica) > 0
	}
	return l.room()
}

// lane returns the lane of a replica, making it on first use.
func (g *gateway) lane(replica string) (*lane, error) {
	share, ok := g.rights.place(replica)
	if !ok {
		return nil, errors.Wrapf(errNotOwner, "replica %s", replica)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l, ok := g.lanes[replica]; ok {
		return l, nil
	}
	if old, ok := g.retiring[replica]; ok {
		// Both lanes together would exceed the share.
		if old.inFlight() > 0 {
			return nil, errors.Wrapf(errNotOwner, "requests of the earlier share of replica %s still run", replica)
		}
		delete(g.retiring, replica)
	}
	l, err := newLane(g, replica, share)
	if err != nil {
		return nil, errors.Mark(err, errNotOwner)
	}
	g.lanes[replica] = l
	return l, nil
}

// refresh applies changed shares, limits and addresses to all lanes.
func (g *gateway) refresh() {
	for _, l := range g.all() {
		share, ok := g.rights.place(l.replica)
		if !ok || share.address != l.share().address || share.limits != l.share().limits {
			g.remove(l)
			continue
		}
		l.update(share)
	}
}

func (g *gateway) all() []*lane {
	g.mu.Lock()
	defer g.mu.Unlock()
	lanes := make([]*lane, 0, len(g.lanes))
	for _, l := range g.lanes {
		lanes = append(lanes, l)
	}
	return lanes
}

// remove takes a lane out of use. Its queue is handed back; what was sent goes
// on to its end.
func (g *gateway) remove(l *lane) {
	g.mu.Lock()
	if g.lanes[l.replica] == l {
		delete(g.lanes, l.replica)
		g.retiring[l.replica] = l
	}
	g.mu.Unlock()
	l.retire()
}

// chill puts replicas back to the floor of their ramp. The lanes stay, since their
// limiters know the earlier incarnations and so ignore late notices about them.
func (g *gateway) chill(replicas []string) {
	for _, replica := range replicas {
		g.mu.Lock()
		l, ok := g.lanes[replica]
		g.mu.Unlock()
		if ok {
			l.chill()
			klog.V(1).InfoS("Upstream returned, its ramp starts again", "replica", replica)
		}
	}
}

// report tells a replica's limiter what a health report says. Only a new
// incarnation ends the draining of the old one, and no reply can tell of it while
// no work is sent.
func (g *gateway) report(replica, incarnation string, load upstream.Load) {
	g.mu.Lock()
	l, ok := g.lanes[replica]
	g.mu.Unlock()
	if ok {
		l.step(func(now time.Time) capacity.Changes { return l.limiter.Report(now, incarnation, load) })
	}
}

// notices returns the ramp levels that co-owners have to know, by replica.
func (g *gateway) notices(now time.Time) map[string]capacity.Notice {
	due := make(map[string]capacity.Notice)
	for _, l := range g.all() {
		l.machine.View(func(time.Time) {
			if share := l.share(); share.rank == 0 && share.owners > 1 {
				due[l.replica] = l.limiter.Level(now)
			}
		})
	}
	return due
}

// notice applies a co-owner's ramp level.
func (g *gateway) notice(replica string, n capacity.Notice) {
	l, err := g.lane(replica)
	if err != nil {
		return
	}
	l.step(func(now time.Time) capacity.Changes { return l.limiter.Notice(now, n) })
}

// inFlight returns the number of requests at upstreams.
func (g *gateway) inFlight() int {
	n := 0
	for _, l := range g.all() {
		l.machine.View(func(time.Time) { n += l.limiter.InFlight() + l.limiter.QueueLength() })
	}
	return n
}

// send does one exchange with the upstream, with a span for the hop.
func (g *gateway) send(j *job) (upstream.Reply, error) {
	ctx, span := g.tracer.Start(j.ctx, "upstream.work", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("replica", j.lane.replica), attribute.String("attempt", j.ID))
	r := j.Request
	r.Deadline = time.Until(j.Deadline)
	if r.Deadline <= 0 {
		return upstream.Reply{}, errors.Wrap(upstream.ErrShed, "deadline passed before the request was sent")
	}
	reply, err := g.client.Do(ctx, j.lane.share().address, r)
	if err != nil {
		span.SetAttributes(attribute.String("failure", string(codeOf(err))))
	}
	return reply, err
}
