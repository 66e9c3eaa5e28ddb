// Package once runs non-idempotent requests at most once per key.
//
// Before a request is dispatched, it is recorded in a journal: an object of the
// platform that is changed by conditional updates only. Only the Machine whose
// update wrote the record dispatches the request. A later update writes the
// outcome, and a resend of the key gets the recorded outcome.
//
// Invariants:
//
//   - A record is dispatched only after the update that wrote it is known to
//     have taken effect, and only by the attempt whose id is in the record.
//   - If the response to an update is lost, the journal is read back. A read that
//     returns the update's base version proves nothing, because the update may
//     still be in flight. A read that returns a later version, or a later
//     successful update by this host, shows whether the update took effect.
//   - RunNotRun is answered only when no submission made so far can still
//     cause a dispatch: the journal holds a tombstone, or the submission was the
//     first of its key and was dropped before a record could be written.
//   - If the writer of a claimed record fails, the record stays claimed until it
//     expires.
//   - Tombstones are written and relied on only for keys within the maximum age.
//     A host with a fast clock may already have removed the record of an older
//     key, so a missing record of such a key proves nothing.
//
// A caller may number the submissions of a key. It must then wait for the answer
// to a submission, or abandon it, before it sends the next one. The first
// submission can be answered RunNotRun without a tombstone, and a tombstone blocks
// only the submissions up to its number, so the key can be submitted again after
// RunNotRun. Without numbers, a key that was answered RunNotRun cannot be used
// again.
//
// Router runs on the entry host. It forwards a submission to the writer of its
// journal, and cancels it with a tombstone if the writer does not reply.
//
// Machine is a pure state machine. It returns Actions for the reads, updates and
// dispatches that it needs, and the caller of the package, called the shell here,
// reports their results. Machine has no clock, and its random source is passed in.
package once
