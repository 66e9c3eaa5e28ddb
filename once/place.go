package once

import (
	"bytes"
	"encoding/json"
	"time"
)

const (
	// outcomeReserve is the room, in bytes, that is left for the outcome of
	// each claimed entry: a digest of the result and its mark.
	outcomeReserve = 16
	// entryOverhead is the size, in bytes, of an entry without its texts: state,
	// number, separators and line break.
	entryOverhead = 20
)

// room reports whether an entry of this operation fits below the limit.
func (m *Machine) room(c *contents, o *op, limit int) bool {
	size := entryOverhead + len(o.key.Text) + len(o.attempt) + len(o.digest)
	return c.size()+outcomeReserve*(c.claimed+1)+size <= limit
}

// placeClaim records a submission.
func (m *Machine) placeClaim(now time.Time, j *journal, o *op) (placement, []Action) {
	if !m.cfg.acceptable(now, o.key) {
		return m.withdraw(o, ReasonKeyAge)
	}
	if o.sub.Deadline.Sub(now) < m.cfg.MinDispatchTime {
		return m.withdraw(o, ReasonDeadline)
	}
	if o.tries >= m.cfg.MaxTries {
		return m.withdraw(o, ReasonConflict)
	}
	if !m.room(j.contents, o, m.cfg.MaxJournalBytes-m.cfg.ClaimReserve) {
		if o.sub.first() || o.phase != phaseQueued {
			return m.withdraw(o, ReasonJournalFull)
		}
		o.kind = opTombstone
		return m.placeTombstone(now, j, o)
	}
	return m.put(j, o, Entry{State: StateClaimed, Attempt: o.attempt, Number: o.sub.Number})
}

// withdraw refuses a claim that won't be recorded. One whose earlier update is
// unsettled stays in the journal's list of unsettled operations.
func (m *Machine) withdraw(o *op, reason Reason) (placement, []Action) {
	if o.phase == phaseUnsettled {
		return ended, m.refuse(o, reason, 0)
	}
	return m.endRefused(o, reason)
}

// bury writes a tombstone for a claim that was given up while an update that
// may carry it is unsettled. The base version is the one for which the age of
// the key was found acceptable, so the tombstone is as good as any other. If the
// earlier update took effect instead, the record is found by its attempt id and
// released.
func (m *Machine) bury(j *journal, o *op) (placement, []Action) {
	e := j.contents.index[o.key.Text]
	if e != nil && !replaceable(o, e) || !m.room(j.contents, o, m.cfg.MaxJournalBytes) {
		return ended, nil
	}
	return m.put(j, o, Entry{State: StateTombstone, Attempt: o.attempt, Number: o.sub.Number})
}

// placeTombstone bars a key. The age is checked again because the base version
// may have been read after the check in accept.
func (m *Machine) placeTombstone(now time.Time, j *journal, o *op) (placement, []Action) {
	if !m.cfg.acceptable(now, o.key) {
		return m.endRefused(o, ReasonKeyAge)
	}
	if o.tries >= m.cfg.MaxTries {
		return m.endRefused(o, ReasonConflict)
	}
	if !m.room(j.contents, o, m.cfg.MaxJournalBytes) {
		return m.endRefused(o, ReasonJournalFull)
	}
	return m.put(j, o, Entry{State: StateTombstone, Attempt: o.attempt, Number: o.sub.Number})
}

func (m *Machine) put(j *journal, o *op, e Entry) (placement, []Action) {
	e.Key = o.key.Text
	e.Digest = o.digest
	j.contents.put(e, o.key.Time)
	return placed, nil
}

// placeResult writes the outcome or the release of a record of this machine.
func (m *Machine) placeResult(j *journal, o *op) (placement, []Action) {
	e := j.contents.index[o.key.Text]
	if e == nil || e.Attempt != o.attempt || e.State != StateClaimed {
		return ended, m.forget(o, Outcome{Run: RunMayHaveRun, Reason: ReasonDeadline})
	}
	next := e.Entry
	if o.kind == opRelease {
		next.State = StateTombstone
		if a := m.attempts[o.attempt]; a != nil {
			next.Number = a.number()
		}
		return m.put(j, o, next)
	}
	next.State = StateMayHaveRun
	if o.outcome.Run == RunRan {
		next.State = StateRan
		next.Result, next.ResultDigest = m.kept(j.contents, o.outcome.Result)
	}
	return m.put(j, o, next)
}

// kept returns the result as it is stored: the body if it is small and there is
// room, else its digest.
func (m *Machine) kept(c *contents, body json.RawMessage) (json.RawMessage, string) {
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
