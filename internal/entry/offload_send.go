package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/offload"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
	"github.com/marigoldlever/marigoldlever/watchers"
)

// maxForwards bounds the stronger hosts that a request is offered to. One that has just begun
// to leave, or is busy, refuses at once, and this host has little budget for retries of parts.
const maxForwards = 2

// forward sends a request to a stronger host and returns its result. It returns false if
// this host must handle the request itself. The latency goal counts from the request's start.
func (o *offloader) forward(ctx context.Context, out *outcome, route *routing.Route, request *exchange.Request, latencyGoal time.Duration) (answer, bool) {
	for range maxForwards {
		host, ok := o.next(time.Now(), route)
		if !ok {
			break
		}
		if a, ok := o.forwardTo(ctx, host, out, route, request, latencyGoal); ok {
			return a, true
		}
		if out.tries > 0 {
			break // that host has sent parts, which another one would not know
		}
	}
	return answer{}, false
}

// forwardTo sends a request to one stronger host. It returns false if that host did not take
// it.
func (o *offloader) forwardTo(ctx context.Context, host watchers.Host, out *outcome, route *routing.Route, request *exchange.Request, latencyGoal time.Duration) (answer, bool) {
	out.forwardedTo = host.ID
	started := time.Now()
	elapsed := started.Sub(out.started)
	overhead := time.Duration(o.overheads.expected(host.ID, float64(initialOverhead)))
	latencyGoal -= o.entry.answers.transmissionTime(route.Name)
	reply, err := o.call(ctx, host, out.timeout-elapsed, gatherRequest{
		Request: newWireRequest(request), Version: out.version, Route: route.Fingerprint(), TimeoutUS: (out.timeout - elapsed - overhead).Microseconds(), LatencyGoalUS: (latencyGoal - elapsed - overhead).Microseconds(),
	})
	out.latencyGoal = latencyGoal
	unsent := errors.IsAny(err, peer.ErrConnect, peer.ErrRefused)
	f := facts{kind: overShards, sent: mayHaveRun, came: nothing, cut: out.cutBy(err)}
	switch {
	case ctx.Err() != nil:
		o.recordResult(host.ID, offload.Completed) // the result says nothing about the host
		o.notifyCallerLeft(host, request.ID)
		return answer{verdict: verdictCallerLeft}, true
	case errors.Is(err, errStopping):
		o.recordResult(host.ID, offload.Completed) // the result says nothing about the host
		o.notifyCallerLeft(host, request.ID)
		if unsent {
			f.sent = notRun
		}
		return unanswered(f, leavingRetry, err.Error()), true
	case unsent:
		o.failed.Inc(1)
		o.recordResult(host.ID, offload.Failed)
		out.declineReason = err.Error()
		return answer{}, false
	case err != nil:
		o.failed.Inc(1)
		o.recordResult(host.ID, offload.Failed)
		return unanswered(f, 0, err.Error()), true
	case reply.Refused != "":
		o.refused.Inc(1)
		o.recordResult(host.ID, offload.Refused)
		out.declineReason, out.tries = reply.Refused, reply.Tries
		if out.tries > 0 && out.tries >= route.MaxAttempts {
			return unanswered(f, 0, reply.Refused), true
		}
		return answer{}, false
	}
	o.forwarded.Inc(1)
	o.recordResult(host.ID, offload.Completed)
	took := time.Since(started) - time.Duration(reply.TookUS)*time.Microsecond
	o.overheads.observe(host.ID, float64(min(took, maxOverhead)), float64(initialOverhead))
	if reply.Failure == "" {
		return o.entry.merged(out, route, reply.Body, stringsOf(reply.Signatures)), true
	}
	if !reply.MayHaveRun {
		f.sent = notRun
	}
	retryAfter := max(time.Duration(reply.RetryAfterUS)*time.Microsecond, refusedRetryAfter(route))
	return unanswered(f, retryAfter, reply.Failure), true
}

// call sends a request to the host and returns its reply. The call is aborted when the
// host fails its liveness checks.
func (o *offloader) call(ctx context.Context, host watchers.Host, timeout time.Duration, request gatherRequest) (gatherReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	defer o.addPending(host.ID, &pendingCall{abort: abort})()
	var reply gatherReply
	err := o.node.Call(ctx, host.Address, methodGather, request, &reply)
	if err != nil && ctx.Err() != nil {
		cause := context.Cause(ctx)
		return reply, errors.Mark(errors.Wrapf(err, "%v", cause), cause)
	}
	return reply, err
}

// notifyCallerLeft tells a host that the caller of a request has disconnected.
func (o *offloader) notifyCallerLeft(host watchers.Host, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	if err := o.node.Notify(ctx, host.Address, methodLeave, []byte(id)); err != nil {
		klog.V(1).InfoS("Failed to notify a host that the caller has disconnected", "host", host.ID, "id", id, "err", err)
	}
}
