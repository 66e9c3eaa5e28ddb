package once

import (
	"encoding/json"
	"time"
)

// Run tells what is known about the run of a key.
type Run string

// What a caller is told. The texts are those of the caller API.
const (
	// RunRan says that the request ran exactly once.
	RunRan Run = "ran"
	// RunNotRun says that no submission made before this answer ran or will run.
	RunNotRun Run = "not_run"
	// RunMayHaveRun says that neither is known.
	RunMayHaveRun Run = "may_have_run"
)

// Reason tells why a submission got its outcome.
type Reason string

// Reasons of an outcome.
const (
	// ReasonDone is a result that this host received from the upstream.
	ReasonDone Reason = "done"
	// ReasonRecorded is an outcome of an earlier submission, found in the journal or
	// about to be written there.
	ReasonRecorded Reason = "recorded"
	// ReasonClaimed is a record of another attempt without an outcome.
	ReasonClaimed Reason = "claimed"
	// ReasonTombstone is a tombstone found in the journal or written.
	ReasonTombstone Reason = "tombstone"
	// ReasonReleased is a record that was withdrawn before it was dispatched.
	ReasonReleased Reason = "released"
	// ReasonReplyLost is a dispatch whose reply was lost.
	ReasonReplyLost Reason = "reply_lost"
	// ReasonDeadline is a submission whose deadline passed.
	ReasonDeadline Reason = "deadline"
	// ReasonBadKey is a malformed key.
	ReasonBadKey Reason = "bad_key"
	// ReasonKeyAge is a key that is too old or too far in the future.
	ReasonKeyAge Reason = "key_age"
	// ReasonKeyReused is a key under which another request was submitted.
	ReasonKeyReused Reason = "key_reused"
	// ReasonPlatformDown is a platform that can't be reached.
	ReasonPlatformDown Reason = "platform_down"
	// ReasonBusy is a queue that is full.
	ReasonBusy Reason = "busy"
	// ReasonConflict is a journal that others changed at every try.
	ReasonConflict Reason = "conflict"
	// ReasonJournalFull is a journal without room for the record.
	ReasonJournalFull Reason = "journal_full"
	// ReasonJournalBad is a journal that can't be decoded.
	ReasonJournalBad Reason = "journal_bad"
)

// Submission is one sending of a non-idempotent request.
type Submission struct {
	ID       string // chosen by the shell and echoed in Answer
	Key      string
	Number   uint32 // Submission-Number of the caller; 1 is the first of its key, 0 is unknown
	Contract string
	Service  string
	Body     json.RawMessage
	Deadline time.Time
}

// first reports whether this is the first submission of its key. The shell
// forwards a submission at most once; after that it calls Cancel.
func (s Submission) first() bool { return s.Number == 1 }

// Outcome is what a caller is told.
type Outcome struct {
	Run          Run
	Reason       Reason
	Result       json.RawMessage // with RunRan, if it was small enough to be kept
	ResultDigest string          // with RunRan, if the result was not kept
	RetryAfter   time.Duration   // 0 if unknown
}

// Action is something that the shell must do: Read, Write, Dispatch or Answer.
type Action interface{ action() }

// Read asks for a read of a journal; its result goes to ReadDone.
type Read struct{ Journal int }

// Write asks for a conditional update; its result goes to WriteDone. An answer
// that does not come in time must be reported as platform.ErrUnknownOutcome.
type Write struct {
	Journal int
	Base    uint64
	Value   []byte
}

// Dispatch asks to send the request to one upstream; its result goes to
// DispatchDone. Another upstream may be chosen only while the request has
// surely not been sent. Nothing is sent after the deadline.
type Dispatch struct {
	Submission Submission
	Attempt    string
}

// Answer tells the outcome of a submission. Each submission gets one answer.
type Answer struct {
	Submission Submission
	Outcome    Outcome
}

func (Read) action()     {}
func (Write) action()    {}
func (Dispatch) action() {}
func (Answer) action()   {}

// DispatchKind tells how a dispatch ended.
type DispatchKind int

const (
	// DispatchUnknown is a dispatch that may have run. It is the zero value,
	// because it is what may be said of any dispatch.
	DispatchUnknown DispatchKind = iota
	// DispatchRan is a reply of the upstream.
	DispatchRan
	// DispatchNotSent is a dispatch that surely did not run.
	DispatchNotSent
)

// DispatchResult is the end of a Dispatch.
type DispatchResult struct {
	Kind       DispatchKind
	Body       json.RawMessage // with DispatchRan
	RetryAfter time.Duration   // with DispatchNotSent; 0 if unknown
}
