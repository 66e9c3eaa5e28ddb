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

// maxOwnerTries limits the number of owners that are tried for one attempt. An owner
// that refuses because it has no free share has not sent the request, so trying the next
// one adds no load at the upstream.
const maxOwnerTries = 3

// ownerLookup looks up the hosts that may send to an upstream.
type ownerLookup interface {
	// owners returns the live owners of a replica, or all of them if none is live.
	owners(replica string) []ownership.Share
}

// router sends attempts to the owners of their upstreams: to this host's own gateway
// or, in one batch per owner, to other hosts.
type router struct {
	self     string
	lookup   ownerLookup
	gateway  *gateway
	node     *peer.Node
	registry metrics.Registry
	tracer   trace.Tracer
	pending  sync.Map // attempt id to *routedAttempt
	// late counts results that no owner was asked for any more.
	late metrics.Counter
	// beginWork counts the start of work for another host and reports whether this
	// host accepts such work; endWork counts its end.
	beginWork func(deadline time.Time) bool
	endWork   func()
	// reserve takes the memory of a number of requests for another host, of so many bytes
	// together, until the returned function is called, and reports whether it was left.
	reserve func(requests, bytes int) (release func(), ok bool)
}

// errNoOwner ends an attempt that no owner has accepted.
var errNoOwner error = &scatter.UnsentError{Cause: errors.Wrap(upstream.ErrShed, "no owner accepted the request")}

// routedAttempt is an attempt that has no result yet.
type routedAttempt struct {
	scatter.Attempt
	ctx         context.Context
	triedOwners []string // ids of the owners tried so far

	mu        sync.Mutex
	owner     ownership.Member // the last one tried
	atOwner   bool             // whether the owner's result is awaited
	cancelled bool
}

// assign records the owner that is tried next. It returns false if the attempt has been
// cancelled.
func (a *routedAttempt) assign(owner ownership.Member) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.owner, a.atOwner = owner, true
	a.triedOwners = append(a.triedOwners, owner.ID)
	return !a.cancelled
}

// takeResult reports whether the result of the owner at the address is awaited, and ends that
// wait. All owners that are tried get the same attempt id, so that an earlier owner's late
// result could otherwise be taken for that of the present one.
func (a *routedAttempt) takeResult(address string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.atOwner || a.owner.PeerAddress != address {
		return false
	}
	a.atOwner = false
	return true
}

// abandon cancels the attempt and returns the owner that was tried last, if any.
func (a *routedAttempt) abandon() ownership.Member {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancelled = true
	return a.owner
}

func newRouter(self string, lookup ownerLookup, g *gateway, node *peer.Node, registry metrics.Registry) *router {
	r := &router{
		self: self, lookup: lookup, gateway: g, node: node, registry: registry, tracer: otel.Tracer("marigoldlever/router"),
		beginWork: func(time.Time) bool { return true }, endWork: func() {},
		reserve: func(int, int) (func(), bool) { return func() {}, true },
		late:    metrics.GetOrRegisterCounter("router.late", registry),
	}
	node.Handle(methodWorkBatch, r.handleBatch)
	node.Handle(methodWorkDone, r.handleDone)
	node.Handle(methodWorkCancel, r.handleCancel)
	node.Handle(methodWorkExecute, r.handleExecute)
	return r
}

// Send implements scatter.Sender.
func (r *router) Send(ctx context.Context, attempts []scatter.Attempt) {
	group := make([]*routedAttempt, len(attempts))
	for i, a := range attempts {
		group[i] = &routedAttempt{Attempt: a, ctx: ctx}
		r.pending.Store(a.ID, group[i])
	}
	r.route(ctx, group)
}

// route sends each attempt to an owner that was not tried yet.
func (r *router) route(ctx context.Context, group []*routedAttempt) {
	batches := make(map[string][]*routedAttempt)
	for _, a := range group {
		owner, ok := r.chooseOwner(a)
		if !ok {
			r.complete(a.ID, upstream.Reply{}, errNoOwner)
			continue
		}
		if !a.assign(owner.Member) {
			continue
		}
		if owner.Member.ID == r.self {
			r.sendLocally(ctx, owner.Member.PeerAddress, a)
			continue
		}
		batches[owner.Member.PeerAddress] = append(batches[owner.Member.PeerAddress], a)
	}
	for address, batch := range batches {
		go r.sendBatch(ctx, address, batch)
	}
}

// chooseOwner returns the owner to try next: this host if it has a free slot, otherwise
// a random one, weighted by slots, so that the shares of all owners are used.
func (r *router) chooseOwner(a *routedAttempt) (ownership.Share, bool) {
	if len(a.triedOwners) >= maxOwnerTries {
		return ownership.Share{}, false
	}
	var candidates []ownership.Share
	total := 0
	for _, s := range r.lookup.owners(a.Replica) {
		if slices.Contains(a.triedOwners, s.Member.ID) {
			continue
		}
		if s.Member.ID == r.self && r.gateway.hasFreeSlot(a.Replica) {
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

// sendLocally sends an attempt through this host's gateway. The address is this host's own.
func (r *router) sendLocally(ctx context.Context, address string, a *routedAttempt) {
	r.gateway.submit(ctx, a.Attempt, func(reply upstream.Reply, err error) {
		r.finishOrReroute(a.ID, address, reply, err)
	})
}

// sendBatch sends attempts to one owner. Their replies arrive as work.done notifications
// while the call is open; an error of the call ends the attempts without a reply.
func (r *router) sendBatch(ctx context.Context, address string, batch []*routedAttempt) {
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
		r.finishOrReroute(a.ID, address, upstream.Reply{}, cause)
	}
}

// ownerError converts the error of a call to an owner. Only a call that certainly did
// not run becomes errNotOwner, after which another owner is tried.
func ownerError(err error) error {
	switch {
	case errors.IsAny(err, peer.ErrConnect, peer.ErrRefused), isDeclined(err):
		return errors.Mark(errors.Wrap(err, "owner did not accept the request"), errNotOwner)
	case errors.IsAny(err, context.DeadlineExceeded):
		return errors.Mark(errors.Wrap(err, "owner did not answer"), upstream.ErrTimeout)
	default:
		return errors.Mark(errors.Wrap(err, "answer of the owner lost"), upstream.ErrReplyLost)
	}
}

// finishOrReroute ends an attempt with the result of the owner at the address, or tries another
// owner if this one certainly did not send it. Only the result of the owner that was asked last
// counts, once.
func (r *router) finishOrReroute(id, address string, reply upstream.Reply, err error) {
	value, ok := r.pending.Load(id)
	if !ok || !value.(*routedAttempt).takeResult(address) {
		r.late.Inc(1)
		return
	}
	if err == nil || !errors.Is(err, errNotOwner) {
		r.complete(id, reply, err)
		return
	}
	metrics.GetOrRegisterCounter("router.rerouted", r.registry).Inc(1)
	a := value.(*routedAttempt)
	r.route(a.ctx, []*routedAttempt{a})
}

// complete reports the result of an attempt, unless it was cancelled.
func (r *router) complete(id string, reply upstream.Reply, err error) {
	value, ok := r.pending.LoadAndDelete(id)
	if !ok {
		r.late.Inc(1)
		return
	}
	value.(*routedAttempt).Done(reply, err)
}

// Cancel implements scatter.Sender.
func (r *router) Cancel(ids []string) {
	remote := make(map[string][]string)
	for _, id := range ids {
		value, ok := r.pending.LoadAndDelete(id)
		if !ok {
			continue
		}
		owner := value.(*routedAttempt).abandon()
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
			// If the cancellation is lost, the upstream works on until the deadline.
			_ = r.node.Notify(ctx, address, methodWorkCancel, workCancel{Attempts: attempts})
		}()
	}
}

// handleBatch is the owner's side of sendBatch. It returns when every item has ended.
// Its context ends with the connection to the entry host, which cancels the items that
// are still running.
func (r *router) handleBatch(ctx context.Context, request peer.Request) (any, error) {
	var batch workBatch
	if err := request.Decode(&batch); err != nil {
		return nil, err
	}
	release, ok := r.reserve(len(batch.Items), request.Size())
	if !ok {
		return nil, errNoMemory
	}
	defer release()
	now := time.Now()
	if !r.beginWork(batch.deadline(now)) {
		return nil, errLeaving
	}
	defer r.endWork()
	ctx, span := r.tracer.Start(tracing.Extract(ctx, peer.Traceparent(ctx)), "owner.batch", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
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

// handleDone receives the result of one item of a batch from its owner.
func (r *router) handleDone(_ context.Context, request peer.Request) (any, error) {
	var done workDone
	if err := request.Decode(&done); err != nil {
		return nil, err
	}
	r.finishOrReroute(done.Attempt, request.From, done.Reply, done.err())
	return nil, nil
}

// handleCancel is the owner's side of Cancel.
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
