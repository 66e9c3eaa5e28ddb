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

// CallerCodec reads callers' requests and writes answers with the header names of a
// protocol.
type CallerCodec interface {
	// ReadRequest returns the request without its body, and how long the caller waits
	// for the answer.
	ReadRequest(r *http.Request) (exchange.Request, time.Duration, error)
	// WriteMerged answers with records merged from parts, given with their signatures;
	// missing is the number of parts left out.
	WriteMerged(w http.ResponseWriter, id string, body []byte, signatures []string, missing int) error
	// WriteReply answers with a replica's reply.
	WriteReply(w http.ResponseWriter, id string, reply exchange.Reply) error
	// WriteRefusal answers that the request has no result.
	WriteRefusal(w http.ResponseWriter, id string, status int, retryAfter time.Duration, text string) error
}

// ServeHTTP handles one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := &outcome{started: time.Now()}
	request, timeout, err := e.callers.ReadRequest(r)
	out.id = request.ID
	if err != nil {
		e.refuse(w, out, http.StatusBadRequest, 0, err.Error())
		return
	}
	table := e.view.table.Load()
	if table == nil || !e.view.complete(out.started) {
		e.refuse(w, out, http.StatusServiceUnavailable, notReadyRetry, "this host has no configuration yet")
		return
	}
	out.version = table.Version
	route, ok := findRoute(table, &request)
	if !ok {
		e.refuse(w, out, http.StatusNotFound, 0, "no route matches")
		return
	}
	out.route = route.Name
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	work := drain.Request{Work: drain.CallerWork, Deadline: out.started.Add(timeout), Repeatable: route.Idempotent}
	if !e.lifecycle.Begin(work) {
		e.refuseLeaving(w, out)
		return
	}
	defer e.lifecycle.End(drain.CallerWork)
	if request.Body, err = readBody(w, r, table.Limits.BodyBytes); err != nil {
		e.refuseBody(w, out, err)
		return
	}
	if !e.lifecycle.Accepts(work) { // the body may have taken long to arrive
		e.refuseLeaving(w, out)
		return
	}
	latencyGoal := e.latencyGoalFor(r.Context(), route, timeout)
	if !e.offload.forward(w, r, out, route, &request, timeout, latencyGoal) {
		e.dispatch(w, r, out, route, &request, timeout, latencyGoal)
	}
}

// refuseLeaving refuses a request that may last longer than this host.
func (e *Entry) refuseLeaving(w http.ResponseWriter, out *outcome) {
	e.refuse(w, out, http.StatusServiceUnavailable, leavingRetry, "this host is leaving; the request has not run")
}

// closeIfLeaving makes an answer the last one on its connection if this host is leaving.
func (e *Entry) closeIfLeaving(w http.ResponseWriter) {
	if phase := e.lifecycle.Phase(); phase == drain.Leaving || phase == drain.Stopped {
		w.Header().Set("Connection", "close")
	}
}

// findRoute returns the route of a request.
func findRoute(table *routing.Table, request *exchange.Request) (*routing.Route, bool) {
	path, _, _ := strings.Cut(request.Target, "?")
	return table.Find(request.Host, path)
}

// readBody reads the whole body, because it may have to be sent to several replicas.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultLimits.BodyBytes
	}
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

func (e *Entry) refuseBody(w http.ResponseWriter, out *outcome, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		e.refuse(w, out, http.StatusRequestEntityTooLarge, 0, fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
		return
	}
	e.refuse(w, out, http.StatusBadRequest, 0, "the body could not be read")
}

// dispatch sends a request to replicas and answers it. Both durations count from the
// request's start.
func (e *Entry) dispatch(w http.ResponseWriter, r *http.Request, out *outcome, route *routing.Route, request *exchange.Request, timeout, latencyGoal time.Duration) {
	names := servicesOf(route)
	if e.overload.refuses(out.started, route, names) {
		e.refuseUnanswered(w, out, false, refusedRetryAfter(route), "the replicas are overloaded", timeout)
		return
	}
	available := e.availability(time.Now(), route, names)
	if resumes := available.resumesIn(); resumes > 0 {
		e.refuseUnanswered(w, out, false, resumes, pausedRefusal, timeout)
		return
	}
	if !available.enoughReachable() {
		w.Header().Set("Connection", "close")
		e.refuseUnanswered(w, out, false, isolatedRetryAfter(route, e.reach.unreachableFor(out.started)), "too few replicas are in reach", timeout)
		return
	}
	if !available.enoughConnections(route) {
		e.refuseUnanswered(w, out, false, refusedRetryAfter(route), "too few replicas have room", timeout)
		return
	}
	passed := time.Since(out.started)
	latencyGoal = e.answers.mergeDeadline(latencyGoal, route.Name, len(route.Shards))
	finish, err := e.execute(r.Context(), out, route, request, available.services, timeout-passed, latencyGoal-passed)
	defer out.sender.close()
	if err != nil {
		e.reportCallerLeft(out)
		return
	}
	out.latencyGoal = latencyGoal
	switch {
	case finish.Refusal != nil:
		e.writeFailure(w, out, route, finish, timeout)
	case len(route.Shards) > 0:
		body, signatures := out.merge(route, finish)
		e.writeMerged(w, out, route, body, signatures)
	default:
		out.sender.mu.Lock()
		reply := out.sender.replies[finish.Answer.Parts[0].Attempt]
		out.sender.mu.Unlock()
		e.writeReply(w, out, reply)
	}
}

// pausedRefusal is the text of a refusal because of pauses that replicas asked for.
const pausedRefusal = "too few replicas take requests at the moment"

// execute sends a request to replicas of the services until it has an answer. Both
// durations count from now.
func (e *Entry) execute(ctx context.Context, out *outcome, route *routing.Route, request *exchange.Request, services []query.Service, timeout, latencyGoal time.Duration) (query.Finish, error) {
	plan := e.plan(request.ID, route, services, timeout)
	plan.LatencyGoal = latencyGoal + plan.Tuning.FinishMargin
	plan.Tuning.MaxTries -= out.tries
	out.sender = newSender(e, request, plan.AtMostOnce, len(route.Shards))
	finish, err := e.scatter.Run(ctx, out.sender, plan, nil)
	if err != nil {
		return finish, err
	}
	out.counts = finish.Answer.Counts
	out.missingParts = finish.Answer.Groups[0].Missing
	return finish, nil
}

// merge returns the merged records of an answer and the signatures of its parts.
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

// writeMerged answers with merged records.
func (e *Entry) writeMerged(w http.ResponseWriter, out *outcome, route *routing.Route, body []byte, signatures []string) {
	out.status = http.StatusOK
	e.closeIfLeaving(w)
	out.recordWriteError(e.callers.WriteMerged(w, out.id, body, signatures, len(route.Shards)-len(signatures)))
	e.recordAnswer(out, route, body, signatures)
	e.report(out)
}

// recordAnswer updates the estimates with an answer that this host merged or forwarded.
func (e *Entry) recordAnswer(out *outcome, route *routing.Route, body []byte, signatures []string) {
	out.parts, out.missing = len(signatures), len(route.Shards)-len(signatures)
	// An answer with the minimum number of parts may have waited for the last of them,
	// which is no overrun of this host.
	truncated := out.missing > 0 && out.parts > minParts(route.MinimumShare, len(route.Shards))
	if took := time.Since(out.started); truncated && took > out.latencyGoal && out.sender != nil {
		e.answers.truncated(len(route.Shards), took-out.latencyGoal)
	}
	e.answers.recordSize(route.Name, answerSize(body, signatures))
}

// answerSize returns the approximate size of a merged answer on the wire, in bytes.
func answerSize(body []byte, signatures []string) int {
	const header = 300 // status line and other headers
	n := header + len(body) + len(signatures)
	for _, s := range signatures {
		n += len(s)
	}
	return n
}

func (e *Entry) writeReply(w http.ResponseWriter, out *outcome, reply exchange.Reply) {
	out.status, out.parts = reply.Status, 1
	e.closeIfLeaving(w)
	out.recordWriteError(e.callers.WriteReply(w, out.id, reply))
	e.report(out)
}

// writeFailure answers a request whose query failed. It says that the request has not
// run only if that is certain.
func (e *Entry) writeFailure(w http.ResponseWriter, out *outcome, route *routing.Route, finish query.Finish, timeout time.Duration) {
	out.parts = 0
	out.missing = len(finish.Answer.Groups[0].Missing)
	out.sender.mu.Lock()
	failure := out.sender.failure
	out.sender.mu.Unlock()
	if finish.MayHaveRun && failure != nil {
		out.reason = "replica_failure"
		e.writeReply(w, out, *failure)
		return
	}
	e.refuseUnanswered(w, out, finish.MayHaveRun, e.retryAfter(route, finish), finish.Refusal.Error(), timeout)
}

// retryAfter returns when a caller should repeat a request that has not run: after the
// pauses that replicas asked for, if these are why it failed.
func (e *Entry) retryAfter(route *routing.Route, finish query.Finish) time.Duration {
	usual := refusedRetryAfter(route)
	var lacking []string
	for _, m := range finish.Answer.Groups[0].Missing {
		if m.Reason == query.ReasonPaused {
			lacking = append(lacking, m.Service)
		}
	}
	if len(lacking) == 0 {
		return usual
	}
	// The minimum share of the lacking services stands for those that were needed.
	available := e.availability(time.Now(), route, lacking)
	return max(usual, available.resumesIn())
}

// refuseUnanswered answers a request that got no result. retryAfter applies if it has not
// run, here or at the host that had it before.
func (e *Entry) refuseUnanswered(w http.ResponseWriter, out *outcome, mayHaveRun bool, retryAfter time.Duration, text string, timeout time.Duration) {
	if !mayHaveRun && out.tries == 0 {
		e.refuse(w, out, http.StatusServiceUnavailable, retryAfter, "the request has not run: "+text)
		return
	}
	status := http.StatusBadGateway
	if time.Since(out.started) >= timeout-maxFinishMargin {
		status = http.StatusGatewayTimeout
	}
	e.refuse(w, out, status, 0, text)
}

func (e *Entry) refuse(w http.ResponseWriter, out *outcome, status int, retryAfter time.Duration, text string) {
	out.status, out.reason = status, text
	e.closeIfLeaving(w)
	out.recordWriteError(e.callers.WriteRefusal(w, out.id, status, retryAfter, text))
	e.report(out)
}
