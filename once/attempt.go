package once

import (
	"time"
)

// confirm handles an operation that is known to have been written to the journal
// with the entry state s.
func (m *Machine) confirm(now time.Time, j *journal, o *op, s State) []Action {
	switch o.kind {
	case opTombstone:
		o.phase = phaseEnded
		return m.answer(o, Outcome{Run: RunNotRun, Reason: ReasonTombstone})
	case opOutcome:
		return m.endAttempt(o, o.outcome)
	case opRelease:
		return m.endAttempt(o, Outcome{Run: RunNotRun, Reason: ReasonReleased, RetryAfter: o.outcome.RetryAfter})
	}
	o.phase = phaseRecorded
	if s != StateClaimed {
		return nil // the claim was abandoned and written as a tombstone
	}
	a := &attempt{op: o}
	m.attempts[o.attempt] = a
	m.attemptsByKey[o.key.Text] = a
	if o.answered || o.sub.Deadline.Sub(now) < m.cfg.MinDispatchTime {
		m.release(now, j, a, 0)
		return nil
	}
	m.stats.Dispatches++
	return []Action{Dispatch{Submission: o.sub, Attempt: o.attempt}}
}

// joinAttempt makes a resend wait for the outcome of an attempt of this machine.
func (m *Machine) joinAttempt(a *attempt, o *op) []Action {
	o.phase = phaseRecorded
	if a.op.digest != o.digest {
		return m.answer(o, Outcome{Run: RunMayHaveRun, Reason: ReasonKeyReused})
	}
	if a.outcome != nil {
		return m.answer(o, resentOutcome(*a.outcome))
	}
	a.waiters = append(a.waiters, o)
	return nil
}

// DispatchDone handles the result of a Dispatch. It ignores results of unknown
// attempts and further results of the same attempt.
func (m *Machine) DispatchDone(now time.Time, id string, r DispatchResult) []Action {
	a := m.attempts[id]
	if a == nil || a.releasing || a.outcome != nil {
		return nil
	}
	j := m.journals[JournalOf(a.op.key.Text, m.cfg.Journals)]
	if r.Kind == DispatchNotSent {
		m.release(now, j, a, r.RetryAfter)
		return m.advance(now, j)
	}
	out := Outcome{Run: RunMayHaveRun, Reason: ReasonReplyLost}
	if r.Kind == DispatchRan {
		out = Outcome{Run: RunRan, Reason: ReasonDone, Result: r.Body}
	}
	a.outcome = &out
	acts := m.answerAll(a, out)
	m.enqueueResult(now, j, a, opOutcome, out)
	return append(acts, m.advance(now, j)...)
}

// release turns a record that was not dispatched into a tombstone. The submission
// is answered when the tombstone is written, or at its deadline.
func (m *Machine) release(now time.Time, j *journal, a *attempt, retry time.Duration) {
	a.releasing = true
	m.enqueueResult(now, j, a, opRelease, Outcome{RetryAfter: retry})
}

// enqueueResult queues the result of an attempt. An outcome is only needed for
// later resends, so it may wait up to OutcomeDelay to share an update with other
// operations. A release is written at once, because a caller waits for it.
func (m *Machine) enqueueResult(now time.Time, j *journal, a *attempt, kind opKind, out Outcome) {
	dueAt := now
	if kind == opOutcome {
		dueAt = now.Add(m.cfg.OutcomeDelay)
	}
	j.append(&op{
		kind:     kind,
		sub:      a.op.sub,
		key:      a.op.key,
		digest:   a.op.digest,
		attempt:  a.op.attempt,
		dueAt:    dueAt,
		answered: true,
		outcome:  out,
	})
}

// resentOutcome returns the outcome of an attempt as it is reported to another
// submission of the same key. It is the outcome that the journal will report, even
// if it is not written yet.
func resentOutcome(out Outcome) Outcome {
	if out.Run == RunRan {
		out.Reason = ReasonRecorded
	}
	return out
}

// answerAll answers the submission of an attempt and all resends that wait for it.
func (m *Machine) answerAll(a *attempt, out Outcome) []Action {
	acts := m.answer(a.op, out)
	for _, w := range a.waiters {
		acts = append(acts, m.answer(w, resentOutcome(out))...)
	}
	a.waiters = nil
	return acts
}

// endAttempt removes an attempt whose outcome or release is written, or whose
// entry has expired, and answers its remaining submissions with out.
func (m *Machine) endAttempt(o *op, out Outcome) []Action {
	o.phase = phaseEnded
	a := m.attempts[o.attempt]
	if a == nil {
		return nil
	}
	delete(m.attempts, o.attempt)
	if m.attemptsByKey[o.key.Text] == a {
		delete(m.attemptsByKey, o.key.Text)
	}
	return m.answerAll(a, out)
}
