package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/trace"

	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/internal/tracing"
	"github.com/marigoldlever/marigoldlever/ownership"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// execute sends a non-idempotent request to one upstream through an owner. It tries
// another owner only if the request was certainly not sent. upstream.NotRun reports
// whether the error proves that the request did not run.
func (r *router) execute(ctx context.Context, replica string, request upstream.Request, deadline time.Time) (upstream.Reply, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	a := &routedAttempt{Attempt: scatter.Attempt{ID: request.Attempt, Replica: replica, Request: request, Deadline: deadline}}
	for {
		owner, ok := r.chooseOwner(a)
		if !ok {
			return upstream.Reply{}, errNoOwner
		}
		a.assign(owner.Member)
		reply, err := r.executeAt(ctx, owner.Member, a.Attempt)
		if !errors.Is(err, errNotOwner) {
			return reply, err
		}
	}
}

// executeAt sends the attempt through the given owner.
func (r *router) executeAt(ctx context.Context, owner ownership.Member, a scatter.Attempt) (upstream.Reply, error) {
	if owner.ID == r.self {
		return r.executeLocally(ctx, a)
	}
	ctx, span := r.tracer.Start(ctx, "owner.execute", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	var done workDone
	item := newWorkItem(a, time.Now())
	err := r.node.Call(peer.WithTraceparent(ctx, tracing.Inject(ctx)), owner.PeerAddress, methodWorkExecute, item, &done)
	if err != nil {
		return upstream.Reply{}, ownerError(err)
	}
	if done.Attempt != a.ID {
		return upstream.Reply{}, errors.Wrapf(upstream.ErrMismatch, "attempt %s", done.Attempt)
	}
	return done.Reply, done.err()
}

// executeLocally sends the attempt through this host's gateway.
func (r *router) executeLocally(ctx context.Context, a scatter.Attempt) (upstream.Reply, error) {
	type result struct {
		reply upstream.Reply
		err   error
	}
	results := make(chan result, 1)
	r.gateway.submit(ctx, a, func(reply upstream.Reply, err error) {
		results <- result{reply, err}
	})
	got := <-results
	return got.reply, got.err
}

// handleExecute is the owner's side of executeAt.
func (r *router) handleExecute(ctx context.Context, request peer.Request) (any, error) {
	var item workItem
	if err := request.Decode(&item); err != nil {
		return nil, err
	}
	release, ok := r.reserve(1, request.Size())
	if !ok {
		return nil, errNoMemory
	}
	defer release()
	attempt := item.attempt(time.Now())
	if !r.beginWork(attempt.Deadline) {
		return nil, errLeaving
	}
	defer r.endWork()
	ctx, span := r.tracer.Start(tracing.Extract(ctx, peer.Traceparent(ctx)), "owner.execute", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	reply, err := r.executeLocally(ctx, attempt)
	return newWorkDone(item.Request.Attempt, reply, err), nil
}
