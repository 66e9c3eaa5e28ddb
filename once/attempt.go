package once

import (
	"time"
)

// confirm handles an operation that is known to stand in the journal.
func (m *Machine) confirm(now time.Time, j *journal, o *op, s State) []Action {
	switch o.kind {
	case opTombstone:
		o.phase = phaseEnded
		return m.answer(o, Outcome{Run: RunNotRun, Reason: ReasonTombstone})
	case opOutcome:
		return m.forget(o, o.outcome)
	case opRelease:
		return m.forget(o, Outcome{Run: RunNotRun, Reason: ReasonReleased, RetryAfter: o.outcome.RetryAfter})
	}
	o.phase = phaseRecorded
	if s != StateClaimed {
		return nil // given up and written as a tombstone
	}
	a := &attempt{op: o}
	m.attempts[o.attempt] = a
	m.byKey[o.key.Text] = a
	if o.answered || o.sub.Deadline.Sub(now) < m.cfg.MinDispatchTime {
		m.release(now, j, a, 0)
		return nil
	}
	m.stats.Dispatches++
	return []Action{Dispatch{Submission: o.sub, Attempt: o.attempt}}
}

// join makes a resend wait for the outcome of an attempt of this machine.
func (m *Machine) join(a *attempt, o *op) []Action {
	o.phase = phaseRecorded
	if a.op.digest != o.digest {
		return m.answer(o, Outcome{Run: RunMayHaveRun, Reason: ReasonKeyReused})
	}
	if a.outcome != nil {
		return m.answer(o, resent(*a.outcome))
	}
	a.waiters = append(a.waiters, o)
	return nil
}

// DispatchDone takes the result of a Dispatch. Results of unknown attempts and
// second results are ignored.
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
	acts := m.tell(a, out)
	m.enqueue(now, j, a, opOutcome, out)
	return append(acts, m.advance(now, j)...)
}

// release withdraws a record that was not dispatched. Its answer waits for the
// tombstone, or for the deadline.
func (m *Machine) release(now time.Time, j *journal, a *attempt, retry time.Duration) {
	a.releasing = true
	m.enqueue(now, j, a, opRelease, Outcome{RetryAfter: retry})
}

// enqueue queues the result of an attempt. An outcome only serves later resends
// and may wait for an update that it can share; a caller waits for a release.
func (m *Machine) enqueue(now time.Time, j *journal, a *attempt, kind opKind, out Outcome) {
	wanted := now
	if kind == opOutcome {
		wanted = now.Add(m.cfg.OutcomeDelay)
	}
	j.append(&op{
		kind:     kind,
		sub:      a.op.sub,
		key:      a.op.key,
		digest:   a.op.digest,
		attempt:  a.op.attempt,
		wanted:   wanted,
		answered: true,
		outcome:  out,
	})
}

// resent is the outcome of an attempt as another submission of its key gets it: the
// same as from the journal, into which it may not be written yet.
func resent(out Outcome) Outcome {
	if out.Run == RunRan {
		out.Reason = ReasonRecorded
	}
	return out
}

// tell answers everyone who waits for an attempt.
func (m *Machine) tell(a *attempt, out Outcome) []Action {
	acts := m.answer(a.op, out)
	for _, w := range a.waiters {
		acts = append(acts, m.answer(w, resent(out))...)
	}
	a.waiters = nil
	return acts
}

// forget ends an attempt whose outcome or release is written, or whose entry
// has expired.
func (m *Machine) forget(o *op, out Outcome) []Action {
	o.phase = phaseEnded
	a := m.attempts[o.attempt]
	if a == nil {
		return nil
	}
	delete(m.attempts, o.attempt)
	if m.byKey[o.key.Text] == a {
		delete(m.byKey, o.key.Text)
	}
	return m.tell(a, out)
}
