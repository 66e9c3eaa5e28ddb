package query_test

import (
	"fmt"
	"math"
	"math/big"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/marigoldlever/marigoldlever/capacity"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// The model of the policy trials. It includes only the query machine and the capacity
// limiter. A straggler is a slow sub-request at one replica, independent of all others.
const (
	trialServices          = 20
	trialReplicas          = 2
	trialSlots             = 2 // slots of a replica; each of its owners has one
	trialFrontEnds         = 3
	trialAnswerTime        = 300 * time.Millisecond
	trialNetworkDelay      = time.Millisecond // one way
	trialMedianServiceTime = 5 * time.Millisecond
	trialStragglerFactor   = 20   // service time of a straggler, in medians
	trialStragglerShare    = 0.01 // of all sub-requests
	trialBudget            = 0.03
	trialBurst             = 10
)

// trial is one simulation of a policy.
type trial struct {
	tuning     query.Tuning
	oracle     bool    // knows the stragglers in advance
	sigma      float64 // of the logarithm of the service time
	limitSlots bool    // owners limit the requests to the slots of each replica
	rate       float64 // queries per second; high rates need limitSlots
	queries    int
	minimum    *big.Rat

	handBack    bool       // owners hand back requests, which are then redirected
	latestQuery int        // index of the last query that was started
	rng         *rand.Rand // chooses owners
	now         time.Time
	events      []timedEvent
	frontEnds   []*frontEnd
	owners      map[string]*owner
	jobs        map[string]*job // in flight, by attempt
	latencies   []time.Duration
	primary     int
	extra       int
	answered    int // queries with an answer
	refused     int
}

// frontEnd is a host that receives queries.
type frontEnd struct {
	stats  *query.Stats
	budget *query.RatioBudget
}

// owner limits the requests to one replica.
type owner struct {
	limiter  *capacity.Limiter
	nextTick time.Time
}

// job is one attempt.
type job struct {
	run   *run
	send  *query.Send
	owner *owner
	over  bool
}

// run is one query.
type run struct {
	machine *query.Machine
	start   time.Time
	service map[string]time.Duration // by replica
}

type timedEvent struct {
	at  time.Time
	run func()
}

// at schedules an event. Events at the same time run in the order in which they were
// scheduled. The list starts with the latest event, because most new events go near
// its end.
func (t *trial) at(at time.Time, run func()) {
	i := sort.Search(len(t.events), func(i int) bool { return !t.events[i].at.After(at) })
	t.events = slices.Insert(t.events, i, timedEvent{at, run})
}

// after schedules an event after a delay.
func (t *trial) after(d time.Duration, run func()) { t.at(t.now.Add(d), run) }

// simulate runs the trial.
func (t *trial) simulate() {
	t.now = time.Unix(0, 0)
	t.owners = map[string]*owner{}
	t.jobs = map[string]*job{}
	t.rng = rand.New(rand.NewPCG(3, 3))
	for range trialFrontEnds {
		t.frontEnds = append(t.frontEnds, &frontEnd{query.NewStats(), query.NewRatioBudget(trialBudget, trialBurst)})
	}
	t.arrive(rand.New(rand.NewPCG(1, 1)), 0)
	for len(t.events) > 0 {
		e := t.events[len(t.events)-1]
		t.events = t.events[:len(t.events)-1]
		t.now = e.at
		e.run()
	}
}

// arrive schedules the i-th query, which schedules the next one.
func (t *trial) arrive(rng *rand.Rand, i int) {
	if i == t.queries {
		return
	}
	t.after(time.Duration(rng.ExpFloat64()/t.rate*float64(time.Second)), func() {
		t.begin(i)
		t.arrive(rng, i+1)
	})
}

// begin starts the i-th query. Its service times depend only on i and the replica,
// so that all policies see the same stragglers.
func (t *trial) begin(i int) {
	rng := rand.New(rand.NewPCG(2, uint64(i)))
	r := &run{start: t.now, service: map[string]time.Duration{}}
	g := query.Group{Name: "g"}
	for s, partition := range upstream.Split(trialServices) {
		service := query.Service{Name: fmt.Sprint("s", s), Partition: partition}
		for n := range trialReplicas {
			id := fmt.Sprintf("%d/%d", s, n)
			rep := query.Replica{ID: id, Held: []uint64{1}}
			r.service[id] = time.Duration(float64(trialMedianServiceTime) * math.Exp(t.sigma*rng.NormFloat64()))
			if rng.Float64() < trialStragglerShare {
				r.service[id] = trialStragglerFactor * trialMedianServiceTime
				if t.oracle && (n == 0 || service.Replicas[0].UnusableReason == "") {
					rep.UnusableReason = query.ReasonNoReplica
				}
			}
			service.Replicas = append(service.Replicas, rep)
		}
		g.Services = append(g.Services, service)
	}
	e := t.frontEnds[i%trialFrontEnds]
	r.machine = query.New(query.Plan{
		ID: fmt.Sprint("q", i), Groups: []query.Group{g}, AnswerTime: trialAnswerTime, Prefer: query.PreferCoverage,
		MinimumCoverage: t.minimum, Tuning: t.tuning,
	}, e.stats, e.budget, rng)
	t.latestQuery = i
	t.apply(r, r.machine.Start(t.now))
}

// apply executes the actions of a query and schedules its next tick.
func (t *trial) apply(r *run, actions []query.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *query.Send:
			j := &job{run: r, send: a}
			t.jobs[a.Attempt] = j
			t.after(trialNetworkDelay, func() { t.offer(j) })
		case *query.Cancel:
			t.after(trialNetworkDelay, func() { t.cancel(t.jobs[a.Attempt]) })
		case *query.Finish:
			t.finish(r, a)
		}
	}
	if next, ok := r.machine.Next(); ok {
		t.at(next, func() {
			if due, ok := r.machine.Next(); ok && !due.After(t.now) {
				t.apply(r, r.machine.Tick(t.now))
			}
		})
	}
}

// finish records the result of a query, except during the warm-up.
func (t *trial) finish(r *run, f *query.Finish) {
	if t.latestQuery < t.queries/3 {
		return
	}
	t.primary += f.Answer.Counts.Primary
	t.extra += f.Answer.Counts.Hedges + f.Answer.Counts.Retries
	if f.Refusal != nil {
		t.refused++
		return
	}
	t.answered++
	t.latencies = append(t.latencies, t.now.Sub(r.start))
}

// offer passes a sub-request to one of the replica's owners.
func (t *trial) offer(j *job) {
	if j.over {
		return
	}
	if !t.limitSlots {
		t.serve(j)
		return
	}
	o := t.owner(j.send.Replica, t.rng.IntN(trialSlots))
	j.owner = o
	d := o.limiter.Offer(t.now, capacity.Ticket{ID: j.send.Attempt, Deadline: j.send.Deadline, HandBack: j.send.HandBack && t.handBack})
	switch d.Verdict {
	case capacity.Started:
		t.serve(j)
	case capacity.Refused:
		t.refuse(j, d.RetryAfter)
	}
	t.schedule(o)
}

// owner returns the owner of a replica with the given rank. It treats the replica as
// warm.
func (t *trial) owner(replica string, rank int) *owner {
	key := fmt.Sprint(replica, "/", rank)
	if o := t.owners[key]; o != nil {
		return o
	}
	c := capacity.DefaultConfig(trialSlots)
	c.Floor = trialSlots
	c.SilenceLimit = time.Hour
	l, err := capacity.New(c)
	if err != nil {
		panic(err)
	}
	l.SetRank(t.now, rank, trialSlots)
	l.SetShare(t.now, 1)
	o := &owner{limiter: l}
	t.owners[key] = o
	return o
}

// refuse fails an attempt that an owner refused or handed back.
func (t *trial) refuse(j *job, after time.Duration) {
	t.closeJob(j)
	f := query.Failure{Reason: query.ReasonShed, RetryAfter: after, Unsent: t.handBack}
	t.after(trialNetworkDelay, func() { t.apply(j.run, j.run.machine.Fail(t.now, j.send.Attempt, f)) })
}

// serve runs a sub-request at its replica.
func (t *trial) serve(j *job) {
	t.after(j.run.service[j.send.Replica], func() {
		if j.over {
			return
		}
		t.endJob(j, capacity.Served)
		r := upstream.Reply{
			Attempt: j.send.Attempt, Service: j.send.Service, Snapshot: 1, Held: []uint64{1}, Partition: j.send.Partition,
		}
		t.after(trialNetworkDelay, func() { t.apply(j.run, j.run.machine.Reply(t.now, r.Attempt, r)) })
	})
}

func (t *trial) cancel(j *job) {
	if j == nil || j.over {
		return
	}
	if j.owner != nil && j.owner.limiter.Cancel(j.send.Attempt) {
		t.closeJob(j)
		return
	}
	t.endJob(j, capacity.Cancelled)
}

// closeJob marks a job as over and removes it from the jobs in flight.
func (t *trial) closeJob(j *job) {
	j.over = true
	delete(t.jobs, j.send.Attempt)
}

// endJob closes a job and reports its result to its owner.
func (t *trial) endJob(j *job, result capacity.Result) {
	t.closeJob(j)
	if j.owner == nil {
		return
	}
	t.applyChanges(j.owner, j.owner.limiter.Done(t.now, j.send.Attempt, capacity.Outcome{Result: result}))
}

// applyChanges starts and refuses the jobs that an owner's limiter released.
func (t *trial) applyChanges(o *owner, c capacity.Changes) {
	for _, s := range c.Starts {
		t.serve(t.jobs[s.ID])
	}
	for _, e := range c.Dropped {
		t.refuse(t.jobs[e.ID], e.RetryAfter)
	}
	t.schedule(o)
}

// schedule schedules the next tick of an owner's limiter.
func (t *trial) schedule(o *owner) {
	next, ok := o.limiter.Next()
	if !ok || next.Equal(o.nextTick) {
		return
	}
	o.nextTick = next
	t.at(next, func() {
		if due, ok := o.limiter.Next(); ok && !due.After(t.now) {
			t.applyChanges(o, o.limiter.Tick(t.now))
		}
	})
}

func (t *trial) quantile(q float64) time.Duration {
	slices.Sort(t.latencies)
	if len(t.latencies) == 0 {
		return 0
	}
	return t.latencies[int(q*float64(len(t.latencies)-1))]
}

func (t *trial) extraPercent() float64 { return 100 * float64(t.extra) / float64(t.primary) }

func newTuning(selection query.Selection, hedging query.Hedging, quantile float64, delay time.Duration) query.Tuning {
	u := query.DefaultTuning()
	u.Selection, u.Hedging, u.HedgeQuantile, u.HedgeDelay = selection, hedging, quantile, delay
	return u
}
