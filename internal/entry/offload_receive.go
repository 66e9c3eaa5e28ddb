package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/routing"
)

// handleLeave cancels a request of another host whose caller has disconnected.
func (o *offloader) handleLeave(_ context.Context, r peer.Request) (any, error) {
	var id []byte
	if err := r.Decode(&id); err != nil {
		return nil, err
	}
	o.mu.Lock()
	cancel := o.running[[2]string{r.From, string(id)}]
	o.mu.Unlock()
	if cancel != nil { // nil if the request has ended
		cancel()
	}
	return struct{}{}, nil
}

// track makes a request of another host cancellable until the returned function is
// called.
func (o *offloader) track(ctx context.Context, from, id string) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	key := [2]string{from, id}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.running[key] = cancel
	return ctx, func() {
		cancel()
		o.mu.Lock()
		defer o.mu.Unlock()
		delete(o.running, key)
	}
}

// handleGather handles a request of another host.
func (o *offloader) handleGather(ctx context.Context, r peer.Request) (any, error) {
	started := time.Now()
	var call gatherRequest
	if err := r.Decode(&call); err != nil {
		return nil, err
	}
	e := o.entry
	table := e.view.table.Load()
	if table == nil || !e.view.complete(started) {
		return gatherReply{Refused: "this host has no configuration yet"}, nil
	}
	request := call.Request.request()
	route, ok := findRoute(table, &request)
	if ok && table.Version != call.Version && (call.Route == 0 || call.Route != route.Fingerprint()) {
		return gatherReply{Refused: "another configuration is in force"}, nil
	}
	if !ok || len(route.Shards) == 0 {
		return gatherReply{Refused: "the request is not for several shards"}, nil
	}
	account, _ := table.Account(request.Account)
	available, refused := e.admitGather(started, route, account)
	if refused != nil {
		return *refused, nil
	}
	select {
	case o.slots <- struct{}{}:
		defer func() { <-o.slots }()
	default:
		return gatherReply{Refused: "this host is busy"}, nil
	}
	timeout := time.Duration(call.TimeoutUS) * time.Microsecond
	if !e.lifecycle.Begin(drain.Request{Work: drain.OwnerWork, Deadline: started.Add(timeout), Repeatable: true}) {
		return gatherReply{Refused: "this host is leaving"}, nil
	}
	defer e.lifecycle.End(drain.OwnerWork)
	release, ok := e.memory.parts.Reserve(len(route.Shards))
	if !ok {
		return gatherReply{Refused: "too many requests are in progress"}, nil
	}
	defer release()
	out := outcome{started: started, id: request.ID, route: route.Name, version: table.Version, forwardedFrom: r.From, timeout: timeout}
	if !e.memory.reserveBody(&out, request.Body) {
		return gatherReply{Refused: "too many large bodies are in progress"}, nil
	}
	defer e.memory.release(&out)
	o.accepted.Inc(1)
	ctx, end := o.track(ctx, r.From, request.ID)
	defer end()
	latencyGoal := time.Duration(call.LatencyGoalUS) * time.Microsecond
	latencyGoal = e.answers.mergeDeadline(latencyGoal, route.Name, len(route.Shards))
	finish, err := e.execute(ctx, &out, route, &request, available.services, timeout, latencyGoal)
	if err != nil {
		out.verdict, out.reason = verdictCallerLeft.name, verdictCallerLeft.name
		e.report(&out)
		return nil, err
	}
	out.latencyGoal = latencyGoal
	reply := e.gatherResult(&out, route, finish)
	e.report(&out)
	reply.TookUS = time.Since(started).Microseconds()
	return reply, nil
}

// admitGather returns the services of another host's request. It returns a reply instead if the
// request is not run: because the replicas are overloaded, want no requests or are out of reach.
func (e *Entry) admitGather(now time.Time, route *routing.Route, account *routing.Account) (availability, *gatherReply) {
	if r := rankOf(route, account); e.overload.refuses(now, route, route.Shards, r) {
		return availability{}, &gatherReply{Failure: "the replicas are overloaded", RetryAfterUS: overloadRetryAfter(route, r).Microseconds()}
	}
	available := e.availability(now, route, route.Shards)
	if resumes := available.resumesIn(); resumes > 0 {
		if available.lacksColdShare() { // the caller's host may have a share left
			return availability{}, &gatherReply{Refused: pausedRefusal}
		}
		return availability{}, &gatherReply{Failure: pausedRefusal, RetryAfterUS: resumes.Microseconds()}
	}
	if !available.enoughReachable() {
		return availability{}, &gatherReply{Refused: "too few replicas are in reach"}
	}
	return available, nil
}

// gatherResult returns the reply to another host's request that was run, and records its result.
func (e *Entry) gatherResult(out *outcome, route *routing.Route, finish query.Finish) gatherReply {
	if finish.Refusal != nil {
		a := e.failed(out, route, finish)
		out.verdict, out.reason = a.verdict.name, a.text
		if errors.Is(finish.Refusal, query.ErrConcluded) {
			return gatherReply{Refused: finish.Refusal.Error(), Tries: finish.Answer.Counts.Tries}
		}
		return gatherReply{Failure: finish.Refusal.Error(), MayHaveRun: finish.MayHaveRun, RetryAfterUS: a.retryAfter.Microseconds()}
	}
	out.status, out.verdict = http.StatusOK, verdictMerged.name
	body, signatures := out.merge(route, finish)
	reply := gatherReply{Body: body, Signatures: bytesOf(signatures)}
	e.recordAnswer(out, route, body, signatures)
	return reply
}
