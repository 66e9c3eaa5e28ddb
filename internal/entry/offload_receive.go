package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
)

// leave ends a request of another host whose caller has left.
func (o *offloader) leave(_ context.Context, r peer.Request) (any, error) {
	var id string
	if err := r.Decode(&id); err != nil {
		return nil, err
	}
	o.mu.Lock()
	cancel := o.running[[2]string{r.From, id}]
	o.mu.Unlock()
	if cancel != nil { // else it has ended
		cancel()
	}
	return struct{}{}, nil
}

// begin notes a request of another host until the returned function is called.
func (o *offloader) begin(ctx context.Context, from, id string) (context.Context, func()) {
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

// handle does a request of another host.
func (o *offloader) handle(ctx context.Context, r peer.Request) (any, error) {
	started := time.Now()
	var c gatherCall
	if err := r.Decode(&c); err != nil {
		return nil, err
	}
	e := o.entry
	table := e.view.table.Load()
	if table == nil || !e.view.complete() || table.Version != c.Version {
		return gatherReply{Refused: "another configuration is in force"}, nil
	}
	request := exchange.Request{ID: c.ID, Method: c.Method, Target: c.Target, Host: c.Host, Header: c.Header, Body: c.Body}
	route, ok := find(table, &request)
	if !ok || len(route.Shards) == 0 {
		return gatherReply{Refused: "the request is not for several shards"}, nil
	}
	if e.overload.refuses(started, route, route.Shards) {
		return gatherReply{Failure: "the replicas are overloaded"}, nil
	}
	found := e.prospect(started, route, route.Shards)
	if !found.enoughInReach() {
		return gatherReply{Refused: "too few replicas are in reach"}, nil
	}
	select {
	case o.room <- struct{}{}:
		defer func() { <-o.room }()
	default:
		return gatherReply{Refused: "this host is busy"}, nil
	}
	if !e.lifecycle.Begin(drain.OwnerWork) {
		return gatherReply{Refused: "this host is leaving"}, nil
	}
	defer e.lifecycle.End(drain.OwnerWork)
	o.taken.Inc(1)
	ctx, end := o.begin(ctx, r.From, c.ID)
	defer end()
	out := outcome{started: started, id: c.ID, route: route.Name, version: table.Version, from: r.From}
	wait := time.Duration(c.WaitUS) * time.Microsecond
	goal := time.Duration(c.GoalUS) * time.Microsecond
	goal = e.answers.readyBy(goal, route.Name, len(route.Shards))
	finish, err := e.run(ctx, &out, route, &request, found.services, wait, goal)
	if err != nil {
		e.reportLeft(&out)
		return nil, err
	}
	out.goal = goal
	var reply gatherReply
	if finish.Refusal != nil {
		reply = gatherReply{Failure: finish.Refusal.Error(), MayHaveRun: finish.MayHaveRun}
		out.reason = reply.Failure
	} else {
		out.status = http.StatusOK
		reply.Body, reply.Signatures = out.merge(route, finish)
		e.gathered(&out, route, reply.Body, reply.Signatures)
	}
	e.report(&out)
	reply.TookUS = time.Since(started).Microseconds()
	return reply, nil
}
