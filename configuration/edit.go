package configuration

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// This file holds the steps of one patch: read the head, and the checkpoint if
// the version is not known; look for the patch id; write a checkpoint if the
// head is large; write the head.

// ReadDone takes the result of a Read. An absent object is given as
// objectstore.ErrNotFound. Results of calls that were given up are ignored.
func (e *Editor) ReadDone(now time.Time, call uint64, object objectstore.Object, err error) []EditorAction {
	s := e.current(call)
	if s == nil {
		return nil
	}
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		e.pause(now, s)
		return nil
	}
	if err != nil {
		object = objectstore.Object{}
	}
	switch s.phase {
	case reading:
		return e.evaluate(now, s, object)
	case loading:
		return e.loaded(now, s, object)
	case probing:
		return e.probed(now, s, object)
	default:
		return nil
	}
}

// WriteDone takes the result of a Write. Results of calls that were given up
// are ignored.
func (e *Editor) WriteDone(now time.Time, call uint64, object objectstore.Object, err error) []EditorAction {
	s := e.current(call)
	switch {
	case s == nil:
		return nil
	case s.phase == checkpointing:
		return e.checkpointWritten(now, s, object, err)
	case s.phase == writing:
		return e.headWritten(now, s, object, err)
	default:
		return nil
	}
}

// evaluate takes the head as it was read.
func (e *Editor) evaluate(now time.Time, s *submission, object objectstore.Object) []EditorAction {
	if object.Version > s.uncertainBase {
		s.uncertain = false // a lost write can no longer take effect
	}
	h, err := openHead(object)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	s.head, s.object = h, object
	state, err := h.snapshot(e.known)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	if state == nil {
		return []EditorAction{e.get(s, loading, h.Checkpoint.name())}
	}
	return e.decide(now, s, state)
}

// loaded takes the checkpoint that the head names.
func (e *Editor) loaded(now time.Time, s *submission, object objectstore.Object) []EditorAction {
	o, err := openValue(object.Value)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	state, err := s.head.fromCheckpoint(o)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	if state == nil {
		return []EditorAction{e.read(s)}
	}
	return e.decide(now, s, state)
}

// decide decides on s from the current version. The patch id is looked for
// before anything else, because an earlier try may have been accepted.
func (e *Editor) decide(now time.Time, s *submission, state *snapshot) []EditorAction {
	e.known, s.state = state, state
	if r, found := findRecord(state.Patches, s.Patch.ID); found {
		return e.answerRecord(now, s, r)
	}
	if s.Patch.Base != state.Number {
		return e.answer(now, s, Result{}, staleError(s.Patch, state.Version))
	}
	next, err := prepare(&e.compressor, state, s.Patch)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	s.next = next
	if len(s.object.Value) >= e.cfg.HeadBytes && s.head.Checkpoint.Number < state.Number {
		c := s.head.Checkpoint
		return e.writeCheckpoint(now, s, c.Versions[c.spare()])
	}
	return e.writeHead(now, s, s.head)
}

// prepare applies and validates a new patch. It refuses a version that is too
// large for a checkpoint, which would otherwise stop all later patches.
func prepare(c *compressor, state *snapshot, p Patch) (*snapshot, error) {
	next, err := state.patched(p, submitted)
	if err != nil {
		return nil, err
	}
	next = state.append(next, p)
	if _, err := Compile(next.Version); err != nil {
		return nil, err
	}
	return next, c.checkSize(next.Version)
}

// writeCheckpoint writes the current version to the spare slot.
func (e *Editor) writeCheckpoint(now time.Time, s *submission, base uint64) []EditorAction {
	value, err := e.compressor.encodeValue(s.state.Version)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	return []EditorAction{e.put(s, checkpointing, checkpointName(s.head.Checkpoint.spare()), base, value)}
}

// checkpointWritten takes the result of writing a checkpoint. After a lost
// answer or a conflict the slot tells whether the checkpoint is there.
func (e *Editor) checkpointWritten(now time.Time, s *submission, object objectstore.Object, err error) []EditorAction {
	switch {
	case err == nil:
		return e.checkpointed(now, s, object.Version)
	case errors.Is(err, objectstore.ErrTooLarge):
		return e.answer(now, s, Result{}, errors.Mark(err, ErrTooLarge))
	case errors.IsAny(err, objectstore.ErrUnavailable, objectstore.ErrBudget):
		e.pause(now, s)
		return nil
	default:
		return []EditorAction{e.get(s, probing, checkpointName(s.head.Checkpoint.spare()))}
	}
}

// probed takes the spare slot. A slot with a higher number tells that the head
// has changed; one with a lower number is named by no later head.
func (e *Editor) probed(now time.Time, s *submission, object objectstore.Object) []EditorAction {
	if object.Version == 0 {
		return e.writeCheckpoint(now, s, 0)
	}
	o, err := openValue(object.Value)
	switch {
	case err != nil:
		return e.answer(now, s, Result{}, err)
	case o.Number < s.state.Number:
		return e.writeCheckpoint(now, s, object.Version)
	case o.Number > s.state.Number:
		return []EditorAction{e.read(s)}
	case o.Digest != s.state.Digest:
		err := errors.Wrapf(ErrDiverged, "version %d has digest %s in a checkpoint and %s in the head", o.Number, o.Digest, s.state.Digest)
		return e.answer(now, s, Result{}, err)
	}
	return e.checkpointed(now, s, object.Version)
}

// checkpointed writes the head on the checkpoint that the spare slot holds.
func (e *Editor) checkpointed(now time.Time, s *submission, version uint64) []EditorAction {
	c := s.head.Checkpoint.next(s.state, version)
	return e.writeHead(now, s, s.head.rebase(c, e.cfg.HeadBytes))
}

// writeHead writes the head that follows h by the patch.
func (e *Editor) writeHead(now time.Time, s *submission, h *head) []EditorAction {
	record := s.next.Patches[len(s.next.Patches)-1]
	record.Body = s.Patch.Body // the history drops a large body
	value, err := h.append(record).encode(&e.compressor)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	s.written = Result{Number: s.next.Number, Digest: s.next.Digest, Object: objectstore.Object{Name: ObjectName, Value: value}}
	return []EditorAction{e.put(s, writing, ObjectName, s.object.Version, value)}
}

// headWritten takes the result of writing the head.
func (e *Editor) headWritten(now time.Time, s *submission, object objectstore.Object, err error) []EditorAction {
	switch {
	case err == nil:
		result := s.written
		result.Object.Version = object.Version
		return e.answer(now, s, result, nil)
	case errors.Is(err, objectstore.ErrConflict):
		return []EditorAction{e.read(s)}
	case errors.Is(err, objectstore.ErrTooLarge):
		return e.answer(now, s, Result{}, tooLarge("stored head", len(s.written.Object.Value), objectstore.MaxValueBytes))
	case errors.IsAny(err, objectstore.ErrUnavailable, objectstore.ErrBudget):
		e.pause(now, s)
		return nil
	default: // ErrUnknownOutcome and any error that does not rule it out
		s.uncertain = true
		s.uncertainBase = max(s.uncertainBase, s.object.Version)
		return []EditorAction{e.read(s)}
	}
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
func (e *Editor) answerRecord(now time.Time, s *submission, r PatchRecord) []EditorAction {
	if r.Hash != s.Patch.hash() {
		s.uncertain = false // the object shows whose patch was accepted
		return e.answer(now, s, Result{}, errors.Wrapf(ErrIDReused, "id %q led to version %d", r.ID, r.Number))
	}
	resent := s.written.Number != r.Number
	result := Result{Number: r.Number, Digest: r.Digest, Resent: resent, Object: s.object}
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
	err.HistoryTruncated = p.Base < current.Number && !covered
	for _, r := range current.Patches {
		if r.Number > p.Base {
			d := Difference{Number: r.Number, ID: r.ID, Author: r.Author, Time: r.Time, Paths: r.Paths()}
			err.Differences = append(err.Differences, d)
		}
	}
	return err
}
