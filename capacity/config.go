package capacity

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// ErrInvalid reports a configuration that cannot be used.
var ErrInvalid = errors.New("invalid limiter configuration")

// Config holds the limits of one upstream.
type Config struct {
	// Slots is the number of requests that the upstream can serve at a time,
	// for all owners together.
	Slots int
	// Floor and Step are the lowest level of the ramp and its increase, in
	// slots of the whole upstream.
	Floor, Step int
	// StepTime is the shortest stay at a level.
	StepTime time.Duration
	// MinGoodReplies is the number of good replies that a level needs.
	MinGoodReplies int
	// SilenceLimit is the time without a reply after which the upstream may
	// have become cold.
	SilenceLimit time.Duration
	// QueueLength is the largest number of queued tickets.
	QueueLength int
	// ColdPause limits the pause between two requests while the whole level is
	// one slot. The pause is as long as the last request took, so that a cold
	// upstream is busy half of the time at most.
	ColdPause time.Duration
}

// DefaultConfig returns the limits for an upstream with the given slots.
func DefaultConfig(slots int) Config {
	return Config{
		Slots: slots, Floor: 1, Step: 1,
		StepTime:       500 * time.Millisecond,
		MinGoodReplies: 3,
		SilenceLimit:   10 * time.Second,
		QueueLength:    64,
		ColdPause:      100 * time.Millisecond,
	}
}

// Validate returns an error wrapping ErrInvalid if a field is out of range.
func (c Config) Validate() error {
	switch {
	case c.Slots < 1:
		return errors.Wrapf(ErrInvalid, "%d slots", c.Slots)
	case c.Floor < 1 || c.Floor > c.Slots:
		return errors.Wrapf(ErrInvalid, "floor of %d with %d slots", c.Floor, c.Slots)
	case c.Step < 1:
		return errors.Wrapf(ErrInvalid, "step of %d slots", c.Step)
	case c.MinGoodReplies < 1:
		return errors.Wrapf(ErrInvalid, "%d good replies", c.MinGoodReplies)
	case c.QueueLength < 0:
		return errors.Wrapf(ErrInvalid, "queue length of %d", c.QueueLength)
	case c.StepTime < 0 || c.SilenceLimit <= 0 || c.ColdPause < 0:
		return errors.Wrapf(ErrInvalid, "step time %s, silence limit %s, cold pause %s",
			c.StepTime, c.SilenceLimit, c.ColdPause)
	}
	return nil
}

// Reason tells why a ticket was not started.
type Reason string

const (
	// ReasonQueueFull means that the queue has reached its length.
	ReasonQueueFull Reason = "queue_full"
	// ReasonTooLate means that the request could not be served before its
	// deadline.
	ReasonTooLate Reason = "too_late"
	// ReasonNoShare means that this owner has no right to send now.
	ReasonNoShare Reason = "no_share"
	// ReasonCold means that the upstream is cold and its slots belong to
	// owners of lower rank.
	ReasonCold Reason = "cold"
	// ReasonBusy means that the ticket waited longer than expected.
	ReasonBusy Reason = "busy"
	// ReasonDraining means that the upstream is leaving.
	ReasonDraining Reason = "draining"
	// ReasonDuplicate means that a ticket with this id is queued or started.
	ReasonDuplicate Reason = "duplicate"
)

// Ticket asks for one request to be sent.
type Ticket struct {
	ID       string
	Deadline time.Time // of the reply
	// HandBack means that the sender would rather try another replica than
	// wait much longer than expected, as behind a straggler.
	HandBack bool
}

// Verdict is the kind of a Decision.
type Verdict uint8

const (
	// Started means that the request must be sent now.
	Started Verdict = iota
	// Queued means that a later event starts or ends the ticket.
	Queued
	// Refused means that the request was not and will not be sent.
	Refused
)

// Decision is the answer to an offered ticket.
type Decision struct {
	Verdict    Verdict
	Reason     Reason        // with Refused
	RetryAfter time.Duration // with Refused; 0 means that another owner or replica should be tried
}

// Start names a ticket whose request must be sent now.
type Start struct{ ID string }

// Dropped names a queued ticket that was not sent and never will be.
type Dropped struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

// Changes lists the queued tickets that an event started or ended.
type Changes struct {
	Starts  []Start
	Dropped []Dropped
}

// Result tells how a request ended.
type Result uint8

const (
	// Served means that a complete reply came.
	Served Result = iota
	// Shed means that the upstream refused because of load.
	Shed
	// Draining means that the upstream refused because it is leaving.
	Draining
	// Broken means that the connection failed or the reply was damaged.
	Broken
	// TimedOut means that the deadline passed after the request was sent.
	TimedOut
	// Cancelled means that the request was cancelled; nothing is learned.
	Cancelled
	// Declined means that the upstream answered but holds no such partition
	// or snapshot; only its incarnation and load are learned.
	Declined
)

// Outcome is what a request taught about the upstream.
type Outcome struct {
	Result      Result
	Incarnation string // empty if unknown
	Load        upstream.Load
}

// ResultOf converts an error of package upstream; nil means Served.
func ResultOf(err error) Result {
	switch {
	case err == nil:
		return Served
	case errors.Is(err, upstream.ErrShed):
		return Shed
	case errors.Is(err, upstream.ErrDraining):
		return Draining
	case errors.IsAny(err, upstream.ErrSnapshotGone, upstream.ErrMoved):
		return Declined
	case errors.Is(err, upstream.ErrTimeout):
		return TimedOut
	}
	return Broken
}

// Notice tells co-owners how far the ramp of an upstream is.
type Notice struct {
	Incarnation string
	Level       int // slots of the whole upstream
	Rank        int // of the sender
	// Restart means that the sender is at the floor because it found a new
	// incarnation, which an owner that knows the incarnation has done too.
	Restart bool
}
