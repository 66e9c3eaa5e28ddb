package once

import (
	"bytes"
	"encoding/json"
	"time"
)

const (
	// outcomeReserve is the space, in bytes, reserved for the outcome of each
	// claimed entry: a digest of the result with its separator and prefix.
	outcomeReserve = 16
	// entryOverhead is an upper bound, in bytes, of the size of an entry without
	// key, attempt, digest and result: state, number, separators and line break.
	entryOverhead = 20
)

// fits reports whether the contents with an entry of this operation, and with the
// reserved outcomes, stay within limit bytes.
func (m *Machine) fits(c *contents, o *op, limit int) bool {
	size := entryOverhead + len(o.key.Text) + len(o.attempt) + len(o.digest)
	return c.size()+outcomeReserve*(c.claimed+1)+size <= limit
}

// placeClaim records a submission, or refuses it. If the journal is full, it writes
// a tombstone for a submission that cannot be refused with RunNotRun otherwise.
func (m *Machine) placeClaim(now time.Time, j *journal, o *op) (placement, []Action) {
	if !m.cfg.acceptable(now, o.key) {
		return m.refuseClaim(o, ReasonKeyAge)
	}
	if o.sub.Deadline.Sub(now) < m.cfg.MinDispatchTime {
		return m.refuseClaim(o, ReasonDeadline)
	}
	if o.tries >= m.cfg.MaxTries {
		return m.refuseClaim(o, ReasonConflict)
	}
	if !m.fits(j.contents, o, m.cfg.MaxJournalBytes-m.cfg.ClaimReserve) {
		if o.sub.first() || o.phase != phaseQueued {
			return m.refuseClaim(o, ReasonJournalFull)
		}
		o.kind = opTombstone
		return m.placeTombstone(now, j, o)
	}
	return m.put(j, o, Entry{State: StateClaimed, Attempt: o.attempt, Number: o.sub.Number})
}

// refuseClaim refuses a claim that will not be recorded. If an earlier update with
// it is unconfirmed, it stays in the journal's list of unconfirmed operations.
func (m *Machine) refuseClaim(o *op, reason Reason) (placement, []Action) {
	if o.phase == phaseUnconfirmed {
		return ended, m.refuse(o, reason, 0)
	}
	return m.refuseAndEnd(o, reason)
}

// placeAbandonedClaim writes a tombstone for a claim that was answered while an
// update with its record is unconfirmed. The age of the key was acceptable at this
// base version, so the tombstone is valid. If the earlier update took effect
// instead, the record is found by its attempt id and released.
func (m *Machine) placeAbandonedClaim(j *journal, o *op) (placement, []Action) {
	e := j.contents.index[o.key.Text]
	if e != nil && !replaceable(o, e) || !m.fits(j.contents, o, m.cfg.MaxJournalBytes) {
		return ended, nil
	}
	return m.put(j, o, Entry{State: StateTombstone, Attempt: o.attempt, Number: o.sub.Number})
}

// placeTombstone writes a tombstone. It checks the age of the key again, because
// the base version may have been read after the check in accept.
func (m *Machine) placeTombstone(now time.Time, j *journal, o *op) (placement, []Action) {
	if !m.cfg.acceptable(now, o.key) {
		return m.refuseAndEnd(o, ReasonKeyAge)
	}
	if o.tries >= m.cfg.MaxTries {
		return m.refuseAndEnd(o, ReasonConflict)
	}
	if !m.fits(j.contents, o, m.cfg.MaxJournalBytes) {
		return m.refuseAndEnd(o, ReasonJournalFull)
	}
	return m.put(j, o, Entry{State: StateTombstone, Attempt: o.attempt, Number: o.sub.Number})
}

func (m *Machine) put(j *journal, o *op, e Entry) (placement, []Action) {
	e.Key = o.key.Text
	e.Digest = o.digest
	j.contents.put(e, o.key.Time)
	return placed, nil
}

// placeResult writes the outcome or the release of a record of this machine. If
// the record has expired, it only answers the operation.
func (m *Machine) placeResult(j *journal, o *op) (placement, []Action) {
	e := j.contents.index[o.key.Text]
	if e == nil || e.Attempt != o.attempt || e.State != StateClaimed {
		return ended, m.endAttempt(o, Outcome{Run: RunMayHaveRun, Reason: ReasonDeadline})
	}
	next := e.Entry
	if o.kind == opRelease {
		next.State = StateTombstone
		if a := m.attempts[o.attempt]; a != nil {
			next.Number = a.tombstoneNumber()
		}
		return m.put(j, o, next)
	}
	next.State = StateMayHaveRun
	if o.outcome.Run == RunRan {
		next.State = StateRan
		next.Result, next.ResultDigest = m.storedResult(j.contents, o.outcome.Result)
	}
	return m.put(j, o, next)
}

// storedResult returns the result as it is stored: the body if it is small and the
// journal has space for it, otherwise its digest.
func (m *Machine) storedResult(c *contents, body json.RawMessage) (json.RawMessage, string) {
	if len(body) == 0 {
		return nil, ""
	}
	var compact bytes.Buffer
	if len(body) > m.cfg.MaxResultBytes || json.Compact(&compact, body) != nil {
		return nil, digest(string(body))
	}
	used := c.size() + compact.Len() + outcomeReserve*c.claimed
	if used > m.cfg.MaxJournalBytes-m.cfg.ClaimReserve {
		return nil, digest(string(body))
	}
	return compact.Bytes(), ""
}
