package query

import (
	"math/bits"
	"slices"
	"time"
)

// sendAll sends the first attempt of every waiting task.
func (m *Machine) sendAll(now time.Time) {
	m.out = slices.Grow(m.out, m.open)
	m.sends = make([]Send, 0, m.open)
	m.ids.fill(m.plan.ID, len(m.attempts), m.open)
	for i := range m.tasks {
		if m.tasks[i].state == waiting && m.tasks[i].due == never {
			m.sendFirst(now, i)
		}
	}
}

// sendFirst sends the first attempt of a task for the current snapshot.
func (m *Machine) sendFirst(now time.Time, i int) {
	t := &m.tasks[i]
	if m.services[t.service].outdated {
		m.divide(now, i)
		return
	}
	r, ok := m.pick(now, t)
	if !ok || now.Sub(m.start) >= m.replyBy {
		t.reason = m.whyNoReplica(t)
		m.setState(t, failed)
		return
	}
	m.send(now, i, r, false, false)
}

// send emits one attempt.
func (m *Machine) send(now time.Time, i, r int, hedge, retry bool) {
	t := &m.tasks[i]
	s := &m.services[t.service]
	rep := &s.replicas[r]
	at := now.Sub(m.start)
	id := m.ids.take(m.plan.ID, len(m.attempts))
	m.attempts = append(m.attempts, attempt{
		id: id, task: i, service: t.service, replica: r, snapshot: m.snapshot, sentAt: at, first: t.sends == 0,
	})
	t.live++
	t.tries++
	t.sends++
	t.tried |= 1 << r
	m.setState(t, inFlight)
	m.setDue(t, never)
	if !t.hedged && !hedge && m.plan.Tuning.Hedging != HedgeOff && !m.plan.AtMostOnce {
		m.setDue(t, m.hedgeAt(at, s))
	}
	rep.stats.begin(now)
	s.stats.used = now
	m.emit(Send{
		Attempt: id, Group: m.groups[t.group].name, Service: s.name, Replica: rep.id, DataCentre: rep.dataCentre,
		Snapshot: m.snapshot, Partition: t.rng, Deadline: m.start.Add(m.replyBy), Hedge: hedge, Retry: retry,
		HandBack: !t.redirected && m.usable(t)&^t.tried != 0,
	})
}

// emit adds a send to the actions. Those of a batch share one allocation, whose
// room is never exceeded, so that pointers into it stay valid.
func (m *Machine) emit(s Send) {
	if len(m.sends) == cap(m.sends) {
		m.sends = make([]Send, 0, 1)
	}
	m.sends = append(m.sends, s)
	m.out = append(m.out, &m.sends[len(m.sends)-1])
}

func (m *Machine) setDue(t *task, due time.Duration) {
	t.due = due
	m.due = min(m.due, due)
}

// hedgeDelay returns how long an attempt is waited for before a hedge.
func (m *Machine) hedgeDelay(s *service) time.Duration {
	tuning := &m.plan.Tuning
	if tuning.Hedging == HedgeQuantile {
		if d, ok := s.stats.quantile(tuning.HedgeQuantile); ok {
			return d
		}
	}
	if tuning.Hedging == HedgeQuantile || tuning.Hedging == HedgeGroupQuantile {
		if d, ok := s.groupStats.quantile(tuning.HedgeQuantile); ok {
			return d
		}
	}
	return tuning.HedgeDelay
}

// hedgeAt returns the time of the hedge of an attempt that is sent now.
func (m *Machine) hedgeAt(at time.Duration, s *service) time.Duration {
	due := at + m.hedgeDelay(s)
	if m.plan.Tuning.Hedging != HedgeGroupQuantile || at >= m.goal {
		return due
	}
	return min(due, max(m.lastHedge(s), at+time.Duration(s.groupStats.usual())))
}

// lastHedge returns the time up to which a hedge can be put off and still be
// expected to reply before the latency goal.
func (m *Machine) lastHedge(s *service) time.Duration {
	if m.plan.Tuning.Hedging != HedgeGroupQuantile {
		return 0
	}
	return m.goal - time.Duration(hedgeRoom*s.groupStats.usual())
}

// hedgeRoom is the number of mean latencies that a hedge needs to reply.
const hedgeRoom = 2

// lookInterval is the wait between looks at an allowance that keeps a reserve.
const lookInterval = 10 * time.Millisecond

// spent reports whether a task may not be sent again. The sends that surely did
// not run are bounded too, so that upstreams which refuse everything end it.
func (m *Machine) spent(t *task) bool {
	return t.tries >= m.plan.Tuning.MaxTries || t.sends >= m.plan.Tuning.MaxTries+maxNotRun
}

// runTimers hedges and retries what is due.
func (m *Machine) runTimers(now time.Time, at time.Duration) {
	m.due = never
	for i := 0; i < len(m.tasks); i++ {
		t := &m.tasks[i]
		if t.due > at {
			m.due = min(m.due, t.due)
			continue
		}
		if t.state == inFlight {
			m.hedge(now, i)
		} else {
			m.retry(now, i)
		}
	}
}

// hedge sends a second attempt if a replica and the budget allow it.
func (m *Machine) hedge(now time.Time, i int) {
	t := &m.tasks[i]
	at := now.Sub(m.start)
	s := &m.services[t.service]
	if m.spent(t) || at >= m.replyBy {
		m.setDue(t, never)
		return
	}
	// This comes before the choice, whose work a host that is slow can do without.
	if m.hostSeemsSlow(s, at) {
		m.setDue(t, at+m.plan.Tuning.RetryInterval)
		return
	}
	r, ok := m.pick(now, t)
	if !ok {
		m.setDue(t, never)
		return
	}
	last := m.lastHedge(s)
	if !m.budget.TryWithdraw(now, s.name, at >= last) {
		m.unpaid(t)
		m.setDue(t, max(at+m.plan.Tuning.RetryInterval, min(last, at+lookInterval)))
		return
	}
	m.counts.Hedges++
	t.hedged = true
	m.send(now, i, r, true, false)
}

const (
	// slowHostShare is the share of the sub-requests above which their silence shows
	// that this host is slow rather than the replicas: hedges would add to its work.
	slowHostShare = 0.25
	// slowHostLeast is the number of sub-requests up to which that is no sign.
	slowHostLeast = 4
	// slowHostDelays is the number of hedge delays after which the replicas are taken
	// to be silent all the same.
	slowHostDelays = 2
)

// hostSeemsSlow reports whether so many sub-requests wait that a hedge is put off.
func (m *Machine) hostSeemsSlow(s *service, at time.Duration) bool {
	return m.plan.Tuning.Hedging == HedgeGroupQuantile && m.open > slowHostLeast &&
		float64(m.open) > slowHostShare*float64(len(m.tasks)) && at < slowHostDelays*m.hedgeDelay(s)
}

// attemptFailed records a failure and decides how its task goes on.
func (m *Machine) attemptFailed(now time.Time, a *attempt, f Failure) {
	t := &m.tasks[a.task]
	s := &m.services[a.service]
	rep := &s.replicas[a.replica]
	t.reason = f.Reason
	t.after = f.RetryAfter
	if f.Unsent || f.NotRun {
		t.tries--
	} else {
		m.ran = true
	}
	rep.stats.failed(now, f)
	switch f.Reason {
	case ReasonSnapshot:
		rep.held = append([]uint64{}, f.Held...)
	case ReasonLeaving, ReasonOut:
		rep.unusable = f.Reason
	}
	if t.live > 0 {
		return
	}
	m.setState(t, waiting)
	if m.plan.AtMostOnce && !f.Unsent && !f.NotRun {
		m.setState(t, failed)
		return
	}
	if f.Unsent && m.redirect(now, a) {
		return
	}
	if f.Reason == ReasonSnapshot && !m.anotherHolds(now, t) && m.restart(now, s) {
		return
	}
	m.retry(now, a.task)
}

// redirect sends a request that never reached an upstream to another replica,
// once for each sub-request. It adds no load to upstreams, so it is not paid for.
// The replica that did not get the request may still get a hedge or retry.
func (m *Machine) redirect(now time.Time, a *attempt) bool {
	i, from := a.task, a.replica
	t := &m.tasks[i]
	if t.redirected || m.spent(t) || m.services[t.service].outdated || now.Sub(m.start) >= m.replyBy {
		return false
	}
	r, ok := m.pick(now, t)
	if !ok {
		return false
	}
	m.counts.Redirected++
	t.redirected = true
	m.send(now, i, r, false, false)
	t.tried &^= 1 << from
	return true
}

// anotherHolds reports whether a replica that was not asked yet may hold the
// snapshot.
func (m *Machine) anotherHolds(now time.Time, t *task) bool {
	_, ok := m.pick(now, t)
	return ok
}

// retry sends a new attempt for a waiting task, puts it off, or ends it.
func (m *Machine) retry(now time.Time, i int) {
	t := &m.tasks[i]
	if m.services[t.service].outdated {
		m.divide(now, i)
		return
	}
	at := now.Sub(m.start)
	if m.spent(t) || at >= m.replyBy {
		m.setState(t, failed)
		return
	}
	r, ok := m.pick(now, t)
	if !ok {
		m.noReplicaLeft(t, at)
		return
	}
	if !m.budget.TryWithdraw(now, m.services[t.service].name, true) {
		m.unpaid(t)
		m.noBudget(t, at)
		return
	}
	m.counts.Retries++
	m.send(now, i, r, false, true)
}

// unpaid counts a task's first refusal by the allowance.
func (m *Machine) unpaid(t *task) {
	if !t.unpaid {
		t.unpaid = true
		m.counts.BudgetExhausted++
	}
}

// noBudget puts a retry off until the budget may have recovered. A request that
// was shed is given up: shed requests without budget are a sign of overload, and
// its query would only hold work that cannot become an answer.
func (m *Machine) noBudget(t *task, at time.Duration) {
	if t.reason == ReasonShed {
		m.setState(t, failed)
		return
	}
	m.setDue(t, at+m.plan.Tuning.RetryInterval)
}

// noReplicaLeft puts a task off if a replica may recover or a repartition may
// follow, and ends it otherwise.
func (m *Machine) noReplicaLeft(t *task, at time.Duration) {
	if m.usable(t) == 0 {
		t.reason = m.whyNoReplica(t)
		m.setState(t, failed)
		return
	}
	switch t.reason {
	case ReasonShed, ReasonBroken, ReasonTimedOut:
		t.tried = 0
		due := at + max(t.after, m.plan.Tuning.RetryInterval<<t.sends)
		if due >= m.replyBy {
			m.setState(t, failed)
			return
		}
		m.setDue(t, due)
	case ReasonMoved:
		m.setDue(t, never) // Repartition sends it
	default:
		m.setState(t, failed)
	}
}

// usable returns the set of replicas that may get an attempt of the task,
// whether they were tried or not.
func (m *Machine) usable(t *task) uint64 {
	set := uint64(0)
	replicas := m.services[t.service].replicas
	for i := range replicas {
		r := &replicas[i]
		if r.unusable == "" && (m.snapshot == 0 || r.held == nil || slices.Contains(r.held, m.snapshot)) {
			set |= 1 << i
		}
	}
	return set
}

// pick chooses a replica for the next attempt of a task among those not tried.
// Replicas known to hold the snapshot come before those of which nothing is
// known.
func (m *Machine) pick(now time.Time, t *task) (int, bool) {
	set := m.usable(t) &^ t.tried
	if sure := m.knownHolders(t, set); sure != 0 {
		set = sure
	}
	n := bits.OnesCount64(set)
	if n == 0 {
		return 0, false
	}
	s := &m.services[t.service]
	switch {
	case n == 1:
		return nthBit(set, 0), true
	case m.plan.Tuning.Selection == RoundRobin:
		s.stats.turn++
		return nthBit(set, s.stats.turn%n), true
	case m.plan.Tuning.Selection == LeastExpectedLatency:
		return m.leastExpected(now, s, set), true
	case m.plan.Tuning.Selection == Random:
		return nthBit(set, m.rng.IntN(n)), true
	}
	i := m.rng.IntN(n)
	j := m.rng.IntN(n - 1)
	if j >= i {
		j++
	}
	a, b := nthBit(set, i), nthBit(set, j)
	if s.replicas[b].stats.better(now, s.replicas[a].stats) {
		return b, true
	}
	return a, true
}

// knownHolders returns the replicas of the set that are known to hold the
// current snapshot.
func (m *Machine) knownHolders(t *task, set uint64) uint64 {
	if m.snapshot == 0 {
		return set
	}
	sure := uint64(0)
	replicas := m.services[t.service].replicas
	for rest := set; rest != 0; rest &= rest - 1 {
		i := bits.TrailingZeros64(rest)
		if replicas[i].held != nil {
			sure |= 1 << i
		}
	}
	return sure
}

// nthBit returns the position of the n-th set bit, counted from 0.
func nthBit(set uint64, n int) int {
	for range n {
		set &= set - 1
	}
	return bits.TrailingZeros64(set)
}

// whyNoReplica returns the reason that is reported when no replica can be used.
func (m *Machine) whyNoReplica(t *task) Reason {
	reason := ReasonNoReplica
	for _, r := range m.services[t.service].replicas {
		switch {
		case r.unusable == ReasonOut:
			return ReasonOut
		case r.unusable != "":
			reason = r.unusable
		case r.held != nil && m.snapshot != 0 && !slices.Contains(r.held, m.snapshot):
			reason = ReasonSnapshot
		}
	}
	return reason
}
