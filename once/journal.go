package once

import (
	"slices"
	"time"
)

// journal is this machine's view of one journal object. At most one read or
// update of it is in flight at any time.
type journal struct {
	index           int
	known           bool // contents and version are those that the last call returned or wrote
	version         uint64
	contents        *contents
	queue           []*op
	dueAt           time.Time // earliest dueAt in the queue
	reading         bool
	inFlight        *batch
	unconfirmed     []*op  // operations in updates whose response was lost
	unconfirmedBase uint64 // base version of those updates
	notBefore       time.Time
	backoff         time.Duration
	contended       bool // an update conflicted since the last success; the backoff keeps growing
	usedAt          time.Time
}

// batch is the operations of one update, at most one for each key.
type batch struct {
	ops  []*op
	keys map[string]bool
}

// placement is what buildUpdate does with a queued operation.
type placement int

const (
	placed    placement = iota // written by the update
	ended                      // finished without an update
	waiting                    // stays in the queue
	needsRead                  // stays in the queue until the journal is read again
)

// due returns the time of the next call for the journal. It returns false if no
// call is needed or one is in flight.
func (m *Machine) due(j *journal) (time.Time, bool) {
	if j.reading || j.inFlight != nil {
		return time.Time{}, false
	}
	if len(j.queue) == 0 && len(j.unconfirmed) == 0 {
		return time.Time{}, false
	}
	if len(j.unconfirmed) > 0 {
		return j.notBefore, true
	}
	return later(j.notBefore, j.dueAt), true
}

// append adds an operation at the end of the queue.
func (j *journal) append(o *op) {
	if len(j.queue) == 0 || o.dueAt.Before(j.dueAt) {
		j.dueAt = o.dueAt
	}
	j.queue = append(j.queue, o)
}

// prepend puts operations back at the front of the queue for another update.
func (j *journal) prepend(ops []*op) {
	rest := j.queue
	j.queue = make([]*op, 0, len(ops)+len(rest))
	for _, o := range ops {
		j.append(o)
	}
	for _, o := range rest {
		j.append(o)
	}
}

// idle reports whether no operation is waiting and no call is in flight.
func (j *journal) idle() bool {
	return len(j.queue) == 0 && len(j.unconfirmed) == 0 && j.inFlight == nil && !j.reading
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// advance starts the read or update that is due. While a call is in flight,
// operations collect in the queue for the next update.
func (m *Machine) advance(now time.Time, j *journal) []Action {
	at, ok := m.due(j)
	if !ok || now.Before(at) {
		return nil
	}
	j.prune()
	if len(j.queue) == 0 && len(j.unconfirmed) == 0 {
		return nil
	}
	j.usedAt = now
	if !j.known {
		return m.read(j)
	}
	return m.buildUpdate(now, j)
}

// prune drops answered submissions that are in no update.
func (j *journal) prune() {
	j.queue = slices.DeleteFunc(j.queue, func(o *op) bool {
		submission := o.kind == opClaim || o.kind == opTombstone
		return submission && o.answered && o.phase == phaseQueued
	})
}

func (m *Machine) read(j *journal) []Action {
	m.stats.Reads++
	j.reading = true
	j.markCallStarted()
	return []Action{Read{Journal: j.index}}
}

// markCallStarted records in the queued operations that a call starts after they
// were submitted.
func (j *journal) markCallStarted() {
	for _, o := range j.queue {
		o.callStarted = true
	}
}

// markCallDone records that such a call has returned.
func (j *journal) markCallDone() {
	for _, o := range j.queue {
		o.callDone = o.callDone || o.callStarted
	}
}

// buildUpdate builds the next update from the queue. The age of keys is checked
// here, after the base version was read. If another host removes an entry after
// that read, the update fails.
func (m *Machine) buildUpdate(now time.Time, j *journal) []Action {
	j.contents.expire(m.expiryLimit(now))
	b := &batch{keys: make(map[string]bool)}
	var acts []Action
	queue := j.queue
	j.queue = nil
	read := false
	for _, o := range queue {
		p := waiting
		if len(b.ops) < m.cfg.MaxBatch && !b.keys[o.key.Text] {
			var more []Action
			p, more = m.place(now, j, o)
			acts = append(acts, more...)
		}
		switch p {
		case placed:
			b.ops = append(b.ops, o)
			b.keys[o.key.Text] = true
		case needsRead:
			read = true
			j.append(o)
		case waiting:
			j.append(o)
		}
	}
	if len(b.ops) > 0 || len(j.unconfirmed) > 0 {
		// While updates are unconfirmed, even an unchanged value is written: once
		// it succeeds, they can no longer take effect.
		return append(acts, m.write(now, j, b))
	}
	if read {
		j.known = false
		return append(acts, m.read(j)...)
	}
	return acts
}

func (m *Machine) write(now time.Time, j *journal, b *batch) Action {
	for _, o := range b.ops {
		if o.phase == phaseQueued {
			o.phase = phaseWriting
		}
		o.tries++
	}
	j.inFlight = b
	j.notBefore = now.Add(m.cfg.UpdateInterval)
	j.markCallStarted()
	return Write{Journal: j.index, Base: j.version, Value: j.contents.encode()}
}

// place tries to apply an operation to the contents of the next update.
func (m *Machine) place(now time.Time, j *journal, o *op) (placement, []Action) {
	switch o.kind {
	case opOutcome, opRelease:
		return m.placeResult(j, o)
	case opClaim:
		if o.phase == phaseUnconfirmed && o.answered {
			return m.placeAbandonedClaim(j, o)
		}
	}
	if e := j.contents.index[o.key.Text]; e != nil {
		if p, acts := m.checkExisting(now, o, e); p != placed {
			return p, acts
		}
	}
	if o.kind == opTombstone {
		return m.placeTombstone(now, j, o)
	}
	return m.placeClaim(now, j, o)
}

// checkExisting handles an operation on a key that already has an entry. It
// returns placed if the operation may replace the entry.
func (m *Machine) checkExisting(now time.Time, o *op, e *storedEntry) (placement, []Action) {
	if e.State != StateClaimed || !sameRequest(o, e) {
		if !replaceable(o, e) {
			return m.end(o, recordedOutcome(o, e))
		}
		if o.sub.Number == 0 {
			o.kind = opTombstone // extends the tombstone to all submissions, including this one
		}
		return placed, nil
	}
	if a := m.attempts[e.Attempt]; a != nil {
		if a.releasing {
			return waiting, nil
		}
		return ended, m.joinAttempt(a, o)
	}
	return m.awaitOtherClaim(now, o)
}

// awaitOtherClaim handles an operation on a key that another attempt has claimed.
// It waits at most MaxClaimWait for the outcome, because the writer may have
// failed.
func (m *Machine) awaitOtherClaim(now time.Time, o *op) (placement, []Action) {
	switch {
	case now.Before(o.dueAt):
		return waiting, nil
	case !o.callDone:
		return needsRead, nil
	case o.claimWaitEnd.IsZero():
		o.claimWaitEnd = now.Add(m.cfg.MaxClaimWait)
	}
	if !now.Before(o.claimWaitEnd) {
		return m.end(o, Outcome{Run: RunMayHaveRun, Reason: ReasonClaimed})
	}
	o.dueAt = now.Add(m.cfg.ClaimPollInterval)
	o.callStarted, o.callDone = false, false
	return waiting, nil
}

// replaceable reports whether the operation may replace a tombstone. A tombstone
// with a number blocks the submissions up to that number; one without a number
// blocks all submissions. A submission without a number is blocked by any
// tombstone, but may replace a numbered one by a tombstone that covers it.
func replaceable(o *op, e *storedEntry) bool {
	if e.State != StateTombstone || e.Number == 0 || !sameRequest(o, e) {
		return false
	}
	return o.sub.Number == 0 || o.sub.Number > e.Number
}

func (m *Machine) end(o *op, out Outcome) (placement, []Action) {
	o.phase = phaseEnded
	return ended, m.answer(o, out)
}

func (m *Machine) refuseAndEnd(o *op, reason Reason) (placement, []Action) {
	acts := m.refuse(o, reason, 0)
	o.phase = phaseEnded
	return ended, acts
}
