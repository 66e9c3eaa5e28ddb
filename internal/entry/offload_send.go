package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/offload"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
	"github.com/marigoldlever/marigoldlever/watchers"
)

// forward sends a request to a stronger host and answers with its result. It returns
// false if this host must handle the request itself. Both durations count from the
// request's start.
func (o *offloader) forward(w http.ResponseWriter, r *http.Request, out *outcome, route *routing.Route, request *exchange.Request, timeout, latencyGoal time.Duration) bool {
	host, ok := o.next(out.started, route)
	if !ok {
		return false
	}
	out.forwardedTo = host.ID
	started := time.Now()
	elapsed := started.Sub(out.started)
	overhead := time.Duration(o.overheads.expected(host.ID, float64(initialOverhead)))
	latencyGoal -= o.entry.answers.transmissionTime(route.Name)
	reply, err := o.call(r.Context(), host, timeout-elapsed, gatherRequest{
		ID: request.ID, Method: request.Method, Target: request.Target, Host: request.Host, Header: request.Header, Body: request.Body,
		Version: out.version, TimeoutUS: (timeout - elapsed - overhead).Microseconds(), LatencyGoalUS: (latencyGoal - elapsed - overhead).Microseconds(),
	})
	out.latencyGoal = latencyGoal
	unsent := errors.IsAny(err, peer.ErrConnect, peer.ErrRefused)
	switch {
	case r.Context().Err() != nil:
		o.recordResult(host.ID, offload.Completed) // the result says nothing about the host
		o.entry.reportCallerLeft(out)
		o.notifyCallerLeft(host, request.ID)
	case errors.Is(err, errStopping):
		o.recordResult(host.ID, offload.Completed) // the result says nothing about the host
		o.entry.refuseUnanswered(w, out, !unsent, leavingRetry, err.Error(), timeout)
		o.notifyCallerLeft(host, request.ID)
	case unsent:
		o.failed.Inc(1)
		o.recordResult(host.ID, offload.Failed)
		out.declineReason = err.Error()
		return false
	case err != nil:
		o.failed.Inc(1)
		o.recordResult(host.ID, offload.Failed)
		o.entry.refuseUnanswered(w, out, true, 0, err.Error(), timeout)
	case reply.Refused != "":
		o.refused.Inc(1)
		o.recordResult(host.ID, offload.Refused)
		out.declineReason = reply.Refused
		if out.tries = reply.Tries; route.MaxAttempts > 0 && out.tries >= route.MaxAttempts {
			o.entry.refuseUnanswered(w, out, true, 0, reply.Refused, timeout)
			return true
		}
		return false
	default:
		o.forwarded.Inc(1)
		o.recordResult(host.ID, offload.Completed)
		took := time.Since(started) - time.Duration(reply.TookUS)*time.Microsecond
		o.overheads.observe(host.ID, float64(min(took, maxOverhead)), float64(initialOverhead))
		o.writeGatherReply(w, out, route, reply, timeout)
	}
	return true
}

// writeGatherReply answers the caller with another host's result.
func (o *offloader) writeGatherReply(w http.ResponseWriter, out *outcome, route *routing.Route, reply gatherReply, timeout time.Duration) {
	e := o.entry
	if reply.Failure != "" {
		retryAfter := max(time.Duration(reply.RetryAfterUS)*time.Microsecond, refusedRetryAfter(route))
		e.refuseUnanswered(w, out, reply.MayHaveRun, retryAfter, reply.Failure, timeout)
		return
	}
	e.writeMerged(w, out, route, reply.Body, reply.Signatures)
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
	if err := o.node.Notify(ctx, host.Address, methodLeave, id); err != nil {
		klog.V(1).InfoS("Failed to notify a host that the caller has disconnected", "host", host.ID, "id", id, "err", err)
	}
}
