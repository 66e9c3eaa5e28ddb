package configuration

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// Defaults of EditorConfig.
const (
	// DefaultRetryDelay is the delay after a failed platform call.
	DefaultRetryDelay = 100 * time.Millisecond
	// DefaultMaxWaiting is the largest number of unanswered submissions. A patch
	// needs one read and one write of a few milliseconds each.
	DefaultMaxWaiting = 64
)

// EditorConfig configures an Editor. Zero values select the defaults.
type EditorConfig struct {
	RetryDelay time.Duration
	MaxWaiting int
	// HeadBytes is the size of the stored head from which a checkpoint is written
	// before the next patch.
	HeadBytes int
}

// Submission is a patch with a token that identifies its Answer.
type Submission struct {
	Token string
	Patch Patch
	// Deadline is the time at which the submission is answered at the latest.
	Deadline time.Time
}

// EditorAction is one of Read, Write and Answer.
type EditorAction interface{ editorAction() }

// Read asks for a read of an object. The result goes to Editor.ReadDone.
type Read struct {
	Call uint64
	Name string
}

// Write asks for a conditional update of an object. The result goes to
// Editor.WriteDone.
type Write struct {
	Call  uint64
	Name  string
	Base  uint64 // expected version of the object; 0 creates it
	Value []byte
}

// Answer is the result of a submission.
type Answer struct {
	Token string
	// Result is set if Err is nil.
	Result Result
	// Err wraps one of the errors of this package. The patch was not accepted,
	// except that this is unknown after ErrUnknownOutcome and after a StaleError
	// with HistoryTruncated set.
	Err error
}

func (Read) editorAction()   {}
func (Write) editorAction()  {}
func (Answer) editorAction() {}

// Result describes an accepted patch.
type Result struct {
	Number uint64
	Digest string
	// Resent reports that the patch was already accepted before this submission
	// tried to write it.
	Resent bool
	// Object is the stored head that contains the patch. Passing it to
	// Tracker.HeadReceived puts the version in force on this host at once.
	Object objectstore.Object
}

// Editor turns patches into conditional updates of ObjectName. It works on one
// submission at a time, because only one patch can be accepted on each base.
type Editor struct {
	cfg         EditorConfig
	waiting     []*submission
	calls       uint64
	lastVersion *snapshot // last version read; the next one is derived from it where possible

	compressor compressor
}

// phase is what a submission is waiting for.
type phase int

const (
	queued phase = iota
	readingHead
	readingCheckpoint // the one that the head names
	writingCheckpoint // to the spare slot
	readingSpareSlot
	writingHead
	waitingForRetry // until retryAt
)

// submission is the progress of one patch.
type submission struct {
	Submission
	phase   phase
	call    uint64
	retryAt time.Time
	object  objectstore.Object // the head that was read
	head    *head              // its decoded content
	current *snapshot          // the version of the head
	next    *snapshot          // the version that results from the patch
	// writeResult is the result if the write based on object takes effect, without
	// the new version of the object.
	writeResult Result
	// unconfirmed reports that the response to a write with base version
	// unconfirmedBase was lost. The write may take effect as long as the head has
	// that version.
	unconfirmed     bool
	unconfirmedBase uint64
}

// NewEditor returns an Editor.
func NewEditor(cfg EditorConfig) *Editor {
	if cfg.RetryDelay <= 0 {
		cfg.RetryDelay = DefaultRetryDelay
	}
	if cfg.MaxWaiting <= 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}
	if cfg.HeadBytes <= 0 {
		cfg.HeadBytes = DefaultHeadBytes
	}
	return &Editor{cfg: cfg}
}

// Submit starts a patch or queues it behind other ones. It sets the time of the
// patch to now.
func (e *Editor) Submit(now time.Time, s Submission) []EditorAction {
	if err := s.Patch.check(); err != nil {
		return refuse(s, err)
	}
	if len(e.waiting) >= e.cfg.MaxWaiting {
		return refuse(s, errors.Wrapf(ErrBusy, "%d submissions", len(e.waiting)))
	}
	s.Patch.Time = now.UTC()
	e.waiting = append(e.waiting, &submission{Submission: s})
	return e.startNext(now, nil)
}

// refuse answers a submission that was not started.
func refuse(s Submission, err error) []EditorAction {
	return []EditorAction{Answer{Token: s.Token, Err: err}}
}

// startNext starts the first queued submission if none is in progress. It appends
// the actions to the given ones.
func (e *Editor) startNext(now time.Time, actions []EditorAction) []EditorAction {
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		if s.phase != queued {
			break
		}
		if now.Before(s.Deadline) {
			return append(actions, e.readHead(s))
		}
		actions = append(actions, e.finish(s, Result{}, errors.Wrap(ErrUnavailable, "the deadline passed while the patch was queued")))
	}
	return actions
}

// readHead asks for the head on behalf of s.
func (e *Editor) readHead(s *submission) EditorAction { return e.get(s, readingHead, ObjectName) }

// get asks for an object on behalf of s.
func (e *Editor) get(s *submission, next phase, name string) EditorAction {
	e.calls++
	s.phase, s.call = next, e.calls
	return Read{Call: s.call, Name: name}
}

// put asks for a conditional update on behalf of s.
func (e *Editor) put(s *submission, next phase, name string, base uint64, value []byte) EditorAction {
	e.calls++
	s.phase, s.call = next, e.calls
	return Write{Call: s.call, Name: name, Base: base, Value: value}
}

// inProgress returns the submission in progress if it waits for the call.
func (e *Editor) inProgress(call uint64) *submission {
	if len(e.waiting) == 0 || e.waiting[0].call != call {
		return nil
	}
	return e.waiting[0]
}

// scheduleRetry makes s read the head again after the retry delay.
func (e *Editor) scheduleRetry(now time.Time, s *submission) {
	s.phase = waitingForRetry
	s.retryAt = now.Add(e.cfg.RetryDelay)
}

// Tick handles deadlines and retries that are due. The shell calls it at the time
// that Next returns.
func (e *Editor) Tick(now time.Time) []EditorAction {
	var actions []EditorAction
	for i := 0; i < len(e.waiting); {
		s := e.waiting[i]
		if now.Before(s.Deadline) {
			i++
			continue
		}
		actions = append(actions, e.expire(s))
	}
	if len(e.waiting) > 0 && e.waiting[0].phase == waitingForRetry && !now.Before(e.waiting[0].retryAt) {
		actions = append(actions, e.readHead(e.waiting[0]))
	}
	return e.startNext(now, actions)
}

// expire answers a submission whose deadline has passed.
func (e *Editor) expire(s *submission) EditorAction {
	if s.phase == writingHead {
		s.unconfirmed = true // a write of a checkpoint, in contrast, accepts no patch
	}
	return e.finish(s, Result{}, errors.Wrap(ErrUnavailable, "the deadline passed"))
}

// Next returns the time of the next Tick, and false if none is needed.
func (e *Editor) Next() (time.Time, bool) {
	var next time.Time
	for _, s := range e.waiting {
		if next.IsZero() || s.Deadline.Before(next) {
			next = s.Deadline
		}
	}
	if len(e.waiting) > 0 && e.waiting[0].phase == waitingForRetry && e.waiting[0].retryAt.Before(next) {
		next = e.waiting[0].retryAt
	}
	return next, !next.IsZero()
}

// answer ends a submission and starts the next one.
func (e *Editor) answer(now time.Time, s *submission, r Result, err error) []EditorAction {
	return e.startNext(now, []EditorAction{e.finish(s, r, err)})
}

// finish removes a submission and returns its answer. While an unconfirmed write
// may still take effect, a refusal becomes ErrUnknownOutcome.
func (e *Editor) finish(s *submission, r Result, err error) EditorAction {
	for i, other := range e.waiting {
		if other == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	if err != nil && s.unconfirmed {
		err = errors.Wrapf(ErrUnknownOutcome, "no response to a write: %s", err)
	}
	return Answer{Token: s.Token, Result: r, Err: err}
}
