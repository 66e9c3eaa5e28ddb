// Package scatter runs queries: it drives query machines with a timer and passes
// their attempts to a sender.
package scatter

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// Sender sends attempts to upstreams. Both methods return without blocking.
type Sender interface {
	// Send calls Done once for each attempt, unless it was cancelled first.
	Send(ctx context.Context, attempts []Attempt)
	// Cancel cancels attempts whose replies would be dropped.
	Cancel(ids []string)
}

// Attempt is one attempt of a sub-request.
type Attempt struct {
	ID       string
	Replica  string
	Request  upstream.Request
	Deadline time.Time
	HandBack bool // the owner may hand the request back if it waits longer than expected
	Done     func(upstream.Reply, error)
}

// UnsentError means that a request is known not to have reached an upstream.
type UnsentError struct {
	Cause      error
	RetryAfter time.Duration
}

// Error returns the cause.
func (e *UnsentError) Error() string { return "not sent to the upstream: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// RefusedError means that an upstream received a request and reported that it did
// not run it.
type RefusedError struct{ Cause error }

// Error returns the cause.
func (e *RefusedError) Error() string { return "not run by the upstream: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// Config holds the configuration of an Executor.
type Config struct {
	// Stripes is the number of stripes that the queries are distributed over. Each
	// stripe has its own lock, statistics and retry budget.
	Stripes int
	// RetryBudget returns a new retry budget for a stripe.
	RetryBudget func() query.RetryBudget
	// Seed is the seed of the random sources.
	Seed uint64
	// OnReply is called for every reply and error, merged or not. It may be nil.
	OnReply func(replica string, r upstream.Reply, err error, sentAt time.Time)
}

// Executor runs queries.
type Executor struct {
	cfg        Config
	stripes    []*stripe
	nextStripe atomic.Uint64
	concluded  atomic.Bool
}

// stripe holds the state that a subset of the queries shares under one lock.
type stripe struct {
	mu          sync.Mutex
	stats       *query.Stats
	retryBudget query.RetryBudget
	rng         *rand.Rand
	running     map[*Run]struct{}
}

// Run is a running query.
type Run struct {
	executor *Executor
	sender   Sender
	stripe   *stripe
	ctx      context.Context
	body     json.RawMessage
	groups   []string
	machine  *query.Machine
	timer    *time.Timer
	memory   *membudget.Hold
	ended    bool
	finish   query.Finish
	done     chan struct{}
}

// New returns an Executor.
func New(cfg Config) *Executor {
	if cfg.OnReply == nil {
		cfg.OnReply = func(string, upstream.Reply, error, time.Time) {}
	}
	e := &Executor{cfg: cfg}
	for i := range cfg.Stripes {
		e.stripes = append(e.stripes, &stripe{
			stats:       query.NewStats(),
			retryBudget: cfg.RetryBudget(),
			rng:         rand.New(rand.NewPCG(cfg.Seed, uint64(i))),
			running:     make(map[*Run]struct{}),
		})
	}
	return e
}

// Run executes the plan and returns its result. If ctx ends first, it cancels the
// attempts in flight and returns the error of ctx. The records of replies take memory, which
// may be nil; a reply that finds none left counts as lost.
func (e *Executor) Run(ctx context.Context, sender Sender, plan query.Plan, body json.RawMessage, memory *membudget.Hold) (query.Finish, error) {
	// The attempts have their own context, so that they are cancelled through
	// Sender.Cancel before their connection's context ends.
	attemptCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s := e.stripes[e.nextStripe.Add(1)%uint64(len(e.stripes))]
	r := &Run{executor: e, sender: sender, stripe: s, ctx: attemptCtx, body: body, memory: memory, done: make(chan struct{})}
	for _, g := range plan.Groups {
		r.groups = append(r.groups, g.Name)
	}
	r.start(plan)
	if e.concluded.Load() {
		r.conclude()
	}
	select {
	case <-r.done:
		return r.finish, nil
	case <-ctx.Done():
		r.abort()
		return query.Finish{}, ctx.Err()
	}
}

// Groups returns the names of the query's groups.
func (r *Run) Groups() []string { return r.groups }

func (r *Run) start(plan query.Plan) {
	r.step(func(now time.Time) []query.Action {
		r.machine = query.New(plan, r.stripe.stats, r.stripe.retryBudget, r.stripe.rng)
		r.stripe.running[r] = struct{}{}
		r.timer = time.AfterFunc(plan.AnswerTime, r.tick)
		return r.machine.Start(now)
	})
}

func (r *Run) tick() {
	r.step(func(now time.Time) []query.Action { return r.machine.Tick(now) })
}

// step passes one event to the machine and executes its actions. Unlike
// stepper.Stepper, it uses one lock for all queries of a stripe. The actions are
// executed without the lock, because sending may take long.
func (r *Run) step(event func(now time.Time) []query.Action) {
	r.stripe.mu.Lock()
	if r.ended {
		r.stripe.mu.Unlock()
		return
	}
	now := time.Now()
	actions := event(now)
	r.schedule(now)
	r.stripe.mu.Unlock()
	r.execute(now, actions)
}

// schedule sets the timer for the machine's next tick. The caller holds the
// stripe's lock.
func (r *Run) schedule(now time.Time) {
	next, ok := r.machine.Next()
	if !ok {
		r.ended = true
		r.timer.Stop()
		delete(r.stripe.running, r)
		return
	}
	r.timer.Reset(max(next.Sub(now), 0))
}

func (r *Run) execute(now time.Time, actions []query.Action) {
	var attempts []Attempt
	var cancelled []string
	for _, a := range actions {
		switch a := a.(type) {
		case *query.Send:
			attempts = append(attempts, r.attempt(now, a))
		case *query.Cancel:
			cancelled = append(cancelled, a.Attempt)
		case *query.Finish:
			r.finish = *a
			close(r.done)
		}
	}
	if len(attempts) > 0 {
		r.sender.Send(r.ctx, attempts)
	}
	if len(cancelled) > 0 {
		r.sender.Cancel(cancelled)
	}
}

// attempt converts a Send action to an Attempt.
func (r *Run) attempt(now time.Time, s *query.Send) Attempt {
	return Attempt{
		ID:      s.Attempt,
		Replica: s.Replica,
		Request: upstream.Request{
			Attempt: s.Attempt, Service: s.Service, Kind: upstream.Read,
			Snapshot: s.Snapshot, Partition: s.Partition, Body: r.body,
		},
		Deadline: s.Deadline,
		HandBack: s.HandBack,
		Done: func(reply upstream.Reply, err error) {
			r.executor.cfg.OnReply(s.Replica, reply, err, now)
			r.handleReply(s.Attempt, reply, err)
		},
	}
}

func (r *Run) handleReply(id string, reply upstream.Reply, err error) {
	r.step(func(now time.Time) []query.Action {
		if err == nil && !r.memory.Take(int64(len(reply.Records))) {
			err = errNoMemory
		}
		if err != nil {
			f := failureOf(err, reply.Held)
			f.Load = reply.Load
			return r.machine.Fail(now, id, f)
		}
		return r.machine.Reply(now, id, reply)
	})
}

// errNoMemory ends an attempt whose reply can't be kept.
var errNoMemory = errors.Wrap(upstream.ErrReplyLost, "no memory is left for the reply")

// failureOf converts the error of an attempt to a query.Failure.
func failureOf(err error, held []uint64) query.Failure {
	f := query.FailureOf(err, held)
	var unsent *UnsentError
	if errors.As(err, &unsent) {
		f.Unsent, f.RetryAfter = true, unsent.RetryAfter
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		f.NotRun = true
	}
	return f
}

// abort ends a query whose caller has disconnected.
func (r *Run) abort() {
	r.step(func(now time.Time) []query.Action {
		return r.machine.Abort(now)
	})
}

// Conclude ends all running queries and those that start later, each with the parts that
// it has.
func (e *Executor) Conclude() {
	e.concluded.Store(true)
	e.forEach((*Run).conclude)
}

func (r *Run) conclude() {
	r.step(func(now time.Time) []query.Action { return r.machine.Conclude(now) })
}

// Exclude makes all running queries stop new attempts at the excluded upstreams.
func (e *Executor) Exclude(exclusion query.Exclusion) {
	e.forEach(func(r *Run) {
		r.step(func(now time.Time) []query.Action { return r.machine.Exclude(now, exclusion) })
	})
}

// Repartition passes the groups of a new configuration to all running queries.
func (e *Executor) Repartition(groups func(r *Run) []query.Group) {
	e.forEach(func(r *Run) {
		r.step(func(now time.Time) []query.Action { return r.machine.Repartition(now, groups(r)) })
	})
}

// forEach calls visit for every running query, without holding a lock.
func (e *Executor) forEach(visit func(*Run)) {
	for _, s := range e.stripes {
		s.mu.Lock()
		runs := make([]*Run, 0, len(s.running))
		for r := range s.running {
			runs = append(runs, r)
		}
		s.mu.Unlock()
		for _, r := range runs {
			visit(r)
		}
	}
}

// SummarizeLoad passes a summary of the replicas' reported load to visit for each stripe.
func (e *Executor) SummarizeLoad(now time.Time, visit func(query.LoadSummary)) {
	for _, s := range e.stripes {
		s.mu.Lock()
		summary := s.stats.SummarizeLoad(now)
		s.mu.Unlock()
		visit(summary)
	}
}

// Prune removes the statistics that were not used since the given time and, of the others,
// all but the limit services of each stripe that were used last.
func (e *Executor) Prune(since time.Time, limit int) {
	for _, s := range e.stripes {
		s.mu.Lock()
		s.stats.Prune(since)
		s.stats.Limit(limit)
		s.mu.Unlock()
	}
}
