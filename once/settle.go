package once

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// ReadDone takes the result of a Read. objectstore.ErrNotFound is an empty journal.
func (m *Machine) ReadDone(now time.Time, index int, o objectstore.Object, err error) []Action {
	j := m.journals[index]
	if !j.reading {
		return nil
	}
	j.reading = false
	if errors.Is(err, objectstore.ErrNotFound) {
		o, err = objectstore.Object{}, nil
	}
	if err == nil && o.Version < j.version {
		// An object version never falls; this is a read from before.
		err = errors.Wrapf(objectstore.ErrUnavailable, "version %d after %d", o.Version, j.version)
	}
	if err != nil {
		return append(m.failed(now, j, err), m.advance(now, j)...)
	}
	c, err := decode(o.Value)
	if err != nil {
		j.delay(now, m.jitter(j))
		return m.refuseQueued(j, ReasonJournalBad, 0)
	}
	m.reached()
	if !j.contended {
		j.backoff = 0
	}
	j.adopt(o.Version, c)
	j.answeredCall()
	acts := m.settle(now, j)
	return append(acts, m.advance(now, j)...)
}

func (j *journal) adopt(version uint64, c *contents) {
	j.known = true
	j.version = version
	j.contents = c
}

// settle looks for the attempt ids of updates whose answer was lost. At a later
// version than their base none of them can take effect any more. At the base
// version they still can, so the operations are written again from that base:
// only one of the updates can succeed.
func (m *Machine) settle(now time.Time, j *journal) []Action {
	if len(j.unsettled) == 0 {
		return nil
	}
	ops := j.unsettled
	if j.version == j.base {
		j.prepend(ops)
		return nil
	}
	j.unsettled = nil
	var acts []Action
	var again []*op
	for _, o := range ops {
		if e := j.contents.index[o.key.Text]; e != nil && e.Attempt == o.attempt && o.wrote(e.State) {
			acts = append(acts, m.confirm(now, j, o, e.State)...)
			continue
		}
		o.phase = phaseQueued
		again = append(again, o)
	}
	j.prepend(again)
	return acts
}

// wrote reports whether an entry of the operation's own attempt in this state
// is the work of the operation.
func (o *op) wrote(s State) bool {
	switch o.kind {
	case opOutcome:
		return s != StateClaimed
	case opRelease:
		return s == StateTombstone
	default:
		return true
	}
}

// WriteDone takes the result of a Write.
func (m *Machine) WriteDone(now time.Time, index int, o objectstore.Object, err error) []Action {
	j := m.journals[index]
	b := j.flight
	if b == nil {
		return nil
	}
	j.flight = nil
	var acts []Action
	switch {
	case err == nil:
		acts = m.written(now, j, b, o.Version)
	case errors.Is(err, objectstore.ErrConflict):
		m.stats.Conflicts++
		m.reached()
		j.contended = true
		j.rejected(b)
		j.delay(now, m.jitter(j))
	case errors.Is(err, objectstore.ErrTooLarge):
		j.rejected(b)
		j.delay(now, m.jitter(j))
		acts = m.refuseQueued(j, ReasonJournalFull, 0)
	case errors.IsAny(err, objectstore.ErrUnavailable, objectstore.ErrBudget):
		j.rejected(b)
		acts = m.failed(now, j, err)
	default:
		m.stats.LostResponses++
		j.lost(b)
		acts = m.failed(now, j, err)
	}
	return append(acts, m.advance(now, j)...)
}

// written handles an update that took effect. It also settles the updates whose
// answer was lost: they had the same base and can't take effect any more.
func (m *Machine) written(now time.Time, j *journal, b *batch, version uint64) []Action {
	m.stats.Updates++
	m.stats.Records += uint64(len(b.ops))
	m.reached()
	j.contended, j.backoff = false, 0
	j.version = version
	j.answeredCall()
	for _, o := range j.unsettled {
		o.phase = phaseQueued
	}
	j.unsettled = nil
	var acts []Action
	for _, o := range b.ops {
		e := j.contents.index[o.key.Text]
		acts = append(acts, m.confirm(now, j, o, e.State)...)
	}
	return acts
}

// rejected handles an update that surely had no effect. Operations of an
// earlier unsettled update stay unsettled.
func (j *journal) rejected(b *batch) {
	j.known = false
	j.dropUnsettled()
	var again []*op
	for _, o := range b.ops {
		if o.phase == phaseWriting {
			o.phase = phaseQueued
			again = append(again, o)
		}
	}
	j.prepend(again)
}

// lost handles an update whose answer was lost.
func (j *journal) lost(b *batch) {
	j.known = false
	j.dropUnsettled()
	j.base = j.version
	for _, o := range b.ops {
		if o.phase == phaseWriting {
			o.phase = phaseUnsettled
			j.unsettled = append(j.unsettled, o)
		}
	}
}

// dropUnsettled takes unsettled operations out of the queue; they are in the
// list of unsettled operations and come back after the next read.
func (j *journal) dropUnsettled() {
	j.queue = slices.DeleteFunc(j.queue, func(o *op) bool { return o.phase == phaseUnsettled })
}

// reached notes that the platform answered.
func (m *Machine) reached() {
	m.failures = 0
	m.down = time.Time{}
}

// failed notes a failed call. After several in a row the platform counts as
// down, and what waits to be recorded is refused instead of held to its deadline.
func (m *Machine) failed(now time.Time, j *journal, err error) []Action {
	m.stats.FailedCalls++
	j.known = false
	j.delay(now, m.jitter(j))
	if errors.Is(err, objectstore.ErrBudget) {
		return nil
	}
	m.failures++
	if m.failures < m.cfg.DownAfter {
		return nil
	}
	m.down = now.Add(m.cfg.DownRetryDelay)
	var acts []Action
	for _, each := range m.journals {
		acts = append(acts, m.refuseQueued(each, ReasonPlatformDown, m.cfg.DownRetryDelay)...)
	}
	return acts
}

// refuseQueued refuses the queued submissions of a journal. Those in an update
// that may still take effect keep waiting for it.
func (m *Machine) refuseQueued(j *journal, reason Reason, retry time.Duration) []Action {
	var acts []Action
	for _, o := range j.queue {
		submission := o.kind == opClaim || o.kind == opTombstone
		if submission && o.phase == phaseQueued {
			acts = append(acts, m.refuse(o, reason, retry)...)
		}
	}
	j.prune()
	return acts
}

func (j *journal) delay(now time.Time, wait time.Duration) {
	j.notBefore = now.Add(wait)
}

// jitter doubles the journal's backoff and returns a random time of at least
// half of it, so that two writers that met don't meet again.
func (m *Machine) jitter(j *journal) time.Duration {
	j.backoff = min(max(2*j.backoff, m.cfg.MinBackoff), m.cfg.MaxBackoff)
	half := j.backoff / 2
	return half + time.Duration(m.rng.Int64N(int64(half)+1))
}
