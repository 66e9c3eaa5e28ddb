// Package once runs non-idempotent requests at most once per key.
//
// A request is recorded in a journal, an object of the platform that is changed
// by conditional update only, before it is dispatched. Only the Machine whose
// update carried the record dispatches it. The outcome is written by a later
// update, and a resend of the key gets the recorded outcome.
//
// Invariants:
//
//   - A record is dispatched only after the update that carried it is known to
//     have taken effect, and only by the attempt id that stands in the record.
//   - Once the answer to an update is lost, the journal is read back. A read at
//     the update's base version settles nothing, because the update may still be
//     on its way; a read at a later version or a later own update does.
//   - RunNotRun is answered only when no submission made so far can still
//     cause a dispatch: a tombstone stands in the journal, or the submission
//     was the first of its key and was dropped before a record could be written.
//   - A claimed record whose writer is gone stays claimed until it expires.
//   - A tombstone is written and believed only for keys within the maximum age.
//     The record of an older key may have been removed by a host whose clock is
//     fast, so that its absence proves nothing.
//
// A caller may number the submissions of a key. It then waits for the answer to
// a submission, or gives it up, before it sends the next one. The first one can
// be answered RunNotRun without a tombstone, and a tombstone bars submissions up
// to its number only, so that a key can be used again after RunNotRun. Without
// numbers, a key that was answered RunNotRun is spent.
//
// Router is the entry host's part: it passes a submission on to the writer of
// its journal and refuses it by a tombstone if that connection breaks.
//
// Machine is a pure state machine. It asks for reads, updates and dispatches by
// returning Actions and is told their results. It has no clock, and its random
// source is passed in.
package once
