package configuration

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// This file contains the steps that process one patch: read the head, and its
// checkpoint if the version is not cached; look up the patch id; write a checkpoint
// if the head is large; write the head.

// ReadDone handles the result of a Read. The error for an absent object is
// objectstore.ErrNotFound. Results of abandoned calls are ignored.
func (e *Editor) ReadDone(now time.Time, call uint64, object objectstore.Object, err error) []EditorAction {
	s := e.inProgress(call)
	if s == nil {
		return nil
	}
	if err != nil && !errors.Is(err, objectstore.ErrNotFound) {
		e.scheduleRetry(now, s)
		return nil
	}
	if err != nil {
		object = objectstore.Object{}
	}
	switch s.phase {
	case readingHead:
		return e.headRead(now, s, object)
	case readingCheckpoint:
		return e.checkpointRead(now, s, object)
	case readingSpareSlot:
		return e.spareSlotRead(now, s, object)
	default:
		return nil
	}
}

// WriteDone handles the result of a Write. Results of abandoned calls are ignored.
func (e *Editor) WriteDone(now time.Time, call uint64, object objectstore.Object, err error) []EditorAction {
	s := e.inProgress(call)
	switch {
	case s == nil:
		return nil
	case s.phase == writingCheckpoint:
		return e.checkpointWritten(now, s, object, err)
	case s.phase == writingHead:
		return e.headWritten(now, s, object, err)
	default:
		return nil
	}
}

// headRead handles the head that was read.
func (e *Editor) headRead(now time.Time, s *submission, object objectstore.Object) []EditorAction {
	if object.Version > s.unconfirmedBase {
		s.unconfirmed = false // the unconfirmed write can no longer take effect
	}
	h, err := decodeHead(object)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	s.head, s.object = h, object
	current, err := h.snapshot(e.lastVersion)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	if current == nil {
		return []EditorAction{e.get(s, readingCheckpoint, h.Checkpoint.name())}
	}
	return e.processPatch(now, s, current)
}

// checkpointRead handles the checkpoint that the head names.
func (e *Editor) checkpointRead(now time.Time, s *submission, object objectstore.Object) []EditorAction {
	o, err := openValue(object.Value)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	current, err := s.head.fromCheckpoint(o)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	if current == nil {
		return []EditorAction{e.readHead(s)}
	}
	return e.processPatch(now, s, current)
}

// processPatch applies the patch of s to the current version. It looks up the patch
// id first, because an earlier attempt may have been accepted.
func (e *Editor) processPatch(now time.Time, s *submission, current *snapshot) []EditorAction {
	e.lastVersion, s.current = current, current
	if r, found := findRecord(current.Patches, s.Patch.ID); found {
		return e.answerAccepted(now, s, r)
	}
	if s.Patch.Base != current.Number {
		return e.answer(now, s, Result{}, staleError(s.Patch, current.Version))
	}
	next, err := prepare(&e.compressor, current, s.Patch)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	s.next = next
	if len(s.object.Value) >= e.cfg.HeadBytes && s.head.Checkpoint.Number < current.Number {
		c := s.head.Checkpoint
		return e.writeCheckpoint(now, s, c.Versions[c.spareSlot()])
	}
	return e.writeHead(now, s, s.head)
}

// prepare applies and validates a new patch. It refuses a version that is too large
// for a checkpoint: such a version would block all later patches.
func prepare(c *compressor, current *snapshot, p Patch) (*snapshot, error) {
	next, err := current.patched(p, submitted)
	if err != nil {
		return nil, err
	}
	next = current.append(next, p)
	if _, err := Compile(next.Version); err != nil {
		return nil, err
	}
	return next, c.checkSize(next.Version)
}

// writeCheckpoint writes the current version to the spare slot.
func (e *Editor) writeCheckpoint(now time.Time, s *submission, base uint64) []EditorAction {
	value, err := e.compressor.encodeValue(s.current.Version)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	return []EditorAction{e.put(s, writingCheckpoint, checkpointName(s.head.Checkpoint.spareSlot()), base, value)}
}

// checkpointWritten handles the result of writing a checkpoint. After a lost
// response or a conflict, the slot is read to find out whether it holds the
// checkpoint.
func (e *Editor) checkpointWritten(now time.Time, s *submission, object objectstore.Object, err error) []EditorAction {
	switch {
	case err == nil:
		return e.writeRebasedHead(now, s, object.Version)
	case errors.Is(err, objectstore.ErrTooLarge):
		return e.answer(now, s, Result{}, errors.Mark(err, ErrTooLarge))
	case errors.IsAny(err, objectstore.ErrUnavailable, objectstore.ErrBudget):
		e.scheduleRetry(now, s)
		return nil
	default:
		return []EditorAction{e.get(s, readingSpareSlot, checkpointName(s.head.Checkpoint.spareSlot()))}
	}
}

// spareSlotRead handles the content of the spare slot. If the slot has a higher
// number, the head has changed. If it has a lower number, no later head names it.
func (e *Editor) spareSlotRead(now time.Time, s *submission, object objectstore.Object) []EditorAction {
	if object.Version == 0 {
		return e.writeCheckpoint(now, s, 0)
	}
	o, err := openValue(object.Value)
	switch {
	case err != nil:
		return e.answer(now, s, Result{}, err)
	case o.Number < s.current.Number:
		return e.writeCheckpoint(now, s, object.Version)
	case o.Number > s.current.Number:
		return []EditorAction{e.readHead(s)}
	case o.Digest != s.current.Digest:
		err := errors.Wrapf(ErrDiverged, "version %d has digest %s in a checkpoint and %s in the head", o.Number, o.Digest, s.current.Digest)
		return e.answer(now, s, Result{}, err)
	}
	return e.writeRebasedHead(now, s, object.Version)
}

// writeRebasedHead writes a head that is based on the checkpoint in the spare slot.
func (e *Editor) writeRebasedHead(now time.Time, s *submission, version uint64) []EditorAction {
	c := s.head.Checkpoint.afterWriting(s.current, version)
	return e.writeHead(now, s, s.head.rebase(c, e.cfg.HeadBytes))
}

// writeHead writes h with the patch appended.
func (e *Editor) writeHead(now time.Time, s *submission, h *head) []EditorAction {
	record := s.next.Patches[len(s.next.Patches)-1]
	record.Body = s.Patch.Body // a large body is dropped from the history but not from the head
	value, err := h.append(record).encode(&e.compressor)
	if err != nil {
		return e.answer(now, s, Result{}, err)
	}
	s.writeResult = Result{Number: s.next.Number, Digest: s.next.Digest, Object: objectstore.Object{Name: ObjectName, Value: value}}
	return []EditorAction{e.put(s, writingHead, ObjectName, s.object.Version, value)}
}

// headWritten handles the result of writing the head.
func (e *Editor) headWritten(now time.Time, s *submission, object objectstore.Object, err error) []EditorAction {
	switch {
	case err == nil:
		result := s.writeResult
		result.Object.Version = object.Version
		return e.answer(now, s, result, nil)
	case errors.Is(err, objectstore.ErrConflict):
		return []EditorAction{e.readHead(s)}
	case errors.Is(err, objectstore.ErrTooLarge):
		return e.answer(now, s, Result{}, tooLarge("stored head", len(s.writeResult.Object.Value), objectstore.MaxValueBytes))
	case errors.IsAny(err, objectstore.ErrUnavailable, objectstore.ErrBudget):
		e.scheduleRetry(now, s)
		return nil
	default: // ErrUnknownOutcome, or another error after which the write may take effect
		s.unconfirmed = true
		s.unconfirmedBase = max(s.unconfirmedBase, s.object.Version)
		return []EditorAction{e.readHead(s)}
	}
}

// findRecord returns the record with a patch id.
func findRecord(records []PatchRecord, id string) (PatchRecord, bool) {
	for i := len(records) - 1; i >= 0; i-- {
		if records[i].ID == id {
			return records[i], true
		}
	}
	return PatchRecord{}, false
}

// answerAccepted answers a submission whose patch id was already accepted, through
// this submission or an earlier one.
func (e *Editor) answerAccepted(now time.Time, s *submission, r PatchRecord) []EditorAction {
	if r.Hash != s.Patch.hash() {
		s.unconfirmed = false // the head shows that another patch was accepted with this id
		return e.answer(now, s, Result{}, errors.Wrapf(ErrIDReused, "id %q was used for version %d", r.ID, r.Number))
	}
	resent := s.writeResult.Number != r.Number
	result := Result{Number: r.Number, Digest: r.Digest, Resent: resent, Object: s.object}
	return e.answer(now, s, result, nil)
}

// staleError returns a StaleError with the versions since the base of a patch.
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
