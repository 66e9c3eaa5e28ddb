package entry

import (
	"context"
	"fmt"
	"maps"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/internal/callers"
	"github.com/marigoldlever/marigoldlever/internal/membudget"
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
	defer e.finish(out)
	e.respond(w, out, e.handle(r, out))
}

// finish releases what a request and its answer needed.
func (e *Entry) finish(out *outcome) {
	e.memory.release(out)
	e.quotas.settle(out)
	if out.accepted {
		e.lifecycle.End(drain.CallerWork)
	}
}

// handle routes a request and returns its answer.
func (e *Entry) handle(r *http.Request, out *outcome) answer {
	table := e.view.table.Load()
	if limit := headerLimit(table); headerBytes(r) > limit {
		a := refusal(verdictHeader, 0, fmt.Sprintf("the header is larger than %d bytes", limit))
		a.closes = true
		return a
	}
	request, timeout, err := e.callers.ReadRequest(r)
	out.id = request.ID
	if err != nil {
		return refusal(verdictMalformed, 0, err.Error())
	}
	if table == nil || !e.view.complete(out.started) {
		return refusal(verdictNotReady, notReadyRetry, "this host has no configuration yet")
	}
	out.version = table.Version
	route, ok := findRoute(table, &request)
	if !ok {
		return refusal(verdictNoRoute, 0, "no route matches")
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	account, ok := identify(table, route, &request)
	if !ok {
		return refusal(verdictNoAccount, 0, "the request has no key of an account")
	}
	out.route, out.timeout, out.account = route.Name, timeout, account
	work := drain.Request{Work: drain.CallerWork, Deadline: out.started.Add(timeout), Repeatable: route.Idempotent}
	if out.accepted = e.lifecycle.Begin(work); !out.accepted {
		return refuseLeaving()
	}
	if request.Body, err = e.readBody(r, out, table.Limits.BodyBytes); err != nil {
		return refuseBody(route, err)
	}
	if !e.lifecycle.Accepts(work) { // the body may have taken long to arrive
		return refuseLeaving()
	}
	latencyGoal := e.latencyGoalFor(r.Context(), route, timeout)
	if a, refused := e.quotas.charge(r.Context(), out, route, latencyGoal); refused {
		return a
	}
	if a, ok := e.offload.forward(r.Context(), out, route, &request, latencyGoal); ok {
		return a
	}
	return e.dispatch(r.Context(), out, route, &request, latencyGoal)
}

// refuseLeaving refuses a request that may last longer than this host.
func refuseLeaving() answer {
	return refusal(verdictLeaving, leavingRetry, "this host is leaving; the request has not run")
}

// headerLimit returns the limit on a request's header. The table may be nil.
func headerLimit(table *routing.Table) int {
	if table == nil || table.Limits.HeaderBytes <= 0 {
		return defaultLimits.HeaderBytes
	}
	return table.Limits.HeaderBytes
}

// findRoute returns the route of a request.
func findRoute(table *routing.Table, request *exchange.Request) (*routing.Route, bool) {
	path, _, _ := strings.Cut(request.Target, "?")
	route, ok := table.Find(request.Host, path)
	if !ok {
		return nil, false
	}
	own := *route // the request keeps no whole version of the configuration in memory
	return &own, true
}

// identify sets the account of a request and returns it, or nil if the request needs none. It
// returns false if the request needs the key of an account and has none.
func identify(table *routing.Table, route *routing.Route, request *exchange.Request) (*routing.Account, bool) {
	identity := request.Identity
	request.Identity = exchange.Identity{}
	if !table.HasAccounts() {
		maps.Copy(request.Header, identity.Header)
		return nil, true
	}
	if route.Public {
		return nil, true
	}
	account, ok := table.AccountOfKey(identity.Key)
	if !ok {
		return nil, false
	}
	request.Account = account.Name
	return account, true
}

// readBody reads the whole body, because it may have to be sent to several replicas. It must
// arrive within the timeout of the request.
func (e *Entry) readBody(r *http.Request, out *outcome, limit int64) (body []byte, err error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if limit <= 0 {
		limit = defaultLimits.BodyBytes
	}
	conn := callers.FromContext(r.Context())
	conn.LimitBody(out.started.Add(out.timeout))
	body, out.bodyHeld, err = conn.ReadBody(e.memory.bodies, r.Body, r.ContentLength, limit)
	return body, err
}

// refuseBody returns the answer to a request whose body was not read to its end.
func refuseBody(route *routing.Route, err error) answer {
	a := refusal(verdictMalformed, 0, "the body could not be read")
	var timeout net.Error
	switch {
	case errors.Is(err, callers.ErrGaveWay):
		a = refusal(verdictRefused, refusedRetryAfter(route), "the request has not run: "+err.Error())
	case errors.As(err, &timeout) && timeout.Timeout():
		a = refusal(verdictBodyTimeout, 0, "the request has not run: the body did not arrive in time")
	case errors.Is(err, membudget.ErrTooLarge):
		a = refusal(verdictTooLarge, 0, "the body is too large: "+err.Error())
	case errors.Is(err, membudget.ErrExhausted):
		a = refusal(verdictRefused, refusedRetryAfter(route), "the request has not run: too many large bodies are in progress")
	}
	a.closes = true // the rest of the body is not read
	return a
}

// dispatch sends a request to replicas and returns its answer. The latency goal counts from
// the request's start.
func (e *Entry) dispatch(ctx context.Context, out *outcome, route *routing.Route, request *exchange.Request, latencyGoal time.Duration) answer {
	names := servicesOf(route)
	if r := rankOf(route, out.account); e.overload.refuses(out.started, route, names, r) {
		return out.refuseUnsent(route, overloadRetryAfter(route, r), "the replicas are overloaded")
	}
	available := e.availability(time.Now(), route, names)
	if resumes := available.resumesIn(); resumes > 0 {
		return out.refuseUnsent(route, resumes, pausedRefusal)
	}
	if !available.enoughReachable() {
		a := out.refuseUnsent(route, isolatedRetryAfter(route, e.reach.unreachableFor(out.started)), "too few replicas are in reach")
		a.closes = true
		return a
	}
	if !available.enoughConnections(route) {
		return out.refuseUnsent(route, refusedRetryAfter(route), "too few replicas have room")
	}
	release, ok := e.memory.parts.Reserve(len(names))
	if !ok {
		return out.refuseUnsent(route, refusedRetryAfter(route), "too many requests are in progress")
	}
	defer release()
	passed := time.Since(out.started)
	latencyGoal = e.answers.mergeDeadline(latencyGoal, route.Name, len(route.Shards))
	finish, err := e.execute(ctx, out, route, request, available.services, out.timeout-passed, latencyGoal-passed)
	if err != nil {
		return answer{verdict: verdictCallerLeft}
	}
	out.latencyGoal = latencyGoal
	switch {
	case finish.Refusal != nil:
		return e.failed(out, route, finish)
	case len(route.Shards) > 0:
		body, signatures := out.merge(route, finish)
		return e.merged(out, route, body, signatures)
	}
	return out.answered(route, out.sender.replyTo(finish.Answer.Parts[0].Attempt))
}

// answered returns a replica's reply as the answer.
func (o *outcome) answered(route *routing.Route, reply exchange.Reply) answer {
	f := facts{kind: kindOf(route), sent: mayHaveRun, came: wholeAnswer, cut: ended}
	return answer{verdict: f.verdict(), reply: reply}
}

// merged returns merged records as the answer, and updates the estimates with it.
func (e *Entry) merged(out *outcome, route *routing.Route, body []byte, signatures []string) answer {
	e.recordAnswer(out, route, body, signatures)
	f := facts{kind: overShards, sent: mayHaveRun, came: wholeAnswer, cut: ended}
	return answer{verdict: f.verdict(), body: body, signatures: signatures, missing: len(route.Shards) - len(signatures)}
}

// failed returns the answer to a request whose query failed: that of a replica that failed,
// or none.
func (e *Entry) failed(out *outcome, route *routing.Route, finish query.Finish) answer {
	out.missing = len(finish.Answer.Groups[0].Missing)
	f := facts{kind: kindOf(route), sent: notRun, came: nothing, cut: out.cutBy(finish.Refusal)}
	failure := out.sender.lastFailure()
	if finish.MayHaveRun || out.tries > 0 {
		f.sent = mayHaveRun
		if failure != nil && f.kind == repeatable {
			f.came = ownFailure
		}
	}
	a := unanswered(f, e.retryAfter(route, finish), finish.Refusal.Error())
	if f.came == ownFailure {
		a.reply, a.text = *failure, a.verdict.name
	}
	return a
}

// refuseUnsent returns the answer to a request that this host did not send. Another host may
// have.
func (o *outcome) refuseUnsent(route *routing.Route, retryAfter time.Duration, text string) answer {
	f := facts{kind: kindOf(route), sent: notRun, came: nothing, cut: o.cutBy(nil)}
	if o.tries > 0 {
		f.sent = mayHaveRun
	}
	return unanswered(f, retryAfter, text)
}

// unanswered returns the answer to a request that got none.
func unanswered(f facts, retryAfter time.Duration, text string) answer {
	a := answer{verdict: f.verdict(), retryAfter: retryAfter, text: text}
	if f.sent == notRun {
		a.text = "the request has not run: " + text
	}
	return a
}

// cutBy returns what ended a request that failed with an error.
func (o *outcome) cutBy(err error) cutSet {
	switch {
	case errors.IsAny(err, query.ErrConcluded, errStopping):
		return hostStops
	case time.Since(o.started) >= o.timeout-maxFinishMargin:
		return atDeadline
	}
	return ended
}

// pausedRefusal is the text of a refusal because of pauses that replicas asked for.
const pausedRefusal = "too few replicas take requests at the moment"

// execute sends a request to replicas of the services until it has an answer. Both
// durations count from now.
func (e *Entry) execute(ctx context.Context, out *outcome, route *routing.Route, request *exchange.Request, services []query.Service, timeout, latencyGoal time.Duration) (query.Finish, error) {
	plan := e.plan(request.ID, route, services, timeout)
	plan.LatencyGoal = latencyGoal + plan.Tuning.FinishMargin
	plan.Tuning.MaxTries -= out.tries
	out.sender = newSender(e, route.Name, request, plan.AtMostOnce, len(route.Shards))
	finish, err := e.scatter.Run(ctx, out.sender, plan, nil, nil)
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
