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

// The model of the policy trials. It covers the two cores only: a straggler is
// one sub-request at one replica, independent of all others.
const (
	trialServices  = 20
	trialReplicas  = 2
	trialSlots     = 2 // of a replica, one for each of its owners
	trialEntries   = 3
	trialAnswer    = 300 * time.Millisecond
	trialNetwork   = time.Millisecond // one way
	trialMedian    = 5 * time.Millisecond
	trialStraggler = 20   // times the median
	trialShare     = 0.01 // of stragglers
	trialBudget    = 0.03
	trialBurst     = 10
)

// trial is one run of a policy.
type trial struct {
	tuning  query.Tuning
	oracle  bool    // knows the stragglers in advance
	sigma   float64 // of the logarithm of the service time
	limited bool    // owners admit requests, replicas have slots
	rate    float64 // queries per second; high rates need limited
	queries int
	minimum *big.Rat

	handBack bool       // owners hand back tickets, which are then redirected
	begun    int        // index of the latest query
	rng      *rand.Rand // chooses owners
	now      time.Time
	events   []timed
	entries  []*entry
	owners   map[string]*owner
	jobs     map[string]*job // in flight, by attempt
	latency  []time.Duration
	primary  int
	extra    int
	good     int // answers that reach the minimum
	refused  int
}

type entry struct {
	stats  *query.Stats
	budget *query.Budget
}

// owner admits requests to one replica.
type owner struct {
	limiter *capacity.Limiter
	tick    time.Time
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

type timed struct {
	at  time.Time
	run func()
}

// at adds an event; those of the same time keep their order. The events are kept
// latest first, since most new ones are early.
func (t *trial) at(at time.Time, run func()) {
	i := sort.Search(len(t.events), func(i int) bool { return !t.events[i].at.After(at) })
	t.events = slices.Insert(t.events, i, timed{at, run})
}

func (t *trial) after(d time.Duration, run func()) { t.at(t.now.Add(d), run) }

func (t *trial) play() {
	t.now = time.Unix(0, 0)
	t.owners = map[string]*owner{}
	t.jobs = map[string]*job{}
	t.rng = rand.New(rand.NewPCG(3, 3))
	for range trialEntries {
		t.entries = append(t.entries, &entry{query.NewStats(), query.NewBudget(trialBudget, trialBurst)})
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

// begin starts the i-th query. Its service times depend only on i and the
// replica, so that all policies meet the same stragglers.
func (t *trial) begin(i int) {
	rng := rand.New(rand.NewPCG(2, uint64(i)))
	r := &run{start: t.now, service: map[string]time.Duration{}}
	g := query.Group{Name: "g"}
	for s, partition := range upstream.Split(trialServices) {
		service := query.Service{Name: fmt.Sprint("s", s), Partition: partition}
		for n := range trialReplicas {
			id := fmt.Sprintf("%d/%d", s, n)
			rep := query.Replica{ID: id, Held: []uint64{1}}
			r.service[id] = time.Duration(float64(trialMedian) * math.Exp(t.sigma*rng.NormFloat64()))
			if rng.Float64() < trialShare {
				r.service[id] = trialStraggler * trialMedian
				if t.oracle && (n == 0 || service.Replicas[0].Unusable == "") {
					rep.Unusable = query.ReasonNoReplica
				}
			}
			service.Replicas = append(service.Replicas, rep)
		}
		g.Services = append(g.Services, service)
	}
	e := t.entries[i%trialEntries]
	r.machine = query.New(query.Plan{
		ID: fmt.Sprint("q", i), Groups: []query.Group{g}, AnswerTime: trialAnswer, Prefer: query.PreferCoverage,
		MinimumCoverage: t.minimum, Tuning: t.tuning,
	}, e.stats, e.budget, rng)
	t.begun = i
	t.apply(r, r.machine.Start(t.now))
}

func (t *trial) apply(r *run, actions []query.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *query.Send:
			j := &job{run: r, send: a}
			t.jobs[a.Attempt] = j
			t.after(trialNetwork, func() { t.offer(j) })
		case *query.Cancel:
			t.after(trialNetwork, func() { t.cancel(t.jobs[a.Attempt]) })
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

func (t *trial) finish(r *run, f *query.Finish) {
	if t.begun < t.queries/3 { // warm-up
		return
	}
	t.primary += f.Answer.Counts.Primary
	t.extra += f.Answer.Counts.Hedges + f.Answer.Counts.Retries
	if f.Refusal != nil {
		t.refused++
		return
	}
	t.good++
	t.latency = append(t.latency, t.now.Sub(r.start))
}

// offer is the arrival of a sub-request at one of the replica's owners.
func (t *trial) offer(j *job) {
	if j.over {
		return
	}
	if !t.limited {
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

// owner returns an owner that has seen the replica warm.
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

func (t *trial) refuse(j *job, after time.Duration) {
	t.close(j)
	f := query.Failure{Reason: query.ReasonShed, RetryAfter: after, Unsent: t.handBack}
	t.after(trialNetwork, func() { t.apply(j.run, j.run.machine.Fail(t.now, j.send.Attempt, f)) })
}

// serve runs a sub-request at its replica.
func (t *trial) serve(j *job) {
	t.after(j.run.service[j.send.Replica], func() {
		if j.over {
			return
		}
		t.end(j, capacity.Served)
		r := upstream.Reply{
			Attempt: j.send.Attempt, Service: j.send.Service, Snapshot: 1, Held: []uint64{1}, Partition: j.send.Partition,
		}
		t.after(trialNetwork, func() { t.apply(j.run, j.run.machine.Reply(t.now, r.Attempt, r)) })
	})
}

func (t *trial) cancel(j *job) {
	if j == nil || j.over {
		return
	}
	if j.owner != nil && j.owner.limiter.Cancel(j.send.Attempt) {
		t.close(j)
		return
	}
	t.end(j, capacity.Cancelled)
}

func (t *trial) close(j *job) {
	j.over = true
	delete(t.jobs, j.send.Attempt)
}

func (t *trial) end(j *job, result capacity.Result) {
	t.close(j)
	if j.owner == nil {
		return
	}
	t.changes(j.owner, j.owner.limiter.Done(t.now, j.send.Attempt, capacity.Outcome{Result: result}))
}

func (t *trial) changes(o *owner, c capacity.Changes) {
	for _, s := range c.Starts {
		t.serve(t.jobs[s.ID])
	}
	for _, e := range c.Ended {
		t.refuse(t.jobs[e.ID], e.RetryAfter)
	}
	t.schedule(o)
}

func (t *trial) schedule(o *owner) {
	next, ok := o.limiter.Next()
	if !ok || next.Equal(o.tick) {
		return
	}
	o.tick = next
	t.at(next, func() {
		if due, ok := o.limiter.Next(); ok && !due.After(t.now) {
			t.changes(o, o.limiter.Tick(t.now))
		}
	})
}

func (t *trial) quantile(q float64) time.Duration {
	slices.Sort(t.latency)
	if len(t.latency) == 0 {
		return 0
	}
	return t.latency[int(q*float64(len(t.latency)-1))]
}

func (t *trial) extraPercent() float64 { return 100 * float64(t.extra) / float64(t.primary) }

func tuned(selection query.Selection, hedging query.Hedging, quantile float64, delay time.Duration) query.Tuning {
	u := query.DefaultTuning()
	u.Selection, u.Hedging, u.HedgeQuantile, u.HedgeDelay = selection, hedging, quantile, delay
	return u
}
