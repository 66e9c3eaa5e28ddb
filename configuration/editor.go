package configuration

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// Defaults of EditorConfig.
const (
	// DefaultRetryDelay is the pause after a failed platform call.
	DefaultRetryDelay = 100 * time.Millisecond
	// DefaultMaxWaiting is the number of submissions that may wait. A patch
	// needs one read and one write of a few milliseconds each.
	DefaultMaxWaiting = 64
)

// EditorConfig configures an Editor. Zero fields stand for the defaults.
type EditorConfig struct {
	RetryDelay time.Duration
	MaxWaiting int
	// HeadBytes is the size of the stored head from which a patch makes a
	// checkpoint first.
	HeadBytes int
}

// Submission is a patch with the token under which its result is answered.
type Submission struct {
	Token string
	Patch Patch
	// Deadline is the time by which the submission is answered.
	Deadline time.Time
}

// EditorAction is one of Read, Write and Answer.
type EditorAction interface{ editorAction() }

// Read asks for an object. The result goes to Editor.ReadDone.
type Read struct {
	Call uint64
	Name string
}

// Write asks for a conditional update of an object. The result goes to
// Editor.WriteDone.
type Write struct {
	Call  uint64
	Name  string
	Base  uint64 // version of the object, 0 to create it
	Value []byte
}

// Answer is the result of a submission.
type Answer struct {
	Token string
	// Result is set if Err is nil.
	Result Result
	// Err wraps one of the errors of this package. Only ErrUnknownOutcome and
	// a StaleError with HistoryTruncated set leave open whether the patch was
	// accepted.
	Err error
}

func (Read) editorAction()   {}
func (Write) editorAction()  {}
func (Answer) editorAction() {}

// Result tells how a patch was accepted.
type Result struct {
	Number uint64
	Digest string
	// Resent tells that the patch had been accepted before this submission
	// tried to write it.
	Resent bool
	// Object is the stored head that contains the patch. Passing it to
	// Tracker.HeadReceived puts the version in force on this host at once.
	Object objectstore.Object
}

// Editor turns patches into conditional updates of ObjectName. It works on one
// submission at a time, because only one patch can be accepted on each base.
type Editor struct {
	cfg     EditorConfig
	waiting []*submission
	calls   uint64
	known   *snapshot // last version read, to decode the next one cheaply

	compressor compressor
}

// phase is what a submission waits for.
type phase int

const (
	queued        phase = iota
	reading             // the head
	loading             // the checkpoint that the head names
	checkpointing       // writing a checkpoint to the spare slot
	probing             // reading the spare slot
	writing             // the head
	pausing             // waiting for the retry time
)

// submission is the progress of one patch.
type submission struct {
	Submission
	phase   phase
	call    uint64
	retryAt time.Time
	object  objectstore.Object // the head as it was read
	head    *head              // its content
	state   *snapshot          // the version of head
	next    *snapshot          // the version that the patch leads to
	// written is the result if the write on object takes effect, without the
	// new version of the object.
	written Result
	// uncertain tells that the answer to a write on uncertainBase was lost. It
	// may still take effect as long as the object has that version.
	uncertain     bool
	uncertainBase uint64
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

// Submit starts a patch or queues it behind the others. The patch gets the time
// now.
func (e *Editor) Submit(now time.Time, s Submission) []EditorAction {
	if err := s.Patch.check(); err != nil {
		return refuse(s, err)
	}
	if len(e.waiting) >= e.cfg.MaxWaiting {
		return refuse(s, errors.Wrapf(ErrBusy, "%d submissions", len(e.waiting)))
	}
	s.Patch.Time = now.UTC()
	e.waiting = append(e.waiting, &submission{Submission: s})
	return e.proceed(now, nil)
}

// refuse answers a submission that was not started.
func refuse(s Submission, err error) []EditorAction {
	return []EditorAction{Answer{Token: s.Token, Err: err}}
}

// proceed starts the first submission if none is in progress.
func (e *Editor) proceed(now time.Time, actions []EditorAction) []EditorAction {
	for len(e.waiting) > 0 {
		s := e.waiting[0]
		if s.phase != queued {
			break
		}
		if now.Before(s.Deadline) {
			return append(actions, e.read(s))
		}
		actions = append(actions, e.finish(s, Result{}, errors.Wrap(ErrUnavailable, "the deadline passed in the queue")))
	}
	return actions
}

// read asks for the head on behalf of s.
func (e *Editor) read(s *submission) EditorAction { return e.get(s, reading, ObjectName) }

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

// current returns the submission in progress if it waits for the call.
func (e *Editor) current(call uint64) *submission {
	if len(e.waiting) == 0 || e.waiting[0].call != call {
		return nil
	}
	return e.waiting[0]
}

// pause makes s read again after the retry delay.
func (e *Editor) pause(now time.Time, s *submission) {
	s.phase = pausing
	s.retryAt = now.Add(e.cfg.RetryDelay)
}

// Tick handles deadlines and retries that are due. Call it at Next.
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
	if len(e.waiting) > 0 && e.waiting[0].phase == pausing && !now.Before(e.waiting[0].retryAt) {
		actions = append(actions, e.read(e.waiting[0]))
	}
	return e.proceed(now, actions)
}

// expire answers a submission whose deadline passed.
func (e *Editor) expire(s *submission) EditorAction {
	if s.phase == writing {
		s.uncertain = true // a checkpoint that is still written accepts nothing
	}
	return e.finish(s, Result{}, errors.Wrap(ErrUnavailable, "the deadline passed"))
}

// Next returns the time of the next Tick.
func (e *Editor) Next() (time.Time, bool) {
	var next time.Time
	for _, s := range e.waiting {
		if next.IsZero() || s.Deadline.Before(next) {
			next = s.Deadline
		}
	}
	if len(e.waiting) > 0 && e.waiting[0].phase == pausing && e.waiting[0].retryAt.Before(next) {
		next = e.waiting[0].retryAt
	}
	return next, !next.IsZero()
}

// answer ends a submission and starts the next one.
func (e *Editor) answer(now time.Time, s *submission, r Result, err error) []EditorAction {
	return e.proceed(now, []EditorAction{e.finish(s, r, err)})
}

// finish removes a submission and returns its answer. A refusal is not certain
// while a lost write may still take effect.
func (e *Editor) finish(s *submission, r Result, err error) EditorAction {
	for i, other := range e.waiting {
		if other == s {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			break
		}
	}
	if err != nil && s.uncertain {
		err = errors.Wrapf(ErrUnknownOutcome, "a write was not answered: %s", err)
	}
	return Answer{Token: s.Token, Result: r, Err: err}
}
