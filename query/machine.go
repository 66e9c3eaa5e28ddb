package query

import (
	"math/big"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// minimumRetryInterval keeps Next from returning the same time over and over
// when a plan has no retry interval.
const minimumRetryInterval = time.Millisecond

// extraAttemptCapacity is the initial capacity for hedges and retries in
// Machine.attempts.
const extraAttemptCapacity = 16

// maxNotRunSends is the number of sends that a task may have beyond MaxTries
// because upstreams or owners refused them without running them.
const maxNotRunSends = 3

// taskState is the state of a sub-request.
type taskState uint8

const (
	waiting  taskState = iota // no attempt in flight; may be sent later
	inFlight                  // at least one attempt in flight
	probed                    // discovery: a reply for the newest snapshot is stored
	done                      // the hash range is covered or other tasks took it over
	failed                    // not sent again for the current snapshot
)

// task is a sub-request for one hash range to one service.
type task struct {
	hashRange        upstream.HashRange
	group            int
	service          int // index into Machine.services
	state            taskState
	hedged           bool
	budgetExhausted  bool // the retry budget refused a hedge or retry
	redirected       bool // given to another replica after an owner did not send it
	attemptsInFlight int
	tries            int           // attempts for this snapshot that may have run
	sends            int           // all attempts for this snapshot, including those known not to have run
	triedReplicas    uint64        // bit set of the replicas tried for this snapshot
	due              time.Duration // time of the hedge or retry; never if none
	reason           Reason        // of the last failure
	retryAfter       time.Duration // RetryAfter of the last failure
	probe            *upstream.Reply
	probeReplica     int // index of the replica that sent probe
}

// never is the due time of a task without a timer; it is later than any time in a
// query.
const never = time.Duration(1<<63 - 1)

// attempt is one request sent to one replica.
type attempt struct {
	id       string
	task     int
	service  int
	replica  int
	snapshot uint64
	sentAt   time.Duration
	first    bool // first attempt of its task for this snapshot
	ended    bool
}

// replica is a Replica with the state that this query observed.
type replica struct {
	id, dataCentre string
	unusable       Reason
	cold           bool
	lapsed         bool
	unconnected    bool
	unreachable    bool
	held           []uint64
	stats          *replicaStats
}

// service is a Service with its statistics. Repartition adds new services and
// marks the services that they replace as outdated.
type service struct {
	name      string
	group     int
	partition upstream.HashRange
	replicas  []replica
	stats     *serviceStats
	// groupStats holds the latencies of all services in the group.
	groupStats *serviceStats
	outdated   bool
}

// group collects the merged ranges of a Group.
type group struct {
	name   string
	merged coverage
}

// Machine is the state machine of one query. The package comment describes its
// use.
type Machine struct {
	plan    Plan
	stats   *Stats
	budget  RetryBudget
	rng     *rand.Rand
	minimum *big.Rat

	start             time.Time
	latencyGoal       time.Duration // from here on, PreferLatency answers once the minimum coverage is reached
	attemptDeadline   time.Duration
	finishDeadline    time.Duration
	discoveryDeadline time.Duration

	groups   []group
	services []service
	tasks    []task
	attempts []attempt
	parts    []Part
	excluded []Exclusion

	snapshot          uint64 // 0 while discovering
	discovering       bool
	snapshotFloor     uint64 // the chosen snapshot must be newer
	latencyGoalPassed bool   // an event was handled at or after the latency goal
	started           bool
	finished          bool
	concluded         bool          // by Conclude
	openTasks         int           // number of tasks in states waiting and inFlight
	due               time.Duration // lower bound of the tasks' due times
	abandoned         bool          // finished early because the minimum coverage can't be reached
	recheckMinimum    bool          // a task failed since the last cannotReachMinimum
	mayHaveRun        bool          // an upstream may have run an attempt
	counts            Counts
	actions           []Action
	sendBuffer        []Send // backing array for the Send actions of a batch
	ids               idBatch

	// The property tests disable these checks to verify that they notice it.
	skipSnapshotCheck, skipOverlapCheck bool
}

// New returns a machine for one query. The package comment describes how stats
// and budget may be shared.
func New(plan Plan, stats *Stats, budget RetryBudget, rng *rand.Rand) *Machine {
	if plan.Tuning == (Tuning{}) {
		plan.Tuning = DefaultTuning()
	}
	plan.Tuning.RetryInterval = max(plan.Tuning.RetryInterval, minimumRetryInterval)
	m := &Machine{plan: plan, stats: stats, budget: budget, rng: rng, minimum: plan.MinimumCoverage}
	if m.minimum == nil {
		m.minimum = new(big.Rat)
	}
	m.finishDeadline = max(0, plan.AnswerTime-plan.Tuning.FinishMargin)
	m.attemptDeadline = max(0, m.finishDeadline-plan.Tuning.AttemptMargin)
	m.latencyGoal = m.finishDeadline
	if plan.Prefer == PreferLatency {
		m.latencyGoal = max(0, min(m.finishDeadline, plan.LatencyGoal-plan.Tuning.FinishMargin))
	}
	m.groups = make([]group, len(plan.Groups))
	for i, g := range plan.Groups {
		m.groups[i].name = g.Name
	}
	return m
}

// Start sends the first attempts. It must be the first call.
func (m *Machine) Start(now time.Time) []Action {
	if m.started {
		return nil
	}
	m.started = true
	m.start = now
	m.addServices(m.plan.Groups)
	m.attempts = make([]attempt, 0, len(m.services)+extraAttemptCapacity)
	m.beginRound(now, 0)
	m.counts.Primary = len(m.attempts)
	for i := range m.attempts {
		m.budget.Deposit(now, m.services[m.attempts[i].service].name, 1)
	}
	return m.completeEvent(now)
}

// Reply handles the reply to an attempt.
func (m *Machine) Reply(now time.Time, id string, r upstream.Reply) []Action {
	a := m.lookupAttempt(id)
	if a == nil {
		return nil
	}
	s := &m.services[a.service]
	rep := &s.replicas[a.replica]
	foreign := r.Attempt != id || r.Service != s.name
	if !foreign {
		rep.stats.load.Report(now, r.Load, rep.stats.inFlight)
	}
	m.endAttempt(now, a, true)
	m.mayHaveRun = true
	if foreign {
		m.counts.DroppedReplies++
		m.attemptFailed(now, a, Failure{Reason: ReasonBroken})
		return m.completeEvent(now)
	}
	rep.recordHeld(r)
	if r.Load.Draining {
		rep.unusable = ReasonLeaving
	}
	switch {
	case !m.validReply(a, r):
		m.counts.DroppedReplies++
		m.attemptFailed(now, a, Failure{Reason: ReasonBroken})
	case m.discovering:
		m.storeProbe(now, a, r)
	case r.Snapshot != m.snapshot && !m.skipSnapshotCheck:
		m.counts.DroppedReplies++
		m.attemptFailed(now, a, Failure{Reason: ReasonSnapshot, Held: r.Held})
	default:
		m.merge(now, a, r)
	}
	return m.completeEvent(now)
}

// validReply reports whether a reply states its snapshot and partition. The
// zero HashRange means the whole hash space, so a reply without a partition
// would count as full coverage. It is accepted only if the task asked for the
// whole space.
func (m *Machine) validReply(a *attempt, r upstream.Reply) bool {
	unstated := r.Partition.Whole() && !m.tasks[a.task].hashRange.Whole()
	return r.Partition.Valid() && !unstated && r.Snapshot != 0
}

// Fail handles an attempt that ended without a reply.
func (m *Machine) Fail(now time.Time, id string, f Failure) []Action {
	a := m.lookupAttempt(id)
	if a == nil {
		return nil
	}
	rep := &m.services[a.service].replicas[a.replica]
	rep.stats.load.Report(now, f.Load, rep.stats.inFlight)
	m.endAttempt(now, a, false)
	m.attemptFailed(now, a, f)
	return m.completeEvent(now)
}

// Tick runs the timers that are due. Call it at the time that Next returns.
func (m *Machine) Tick(now time.Time) []Action {
	if !m.started || m.finished {
		return nil
	}
	at := now.Sub(m.start)
	if at >= m.due && at < m.finishDeadline {
		m.runTimers(now, at)
	}
	return m.completeEvent(now)
}

// Next returns the time at which to call Tick. It returns false if the query
// has not started or has finished.
func (m *Machine) Next() (time.Time, bool) {
	if !m.started || m.finished {
		return time.Time{}, false
	}
	next := min(m.due, m.finishDeadline)
	if m.discovering {
		next = min(next, m.discoveryDeadline)
	}
	if m.latencyGoal < next && !m.latencyGoalPassed {
		next = m.latencyGoal
	}
	return m.start.Add(next), true
}

// lookupAttempt returns the attempt if it is still in flight. Otherwise it
// counts a dropped reply and returns nil.
func (m *Machine) lookupAttempt(id string) *attempt {
	n, ok := attemptNumber(m.plan.ID, id)
	if !ok || n >= len(m.attempts) || m.attempts[n].id != id || m.attempts[n].ended || m.finished {
		m.counts.DroppedReplies++
		return nil
	}
	return &m.attempts[n]
}

// endAttempt marks an attempt as ended and updates the in-flight counts. If
// observe is set, it records the latency.
func (m *Machine) endAttempt(now time.Time, a *attempt, observe bool) {
	a.ended = true
	m.tasks[a.task].attemptsInFlight--
	s := &m.services[a.service]
	r := s.replicas[a.replica].stats
	r.end(m.start.Add(a.sentAt))
	if observe {
		latency := now.Sub(m.start) - a.sentAt
		r.observe(now, latency)
		r.load.Observe(float64(latency) / s.groupStats.meanLatency())
		s.stats.observe(latency)
		s.groupStats.observe(latency)
	}
}

// recordHeld records which snapshots a replica holds, as stated in its reply.
func (r *replica) recordHeld(reply upstream.Reply) {
	r.held = reply.Held
	if reply.Snapshot != 0 && !slices.Contains(r.held, reply.Snapshot) {
		r.held = append(slices.Clone(r.held), reply.Snapshot)
	}
}

// merge adds a reply to the answer and requests the rest of the task's range if
// the reply covers only a part. A reply that overlaps a merged range or lies
// outside the task's range is dropped.
func (m *Machine) merge(now time.Time, a *attempt, r upstream.Reply) {
	t := &m.tasks[a.task]
	merged := &m.groups[t.group].merged
	overlaps := merged.overlaps(r.Partition) && !m.skipOverlapCheck
	if overlaps || !r.Partition.Overlaps(t.hashRange) {
		m.counts.DroppedReplies++
		m.attemptFailed(now, a, Failure{Reason: ReasonMoved})
		return
	}
	s := &m.services[a.service]
	merged.add(r.Partition)
	m.parts = append(m.parts, Part{
		Group: m.groups[t.group].name, Service: s.name, Replica: s.replicas[a.replica].id,
		Partition: r.Partition, Records: r.Records, Attempt: a.id,
	})
	if r.Partition == t.hashRange {
		m.completeTask(now, a.task)
		return
	}
	m.trimMerged(now, t.group, a)
}

// completeTask ends a task whose range is covered.
func (m *Machine) completeTask(now time.Time, i int) {
	t := &m.tasks[i]
	m.setState(t, done)
	m.cancelTask(now, i)
}

// cancelTask cancels all attempts of a task that are in flight.
func (m *Machine) cancelTask(now time.Time, i int) {
	for n := 0; m.tasks[i].attemptsInFlight > 0 && n < len(m.attempts); n++ {
		if a := &m.attempts[n]; a.task == i && !a.ended {
			m.cancelAttempt(now, a, true)
		}
	}
}

// cancelAll cancels all attempts in flight.
func (m *Machine) cancelAll(now time.Time, observe bool) {
	for n := range m.attempts {
		if a := &m.attempts[n]; !a.ended {
			m.cancelAttempt(now, a, observe)
		}
	}
}

// cancelAttempt cancels an attempt. If observe is set and it is the first
// attempt of its task, the time since the send is recorded as its latency:
// without it, stragglers would be missing from the quantiles. Later attempts
// are not recorded because most are cancelled soon after they are sent.
func (m *Machine) cancelAttempt(now time.Time, a *attempt, observe bool) {
	m.endAttempt(now, a, observe && a.first)
	m.actions = append(m.actions, &Cancel{Attempt: a.id})
}

// setState changes the state of a task and updates the number of open tasks.
func (m *Machine) setState(t *task, s taskState) {
	if t.state == waiting || t.state == inFlight {
		m.openTasks--
	}
	if s == waiting || s == inFlight {
		m.openTasks++
	}
	t.state = s
	m.recheckMinimum = m.recheckMinimum || s == failed
	if s != waiting && s != inFlight {
		t.due = never
	}
}

// completeEvent ends the snapshot discovery or the query if it is complete or
// its deadline has passed, and returns the actions of the event.
func (m *Machine) completeEvent(now time.Time) []Action {
	at := now.Sub(m.start)
	if m.started && !m.finished {
		if m.discovering && at < m.finishDeadline && (m.openTasks == 0 || at >= m.discoveryDeadline) {
			m.chooseSnapshot(now)
		}
		if m.mayFinish(at) {
			m.finish(now)
		}
	}
	return m.takeActions()
}

// mayFinish reports whether the query can finish at the given time.
func (m *Machine) mayFinish(at time.Duration) bool {
	if at >= m.finishDeadline || m.openTasks == 0 || m.cannotReachMinimum() {
		return true
	}
	if at < m.latencyGoal {
		return false
	}
	m.latencyGoalPassed = true
	return !m.discovering && m.plan.Prefer == PreferLatency && m.minimumReached()
}

// inFlight reports whether any attempt is in flight.
func (m *Machine) inFlight() bool {
	return slices.ContainsFunc(m.attempts, func(a attempt) bool { return !a.ended })
}

// finish cancels the attempts in flight and emits the Finish action.
func (m *Machine) finish(now time.Time) {
	f := &Finish{Answer: m.answer(), MayHaveRun: m.mayHaveRun || m.inFlight()}
	reached := f.Answer.Coverage
	if reached.Cmp(m.minimum) < 0 {
		f.Refusal = &Refusal{Cause: ErrBelowMinimum, Coverage: reached, Minimum: m.minimum}
		switch {
		case m.concluded:
			f.Refusal.Cause = ErrConcluded
		case m.limitedBySnapshot(f.Answer):
			f.Refusal.Cause = ErrNoCommonSnapshot
		}
		f.Answer.Parts = nil
	}
	m.cancelAll(now, true)
	m.finished = true
	m.actions = append(m.actions, f)
}

func (m *Machine) answer() Answer {
	a := Answer{Snapshot: m.snapshot, Parts: m.parts, Coverage: m.coverageReached(), Counts: m.counts}
	for i := range m.tasks {
		a.Counts.Tries = max(a.Counts.Tries, m.tasks[i].tries)
	}
	a.Groups = make([]GroupCoverage, len(m.groups))
	for i := range m.groups {
		a.Groups[i] = m.groupCoverage(i)
	}
	return a
}
