package once

import (
	"encoding/json"
	"time"
)

// Run is what is known about whether the request of a key has run.
type Run string

// Values of Run. The caller API uses the same strings.
const (
	// RunRan means that the request ran exactly once.
	RunRan Run = "ran"
	// RunNotRun means that no submission made before this answer has run or will
	// run.
	RunNotRun Run = "not_run"
	// RunMayHaveRun means that neither is known.
	RunMayHaveRun Run = "may_have_run"
)

// Reason is why a submission got its outcome.
type Reason string

// Reasons of an outcome.
const (
	// ReasonDone means that the writer of the record received the result from the
	// upstream.
	ReasonDone Reason = "done"
	// ReasonRecorded means that the outcome is that of an earlier submission. It is
	// in the journal or about to be written there.
	ReasonRecorded Reason = "recorded"
	// ReasonClaimed means that the journal holds the record of another attempt
	// without an outcome.
	ReasonClaimed Reason = "claimed"
	// ReasonTombstone means that a tombstone was found in the journal or was written.
	ReasonTombstone Reason = "tombstone"
	// ReasonReleased means that the record was released before it was dispatched.
	ReasonReleased Reason = "released"
	// ReasonReplyLost means that the request was dispatched and its reply was lost.
	ReasonReplyLost Reason = "reply_lost"
	// ReasonDeadline means that the deadline of the submission passed or was too
	// close.
	ReasonDeadline Reason = "deadline"
	// ReasonBadKey means that the key is malformed.
	ReasonBadKey Reason = "bad_key"
	// ReasonKeyAge means that the time of the key is too old or too far in the
	// future.
	ReasonKeyAge Reason = "key_age"
	// ReasonKeyReused means that the key was used for another request.
	ReasonKeyReused Reason = "key_reused"
	// ReasonPlatformDown means that the platform cannot be reached.
	ReasonPlatformDown Reason = "platform_down"
	// ReasonBusy means that the queue is full.
	ReasonBusy Reason = "busy"
	// ReasonConflict means that every tried update conflicted with another writer.
	ReasonConflict Reason = "conflict"
	// ReasonJournalFull means that the journal has no space for the record.
	ReasonJournalFull Reason = "journal_full"
	// ReasonJournalBad means that the journal cannot be decoded.
	ReasonJournalBad Reason = "journal_bad"
)

// Submission is one submission of a non-idempotent request. A caller may submit a
// key several times.
type Submission struct {
	ID       string // chosen by the shell, returned in Answer
	Key      string
	Number   uint32 // Submission-Number from the caller; 1 is the first of its key, 0 is unknown
	Contract string
	Service  string
	Body     json.RawMessage
	Deadline time.Time
}

// first reports whether this is the first submission of its key. The shell
// forwards a submission at most once; after that it calls Cancel.
func (s Submission) first() bool { return s.Number == 1 }

// Outcome is what a caller is told about a submission. Hosts exchange it as JSON
// under the Go names of its fields.
type Outcome struct {
	Run          Run
	Reason       Reason
	Result       json.RawMessage // with RunRan, if it was small enough to be stored
	ResultDigest string          // with RunRan, if the result was not stored
	RetryAfter   time.Duration   // 0 if unknown
}

// Action is a request to the shell: Read, Write, Dispatch or Answer, and Forward
// from a Router.
type Action interface{ action() }

// Read asks for a read of a journal. Its result goes to ReadDone.
type Read struct{ Journal int }

// Write asks for a conditional update of a journal. Its result goes to WriteDone.
// A response that does not arrive in time must be reported as
// objectstore.ErrUnknownOutcome.
type Write struct {
	Journal int
	Base    uint64
	Value   []byte
}

// Dispatch asks to send the request to one upstream. Its result goes to
// DispatchDone. Another upstream may be tried only as long as the request has
// certainly not been sent. Nothing may be sent after the deadline.
type Dispatch struct {
	Submission Submission
	Attempt    string
}

// Answer reports the outcome of a submission. Each submission gets exactly one.
type Answer struct {
	Submission Submission
	Outcome    Outcome
}

func (Read) action()     {}
func (Write) action()    {}
func (Dispatch) action() {}
func (Answer) action()   {}

// DispatchKind is how a dispatch ended.
type DispatchKind int

const (
	// DispatchUnknown means that the request may have run. It is the zero value
	// because it is safe to assume for any dispatch.
	DispatchUnknown DispatchKind = iota
	// DispatchRan means that the upstream replied.
	DispatchRan
	// DispatchNotSent means that the request certainly did not run.
	DispatchNotSent
)

// DispatchResult is the result of a Dispatch.
type DispatchResult struct {
	Kind       DispatchKind
	Body       json.RawMessage // with DispatchRan
	RetryAfter time.Duration   // with DispatchNotSent; 0 if unknown
}
