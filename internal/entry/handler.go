package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/records"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
)

// CallerCodec reads callers' requests and writes answers with the header names of
// a protocol.
type CallerCodec interface {
	// ReadRequest returns the request without its body, and the time that the
	// caller waits.
	ReadRequest(r *http.Request) (exchange.Request, time.Duration, error)
	// WriteMerged answers with records merged from parts, which the signatures
	// name; missing parts are left out.
	WriteMerged(w http.ResponseWriter, id string, body []byte, signatures []string, missing int) error
	// WriteReply answers with a replica's reply.
	WriteReply(w http.ResponseWriter, id string, reply exchange.Reply) error
	// WriteRefusal answers that there is no answer.
	WriteRefusal(w http.ResponseWriter, id string, status int, retryAfter time.Duration, text string) error
}

// ServeHTTP answers one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := outcome{started: time.Now()}
	if !e.lifecycle.Begin(drain.CallerWork) {
		e.refuse(w, &out, http.StatusServiceUnavailable, notReadyRetry, "this host is leaving")
		return
	}
	defer e.lifecycle.End(drain.CallerWork)
	if e.lifecycle.Phase() == drain.Leaving {
		w.Header().Set("Connection", "close")
	}
	e.serve(w, r, &out)
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request, out *outcome) {
	request, wait, err := e.callers.ReadRequest(r)
	out.id = request.ID
	if err != nil {
		e.refuse(w, out, http.StatusBadRequest, 0, err.Error())
		return
	}
	table := e.view.table.Load()
	if table == nil || !e.view.complete() {
		e.refuse(w, out, http.StatusServiceUnavailable, notReadyRetry, "this host has no configuration yet")
		return
	}
	out.version = table.Version
	route, ok := find(table, &request)
	if !ok {
		e.refuse(w, out, http.StatusNotFound, 0, "no route matches")
		return
	}
	out.route = route.Name
	if request.Body, err = readBody(w, r, table.Limits.BodyBytes); err != nil {
		e.refuseBody(w, out, err)
		return
	}
	if route.Timeout > 0 {
		wait = min(wait, route.Timeout)
	}
	goal := e.goalOf(r.Context(), route, wait)
	if !e.offload.try(w, r, out, route, &request, wait, goal) {
		e.dispatch(w, r, out, route, &request, wait, goal)
	}
}

// find returns the route of a request.
func find(table *routing.Table, request *exchange.Request) (*routing.Route, bool) {
	path, _, _ := strings.Cut(request.Target, "?")
	return table.Find(request.Host, path)
}

// readBody reads the whole body, which may have to be sent to several replicas.
func readBody(w http.ResponseWriter, r *http.Request, most int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if most <= 0 {
		return io.ReadAll(r.Body)
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, most))
}

func (e *Entry) refuseBody(w http.ResponseWriter, out *outcome, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		e.refuse(w, out, http.StatusRequestEntityTooLarge, 0, fmt.Sprintf("the body is larger than %d bytes", large.Limit))
		return
	}
	e.refuse(w, out, http.StatusBadRequest, 0, "the body could not be read")
}

// dispatch sends a request on and answers it. Both times are from the request's start.
func (e *Entry) dispatch(w http.ResponseWriter, r *http.Request, out *outcome, route *routing.Route, request *exchange.Request, wait, goal time.Duration) {
	names := servicesOf(route)
	if e.overload.refuses(out.started, route, names) {
		e.refuse(w, out, http.StatusServiceUnavailable, refusedAfter(route), "the replicas are overloaded; the request has not run")
		return
	}
	found := e.prospect(time.Now(), route, names)
	if !found.enoughInReach() {
		w.Header().Set("Connection", "close")
		e.refuse(w, out, http.StatusServiceUnavailable, cutOffRetry(route, e.reach.outFor(out.started)), "too few replicas are in reach; the request has not run")
		return
	}
	if !found.enoughRoom(route) {
		e.refuse(w, out, http.StatusServiceUnavailable, refusedAfter(route), "too few replicas have room; the request has not run")
		return
	}
	passed := time.Since(out.started)
	goal = e.answers.readyBy(goal, route.Name, len(route.Shards))
	finish, err := e.run(r.Context(), out, route, request, found.services, wait-passed, goal-passed)
	if err != nil {
		e.reportLeft(out)
		return
	}
	out.goal = goal
	switch {
	case finish.Refusal != nil:
		e.answerFailure(w, out, route, finish, wait)
	case len(route.Shards) > 0:
		body, signatures := out.merge(route, finish)
		e.writeGathered(w, out, route, body, signatures)
	default:
		out.sender.mu.Lock()
		reply := out.sender.replies[finish.Answer.Parts[0].Attempt]
		out.sender.mu.Unlock()
		e.answerReply(w, out, reply)
	}
}

// run sends a request to replicas of the services until it has an answer. Both times are
// from now.
func (e *Entry) run(ctx context.Context, out *outcome, route *routing.Route, request *exchange.Request, services []query.Service, wait, goal time.Duration) (query.Finish, error) {
	plan := e.plan(request.ID, route, services, wait)
	plan.LatencyGoal = goal + plan.Tuning.FinishMargin
	out.sender = newSender(e, request, plan.AtMostOnce, len(route.Shards))
	finish, err := e.scatter.Run(ctx, out.sender, plan, nil)
	if err != nil {
		return finish, err
	}
	out.counts = finish.Answer.Counts
	out.lost = finish.Answer.Groups[0].Missing
	return finish, nil
}

// merge returns the records of an answer from parts and the parts' signatures.
func (o *outcome) merge(route *routing.Route, finish query.Finish) ([]byte, []string) {
	parts := finish.Answer.Parts
	bodies := make([][]byte, len(parts))
	signatures := make([]string, len(parts))
	o.sender.mu.Lock()
	for i, p := range parts {
		reply := o.sender.replies[p.Attempt]
		bodies[i], signatures[i] = reply.Body, reply.Signature
	}
	o.sender.mu.Unlock()
	return records.TopK(route.MaxRecords, bodies), signatures
}

// writeGathered answers with merged records.
func (e *Entry) writeGathered(w http.ResponseWriter, out *outcome, route *routing.Route, body []byte, signatures []string) {
	out.status = http.StatusOK
	out.written(e.callers.WriteMerged(w, out.id, body, signatures, len(route.Shards)-len(signatures)))
	e.gathered(out, route, body, signatures)
	e.report(out)
}

// gathered learns from an answer that this host merged or passed on.
func (e *Entry) gathered(out *outcome, route *routing.Route, body []byte, signatures []string) {
	out.parts, out.missing = len(signatures), len(route.Shards)-len(signatures)
	// An answer with the least number of parts may have waited for the last of them.
	cut := out.missing > 0 && out.parts > leastParts(route.MinimumShare, len(route.Shards))
	if took := time.Since(out.started); cut && took > out.goal && out.sender != nil {
		e.answers.cut(len(route.Shards), took-out.goal)
	}
	e.answers.written(route.Name, answerSize(body, signatures))
}

// answerSize returns about how many bytes an answer from parts has on the wire.
func answerSize(body []byte, signatures []string) int {
	const header = 300 // status line and other headers
	n := header + len(body) + len(signatures)
	for _, s := range signatures {
		n += len(s)
	}
	return n
}

func (e *Entry) answerReply(w http.ResponseWriter, out *outcome, reply exchange.Reply) {
	out.status, out.parts = reply.Status, 1
	out.written(e.callers.WriteReply(w, out.id, reply))
	e.report(out)
}

// answerFailure answers a request that has no answer. Only a request that surely
// did not run is refused as such.
func (e *Entry) answerFailure(w http.ResponseWriter, out *outcome, route *routing.Route, finish query.Finish, wait time.Duration) {
	out.parts = 0
	out.missing = len(finish.Answer.Groups[0].Missing)
	out.sender.mu.Lock()
	failure := out.sender.failure
	out.sender.mu.Unlock()
	if finish.MayHaveRun && failure != nil {
		out.reason = "replica_failure"
		e.answerReply(w, out, *failure)
		return
	}
	e.refuseGathered(w, out, route, finish.MayHaveRun, finish.Refusal.Error(), wait)
}

// refuseGathered tells a caller that there is no answer.
func (e *Entry) refuseGathered(w http.ResponseWriter, out *outcome, route *routing.Route, mayHaveRun bool, text string, wait time.Duration) {
	if !mayHaveRun {
		e.refuse(w, out, http.StatusServiceUnavailable, refusedAfter(route), "the request has not run: "+text)
		return
	}
	status := http.StatusBadGateway
	if time.Since(out.started) >= wait-finishMost {
		status = http.StatusGatewayTimeout
	}
	e.refuse(w, out, status, 0, text)
}

func (e *Entry) refuse(w http.ResponseWriter, out *outcome, status int, after time.Duration, text string) {
	out.status, out.reason = status, text
	out.written(e.callers.WriteRefusal(w, out.id, status, after, text))
	e.report(out)
}
