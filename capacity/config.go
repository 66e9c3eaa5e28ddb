package capacity

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// ErrInvalid is the error for a Config that fails validation.
var ErrInvalid = errors.New("invalid limiter configuration")

// Config holds the limits of one upstream.
type Config struct {
	// Slots is the number of requests that the upstream can serve concurrently,
	// summed over all owners.
	Slots int
	// Floor is the lowest level of the cold-start ramp and Step is the increase
	// per level. Both count slots of the whole upstream.
	Floor, Step int
	// StepTime is the minimum time at a ramp level.
	StepTime time.Duration
	// MinGoodReplies is the number of good replies required before the ramp
	// level rises.
	MinGoodReplies int
	// SilenceLimit is the time without a reply after which the upstream is
	// treated as cold.
	SilenceLimit time.Duration
	// QueueLength is the maximum number of queued tickets.
	QueueLength int
	// ColdPause is the maximum pause between two requests while the ramp level
	// is one slot. The pause lasts as long as the previous request took, which
	// keeps a cold upstream busy at most half of the time.
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
		return errors.Wrapf(ErrInvalid, "%d slots, want at least 1", c.Slots)
	case c.Floor < 1 || c.Floor > c.Slots:
		return errors.Wrapf(ErrInvalid, "floor of %d slots, want 1 to %d", c.Floor, c.Slots)
	case c.Step < 1:
		return errors.Wrapf(ErrInvalid, "step of %d slots, want at least 1", c.Step)
	case c.MinGoodReplies < 1:
		return errors.Wrapf(ErrInvalid, "%d good replies, want at least 1", c.MinGoodReplies)
	case c.QueueLength < 0:
		return errors.Wrapf(ErrInvalid, "queue length of %d, want at least 0", c.QueueLength)
	case c.StepTime < 0 || c.SilenceLimit <= 0 || c.ColdPause < 0:
		return errors.Wrapf(ErrInvalid, "step time %s, silence limit %s, cold pause %s; want none negative and a positive silence limit",
			c.StepTime, c.SilenceLimit, c.ColdPause)
	}
	return nil
}

// Reason says why a ticket was refused or dropped.
type Reason string

const (
	// ReasonQueueFull means that the queue holds QueueLength tickets.
	ReasonQueueFull Reason = "queue_full"
	// ReasonTooLate means that the request could not be served before its
	// deadline.
	ReasonTooLate Reason = "too_late"
	// ReasonNoShare means that this owner currently has no slots.
	ReasonNoShare Reason = "no_share"
	// ReasonCold means that the upstream is cold and all slots of its current
	// level belong to owners of lower rank.
	ReasonCold Reason = "cold"
	// ReasonBusy means that a ticket with HandBack waited longer than expected.
	ReasonBusy Reason = "busy"
	// ReasonDraining means that the upstream is draining.
	ReasonDraining Reason = "draining"
	// ReasonDuplicate means that a ticket with the same ID is queued or in
	// flight.
	ReasonDuplicate Reason = "duplicate"
)

// Ticket asks for permission to send one request.
type Ticket struct {
	ID       string
	Deadline time.Time // for the reply
	// HandBack asks the limiter to drop the ticket if it waits much longer than
	// expected, for example behind a straggler. The sender then tries another
	// replica.
	HandBack bool
}

// Verdict is the outcome of offering a ticket.
type Verdict uint8

const (
	// Started means that the request must be sent now.
	Started Verdict = iota
	// Queued means that a later event will start or drop the ticket.
	Queued
	// Refused means that the request must not be sent.
	Refused
)

// Decision is the result of Offer.
type Decision struct {
	Verdict    Verdict
	Reason     Reason        // set if Refused
	RetryAfter time.Duration // set if Refused; 0 means that the sender should try another owner or replica
}

// Start is a queued ticket whose request must be sent now.
type Start struct{ ID string }

// Dropped is a ticket that was removed from the queue without being started.
type Dropped struct {
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

// Changes lists the queued tickets that an event started or dropped.
type Changes struct {
	Starts  []Start
	Dropped []Dropped
}

// Result says how a request ended.
type Result uint8

const (
	// Served means that a complete reply arrived.
	Served Result = iota
	// Shed means that the upstream rejected the request because of load.
	Shed
	// Draining means that the upstream rejected the request because it is
	// draining.
	Draining
	// Broken means that the connection failed or the reply was malformed.
	Broken
	// TimedOut means that the request was sent but no reply arrived before the
	// deadline.
	TimedOut
	// Cancelled means that the sender cancelled the request. It carries no
	// information about the upstream.
	Cancelled
	// Declined means that the upstream replied that it does not have the
	// partition or snapshot. Only its incarnation and load are used.
	Declined
)

// Outcome is the information about the upstream that a finished request gives.
type Outcome struct {
	Result      Result
	Incarnation string // empty if unknown
	Load        upstream.Load
}

// ResultOf returns the Result for an error of package upstream. A nil error
// means Served.
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

// Notice informs the other owners of the ramp level of an upstream.
type Notice struct {
	Incarnation string
	Level       int // in slots of the whole upstream
	Rank        int // rank of the sender
	// Restart means that the sender reset its ramp because it saw a new
	// incarnation. An owner that already knows this incarnation has done the
	// same and ignores the notice.
	Restart bool
}
