package query_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

const (
	loadShards       = 90
	loadDataCentres  = 3 // each has one replica of each shard
	loadSlots        = 2
	loadServiceTime  = 28 * time.Millisecond
	loadSigma        = 0.35 // of the logarithm of the service time
	loadPause        = 250 * time.Millisecond
	loadPauseEvery   = 6 * time.Second
	loadPaceInterval = 600 * time.Millisecond
	loadSlowShare    = 0.15 // of the intervals
	loadSlowPace     = 250  // in percent of the usual time
	loadLocalDelay   = time.Millisecond
	loadRemoteDelay  = 4 * time.Millisecond
	loadWarmUp       = 2 * time.Second
)

// loadTrial plays fan-outs of many hosts over replicas that pause and slow down. Each host
// chooses on its own. A report of load describes its replica as it was reportAge before the
// reply.
type loadTrial struct {
	hosts     int
	load      float64 // share of the slots that are busy if no replica is slow
	reports   bool
	reportAge time.Duration
	length    time.Duration

	rng       *rand.Rand
	now       time.Time
	events    eventHeap
	replicas  map[string]*loadedReplica
	jobs      map[string]*loadJob
	latencies []time.Duration
	queues    []float64 // sampled numbers of requests at each replica
}

// loadedReplica serves requests in its slots, in the order of their arrival.
type loadedReplica struct {
	seed    uint64
	phase   time.Duration // of the pauses
	running int
	waiting []*loadJob
	history []loadSample
}

type loadSample struct {
	at   time.Time
	load upstream.Load
}

type loadJob struct {
	query   *loadQuery
	send    *query.Send
	replica *loadedReplica
	delay   time.Duration // one way
	ended   bool
	started bool
}

type loadQuery struct {
	machine    *query.Machine
	start      time.Time
	dataCentre string
}

type loadEvent struct {
	at  time.Time
	run func()
}

type eventHeap []loadEvent

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(loadEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (t *loadTrial) at(at time.Time, run func())       { heap.Push(&t.events, loadEvent{at, run}) }
func (t *loadTrial) after(d time.Duration, run func()) { t.at(t.now.Add(d), run) }
func (t *loadTrial) elapsed() time.Duration            { return t.now.Sub(time.Unix(0, 0)) }

// inPause returns the time since the last pause began. The replica stands still during the
// first loadPause of it.
func (r *loadedReplica) inPause(at time.Time) time.Duration {
	return (at.Sub(time.Unix(0, 0)) + r.phase) % loadPauseEvery
}

// pace returns how long work takes at a time, in percent of the usual time.
func (r *loadedReplica) pace(at time.Time) int {
	interval := uint64(max(at.Sub(time.Unix(0, 0)), 0) / loadPaceInterval)
	if rand.New(rand.NewPCG(r.seed, interval)).Float64() < loadSlowShare {
		return loadSlowPace
	}
	return 100
}

// finishes returns the time at which work that starts now is done.
func (r *loadedReplica) finishes(now time.Time, work time.Duration) time.Time {
	at := r.inPause(now)
	if at < loadPause {
		now, at = now.Add(loadPause-at), loadPause
	}
	if at+work > loadPauseEvery { // the next pause interrupts it
		work += loadPause
	}
	return now.Add(work)
}

// record adds the load after a change to the history.
func (r *loadedReplica) record(now time.Time) {
	load := upstream.Load{InFlight: r.running, Waiting: len(r.waiting), Slots: loadSlots}
	r.history = append(r.history, loadSample{now, load})
}

// report returns the load at an earlier time.
func (r *loadedReplica) report(at time.Time) upstream.Load {
	load := upstream.Load{Slots: loadSlots}
	for _, s := range slices.Backward(r.history) {
		if !s.at.After(at) {
			load = s.load
			break
		}
	}
	load.Pace = r.pace(at)
	return load
}

// play runs the trial with seeds that are the same for all choices.
func (t *loadTrial) play() {
	t.now, t.rng = time.Unix(0, 0), rand.New(rand.NewPCG(5, 5))
	t.replicas, t.jobs = map[string]*loadedReplica{}, map[string]*loadJob{}
	group := query.Group{Name: "g"}
	for s, partition := range upstream.Split(loadShards) {
		service := query.Service{Name: fmt.Sprint("s", s), Partition: partition}
		for d := range loadDataCentres {
			id := fmt.Sprint(s, "/", d)
			service.Replicas = append(service.Replicas, query.Replica{ID: id, DataCentre: fmt.Sprint("d", d), Held: []uint64{1}})
			t.replicas[id] = &loadedReplica{seed: t.rng.Uint64(), phase: time.Duration(t.rng.Int64N(int64(loadPauseEvery)))}
		}
		group.Services = append(group.Services, service)
	}
	stats, budgets := make([]*query.Stats, t.hosts), make([]*query.RatioBudget, t.hosts)
	for i := range stats {
		stats[i], budgets[i] = query.NewStats(), query.NewRatioBudget(0.1, 40)
	}
	rate := t.load * loadDataCentres * loadSlots / loadServiceTime.Seconds()
	arrivals := rand.New(rand.NewPCG(6, 6))
	var arrive func()
	arrive = func() {
		host := arrivals.IntN(t.hosts)
		t.begin(group, stats[host], budgets[host], fmt.Sprint("d", host%loadDataCentres))
		t.after(time.Duration(arrivals.ExpFloat64()/rate*float64(time.Second)), arrive)
	}
	var sample func()
	sample = func() {
		for _, r := range t.replicas {
			t.queues = append(t.queues, float64(r.running+len(r.waiting)))
		}
		t.after(50*time.Millisecond, sample)
	}
	t.after(0, arrive)
	t.after(loadWarmUp, sample)
	for t.elapsed() < t.length {
		e := heap.Pop(&t.events).(loadEvent)
		t.now = e.at
		e.run()
	}
}

func (t *loadTrial) begin(group query.Group, stats *query.Stats, budget query.RetryBudget, dataCentre string) {
	q := &loadQuery{start: t.now, dataCentre: dataCentre, machine: query.New(query.Plan{
		ID: fmt.Sprint("q", t.rng.Uint64()), Groups: []query.Group{group}, AnswerTime: 2 * time.Second, Prefer: query.PreferCoverage, LocalDataCentre: dataCentre,
		Tuning: query.Tuning{Selection: query.LeastExpectedLatency, Hedging: query.HedgeGroupQuantile, HedgeQuantile: 0.9, HedgeDelay: 4 * loadServiceTime, MaxTries: 2, RetryInterval: 4 * time.Millisecond},
	}, stats, budget, t.rng)}
	t.apply(q, q.machine.Start(t.now))
}

func (t *loadTrial) apply(q *loadQuery, actions []query.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case *query.Send:
			j := &loadJob{query: q, send: a, replica: t.replicas[a.Replica], delay: loadRemoteDelay}
			if a.DataCentre == q.dataCentre {
				j.delay = loadLocalDelay
			}
			t.jobs[a.Attempt] = j
			t.after(j.delay, func() { t.offer(j) })
		case *query.Cancel:
			if j := t.jobs[a.Attempt]; j != nil {
				t.after(j.delay, func() { t.end(j) })
			}
		case *query.Finish:
			if q.start.After(time.Unix(0, 0).Add(loadWarmUp)) {
				t.latencies = append(t.latencies, t.now.Sub(q.start))
			}
		}
	}
	if next, ok := q.machine.Next(); ok {
		t.at(next, func() {
			if due, ok := q.machine.Next(); ok && !due.After(t.now) {
				t.apply(q, q.machine.Tick(t.now))
			}
		})
	}
}

// offer starts a request at its replica or lets it wait for a slot.
func (t *loadTrial) offer(j *loadJob) {
	if j.ended {
		return
	}
	r := j.replica
	r.waiting = append(r.waiting, j)
	t.startWaiting(r)
	r.record(t.now)
}

// startWaiting starts waiting requests in the free slots.
func (t *loadTrial) startWaiting(r *loadedReplica) {
	for r.running < loadSlots && len(r.waiting) > 0 {
		j := r.waiting[0]
		r.waiting, r.running, j.started = r.waiting[1:], r.running+1, true
		work := float64(loadServiceTime) * math.Exp(loadSigma*t.rng.NormFloat64()-loadSigma*loadSigma/2) * float64(r.pace(t.now)) / 100
		t.at(r.finishes(t.now, time.Duration(work)), func() { t.reply(j) })
	}
}

func (t *loadTrial) reply(j *loadJob) {
	if j.ended {
		return
	}
	r := upstream.Reply{Attempt: j.send.Attempt, Service: j.send.Service, Snapshot: 1, Held: []uint64{1}, Partition: j.send.Partition}
	if t.reports {
		r.Load = j.replica.report(t.now.Add(-t.reportAge))
	}
	t.end(j)
	t.after(j.delay, func() { t.apply(j.query, j.query.machine.Reply(t.now, r.Attempt, r)) })
}

// end removes a request that was answered or cancelled from its replica.
func (t *loadTrial) end(j *loadJob) {
	if j.ended {
		return
	}
	r := j.replica
	j.ended = true
	if j.started {
		r.running--
	} else if i := slices.Index(r.waiting, j); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
	delete(t.jobs, j.send.Attempt)
	t.startWaiting(r)
	r.record(t.now)
}

// quantile returns a quantile of the latencies of whole fan-outs in milliseconds.
func (t *loadTrial) quantile(q float64) float64 {
	slices.Sort(t.latencies)
	return milliseconds(t.latencies[int(q*float64(len(t.latencies)-1))])
}

// spread returns the standard deviation of the queues, and the share of replicas with
// waiting requests.
func (t *loadTrial) spread() (deviation, overrun float64) {
	sum, squares := 0.0, 0.0
	for _, q := range t.queues {
		sum += q
		squares += q * q
		if q > loadSlots {
			overrun++
		}
	}
	n := float64(len(t.queues))
	return math.Sqrt(squares/n - sum/n*sum/n), overrun / n
}

// Guards against a choice by reports of load that spreads requests less evenly, or makes
// fan-outs slower, than the choice without reports, however old the reports are; and against
// reports that gain nothing where the load is high.
func TestReportsOfLoadSpreadRequests(t *testing.T) {
	loads, ages, length := []float64{0.2, 0.6}, []time.Duration{0, 500 * time.Millisecond}, 8*time.Second
	if fullTables() {
		loads, ages, length = []float64{0.2, 0.4, 0.6}, []time.Duration{0, 50 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond}, 22*time.Second
	}
	for _, load := range loads {
		for _, hosts := range []int{10, 73, 295} {
			t.Run(fmt.Sprintf("load %.1f, %d hosts", load, hosts), func(t *testing.T) {
				t.Parallel()
				before := &loadTrial{hosts: hosts, load: load, length: length}
				before.play()
				t.Logf("| %.1f | %d | none | %s |", load, hosts, before)
				for _, age := range ages {
					after := &loadTrial{hosts: hosts, load: load, length: length, reports: true, reportAge: age}
					after.play()
					t.Logf("| %.1f | %d | %d | %s |", load, hosts, age.Milliseconds(), after)
					after.compare(t, before)
				}
			})
		}
	}
}

const (
	// loadSpreadNoise and loadTailNoise are factors by which plays of the same choice differ
	// with other seeds.
	loadSpreadNoise = 1.05
	loadTailNoise   = 1.15
	// highLoad is the load from which on reports without delay must be of use.
	highLoad = 0.6
)

// compare checks that requests are spread no less evenly than before and that fan-outs are
// not slower, and that reports which are not late help under a high load.
func (t *loadTrial) compare(tb testing.TB, before *loadTrial) {
	deviation, overrun := t.spread()
	deviationBefore, overrunBefore := before.spread()
	tail, tailBefore := t.quantile(0.99), before.quantile(0.99)
	if deviation > loadSpreadNoise*deviationBefore || overrun > loadSpreadNoise*overrunBefore || tail > loadTailNoise*tailBefore {
		tb.Errorf("reports older by %v make it worse: %s, before %s", t.reportAge, t, before)
	}
	if t.load >= highLoad && t.reportAge == 0 && (deviation >= deviationBefore || overrun >= overrunBefore) {
		tb.Errorf("reports gain nothing: %s, before %s", t, before)
	}
}

// String returns a row of the table of results.
func (t *loadTrial) String() string {
	deviation, overrun := t.spread()
	return fmt.Sprintf("%.2f | %.3f | %.0f | %.0f | %.0f", deviation, overrun, t.quantile(0.5), t.quantile(0.9), t.quantile(0.99))
}
