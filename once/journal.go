package once

import (
	"slices"
	"time"
)

// journal is this machine's view of one journal object. At most one read or
// update of it is on its way at any time.
type journal struct {
	index     int
	known     bool // contents and version are those of the last call
	version   uint64
	contents  *contents
	queue     []*op
	wanted    time.Time // earliest time at which one of the queue is wanted
	reading   bool
	flight    *batch
	unsettled []*op  // operations in updates whose answer was lost
	base      uint64 // base version of those updates
	notBefore time.Time
	backoff   time.Duration
	contended bool // met a conflict since the last own update; the backoff goes on growing
	usedAt    time.Time
}

// batch is one update.
type batch struct {
	ops  []*op
	keys map[string]bool
}

// placement tells what became of a queued operation.
type placement int

const (
	placed  placement = iota // in the batch
	ended                    // needs no update
	waiting                  // stays in the queue
	unread                   // stays in the queue until the journal is read
)

// due returns the time at which the journal needs a call, and false if none.
func (m *Machine) due(j *journal) (time.Time, bool) {
	if j.reading || j.flight != nil {
		return time.Time{}, false
	}
	if len(j.queue) == 0 && len(j.unsettled) == 0 {
		return time.Time{}, false
	}
	if len(j.unsettled) > 0 {
		return j.notBefore, true
	}
	return later(j.notBefore, j.wanted), true
}

// append adds an operation to the end of the queue.
func (j *journal) append(o *op) {
	if len(j.queue) == 0 || o.wanted.Before(j.wanted) {
		j.wanted = o.wanted
	}
	j.queue = append(j.queue, o)
}

// prepend puts operations that were tried before to the front of the queue.
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

// idle reports that nothing is on its way or waits.
func (j *journal) idle() bool {
	return len(j.queue) == 0 && len(j.unsettled) == 0 && j.flight == nil && !j.reading
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// advance starts the read or update that is due. While a call is on its way,
// further operations gather in the queue for the next update.
func (m *Machine) advance(now time.Time, j *journal) []Action {
	at, ok := m.due(j)
	if !ok || now.Before(at) {
		return nil
	}
	j.prune()
	if len(j.queue) == 0 && len(j.unsettled) == 0 {
		return nil
	}
	j.usedAt = now
	if !j.known {
		return m.read(j)
	}
	return m.compose(now, j)
}

// prune drops submissions that have their answer and are in no update.
func (j *journal) prune() {
	j.queue = slices.DeleteFunc(j.queue, func(o *op) bool {
		submission := o.kind == opClaim || o.kind == opTombstone
		return submission && o.answered && o.phase == phaseQueued
	})
}

func (m *Machine) read(j *journal) []Action {
	m.stats.Reads++
	j.reading = true
	j.ask()
	return []Action{Read{Journal: j.index}}
}

// ask marks the queued operations that the call about to start comes after.
func (j *journal) ask() {
	for _, o := range j.queue {
		o.asked = true
	}
}

// answeredCall marks the operations that the finished call came after.
func (j *journal) answeredCall() {
	for _, o := range j.queue {
		o.seen = o.seen || o.asked
	}
}

// compose builds the next update from the queue. The age of keys is checked
// here, after the base version was read: an entry that another host has
// removed since then makes the update fail.
func (m *Machine) compose(now time.Time, j *journal) []Action {
	j.contents.expire(m.forgotten(now))
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
		case unread:
			read = true
			j.append(o)
		case waiting:
			j.append(o)
		}
	}
	if len(b.ops) > 0 || len(j.unsettled) > 0 {
		// While updates are unsettled, even an unchanged value is written: its
		// success is what keeps them from taking effect.
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
	j.flight = b
	j.notBefore = now.Add(m.cfg.UpdateInterval)
	j.ask()
	return Write{Journal: j.index, Base: j.version, Value: j.contents.encode()}
}

// place puts an operation into the contents of the next update.
func (m *Machine) place(now time.Time, j *journal, o *op) (placement, []Action) {
	switch o.kind {
	case opOutcome, opRelease:
		return m.placeResult(j, o)
	case opClaim:
		if o.phase == phaseUnsettled && o.answered {
			return m.bury(j, o)
		}
	}
	if e := j.contents.index[o.key.Text]; e != nil {
		if p, acts := m.placeExisting(now, o, e); p != placed {
			return p, acts
		}
	}
	if o.kind == opTombstone {
		return m.placeTombstone(now, j, o)
	}
	return m.placeClaim(now, j, o)
}

// placeExisting judges an operation on a key that has an entry. It returns
// placed if the entry may be replaced.
func (m *Machine) placeExisting(now time.Time, o *op, e *stored) (placement, []Action) {
	if e.State != StateClaimed || !sameRequest(o, e) {
		if !replaceable(o, e) {
			return m.end(o, recorded(o, e))
		}
		if o.sub.Number == 0 {
			o.kind = opTombstone // raises the tombstone, so that it covers this claim
		}
		return placed, nil
	}
	if a := m.attempts[e.Attempt]; a != nil {
		if a.releasing {
			return waiting, nil
		}
		return ended, m.join(a, o)
	}
	return m.placeClaimed(now, o)
}

// placeClaimed judges an operation that meets the record of another host. It
// waits some time for the outcome; the writer may as well be gone for good.
func (m *Machine) placeClaimed(now time.Time, o *op) (placement, []Action) {
	switch {
	case now.Before(o.wanted):
		return waiting, nil
	case !o.seen:
		return unread, nil
	case o.patience.IsZero():
		o.patience = now.Add(m.cfg.MaxClaimWait)
	}
	if !now.Before(o.patience) {
		return m.end(o, Outcome{Run: RunMayHaveRun, Reason: ReasonClaimed})
	}
	o.wanted = now.Add(m.cfg.ClaimPollInterval)
	o.asked, o.seen = false, false
	return waiting, nil
}

// replaceable reports whether a tombstone gives way to the operation. A
// tombstone bars the submissions up to its number, and all if it has none. A
// submission without a number is barred by every tombstone, but one with a
// number does not yet cover it.
func replaceable(o *op, e *stored) bool {
	if e.State != StateTombstone || e.Number == 0 || !sameRequest(o, e) {
		return false
	}
	return o.sub.Number == 0 || o.sub.Number > e.Number
}

func (m *Machine) end(o *op, out Outcome) (placement, []Action) {
	o.phase = phaseEnded
	return ended, m.answer(o, out)
}

func (m *Machine) endRefused(o *op, reason Reason) (placement, []Action) {
	acts := m.refuse(o, reason, 0)
	o.phase = phaseEnded
	return ended, acts
}
