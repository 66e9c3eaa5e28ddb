package once

import (
	"time"
)

// opKind is what an operation changes in a journal.
type opKind int

const (
	opClaim     opKind = iota // records a submission so that it may be dispatched
	opTombstone               // bars a key from being recorded
	opOutcome                 // writes the outcome of a dispatched record
	opRelease                 // turns a record that was not dispatched into a tombstone
)

// phase tells where an operation stands.
type phase int

const (
	phaseQueued    phase = iota // surely in no update that can still take effect
	phaseWriting                // in the update that is on its way
	phaseUnsettled              // in an update whose answer was lost
	phaseRecorded               // recorded or joined to a record of this machine
	phaseEnded
)

// op is one change of a journal that waits to be written, or a submission that
// waits for the outcome of a recorded attempt.
type op struct {
	kind     opKind
	phase    phase
	sub      Submission
	key      Key
	digest   string
	attempt  string
	wanted   time.Time // when it should be written
	asked    bool      // a read or update was started after the submission
	seen     bool      // the journal is known as of after the submission
	patience time.Time // end of the wait for another host's outcome; zero before it is met
	passedOn bool      // the submission was sent to another host before
	answered bool
	tries    int
	outcome  Outcome // of an opOutcome
}

// attempt is a record that this machine wrote and may dispatch.
type attempt struct {
	op        *op
	waiters   []*op    // resends that wait for the outcome
	outcome   *Outcome // known once the dispatch has ended
	releasing bool     // will not be dispatched; a tombstone is being written
}

// number returns the submission number that a tombstone in place of the record
// must bear, so that it covers everyone who is told RunNotRun.
func (a *attempt) number() uint32 {
	n := a.op.sub.Number
	for _, w := range a.waiters {
		if w.sub.Number == 0 {
			return 0
		}
		if n != 0 {
			n = max(n, w.sub.Number)
		}
	}
	return n
}

// deadlines is a heap of operations by deadline.
type deadlines []*op

func (d deadlines) Len() int           { return len(d) }
func (d deadlines) Less(i, j int) bool { return d[i].sub.Deadline.Before(d[j].sub.Deadline) }
func (d deadlines) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push adds an operation; heap.Interface requires it.
func (d *deadlines) Push(x any) { *d = append(*d, x.(*op)) }

// Pop removes the last operation; heap.Interface requires it.
func (d *deadlines) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*d = old[:len(old)-1]
	return last
}

// answer tells the caller the outcome, unless it has been told before.
func (m *Machine) answer(o *op, out Outcome) []Action {
	if o.answered {
		return nil
	}
	o.answered = true
	m.pending--
	m.stats.answered(out.Run)
	return []Action{Answer{Submission: o.sub, Outcome: out}}
}

// refuse answers an operation that this machine won't carry out. RunNotRun is
// true only for the first submission of a key, and only while no update that
// carries its record can still take effect: an earlier submission could still
// be recorded by another host.
func (m *Machine) refuse(o *op, reason Reason, retry time.Duration) []Action {
	run := RunMayHaveRun
	if o.sub.first() && !o.passedOn && o.phase == phaseQueued {
		run = RunNotRun
	}
	return m.answer(o, Outcome{Run: run, Reason: reason, RetryAfter: retry})
}

// giveUp answers an operation whose deadline has passed. A record of it that
// turns up later is released, never dispatched.
func (m *Machine) giveUp(o *op) []Action {
	return m.refuse(o, ReasonDeadline, 0)
}

// recorded returns the outcome that an entry with a final state states.
func recorded(o *op, e *stored) Outcome {
	switch {
	case !sameRequest(o, e):
		return Outcome{Run: RunMayHaveRun, Reason: ReasonKeyReused}
	case e.State == StateRan:
		return Outcome{Run: RunRan, Reason: ReasonRecorded, Result: e.Result, ResultDigest: e.ResultDigest}
	case e.State == StateTombstone:
		return Outcome{Run: RunNotRun, Reason: ReasonTombstone}
	default:
		return Outcome{Run: RunMayHaveRun, Reason: ReasonRecorded}
	}
}

func sameRequest(o *op, e *stored) bool {
	return e.Digest == "" || e.Digest == o.digest
}
