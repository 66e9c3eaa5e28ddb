// Package scatter runs queries: it drives query machines against the clock and
// hands their attempts to a sender.
package scatter

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// Sender brings attempts to upstreams. Both methods return without waiting.
type Sender interface {
	// Send calls Done once for each attempt, unless it was cancelled first.
	Send(ctx context.Context, attempts []Attempt)
	// Cancel ends attempts whose replies would be dropped.
	Cancel(ids []string)
}

// Attempt is one sub-request on its way to an upstream.
type Attempt struct {
	ID       string
	Replica  string
	Request  upstream.Request
	Deadline time.Time
	HandBack bool // the owner may return it if it waits longer than expected
	Done     func(upstream.Reply, error)
}

// UnsentError reports that a request surely never reached an upstream.
type UnsentError struct {
	Cause      error
	RetryAfter time.Duration
}

// Error returns the cause.
func (e *UnsentError) Error() string { return "not sent to the upstream: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Cause }

// RefusedError reports that an upstream got a request and states that it did not
// run it.
type RefusedError struct {
	Cause      error
	RetryAfter time.Duration
}

// Error returns the cause.
func (e *RefusedError) Error() string { return "not run by the upstream: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Cause }

// Config holds what the queries of a Scatter share.
type Config struct {
	// Loops is the number of groups that queries are divided over. Each has a
	// lock, statistics and an allowance of its own.
	Loops int
	// Allowance returns the allowance of a loop.
	Allowance func() query.Allowance
	Seed      uint64
	// Observe is called with every reply, merged or not. It may be nil.
	Observe func(replica string, r upstream.Reply, err error, sentAt time.Time)
}

// Scatter runs the queries that callers sent to this host.
type Scatter struct {
	cfg   Config
	loops []*loop
	next  atomic.Uint64
}

type loop struct {
	mu        sync.Mutex
	stats     *query.Stats
	allowance query.Allowance
	rng       *rand.Rand
	running   map[*Run]struct{}
}

// Run is one query.
type Run struct {
	scatter *Scatter
	sender  Sender
	loop    *loop
	ctx     context.Context
	body    json.RawMessage
	groups  []string
	machine *query.Machine
	timer   *time.Timer
	ended   bool
	finish  query.Finish
	done    chan struct{}
}

// New returns a Scatter without queries.
func New(cfg Config) *Scatter {
	if cfg.Observe == nil {
		cfg.Observe = func(string, upstream.Reply, error, time.Time) {}
	}
	s := &Scatter{cfg: cfg}
	for i := range cfg.Loops {
		s.loops = append(s.loops, &loop{
			stats:     query.NewStats(),
			allowance: cfg.Allowance(),
			rng:       rand.New(rand.NewPCG(cfg.Seed, uint64(i))),
			running:   make(map[*Run]struct{}),
		})
	}
	return s
}

// Run executes the plan and returns its result. When ctx ends first, the
// attempts in flight are cancelled.
func (s *Scatter) Run(ctx context.Context, sender Sender, plan query.Plan, body json.RawMessage) (query.Finish, error) {
	// The attempts have a context of their own, so that they are cancelled by
	// message before their connection's context ends.
	attempts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	l := s.loops[s.next.Add(1)%uint64(len(s.loops))]
	r := &Run{scatter: s, sender: sender, loop: l, ctx: attempts, body: body, done: make(chan struct{})}
	for _, g := range plan.Groups {
		r.groups = append(r.groups, g.Name)
	}
	r.start(plan)
	select {
	case <-r.done:
		return r.finish, nil
	case <-ctx.Done():
		r.abandon()
		return query.Finish{}, ctx.Err()
	}
}

// Groups returns the names of the groups that the query touches.
func (r *Run) Groups() []string { return r.groups }

func (r *Run) start(plan query.Plan) {
	r.step(func(now time.Time) []query.Action {
		r.machine = query.New(plan, r.loop.stats, r.loop.allowance, r.loop.rng)
		r.loop.running[r] = struct{}{}
		r.timer = time.AfterFunc(plan.AnswerTime, r.tick)
		return r.machine.Start(now)
	})
}

func (r *Run) tick() {
	r.step(func(now time.Time) []query.Action { return r.machine.Tick(now) })
}

// step passes one event to the machine and carries out its actions. It differs
// from stepper.Stepper in that all queries of a loop share one lock. The actions
// run outside it, since sending may take a while.
func (r *Run) step(event func(now time.Time) []query.Action) {
	r.loop.mu.Lock()
	if r.ended {
		r.loop.mu.Unlock()
		return
	}
	now := time.Now()
	actions := event(now)
	r.schedule(now)
	r.loop.mu.Unlock()
	r.carryOut(now, actions)
}

// schedule sets the timer for the machine's next tick. The loop's lock is held.
func (r *Run) schedule(now time.Time) {
	next, ok := r.machine.Next()
	if !ok {
		r.ended = true
		r.timer.Stop()
		delete(r.loop.running, r)
		return
	}
	r.timer.Reset(max(next.Sub(now), 0))
}

func (r *Run) carryOut(now time.Time, actions []query.Action) {
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
			r.scatter.cfg.Observe(s.Replica, reply, err, now)
			r.replied(s.Attempt, reply, err)
		},
	}
}

func (r *Run) replied(id string, reply upstream.Reply, err error) {
	r.step(func(now time.Time) []query.Action {
		if err != nil {
			return r.machine.Fail(now, id, failureOf(err, reply.Held))
		}
		return r.machine.Reply(now, id, reply)
	})
}

func failureOf(err error, held []uint64) query.Failure {
	f := query.FailureOf(err, held)
	var unsent *UnsentError
	if errors.As(err, &unsent) {
		f.Unsent, f.RetryAfter = true, unsent.RetryAfter
	}
	var refused *RefusedError
	if errors.As(err, &refused) {
		f.NotRun, f.RetryAfter = true, refused.RetryAfter
	}
	return f
}

// abandon stops a query whose caller is gone.
func (r *Run) abandon() {
	r.step(func(now time.Time) []query.Action {
		return r.machine.Abort(now)
	})
}

// Exclude tells every running query that upstreams must not get new work.
func (s *Scatter) Exclude(e query.Exclusion) {
	s.forEach(func(r *Run) {
		r.step(func(now time.Time) []query.Action { return r.machine.Exclude(now, e) })
	})
}

// Repartition gives running queries the services of a new configuration.
func (s *Scatter) Repartition(groups func(r *Run) []query.Group) {
	s.forEach(func(r *Run) {
		r.step(func(now time.Time) []query.Action { return r.machine.Repartition(now, groups(r)) })
	})
}

func (s *Scatter) forEach(visit func(*Run)) {
	for _, l := range s.loops {
		l.mu.Lock()
		runs := make([]*Run, 0, len(l.running))
		for r := range l.running {
			runs = append(runs, r)
		}
		l.mu.Unlock()
		for _, r := range runs {
			visit(r)
		}
	}
}

// Prune forgets statistics that were not used since the given time.
func (s *Scatter) Prune(since time.Time) {
	for _, l := range s.loops {
		l.mu.Lock()
		l.stats.Prune(since)
		l.mu.Unlock()
	}
}
