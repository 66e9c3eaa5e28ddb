package configuration

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/platform"
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

// Read asks for ObjectName. The result goes to Editor.ReadDone.
type Read struct{ Call uint64 }

// Write asks for a conditional update of ObjectName. The result goes to
// Editor.WriteDone.
type Write struct {
	Call  uint64
	Base  uint64 // version of the object, 0 to create it
	Value []byte
}

// Answer is the result of a submission.
type Answer struct {
	Token string
	// Result is set if Err is nil.
	Result Result
	// Err wraps one of the errors of this package. Only ErrUnknownOutcome and
	// a StaleError with Forgotten set leave open whether the patch was
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
	// Object is the stored object that shows the patch; Tracker.Platform takes
	// it, so that the version is in force on this host at once.
	Object platform.Object
}

// Editor turns patches into conditional updates of ObjectName. It works on one
// submission at a time, because only one patch can be accepted on each base.
type Editor struct {
	cfg     EditorConfig
	waiting []*submission
	calls   uint64
	known   *snapshot // last version read, to decode the next one cheaply
}

// phase is what a submission waits for.
type phase int

const (
	queued phase = iota
	reading
	writing
	pausing // waiting for the retry time
)

// submission is the progress of one patch.
type submission struct {
	Submission
	phase   phase
	call    uint64
	retryAt time.Time
	// written is the result if the write on base takes effect, without the
	// version of the object.
	written Result
	base    uint64
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

// read asks for the object on behalf of s.
func (e *Editor) read(s *submission) EditorAction {
	e.calls++
	s.phase = reading
	s.call = e.calls
	return Read{Call: s.call}
}

// current returns the submission in progress if it waits for the call.
func (e *Editor) current(call uint64, want phase) *submission {
	if len(e.waiting) == 0 || e.waiting[0].call != call || e.waiting[0].phase != want {
		return nil
	}
	return e.waiting[0]
}

// ReadDone takes the result of a Read. An absent object is given as
// platform.ErrNotFound. Results of calls that were given up are ignored.
func (e *Editor) ReadDone(now time.Time, call uint64, object platform.Object, err error) []EditorAction {
	s := e.current(call, reading)
	if s == nil {
		return nil
	}
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		e.pause(now, s)
		return nil
	}
	if err != nil {
		object = platform.Object{Name: ObjectName}
	}
	return e.evaluate(now, s, object)
}

// evaluate decides on s from the current object. The patch id is looked for
// before anything else, because an earlier try may have been accepted.
func (e *Editor) evaluate(now time.Time, s *submission, object platform.Object) []EditorAction {
	if object.Version > s.uncertainBase {
		s.uncertain = false // a lost write can no longer take effect
	}
	state, err := e.decode(object)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	if r, found := findRecord(state.Patches, s.Patch.ID); found {
		return e.answerRecord(now, s, r, object)
	}
	if s.Patch.Base != state.Number {
		return e.answer(now, s, Result{}, staleError(s.Patch, state.Version))
	}
	next, value, err := prepare(state, s.Patch)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	e.calls++
	s.phase = writing
	s.call = e.calls
	s.base = object.Version
	s.written = Result{Number: next.Number, Digest: next.Digest, Object: platform.Object{Name: ObjectName, Value: value}}
	return []EditorAction{Write{Call: s.call, Base: s.base, Value: value}}
}

// decode returns the version in an object, or the empty version if the object
// is absent.
func (e *Editor) decode(object platform.Object) (*snapshot, error) {
	if object.Version == 0 {
		return emptySnapshot(), nil
	}
	o, err := openValue(object.Value)
	if err != nil {
		return nil, err
	}
	state, err := o.snapshot(e.known)
	if err != nil {
		return nil, err
	}
	e.known = state
	return state, nil
}

// prepare applies and validates a new patch and encodes the resulting version.
func prepare(state *snapshot, p Patch) (*snapshot, []byte, error) {
	next, err := state.patched(p, submitted)
	if err != nil {
		return nil, nil, err
	}
	next = state.append(next, p)
	if _, err := Compile(next.Version); err != nil {
		return nil, nil, err
	}
	value, err := encodeValue(next.Version)
	return next, value, err
}

// findRecord returns the record of a patch id.
func findRecord(records []PatchRecord, id string) (PatchRecord, bool) {
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].ID == id {
			return records[i], true
		}
	}
	return PatchRecord{}, false
}

// answerRecord answers a submission whose id was accepted already, by this
// submission or by an earlier one.
func (e *Editor) answerRecord(now time.Time, s *submission, r PatchRecord, object platform.Object) []EditorAction {
	if r.Hash != s.Patch.hash() {
		s.uncertain = false // the object shows whose patch was accepted
		return e.answer(now, s, Result{}, errors.Wrapf(ErrIDReused, "id %q led to version %d", r.ID, r.Number))
	}
	resent := s.written.Number != r.Number
	result := Result{Number: r.Number, Digest: r.Digest, Resent: resent, Object: object}
	return e.answer(now, s, result, nil)
}

// staleError tells what happened since the base of a patch.
func staleError(p Patch, current Version) error {
	err := &StaleError{Base: p.Base, Current: current.Number}
	oldest := current.Number + 1
	if len(current.Patches) > 0 {
		oldest = current.Patches[0].Number
	}
	covered := p.Base+1 >= oldest
	err.Complete = covered
	err.Forgotten = p.Base < current.Number && !covered
	for _, r := range current.Patches {
		if r.Number > p.Base {
			d := Difference{Number: r.Number, ID: r.ID, Author: r.Author, Time: r.Time, Paths: r.Paths()}
			err.Differences = append(err.Differences, d)
		}
	}
	return err
}

// WriteDone takes the result of a Write. Results of calls that were given up
// are ignored.
func (e *Editor) WriteDone(now time.Time, call uint64, object platform.Object, err error) []EditorAction {
	s := e.current(call, writing)
	if s == nil {
		return nil
	}
	switch {
	case err == nil:
		result := s.written
		result.Object.Version = object.Version
		return e.answer(now, s, result, nil)
	case errors.Is(err, platform.ErrConflict):
		return []EditorAction{e.read(s)}
	case errors.Is(err, platform.ErrTooLarge):
		return e.answer(now, s, Result{}, tooLarge("stored value", len(s.written.Object.Value), platform.MaxValueBytes))
	case errors.IsAny(err, platform.ErrUnavailable, platform.ErrBudget):
		e.pause(now, s)
		return nil
	default: // ErrUnknownOutcome and any error that does not rule it out
		s.uncertain = true
		s.uncertainBase = max(s.uncertainBase, s.base)
		return []EditorAction{e.read(s)}
	}
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
		s.uncertain = true
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
