package once

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// ReadDone handles the result of a Read. objectstore.ErrNotFound means an
// empty journal.
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
		// Object versions never decrease, so this response is outdated.
		err = errors.Wrapf(objectstore.ErrUnavailable, "read version %d, expected at least %d", o.Version, j.version)
	}
	if err != nil {
		return append(m.callFailed(now, j, err), m.advance(now, j)...)
	}
	c, err := decode(o.Value)
	if err != nil {
		j.delayNextCall(now, m.nextBackoff(j))
		return m.refuseQueued(j, ReasonJournalBad, 0)
	}
	m.platformReached()
	if !j.contended {
		j.backoff = 0
	}
	j.setContents(o.Version, c)
	j.markCallDone()
	acts := m.resolveUnconfirmed(now, j)
	return append(acts, m.advance(now, j)...)
}

func (j *journal) setContents(version uint64, c *contents) {
	j.known = true
	j.version = version
	j.contents = c
}

// resolveUnconfirmed finds out which of the updates whose response was lost took
// effect, by looking for the attempt ids of their operations. At a version later
// than their base version, none of them can still take effect. At the base version
// they can, so the operations are written again on that base: only one of the
// updates can succeed.
func (m *Machine) resolveUnconfirmed(now time.Time, j *journal) []Action {
	if len(j.unconfirmed) == 0 {
		return nil
	}
	ops := j.unconfirmed
	if j.version == j.unconfirmedBase {
		j.prepend(ops)
		return nil
	}
	j.unconfirmed = nil
	var acts []Action
	var requeued []*op
	for _, o := range ops {
		if e := j.contents.index[o.key.Text]; e != nil && e.Attempt == o.attempt && o.canProduce(e.State) {
			acts = append(acts, m.confirm(now, j, o, e.State)...)
			continue
		}
		o.phase = phaseQueued
		requeued = append(requeued, o)
	}
	j.prepend(requeued)
	return acts
}

// canProduce reports whether the operation can have put the entry of its own
// attempt into this state.
func (o *op) canProduce(s State) bool {
	switch o.kind {
	case opOutcome:
		return s != StateClaimed
	case opRelease:
		return s == StateTombstone
	default:
		return true
	}
}

// WriteDone handles the result of a Write.
func (m *Machine) WriteDone(now time.Time, index int, o objectstore.Object, err error) []Action {
	j := m.journals[index]
	b := j.inFlight
	if b == nil {
		return nil
	}
	j.inFlight = nil
	var acts []Action
	switch {
	case err == nil:
		acts = m.updateSucceeded(now, j, b, o.Version)
	case errors.Is(err, objectstore.ErrConflict):
		m.stats.Conflicts++
		m.platformReached()
		j.contended = true
		j.updateRejected(b)
		j.delayNextCall(now, m.nextBackoff(j))
	case errors.Is(err, objectstore.ErrTooLarge):
		j.updateRejected(b)
		j.delayNextCall(now, m.nextBackoff(j))
		acts = m.refuseQueued(j, ReasonJournalFull, 0)
	case errors.IsAny(err, objectstore.ErrUnavailable, objectstore.ErrBudget):
		j.updateRejected(b)
		acts = m.callFailed(now, j, err)
	default:
		m.stats.LostResponses++
		j.updateUnconfirmed(b)
		acts = m.callFailed(now, j, err)
	}
	return append(acts, m.advance(now, j)...)
}

// updateSucceeded handles an update that took effect. The unconfirmed updates had
// the same base version, so they can no longer take effect.
func (m *Machine) updateSucceeded(now time.Time, j *journal, b *batch, version uint64) []Action {
	m.stats.Updates++
	m.stats.Records += uint64(len(b.ops))
	m.platformReached()
	j.contended, j.backoff = false, 0
	j.version = version
	j.markCallDone()
	for _, o := range j.unconfirmed {
		o.phase = phaseQueued
	}
	j.unconfirmed = nil
	var acts []Action
	for _, o := range b.ops {
		e := j.contents.index[o.key.Text]
		acts = append(acts, m.confirm(now, j, o, e.State)...)
	}
	return acts
}

// updateRejected handles an update that certainly had no effect. Operations that
// are also in an earlier unconfirmed update stay unconfirmed.
func (j *journal) updateRejected(b *batch) {
	j.known = false
	j.dequeueUnconfirmed()
	var requeued []*op
	for _, o := range b.ops {
		if o.phase == phaseWriting {
			o.phase = phaseQueued
			requeued = append(requeued, o)
		}
	}
	j.prepend(requeued)
}

// updateUnconfirmed handles an update whose response was lost.
func (j *journal) updateUnconfirmed(b *batch) {
	j.known = false
	j.dequeueUnconfirmed()
	j.unconfirmedBase = j.version
	for _, o := range b.ops {
		if o.phase == phaseWriting {
			o.phase = phaseUnconfirmed
			j.unconfirmed = append(j.unconfirmed, o)
		}
	}
}

// dequeueUnconfirmed removes unconfirmed operations from the queue. They stay in
// the list of unconfirmed operations and are handled after the next read.
func (j *journal) dequeueUnconfirmed() {
	j.queue = slices.DeleteFunc(j.queue, func(o *op) bool { return o.phase == phaseUnconfirmed })
}

// platformReached records that the platform responded.
func (m *Machine) platformReached() {
	m.failedInARow = 0
	m.downUntil = time.Time{}
}

// callFailed records a failed call. After DownAfter consecutive failures the
// platform counts as down, and queued submissions are refused at once instead of at
// their deadlines. A call that failed with ErrBudget does not count towards DownAfter.
func (m *Machine) callFailed(now time.Time, j *journal, err error) []Action {
	m.stats.FailedCalls++
	j.known = false
	j.delayNextCall(now, m.nextBackoff(j))
	if errors.Is(err, objectstore.ErrBudget) {
		return nil
	}
	m.failedInARow++
	if m.failedInARow < m.cfg.DownAfter {
		return nil
	}
	m.downUntil = now.Add(m.cfg.DownRetryDelay)
	var acts []Action
	for _, each := range m.journals {
		acts = append(acts, m.refuseQueued(each, ReasonPlatformDown, m.cfg.DownRetryDelay)...)
	}
	return acts
}

// refuseQueued refuses the queued submissions of a journal, except those in an
// update that may still take effect.
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

func (j *journal) delayNextCall(now time.Time, wait time.Duration) {
	j.notBefore = now.Add(wait)
}

// nextBackoff doubles the journal's backoff and returns a random time between half
// of it and all of it, so that two conflicting writers do not retry at the same
// time.
func (m *Machine) nextBackoff(j *journal) time.Duration {
	j.backoff = min(max(2*j.backoff, m.cfg.MinBackoff), m.cfg.MaxBackoff)
	half := j.backoff / 2
	return half + time.Duration(m.rng.Int64N(int64(half)+1))
}
