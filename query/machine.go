package query

import (
	"math/big"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// minimumRetryInterval keeps a machine from waking up again and again at the
// same time.
const minimumRetryInterval = time.Millisecond

// spareAttempts is the room kept for hedges and retries.
const spareAttempts = 16

// maxNotRun is the number of sends of a task beyond MaxTries that may have been
// refused without being run.
const maxNotRun = 3

// taskState is the progress of one sub-request.
type taskState uint8

const (
	waiting  taskState = iota // no attempt in flight, may be sent later
	inFlight                  // at least one attempt in flight
	probed                    // a reply with the newest snapshot is kept
	done                      // nothing left to ask for
	failed                    // will not be sent again for this snapshot
)

// task is a sub-request: one hash range to be asked from one service.
type task struct {
	rng        upstream.HashRange
	group      int
	service    int // index into Machine.services
	state      taskState
	hedged     bool
	unpaid     bool          // the allowance refused a hedge or retry
	redirected bool          // given to another replica after an owner did not send it
	live       int           // attempts in flight
	tries      int           // attempts for this snapshot that may have run
	sends      int           // attempts for this snapshot, with those that surely did not run
	tried      uint64        // bit set of replicas asked for this snapshot
	due        time.Duration // time of the hedge or retry; never if none
	reason     Reason        // of the last failure
	after      time.Duration // RetryAfter of the last failure
	probe      *upstream.Reply
	prober     int // replica that sent probe
}

// never is later than any time within a query.
const never = time.Duration(1<<63 - 1)

// attempt is one request sent to one replica.
type attempt struct {
	id       string
	task     int
	service  int
	replica  int
	snapshot uint64
	sentAt   time.Duration
	first    bool // first attempt of its task
	over     bool
}

// replica is a Replica with what this query learned about it.
type replica struct {
	id, dataCentre string
	unusable       Reason
	cold           bool
	lapsed         bool
	unconnected    bool
	outOfReach     bool
	held           []uint64
	stats          *replicaStats
}

// service is a Service with its statistics. A repartition adds services and
// marks those it replaces as outdated.
type service struct {
	name      string
	group     int
	partition upstream.HashRange
	replicas  []replica
	stats     *serviceStats
	// groupStats are the latencies of all services of the group.
	groupStats *serviceStats
	outdated   bool
}

// group collects the merged ranges of a Group.
type group struct {
	name   string
	merged coverage
}

// Machine runs one query. See the package comment for its use.
type Machine struct {
	plan    Plan
	stats   *Stats
	budget  Allowance
	rng     *rand.Rand
	minimum *big.Rat

	start      time.Time
	goal       time.Duration // PreferLatency may answer from here on
	replyBy    time.Duration // deadline of attempts
	finishBy   time.Duration
	discoverBy time.Duration

	groups   []group
	services []service
	tasks    []task
	attempts []attempt
	parts    []Part
	excluded []Exclusion

	snapshot    uint64 // 0 while discovering
	discovering bool
	floor       uint64 // only snapshots above it are chosen
	pastGoal    bool   // the latency goal was seen; later replies decide
	started     bool
	finished    bool
	open        int           // tasks in states waiting and inFlight
	due         time.Duration // lower bound of the tasks' due times
	abandoned   bool          // ended because the minimum cannot be reached
	lost        bool          // a task failed since hopeless was evaluated
	ran         bool          // an attempt may have run
	counts      Counts
	out         []Action
	sends       []Send // room for the sends of a batch
	ids         idBatch

	// Rules that the property tests switch off to show that they matter.
	ignoreSnapshot, ignoreOverlap bool
}

// New returns a machine for one query. See the package comment for how stats
// and budget may be shared.
func New(plan Plan, stats *Stats, budget Allowance, rng *rand.Rand) *Machine {
	if plan.Tuning == (Tuning{}) {
		plan.Tuning = DefaultTuning()
	}
	plan.Tuning.RetryInterval = max(plan.Tuning.RetryInterval, minimumRetryInterval)
	m := &Machine{plan: plan, stats: stats, budget: budget, rng: rng, minimum: plan.MinimumCoverage}
	if m.minimum == nil {
		m.minimum = new(big.Rat)
	}
	m.finishBy = max(0, plan.AnswerTime-plan.Tuning.FinishMargin)
	m.replyBy = max(0, m.finishBy-plan.Tuning.AttemptMargin)
	m.goal = m.finishBy
	if plan.Prefer == PreferLatency {
		m.goal = max(0, min(m.finishBy, plan.LatencyGoal-plan.Tuning.FinishMargin))
	}
	m.groups = make([]group, len(plan.Groups))
	for i, g := range plan.Groups {
		m.groups[i].name = g.Name
	}
	return m
}

// Start sends the first attempts. It must be the first event.
func (m *Machine) Start(now time.Time) []Action {
	if m.started {
		return nil
	}
	m.started = true
	m.start = now
	m.addServices(m.plan.Groups)
	m.attempts = make([]attempt, 0, len(m.services)+spareAttempts)
	m.begin(now, 0)
	m.counts.Primary = len(m.attempts)
	for i := range m.attempts {
		m.budget.Earn(now, m.services[m.attempts[i].service].name, 1)
	}
	return m.settle(now)
}

// Reply reports the reply to an attempt.
func (m *Machine) Reply(now time.Time, id string, r upstream.Reply) []Action {
	a := m.take(id)
	if a == nil {
		return nil
	}
	s := &m.services[a.service]
	rep := &s.replicas[a.replica]
	m.ended(now, a, true)
	m.ran = true
	if r.Attempt != id || r.Service != s.name {
		m.counts.Dropped++
		m.attemptFailed(now, a, Failure{Reason: ReasonBroken})
		return m.settle(now)
	}
	rep.learn(r)
	if r.Load.Draining {
		rep.unusable = ReasonLeaving
	}
	switch {
	case !m.states(a, r):
		m.counts.Dropped++
		m.attemptFailed(now, a, Failure{Reason: ReasonBroken})
	case m.discovering:
		m.keep(now, a, r)
	case r.Snapshot != m.snapshot && !m.ignoreSnapshot:
		m.counts.Dropped++
		m.attemptFailed(now, a, Failure{Reason: ReasonSnapshot, Held: r.Held})
	default:
		m.merge(now, a, r)
	}
	return m.settle(now)
}

// states reports whether a reply states its snapshot and partition. The zero
// range is the whole space, so that a reply without a partition would look
// like full coverage; it is accepted only where the whole space was asked for.
func (m *Machine) states(a *attempt, r upstream.Reply) bool {
	unstated := r.Partition.Whole() && !m.tasks[a.task].rng.Whole()
	return r.Partition.Valid() && !unstated && r.Snapshot != 0
}

// Fail reports that an attempt ended without a reply.
func (m *Machine) Fail(now time.Time, id string, f Failure) []Action {
	a := m.take(id)
	if a == nil {
		return nil
	}
	m.ended(now, a, false)
	m.attemptFailed(now, a, f)
	return m.settle(now)
}

// Tick handles the timers that are due. Call it at Next.
func (m *Machine) Tick(now time.Time) []Action {
	if !m.started || m.finished {
		return nil
	}
	at := now.Sub(m.start)
	if at >= m.due && at < m.finishBy {
		m.runTimers(now, at)
	}
	return m.settle(now)
}

// Next returns the time of the next Tick, and false if the query has finished
// or has not started.
func (m *Machine) Next() (time.Time, bool) {
	if !m.started || m.finished {
		return time.Time{}, false
	}
	next := min(m.due, m.finishBy)
	if m.discovering {
		next = min(next, m.discoverBy)
	}
	if m.goal < next && !m.pastGoal {
		next = m.goal
	}
	return m.start.Add(next), true
}

// take returns the attempt if it is still in flight, and counts the event as
// dropped otherwise.
func (m *Machine) take(id string) *attempt {
	n, ok := attemptNumber(m.plan.ID, id)
	if !ok || n >= len(m.attempts) || m.attempts[n].id != id || m.attempts[n].over || m.finished {
		m.counts.Dropped++
		return nil
	}
	return &m.attempts[n]
}

// ended takes an attempt off the requests in flight and records its latency if
// observe is set.
func (m *Machine) ended(now time.Time, a *attempt, observe bool) {
	a.over = true
	m.tasks[a.task].live--
	s := &m.services[a.service]
	r := s.replicas[a.replica].stats
	r.end(m.start.Add(a.sentAt))
	if observe {
		latency := now.Sub(m.start) - a.sentAt
		r.observe(now, latency)
		s.stats.observe(latency)
		s.groupStats.observe(latency)
	}
}

// learn records which snapshots a replica holds.
func (r *replica) learn(reply upstream.Reply) {
	r.held = reply.Held
	if reply.Snapshot != 0 && !slices.Contains(r.held, reply.Snapshot) {
		r.held = append(slices.Clone(r.held), reply.Snapshot)
	}
}

// merge adds a reply to the answer, or asks again for what it leaves open.
func (m *Machine) merge(now time.Time, a *attempt, r upstream.Reply) {
	t := &m.tasks[a.task]
	merged := &m.groups[t.group].merged
	overlaps := merged.overlaps(r.Partition) && !m.ignoreOverlap
	if overlaps || !r.Partition.Overlaps(t.rng) {
		m.counts.Dropped++
		m.attemptFailed(now, a, Failure{Reason: ReasonMoved})
		return
	}
	s := &m.services[a.service]
	merged.add(r.Partition)
	m.parts = append(m.parts, Part{
		Group: m.groups[t.group].name, Service: s.name, Replica: s.replicas[a.replica].id,
		Partition: r.Partition, Records: r.Records, Attempt: a.id,
	})
	if r.Partition == t.rng {
		m.complete(now, a.task)
		return
	}
	m.trim(now, t.group, a)
}

// complete ends a task whose range is covered.
func (m *Machine) complete(now time.Time, i int) {
	t := &m.tasks[i]
	m.setState(t, done)
	m.cancelTask(now, i)
}

// cancelTask cancels the attempts of a task that are in flight.
func (m *Machine) cancelTask(now time.Time, i int) {
	for n := 0; m.tasks[i].live > 0 && n < len(m.attempts); n++ {
		if a := &m.attempts[n]; a.task == i && !a.over {
			m.cancel(now, a, true)
		}
	}
}

// cancelAll cancels all attempts in flight.
func (m *Machine) cancelAll(now time.Time, observe bool) {
	for n := range m.attempts {
		if a := &m.attempts[n]; !a.over {
			m.cancel(now, a, observe)
		}
	}
}

// cancel stops an attempt. With observe, a first attempt counts with the time
// it was waited for: stragglers would otherwise vanish from the quantiles.
// Later attempts are not recorded, as most are cancelled soon after the send.
func (m *Machine) cancel(now time.Time, a *attempt, observe bool) {
	m.ended(now, a, observe && a.first)
	m.out = append(m.out, &Cancel{Attempt: a.id})
}

// setState changes the state of a task and keeps the count of open tasks.
func (m *Machine) setState(t *task, s taskState) {
	if t.state == waiting || t.state == inFlight {
		m.open--
	}
	if s == waiting || s == inFlight {
		m.open++
	}
	t.state = s
	m.lost = m.lost || s == failed
	if s != waiting && s != inFlight {
		t.due = never
	}
}

// settle ends the phase or the query if there is nothing left to wait for, and
// returns the actions collected.
func (m *Machine) settle(now time.Time) []Action {
	at := now.Sub(m.start)
	if m.started && !m.finished {
		if m.discovering && at < m.finishBy && (m.open == 0 || at >= m.discoverBy) {
			m.decide(now)
		}
		if m.mayFinish(at) {
			m.finish(now)
		}
	}
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) mayFinish(at time.Duration) bool {
	if at >= m.finishBy || m.open == 0 || m.hopeless() {
		return true
	}
	if at < m.goal {
		return false
	}
	m.pastGoal = true
	return !m.discovering && m.plan.Prefer == PreferLatency && m.minimumReached()
}

// inFlight reports whether an attempt is in flight.
func (m *Machine) inFlight() bool {
	return slices.ContainsFunc(m.attempts, func(a attempt) bool { return !a.over })
}

// finish cancels what is in flight and emits the result.
func (m *Machine) finish(now time.Time) {
	f := &Finish{Answer: m.answer(), MayHaveRun: m.ran || m.inFlight()}
	reached := f.Answer.Coverage
	if reached.Cmp(m.minimum) < 0 {
		f.Refusal = &Refusal{Cause: ErrBelowMinimum, Coverage: reached, Minimum: m.minimum}
		if m.snapshotDecides(f.Answer) {
			f.Refusal.Cause = ErrNoCommonSnapshot
		}
		f.Answer.Parts = nil
	}
	m.cancelAll(now, true)
	m.finished = true
	m.out = append(m.out, f)
}

func (m *Machine) answer() Answer {
	a := Answer{Snapshot: m.snapshot, Parts: m.parts, Coverage: m.coverageReached(), Counts: m.counts}
	a.Groups = make([]GroupCoverage, len(m.groups))
	for i := range m.groups {
		a.Groups[i] = m.groupCoverage(i)
	}
	return a
}
