package query

import (
	"math/bits"
	"slices"
	"time"
)

// sendAll sends the first attempt of every waiting task.
func (m *Machine) sendAll(now time.Time) {
	m.actions = slices.Grow(m.actions, m.openTasks)
	m.sendBuffer = make([]Send, 0, m.openTasks)
	m.ids.fill(m.plan.ID, len(m.attempts), m.openTasks)
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
		m.redistribute(now, i)
		return
	}
	r, ok := m.pickReplica(now, t)
	if !ok || now.Sub(m.start) >= m.attemptDeadline {
		t.reason = m.noReplicaReason(t)
		m.setState(t, failed)
		return
	}
	m.send(now, i, r, false, false)
}

// send emits a Send action for an attempt of task i at replica r of its service.
func (m *Machine) send(now time.Time, i, r int, hedge, retry bool) {
	t := &m.tasks[i]
	s := &m.services[t.service]
	rep := &s.replicas[r]
	at := now.Sub(m.start)
	id := m.ids.take(m.plan.ID, len(m.attempts))
	m.attempts = append(m.attempts, attempt{
		id: id, task: i, service: t.service, replica: r, snapshot: m.snapshot, sentAt: at, first: t.sends == 0,
	})
	t.attemptsInFlight++
	t.tries++
	t.sends++
	t.triedReplicas |= 1 << r
	m.setState(t, inFlight)
	m.setDue(t, never)
	if !t.hedged && !hedge && m.plan.Tuning.Hedging != HedgeOff && !m.plan.AtMostOnce {
		m.setDue(t, m.hedgeAt(at, s))
	}
	m.stats.choices.count(now, rep.stats)
	rep.stats.begin(now)
	s.stats.used, s.groupStats.used = now, now
	m.emit(Send{
		Attempt: id, Group: m.groups[t.group].name, Service: s.name, Replica: rep.id, DataCentre: rep.dataCentre,
		Snapshot: m.snapshot, Partition: t.hashRange, Deadline: m.start.Add(m.attemptDeadline), Hedge: hedge, Retry: retry,
		HandBack: !t.redirected && m.usableReplicas(t)&^t.triedReplicas != 0,
	})
}

// emit appends a Send to the actions. The sends of a batch share one backing
// array. It is never grown, so the pointers into it stay valid.
func (m *Machine) emit(s Send) {
	if len(m.sendBuffer) == cap(m.sendBuffer) {
		m.sendBuffer = make([]Send, 0, 1)
	}
	m.sendBuffer = append(m.sendBuffer, s)
	m.actions = append(m.actions, &m.sendBuffer[len(m.sendBuffer)-1])
}

// setDue sets the timer of a task and updates the machine's earliest due time.
func (m *Machine) setDue(t *task, due time.Duration) {
	t.due = due
	m.due = min(m.due, due)
}

// hedgeDelay returns the time between an attempt and its hedge.
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

// hedgeAt returns the time of the hedge for an attempt that is sent at the given
// time.
func (m *Machine) hedgeAt(at time.Duration, s *service) time.Duration {
	due := at + m.hedgeDelay(s)
	if m.plan.Tuning.Hedging != HedgeGroupQuantile || at >= m.latencyGoal {
		return due
	}
	return min(due, max(m.latestHedgeTime(s), at+time.Duration(s.groupStats.meanLatency())))
}

// latestHedgeTime returns the latest time at which a hedge can be sent and still
// be expected to reply before the latency goal.
func (m *Machine) latestHedgeTime(s *service) time.Duration {
	if m.plan.Tuning.Hedging != HedgeGroupQuantile {
		return 0
	}
	return m.latencyGoal - time.Duration(hedgeLatencyFactor*s.groupStats.meanLatency())
}

// hedgeLatencyFactor is the number of mean latencies that latestHedgeTime allows
// for the reply to a hedge.
const hedgeLatencyFactor = 2

// budgetPollInterval is the wait before the retry budget is asked again for a hedge
// that is not urgent yet: the budget may have refused it only to keep its reserve.
const budgetPollInterval = 10 * time.Millisecond

// attemptsExhausted reports whether a task has used up its attempts. Sends that
// did not run are limited too, so that a task ends if all upstreams refuse it.
func (m *Machine) attemptsExhausted(t *task) bool {
	return t.tries >= m.plan.Tuning.MaxTries || t.sends >= m.plan.Tuning.MaxTries+maxNotRunSends
}

// runTimers sends the hedges and retries that are due.
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

// hedge sends a second attempt for a task in flight if another replica is usable
// and the retry budget allows it. Otherwise it cancels or postpones the timer.
func (m *Machine) hedge(now time.Time, i int) {
	t := &m.tasks[i]
	at := now.Sub(m.start)
	s := &m.services[t.service]
	if m.attemptsExhausted(t) || at >= m.attemptDeadline {
		m.setDue(t, never)
		return
	}
	// Checked before the replica is chosen, to save that work on a slow host.
	if m.hostSeemsSlow(s, at) {
		m.setDue(t, at+m.plan.Tuning.RetryInterval)
		return
	}
	r, ok := m.pickReplica(now, t)
	if !ok {
		m.setDue(t, never)
		return
	}
	latest := m.latestHedgeTime(s)
	if !m.budget.TryWithdraw(now, s.name, at >= latest) {
		m.budgetExhausted(t)
		m.setDue(t, max(at+m.plan.Tuning.RetryInterval, min(latest, at+budgetPollInterval)))
		return
	}
	m.counts.Hedges++
	t.hedged = true
	m.send(now, i, r, true, false)
}

const (
	// slowHostShare is the share of open sub-requests above which the delay is
	// attributed to this host rather than to the replicas. Hedges would add to the
	// load of a slow host.
	slowHostShare = 0.25
	// slowHostMinTasks is the number of open sub-requests up to which the share is
	// ignored.
	slowHostMinTasks = 4
	// slowHostHedgeDelays is the number of hedge delays after the start of the query
	// from which on the delay is attributed to the replicas again.
	slowHostHedgeDelays = 2
)

// hostSeemsSlow reports whether so many sub-requests are open that this host is
// taken to be slow, so that hedges are postponed.
func (m *Machine) hostSeemsSlow(s *service, at time.Duration) bool {
	return m.plan.Tuning.Hedging == HedgeGroupQuantile && m.openTasks > slowHostMinTasks &&
		float64(m.openTasks) > slowHostShare*float64(len(m.tasks)) && at < slowHostHedgeDelays*m.hedgeDelay(s)
}

// attemptFailed records a failure. If the task has no other attempt in flight, it
// redirects, retries or fails the task, or restarts the query with a newer
// snapshot.
func (m *Machine) attemptFailed(now time.Time, a *attempt, f Failure) {
	t := &m.tasks[a.task]
	s := &m.services[a.service]
	rep := &s.replicas[a.replica]
	t.reason = f.Reason
	t.retryAfter = f.RetryAfter
	if f.Unsent || f.NotRun {
		t.tries--
	} else {
		m.mayHaveRun = true
	}
	rep.stats.failed(now, f)
	switch f.Reason {
	case ReasonSnapshot:
		rep.held = append([]uint64{}, f.Held...)
	case ReasonLeaving, ReasonPaused, ReasonOut:
		rep.unusable = f.Reason
	}
	if t.attemptsInFlight > 0 {
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
	if f.Reason == ReasonSnapshot && !m.untriedHolderExists(now, t) && m.restart(now, s) {
		return
	}
	m.retry(now, a.task)
}

// redirect sends a request that never reached an upstream to another replica, at
// most once per sub-request. It adds no load to the upstreams and is not charged
// to the retry budget. The first replica may still get a hedge or retry.
func (m *Machine) redirect(now time.Time, a *attempt) bool {
	i, from := a.task, a.replica
	t := &m.tasks[i]
	if t.redirected || m.attemptsExhausted(t) || m.services[t.service].outdated || now.Sub(m.start) >= m.attemptDeadline {
		return false
	}
	r, ok := m.pickReplica(now, t)
	if !ok {
		return false
	}
	m.counts.Redirected++
	t.redirected = true
	m.send(now, i, r, false, false)
	t.triedReplicas &^= 1 << from
	return true
}

// untriedHolderExists reports whether a usable replica that was not tried yet may
// hold the snapshot.
func (m *Machine) untriedHolderExists(now time.Time, t *task) bool {
	_, ok := m.pickReplica(now, t)
	return ok
}

// retry sends a new attempt for a waiting task, postpones it or marks the task as
// failed.
func (m *Machine) retry(now time.Time, i int) {
	t := &m.tasks[i]
	if m.services[t.service].outdated {
		m.redistribute(now, i)
		return
	}
	at := now.Sub(m.start)
	if m.attemptsExhausted(t) || at >= m.attemptDeadline {
		m.setState(t, failed)
		return
	}
	r, ok := m.pickReplica(now, t)
	if !ok {
		m.handleNoReplica(t, at)
		return
	}
	if !m.budget.TryWithdraw(now, m.services[t.service].name, true) {
		m.budgetExhausted(t)
		m.deferRetry(t, at)
		return
	}
	m.counts.Retries++
	m.send(now, i, r, false, true)
}

// budgetExhausted counts a task when the retry budget refuses it for the first
// time.
func (m *Machine) budgetExhausted(t *task) {
	if !t.budgetExhausted {
		t.budgetExhausted = true
		m.counts.BudgetExhausted++
	}
}

// deferRetry postpones a retry until the budget may have recovered. A task whose
// request was shed fails instead: shed requests with an exhausted budget indicate
// overload, and the query would hold upstream work that can't lead to an answer.
func (m *Machine) deferRetry(t *task, at time.Duration) {
	if t.reason == ReasonShed {
		m.setState(t, failed)
		return
	}
	m.setDue(t, at+m.plan.Tuning.RetryInterval)
}

// handleNoReplica handles a task that has no untried usable replica. It postpones
// the task if a replica may recover or a repartition may follow, and marks it as
// failed otherwise.
func (m *Machine) handleNoReplica(t *task, at time.Duration) {
	if m.usableReplicas(t) == 0 {
		t.reason = m.noReplicaReason(t)
		m.setState(t, failed)
		return
	}
	switch t.reason {
	case ReasonShed, ReasonBroken, ReasonTimedOut:
		t.triedReplicas = 0
		due := at + max(t.retryAfter, m.plan.Tuning.RetryInterval<<t.sends)
		if due >= m.attemptDeadline {
			m.setState(t, failed)
			return
		}
		m.setDue(t, due)
	case ReasonMoved:
		m.setDue(t, never) // Repartition will send it
	default:
		m.setState(t, failed)
	}
}

// usableReplicas returns the bit set of the replicas that may get an attempt of
// the task, including those that were already tried.
func (m *Machine) usableReplicas(t *task) uint64 {
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

// pickReplica chooses an untried replica for the next attempt of a task. It
// prefers replicas that are known to hold the snapshot to replicas whose
// snapshots are unknown.
func (m *Machine) pickReplica(now time.Time, t *task) (int, bool) {
	set := m.usableReplicas(t) &^ t.triedReplicas
	if holders := m.knownHolders(t, set); holders != 0 {
		set = holders
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
		s.stats.roundRobinNext++
		return nthBit(set, s.stats.roundRobinNext%n), true
	case m.plan.Tuning.Selection == LeastExpectedLatency:
		return m.pickLeastExpected(now, s, set), true
	case m.plan.Tuning.Selection == Random:
		return nthBit(set, m.rng.IntN(n)), true
	}
	i := m.rng.IntN(n)
	j := m.rng.IntN(n - 1)
	if j >= i {
		j++
	}
	a, b := nthBit(set, i), nthBit(set, j)
	if s.replicas[b].stats.fasterThan(now, s.replicas[a].stats) {
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
	holders := uint64(0)
	replicas := m.services[t.service].replicas
	for rest := set; rest != 0; rest &= rest - 1 {
		i := bits.TrailingZeros64(rest)
		if replicas[i].held != nil {
			holders |= 1 << i
		}
	}
	return holders
}

// nthBit returns the position of the n-th set bit, counted from 0.
func nthBit(set uint64, n int) int {
	for range n {
		set &= set - 1
	}
	return bits.TrailingZeros64(set)
}

// noReplicaReason returns the reason to report if no replica is usable.
func (m *Machine) noReplicaReason(t *task) Reason {
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
