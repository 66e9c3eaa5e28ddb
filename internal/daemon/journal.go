package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/trace"

	"github.com/marigoldlever/marigoldlever/internal/stepper"
	"github.com/marigoldlever/marigoldlever/internal/tracing"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/once"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// dispatcher sends a request that the journal has recorded to an upstream of a service.
type dispatcher interface {
	dispatch(ctx context.Context, s once.Submission, attempt string) once.DispatchResult
}

// journalRunner records non-idempotent requests in journals and runs them.
type journalRunner struct {
	store      objectstore.Store
	node       *peer.Node
	dispatcher dispatcher
	// hosts returns the ids of the hosts that may write journals.
	hosts func() []string
	// address returns the peer address of a host.
	address func(id string) string

	// beginWork counts the start of journal work and reports whether this host
	// accepts such work; endWork counts its end.
	beginWork func(deadline time.Time) bool
	endWork   func()

	machine *once.Machine
	router  *once.Router
	step    stepper.Stepper[once.Action]
	waiting sync.Map // submission id to *waitingCaller
	ctx     context.Context
}

// waitingCaller is a caller that waits for an outcome, with its trace context.
type waitingCaller struct {
	ctx    context.Context
	answer chan once.Outcome
}

func newJournalRunner(ctx context.Context, cfg once.Config, self, incarnation string, store objectstore.Store, node *peer.Node, d dispatcher, seed uint64) (*journalRunner, error) {
	machine, err := once.New(cfg, self+"/"+incarnation, rand.New(rand.NewPCG(seed, 1)))
	if err != nil {
		return nil, errors.Wrap(err, "journal settings")
	}
	r := &journalRunner{
		store: store, node: node, dispatcher: d, machine: machine, ctx: ctx,
		router: once.NewRouter(machine, self),
		hosts:  func() []string { return []string{self} }, address: func(string) string { return "" },
		beginWork: func(time.Time) bool { return true }, endWork: func() {},
	}
	r.step.Tick, r.step.Next, r.step.Perform = machine.Tick, machine.Next, r.perform
	node.Handle(methodOnceSubmit, r.handleSubmit)
	return r, nil
}

// execute runs a caller's submission: at the preferred writer of its journal if that
// host can be reached, otherwise at this host.
func (r *journalRunner) execute(ctx context.Context, s once.Submission) once.Outcome {
	hosts := r.hosts()
	return r.submit(ctx, s, func(now time.Time, s once.Submission) []once.Action { return r.router.Submit(now, s, hosts) })
}

// forward sends a submission to the preferred writer of its journal. This host submits
// it itself only after an error that proves that the writer did not receive it.
func (r *journalRunner) forward(f once.Forward) {
	ctx, cancel := context.WithDeadline(r.contextOf(f.Submission.ID), f.Until)
	defer cancel()
	s := f.Submission
	message := onceRequest{
		ID: s.ID, Key: s.Key, Number: s.Number, Contract: s.Contract, Service: s.Service, Body: s.Body,
		DeadlineUS: (time.Until(f.Until) - replyReserve).Microseconds(),
	}
	var outcome once.Outcome
	err := r.node.Call(peer.WithTraceparent(ctx, tracing.Inject(ctx)), r.address(f.Host), methodOnceSubmit, message, &outcome)
	r.step.Step(func(now time.Time) []once.Action {
		switch {
		case err == nil:
			return r.router.Reply(s.ID, outcome)
		case errors.IsAny(err, peer.ErrConnect, peer.ErrRefused), isDeclined(err):
			return r.router.NotSent(now, s.ID)
		default:
			return r.router.NoReply(now, s.ID)
		}
	})
}

// replyReserve is subtracted from the deadline of a forwarded submission, so that its
// outcome can travel back in time.
const replyReserve = 10 * time.Millisecond

// handleSubmit is the writer's side of forward.
func (r *journalRunner) handleSubmit(ctx context.Context, request peer.Request) (any, error) {
	var m onceRequest
	if err := request.Decode(&m); err != nil {
		return nil, err
	}
	deadline := time.Now().Add(time.Duration(m.DeadlineUS) * time.Microsecond)
	if !r.beginWork(deadline) {
		return nil, errLeaving
	}
	defer r.endWork()
	ctx = tracing.Extract(ctx, peer.Traceparent(ctx))
	return r.submit(ctx, once.Submission{
		ID: m.ID, Key: m.Key, Number: m.Number, Contract: m.Contract, Service: m.Service, Body: m.Body,
		Deadline: deadline,
	}, r.machine.Submit), nil
}

// submit passes a submission to the machine and waits for its outcome, which arrives
// at the deadline at the latest. It ignores the cancellation of ctx, since the request
// runs on without its caller.
func (r *journalRunner) submit(ctx context.Context, s once.Submission, event func(time.Time, once.Submission) []once.Action) once.Outcome {
	s.ID = s.ID + "/" + uuid.NewString()
	w := &waitingCaller{ctx: context.WithoutCancel(ctx), answer: make(chan once.Outcome, 1)}
	r.waiting.Store(s.ID, w)
	r.step.Step(func(now time.Time) []once.Action { return event(now, s) })
	select {
	case outcome := <-w.answer:
		return outcome
	case <-r.ctx.Done():
		return once.Outcome{Run: once.RunMayHaveRun, Reason: once.ReasonDeadline}
	}
}

func (r *journalRunner) perform(_ time.Time, actions []once.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case once.Read:
			go r.read(a)
		case once.Write:
			go r.write(a)
		case once.Dispatch:
			go r.dispatch(a)
		case once.Forward:
			go r.forward(a)
		case once.Answer:
			if waiting, ok := r.waiting.LoadAndDelete(a.Submission.ID); ok {
				waiting.(*waitingCaller).answer <- a.Outcome
			}
		}
	}
}

func (r *journalRunner) read(a once.Read) {
	object, err := r.store.Get(r.ctx, once.JournalName(a.Journal))
	r.step.Step(func(now time.Time) []once.Action { return r.machine.ReadDone(now, a.Journal, object, err) })
}

func (r *journalRunner) write(a once.Write) {
	object, err := r.store.Put(r.ctx, once.JournalName(a.Journal), a.Base, a.Value)
	r.step.Step(func(now time.Time) []once.Action { return r.machine.WriteDone(now, a.Journal, object, err) })
}

// dispatch runs a recorded request. The request counts as work of this host until the
// machine has its outcome, so that a planned stop waits for it.
func (r *journalRunner) dispatch(a once.Dispatch) {
	if r.beginWork(a.Submission.Deadline) {
		defer r.endWork()
	}
	span := trace.SpanContextFromContext(r.contextOf(a.Submission.ID))
	ctx := trace.ContextWithSpanContext(r.ctx, span)
	result := r.dispatcher.dispatch(ctx, a.Submission, a.Attempt)
	r.step.Step(func(now time.Time) []once.Action { return r.machine.DispatchDone(now, a.Attempt, result) })
}

// contextOf returns the context of the caller that waits for a submission, or the
// runner's if none does.
func (r *journalRunner) contextOf(id string) context.Context {
	w, ok := r.waiting.Load(id)
	if !ok {
		return r.ctx
	}
	return w.(*waitingCaller).ctx
}

// flush waits until every submission is answered and every outcome is in its journal.
// Without its outcome, a resent request that is known to have run is answered with
// may_have_run. The wait is bounded, so that a platform outage does not delay a planned
// stop for long. It returns the number of outcomes that are lost.
func (r *journalRunner) flush(ctx context.Context) int {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	r.step.Step(r.machine.Flush)
	for ctx.Err() == nil && r.inFlight()+r.unwritten() > 0 {
		sleep(ctx, releasePollInterval)
	}
	return r.unwritten()
}

// flushTimeout limits the wait for answers and outcomes at a planned stop.
const flushTimeout = 3 * time.Second

// unwritten returns the number of outcomes that are not in their journals yet.
func (r *journalRunner) unwritten() int {
	n := 0
	r.step.View(func(time.Time) { n = r.machine.UnwrittenOutcomes() })
	return n
}

// inFlight returns the number of submissions that are not answered yet, including those
// that were forwarded to another host.
func (r *journalRunner) inFlight() int {
	n := 0
	r.step.View(func(time.Time) { n = r.machine.InFlight() + r.router.InFlight() })
	return n
}

// replicaLister returns the replicas of a service that accept new requests now, in the
// order in which to try them.
type replicaLister interface {
	usableReplicas(now time.Time, service string) []string
}

// upstreamDispatcher is a dispatcher that sends requests through the owners of the
// upstreams.
type upstreamDispatcher struct {
	router   *router
	replicas replicaLister
}

// dispatch tries the replicas in order until the request may have run at one or the
// deadline has passed.
func (d *upstreamDispatcher) dispatch(ctx context.Context, s once.Submission, attempt string) once.DispatchResult {
	for _, replica := range d.replicas.usableReplicas(time.Now(), s.Service) {
		request := upstream.Request{
			Attempt: attempt + "@" + replica, Service: s.Service, Kind: upstream.Execute, Key: s.Key, Body: s.Body,
		}
		reply, err := d.router.execute(ctx, replica, request, s.Deadline)
		switch {
		case err == nil:
			return once.DispatchResult{Kind: once.DispatchRan, Body: reply.Records}
		case !upstream.NotRun(err):
			return once.DispatchResult{Kind: once.DispatchUnknown}
		case !time.Now().Before(s.Deadline):
			return once.DispatchResult{Kind: once.DispatchNotSent}
		}
	}
	return once.DispatchResult{Kind: once.DispatchNotSent, RetryAfter: dispatchRetryAfter}
}

// dispatchRetryAfter is the Retry-After time when no upstream accepted the request.
const dispatchRetryAfter = 500 * time.Millisecond
