package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/internal/tracing"
	"github.com/marigoldlever/marigoldlever/ownership"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// maxOwnerTries bounds how many owners are asked for one attempt. An owner that
// refuses for lack of a share has surely not sent the request, so asking the
// next one costs no extra load at the upstream.
const maxOwnerTries = 3

// ownerLookup tells who may send to an upstream.
type ownerLookup interface {
	// owners returns the owners of a replica, live ones first.
	owners(replica string) []ownership.Share
}

// router brings attempts to the owners of their upstreams: to this host's own
// gateway or, in one batch for each owner, to other hosts.
type router struct {
	self     string
	lookup   ownerLookup
	gateway  *gateway
	node     *peer.Node
	registry metrics.Registry
	tracer   trace.Tracer
	pending  sync.Map // attempt id to *routed
	// begin counts a batch of another host in and reports whether this host
	// still takes such work; end counts it out.
	begin func() bool
	end   func()
}

// errNoOwner ends an attempt that no owner would take.
var errNoOwner error = &scatter.UnsentError{Cause: errors.Wrap(upstream.ErrShed, "no owner can take the request")}

// routed is an attempt on its way.
type routed struct {
	scatter.Attempt
	ctx   context.Context
	tried []string // ids of owners asked so far

	mu        sync.Mutex
	owner     ownership.Member // the last one asked
	cancelled bool
}

// assign notes the owner that is asked next and reports whether the attempt is
// still wanted.
func (a *routed) assign(owner ownership.Member) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.owner = owner
	a.tried = append(a.tried, owner.ID)
	return !a.cancelled
}

// abandon cancels the attempt and returns the owner that was asked, if any.
func (a *routed) abandon() ownership.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	return a.owner
}

func newRouter(self string, lookup ownerLookup, g *gateway, node *peer.Node, registry metrics.Registry) *router {
	r := &router{
		self: self, lookup: lookup, gateway: g, node: node, registry: registry, tracer: otel.Tracer("marigoldlever/router"),
		begin: func() bool { return true }, end: func() {},
	}
	node.Handle(methodWorkBatch, r.handleBatch)
	node.Handle(methodWorkDone, r.handleDone)
	node.Handle(methodWorkCancel, r.handleCancel)
	node.Handle(methodWorkExecute, r.handleExecute)
	return r
}

// Send implements scatter.Sender.
func (r *router) Send(ctx context.Context, attempts []scatter.Attempt) {
	group := make([]*routed, len(attempts))
	for i, a := range attempts {
		group[i] = &routed{Attempt: a, ctx: ctx}
		r.pending.Store(a.ID, group[i])
	}
	r.route(ctx, group)
}

// route sends each attempt to an owner that was not asked yet.
func (r *router) route(ctx context.Context, group []*routed) {
	batches := make(map[string][]*routed)
	for _, a := range group {
		owner, ok := r.choose(a)
		if !ok {
			r.settle(a.ID, upstream.Reply{}, errNoOwner)
			continue
		}
		if !a.assign(owner.Member) {
			continue
		}
		if owner.Member.ID == r.self {
			r.sendHere(ctx, a)
			continue
		}
		batches[owner.Member.PeerAddress] = append(batches[owner.Member.PeerAddress], a)
	}
	for address, batch := range batches {
		go r.sendBatch(ctx, address, batch)
	}
}

// choose picks the owner to ask: this host if it could start the request at
// once, otherwise a random one by slots, so that the shares of all owners are
// used.
func (r *router) choose(a *routed) (ownership.Share, bool) {
	if len(a.tried) >= maxOwnerTries {
		return ownership.Share{}, false
	}
	var candidates []ownership.Share
	total := 0
	for _, s := range r.lookup.owners(a.Replica) {
		if slices.Contains(a.tried, s.Member.ID) {
			continue
		}
		if s.Member.ID == r.self && r.gateway.room(a.Replica) {
			return s, true
		}
		candidates = append(candidates, s)
		total += s.Slots
	}
	if total == 0 {
		return ownership.Share{}, false
	}
	pick := rand.IntN(total)
	for _, s := range candidates {
		if pick -= s.Slots; pick < 0 {
			return s, true
		}
	}
	return ownership.Share{}, false
}

func (r *router) sendHere(ctx context.Context, a *routed) {
	r.gateway.submit(ctx, a.Attempt, func(reply upstream.Reply, err error) {
		r.finish(a.ID, reply, err)
	})
}

// sendBatch sends attempts to one owner. Replies arrive as work.done while the
// call is open; its error ends what has no reply.
func (r *router) sendBatch(ctx context.Context, address string, batch []*routed) {
	ctx, span := r.tracer.Start(ctx, "owner.batch", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	span.SetAttributes(attribute.String("owner", address), attribute.Int("items", len(batch)))
	now := time.Now()
	message := workBatch{Items: make([]workItem, len(batch))}
	latest := now
	for i, a := range batch {
		message.Items[i] = newWorkItem(a.Attempt, now)
		if a.Deadline.After(latest) {
			latest = a.Deadline
		}
	}
	ctx, cancel := context.WithDeadline(ctx, latest)
	defer cancel()
	err := r.node.Call(peer.WithTraceparent(ctx, tracing.Inject(ctx)), address, methodWorkBatch, message, nil)
	if err == nil {
		return
	}
	cause := ownerError(err)
	for _, a := range batch {
		r.finish(a.ID, upstream.Reply{}, cause)
	}
}

// ownerError converts the error of a call to an owner. Only a call that surely
// did not run may be passed on to another owner.
func ownerError(err error) error {
	switch {
	case errors.IsAny(err, peer.ErrConnect, peer.ErrRefused), isLeaving(err):
		return errors.Mark(errors.Wrap(err, "owner did not take the request"), errNotOwner)
	case errors.IsAny(err, context.DeadlineExceeded):
		return errors.Mark(errors.Wrap(err, "owner did not answer"), upstream.ErrTimeout)
	default:
		return errors.Mark(errors.Wrap(err, "owner's answer lost"), upstream.ErrReplyLost)
	}
}

// finish ends an attempt, or asks another owner if this one surely did not send
// it.
func (r *router) finish(id string, reply upstream.Reply, err error) {
	if err == nil || !errors.Is(err, errNotOwner) {
		r.settle(id, reply, err)
		return
	}
	value, ok := r.pending.Load(id)
	if !ok {
		return
	}
	metrics.GetOrRegisterCounter("router.rerouted", r.registry).Inc(1)
	a := value.(*routed)
	r.route(a.ctx, []*routed{a})
}

// settle reports an attempt's end. Replies to attempts that are not pending are
// late or belong to somebody else.
func (r *router) settle(id string, reply upstream.Reply, err error) {
	value, ok := r.pending.LoadAndDelete(id)
	if !ok {
		metrics.GetOrRegisterCounter("router.late", r.registry).Inc(1)
		return
	}
	value.(*routed).Done(reply, err)
}

// Cancel implements scatter.Sender.
func (r *router) Cancel(ids []string) {
	remote := make(map[string][]string)
	for _, id := range ids {
		value, ok := r.pending.LoadAndDelete(id)
		if !ok {
			continue
		}
		owner := value.(*routed).abandon()
		if owner.ID == r.self {
			r.gateway.cancel(id)
		} else if owner.PeerAddress != "" {
			remote[owner.PeerAddress] = append(remote[owner.PeerAddress], id)
		}
	}
	for address, attempts := range remote {
		go func() {
			ctx, stop := context.WithTimeout(context.Background(), time.Second)
			defer stop()
			// A lost cancellation costs the upstream work until the deadline.
			_ = r.node.Notify(ctx, address, methodWorkCancel, workCancel{Attempts: attempts})
		}()
	}
}

// handleBatch is the owner's side of sendBatch. It returns when every item has
// ended; its context ends with the entry host's connection, which cancels what
// is left.
func (r *router) handleBatch(ctx context.Context, request peer.Request) (any, error) {
	var batch workBatch
	if err := request.Decode(&batch); err != nil {
		return nil, err
	}
	if !r.begin() {
		return nil, errLeaving
	}
	defer r.end()
	ctx, span := r.tracer.Start(tracing.Extract(ctx, peer.Traceparent(ctx)), "owner.batch", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	now := time.Now()
	var wait sync.WaitGroup
	for _, item := range batch.Items {
		wait.Add(1)
		r.gateway.submit(ctx, item.attempt(now), func(reply upstream.Reply, err error) {
			defer wait.Done()
			done := newWorkDone(item.Request.Attempt, reply, err)
			if err := r.node.Notify(ctx, request.From, methodWorkDone, done); err != nil {
				metrics.GetOrRegisterCounter("router.reply_lost", r.registry).Inc(1)
			}
		})
	}
	wait.Wait()
	return struct{}{}, nil
}

func (r *router) handleDone(_ context.Context, request peer.Request) (any, error) {
	var done workDone
	if err := request.Decode(&done); err != nil {
		return nil, err
	}
	r.finish(done.Attempt, done.Reply, done.err())
	return nil, nil
}

func (r *router) handleCancel(_ context.Context, request peer.Request) (any, error) {
	var c workCancel
	if err := request.Decode(&c); err != nil {
		return nil, err
	}
	for _, id := range c.Attempts {
		r.gateway.cancel(id)
	}
	return nil, nil
}
