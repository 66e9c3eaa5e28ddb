package configuration

import (
	"time"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// checkpointLoad is a head whose checkpoint is needed.
type checkpointLoad struct {
	head    *head
	call    uint64    // in flight, 0 if none is
	retryAt time.Time // of a failed read; zero if none is due
}

// loadFor asks for the checkpoint of a head, unless it is asked for already.
func (t *Tracker) loadFor(h *head) []TrackerAction {
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

// readCheckpoint starts a call.
func (t *Tracker) readCheckpoint() TrackerAction {
	t.calls++
	t.load.call, t.load.retryAt = t.calls, time.Time{}
	return ReadCheckpoint{Call: t.calls, Name: t.load.head.Checkpoint.name()}
}

// retryLoad asks again for a checkpoint whose read failed, if that is due.
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
	if next == nil { // a later version, which was accepted too
		return t.take(now, opened, object.Value)
	}
	return t.adopt(now, next, nil)
}
