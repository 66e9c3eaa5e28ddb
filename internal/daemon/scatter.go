package daemon

import (
	"context"
	"encoding/json"
	"github.com/cockroachdb/errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// retryBurst is how many extra sends a loop's budget can save up.
const retryBurst = 20

// sender brings attempts to upstreams. Both methods return without waiting.
type sender interface {
	// send calls done once for each attempt, unless it was cancelled first.
	send(ctx context.Context, attempts []attempt)
	cancel(ids []string)
}

// attempt is one sub-request on its way to an upstream.
type attempt struct {
	id       string
	replica  string
	request  upstream.Request
	deadline time.Time
	handBack bool // the owner may return it if it waits longer than expected
	done     func(upstream.Reply, error)
}

// scatter runs the queries that callers sent to this host. Queries are divided
// over loops, each with a lock, statistics and budget of its own, so that no lock
// is shared by all of them.
type scatter struct {
	sender sender
	loops  []*scatterLoop
	next   atomic.Uint64
	// observe is called with every reply, merged or not.
	observe func(replica string, r upstream.Reply, err error, sentAt time.Time)
}

type scatterLoop struct {
	mu      sync.Mutex
	stats   *query.Stats
	budget  *query.Budget
	rng     *rand.Rand
	running map[*scatterRun]struct{}
}

// scatterRun is one query.
type scatterRun struct {
	scatter *scatter
	loop    *scatterLoop
	ctx     context.Context
	body    json.RawMessage
	groups  []string // names of the groups that the query touches
	machine *query.Machine
	timer   *time.Timer
	ended   bool
	finish  query.Finish
	done    chan struct{}
}

func newScatter(s sender, loops int, extraLoad float64, seed uint64) *scatter {
	sc := &scatter{sender: s, observe: func(string, upstream.Reply, error, time.Time) {}}
	for i := range loops {
		sc.loops = append(sc.loops, &scatterLoop{
			stats:   query.NewStats(),
			budget:  query.NewBudget(extraLoad, retryBurst),
			rng:     rand.New(rand.NewPCG(seed, uint64(i))),
			running: make(map[*scatterRun]struct{}),
		})
	}
	return sc
}

// run executes the plan and returns its result. When ctx ends first, the
// attempts in flight are cancelled.
func (s *scatter) run(ctx context.Context, plan query.Plan, body json.RawMessage) (query.Finish, error) {
	// The attempts have a context of their own, so that they are cancelled by
	// message before their connection's context ends.
	attempts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	loop := s.loops[s.next.Add(1)%uint64(len(s.loops))]
	r := &scatterRun{scatter: s, loop: loop, ctx: attempts, body: body, done: make(chan struct{})}
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

func (r *scatterRun) start(plan query.Plan) {
	r.step(func(now time.Time) []query.Action {
		r.machine = query.New(plan, r.loop.stats, r.loop.budget, r.loop.rng)
		r.loop.running[r] = struct{}{}
		r.timer = time.AfterFunc(plan.AnswerTime, r.tick)
		return r.machine.Start(now)
	})
}

func (r *scatterRun) tick() {
	r.step(func(now time.Time) []query.Action { return r.machine.Tick(now) })
}

// step passes one event to the machine and carries out its actions. It differs
// from stepper in that all queries of a loop share one lock. The actions run
// outside it, since sending may take a while.
func (r *scatterRun) step(event func(now time.Time) []query.Action) {
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
func (r *scatterRun) schedule(now time.Time) {
	next, ok := r.machine.Next()
	if !ok {
		r.ended = true
		r.timer.Stop()
		delete(r.loop.running, r)
		return
	}
	r.timer.Reset(max(next.Sub(now), 0))
}

func (r *scatterRun) carryOut(now time.Time, actions []query.Action) {
	var attempts []attempt
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
		r.scatter.sender.send(r.ctx, attempts)
	}
	if len(cancelled) > 0 {
		r.scatter.sender.cancel(cancelled)
	}
}

func (r *scatterRun) attempt(now time.Time, s *query.Send) attempt {
	return attempt{
		id:      s.Attempt,
		replica: s.Replica,
		request: upstream.Request{
			Attempt: s.Attempt, Service: s.Service, Kind: upstream.Read,
			Snapshot: s.Snapshot, Partition: s.Partition, Body: r.body,
		},
		deadline: s.Deadline,
		handBack: s.HandBack,
		done: func(reply upstream.Reply, err error) {
			r.scatter.observe(s.Replica, reply, err, now)
			r.replied(s.Attempt, reply, err)
		},
	}
}

func (r *scatterRun) replied(id string, reply upstream.Reply, err error) {
	r.step(func(now time.Time) []query.Action {
		if err != nil {
			return r.machine.Fail(now, id, failureOf(err, reply.Held))
		}
		return r.machine.Reply(now, id, reply)
	})
}

func failureOf(err error, held []uint64) query.Failure {
	f := query.FailureOf(err, held)
	var unsent *unsentError
	if errors.As(err, &unsent) {
		f.Unsent, f.RetryAfter = true, unsent.retryAfter
	}
	return f
}

// abandon stops a query whose caller is gone.
func (r *scatterRun) abandon() {
	r.step(func(now time.Time) []query.Action {
		return r.machine.Abort(now)
	})
}

// exclude tells every running query that upstreams must not get new work.
func (s *scatter) exclude(e query.Exclusion) {
	s.forEach(func(r *scatterRun) {
		r.step(func(now time.Time) []query.Action { return r.machine.Exclude(now, e) })
	})
}

// repartition gives running queries the services of a new configuration.
func (s *scatter) repartition(groups func(plan *scatterRun) []query.Group) {
	s.forEach(func(r *scatterRun) {
		r.step(func(now time.Time) []query.Action { return r.machine.Repartition(now, groups(r)) })
	})
}

func (s *scatter) forEach(visit func(*scatterRun)) {
	for _, loop := range s.loops {
		loop.mu.Lock()
		runs := make([]*scatterRun, 0, len(loop.running))
		for r := range loop.running {
			runs = append(runs, r)
		}
		loop.mu.Unlock()
		for _, r := range runs {
			visit(r)
		}
	}
}

// prune forgets statistics that were not used since the given time.
func (s *scatter) prune(since time.Time) {
	for _, loop := range s.loops {
		loop.mu.Lock()
		loop.stats.Prune(since)
		loop.mu.Unlock()
	}
}
