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

// try lets a stronger host do a request. It reports false if this host has to do it. Both
// times are from the request's start.
func (o *offloader) try(w http.ResponseWriter, r *http.Request, out *outcome, route *routing.Route, request *exchange.Request, wait, goal time.Duration) bool {
	host, ok := o.next(out.started, route)
	if !ok {
		return false
	}
	out.by = host.ID
	started := time.Now()
	passed := started.Sub(out.started)
	way := time.Duration(o.ways.expected(host.ID, float64(firstWay)))
	goal -= o.entry.answers.sending(route.Name)
	reply, err := o.call(r.Context(), host, wait-passed, gatherCall{
		ID: request.ID, Method: request.Method, Target: request.Target, Host: request.Host, Header: request.Header, Body: request.Body,
		Version: out.version, WaitUS: (wait - passed - way).Microseconds(), GoalUS: (goal - passed - way).Microseconds(),
	})
	out.goal = goal
	switch {
	case r.Context().Err() != nil:
		o.ended(host.ID, offload.Completed) // it says nothing of the host
		o.entry.reportLeft(out)
		o.tellLeft(host, request.ID)
	case errors.Is(err, peer.ErrConnect), errors.Is(err, peer.ErrRefused):
		o.broken.Inc(1)
		o.ended(host.ID, offload.Failed)
		out.declined = err.Error()
		return false
	case err != nil:
		o.broken.Inc(1)
		o.ended(host.ID, offload.Failed)
		o.entry.refuseGathered(w, out, route, true, err.Error(), wait)
	case reply.Refused != "":
		o.refused.Inc(1)
		o.ended(host.ID, offload.Refused)
		out.declined = reply.Refused
		return false
	default:
		o.given.Inc(1)
		o.ended(host.ID, offload.Completed)
		took := time.Since(started) - time.Duration(reply.TookUS)*time.Microsecond
		o.ways.observe(host.ID, float64(min(took, wayMost)), float64(firstWay))
		o.answer(w, out, route, reply, wait)
	}
	return true
}

// answer passes the outcome on to the caller.
func (o *offloader) answer(w http.ResponseWriter, out *outcome, route *routing.Route, reply gatherReply, wait time.Duration) {
	e := o.entry
	if reply.Failure != "" {
		e.refuseGathered(w, out, route, reply.MayHaveRun, reply.Failure, wait)
		return
	}
	e.writeGathered(w, out, route, reply.Body, reply.Signatures)
}

// call makes the call. It ends early once the host shows no sign of life.
func (o *offloader) call(ctx context.Context, host watchers.Host, longest time.Duration, c gatherCall) (gatherReply, error) {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	ctx, giveUp := context.WithCancelCause(ctx)
	defer giveUp(nil)
	p := &pendingCall{giveUp: giveUp}
	o.mu.Lock()
	if o.pending[host.ID] == nil {
		o.pending[host.ID] = map[*pendingCall]struct{}{}
	}
	o.pending[host.ID][p] = struct{}{}
	o.mu.Unlock()
	defer func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.pending[host.ID], p)
	}()
	var reply gatherReply
	err := o.node.Call(ctx, host.Address, methodGather, c, &reply)
	if err != nil && ctx.Err() != nil {
		return reply, errors.Wrapf(err, "%v", context.Cause(ctx))
	}
	return reply, err
}

// tellLeft tells a host that the caller of a request has left.
func (o *offloader) tellLeft(host watchers.Host, id string) {
	ctx, cancel := context.WithTimeout(context.Background(), leaveTime)
	defer cancel()
	if err := o.node.Notify(ctx, host.Address, methodLeave, id); err != nil {
		klog.V(1).InfoS("Host not told that the caller has left", "host", host.ID, "id", id, "err", err)
	}
}
