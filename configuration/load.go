package configuration

import (
	"time"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// checkpointLoad is the read of the checkpoint that a head needs.
type checkpointLoad struct {
	head    *head
	call    uint64    // call in flight, 0 if none
	retryAt time.Time // time of the retry after a failed read, or zero
}

// loadCheckpoint asks for the checkpoint of a head, unless that read is already in
// progress.
func (t *Tracker) loadCheckpoint(h *head) []TrackerAction {
	if l := t.load; l != nil && h.Number <= l.head.Number {
		return nil
	}
	if l := t.load; l != nil && l.head.Checkpoint.Number == h.Checkpoint.Number {
		l.head = h
		return nil
	}
	t.load = &checkpointLoad{head: h}
	return []TrackerAction{t.readCheckpoint()}
}

// readCheckpoint starts a read of the checkpoint.
func (t *Tracker) readCheckpoint() TrackerAction {
	t.calls++
	t.load.call, t.load.retryAt = t.calls, time.Time{}
	return ReadCheckpoint{Call: t.calls, Name: t.load.head.Checkpoint.name()}
}

// retryLoad retries a failed read of a checkpoint if the retry is due.
func (t *Tracker) retryLoad(now time.Time) []TrackerAction {
	if t.load == nil || t.load.retryAt.IsZero() || now.Before(t.load.retryAt) {
		return nil
	}
	return []TrackerAction{t.readCheckpoint()}
}

// ReadCheckpointDone handles the result of a ReadCheckpoint. Results of
// superseded calls are ignored. A failed read is retried. After a returned error
// the head is dropped, and the tracker waits for the next one.
func (t *Tracker) ReadCheckpointDone(now time.Time, call uint64, object objectstore.Object, err error) ([]TrackerAction, error) {
	l := t.load
	if l == nil || l.call != call {
		return nil, nil
	}
	if err != nil {
		l.call, l.retryAt = 0, now.Add(t.cfg.FetchRetry)
		return nil, nil
	}
	t.load = nil
	opened, err := openValue(object.Value)
	if err != nil {
		return nil, err
	}
	next, err := l.head.fromCheckpoint(opened)
	if err != nil {
		return nil, err
	}
	if next == nil { // the slot holds a later accepted version
		return t.adoptWhole(now, opened, object.Value)
	}
	return t.adopt(now, next, nil)
}
