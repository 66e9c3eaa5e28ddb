package once

import (
	"time"
)

// opKind is the change that an operation makes to a journal.
type opKind int

const (
	opClaim     opKind = iota // records a submission, so that it may be dispatched
	opTombstone               // blocks the submissions of a key from being recorded
	opOutcome                 // writes the outcome of a dispatched record
	opRelease                 // turns a record that was not dispatched into a tombstone
)

// phase is the progress of an operation.
type phase int

const (
	phaseQueued      phase = iota // in no update that can still take effect
	phaseWriting                  // in the update that is in flight
	phaseUnconfirmed              // in an update whose response was lost
	phaseRecorded                 // recorded, or waiting for the outcome of an attempt of this machine
	phaseEnded
)

// op is an operation: a journal change that waits to be written, or a submission
// that waits for the outcome of a recorded attempt.
type op struct {
	kind         opKind
	phase        phase
	sub          Submission
	key          Key
	digest       string
	attempt      string
	dueAt        time.Time // when it should be written
	callStarted  bool      // a read or update was started after the submission or the last poll
	callDone     bool      // such a call has returned, so the contents are recent enough
	claimWaitEnd time.Time // end of the wait for another attempt's outcome; zero before that wait
	forwarded    bool      // the submission was already sent to another host
	answered     bool
	tries        int
	outcome      Outcome // of an opOutcome
}

// attempt is a record that this machine wrote and may dispatch.
type attempt struct {
	op        *op
	waiters   []*op    // resends that wait for the outcome
	outcome   *Outcome // set when the dispatch has ended
	releasing bool     // will not be dispatched; a tombstone is being written
}

// tombstoneNumber returns the submission number of a tombstone that replaces the
// record. It covers every submission that is answered RunNotRun.
func (a *attempt) tombstoneNumber() uint32 {
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

// answer returns the Answer of an operation, unless it is already answered.
func (m *Machine) answer(o *op, out Outcome) []Action {
	if o.answered {
		return nil
	}
	o.answered = true
	m.pending--
	m.pendingBytes -= len(o.sub.Body)
	m.stats.answered(out.Run)
	return []Action{Answer{Submission: o.sub, Outcome: out}}
}

// refuse answers an operation that this machine will not carry out. RunNotRun is
// correct only for the first submission of a key, because another host could still
// record an earlier one, and only if no update with its record can still take
// effect.
func (m *Machine) refuse(o *op, reason Reason, retry time.Duration) []Action {
	run := RunMayHaveRun
	if o.sub.first() && !o.forwarded && o.phase == phaseQueued {
		run = RunNotRun
	}
	return m.answer(o, Outcome{Run: run, Reason: reason, RetryAfter: retry})
}

// giveUp answers an operation whose deadline has passed. If its record is
// confirmed later, the record is released and not dispatched.
func (m *Machine) giveUp(o *op) []Action {
	return m.refuse(o, ReasonDeadline, 0)
}

// recordedOutcome returns the outcome that an entry reports to an operation. The
// entry is in a final state or belongs to another request.
func recordedOutcome(o *op, e *storedEntry) Outcome {
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

func sameRequest(o *op, e *storedEntry) bool {
	return e.Digest == "" || e.Digest == o.digest
}
