package drain

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the settings of Gate and Host.
type Config struct {
	// Closing is the time after a configuration or host list signal in which an
	// owner still accepts work from entry hosts that have not heard of it. With
	// the time the signal takes to reach this host it must stay within 3 s.
	Closing time.Duration
	// ReturnSteps is the number of equal steps in which the load of a data
	// centre that returns comes back.
	ReturnSteps int
	// ReturnStepTime is the length of one step.
	ReturnStepTime time.Duration
	// BalancerLag is the time that the load balancer takes to notice that a
	// host is unready. Until then it still sends new requests.
	BalancerLag time.Duration
	// PeerLag is the time that peers take to learn that this host leaves.
	PeerLag time.Duration
	// Grace bounds a planned stop. It must cover BalancerLag, PeerLag and the
	// longest deadline of a request.
	Grace time.Duration
	// LongestDeadline is the longest deadline of a request.
	LongestDeadline time.Duration
}

// DefaultConfig returns the settings of the design page.
func DefaultConfig() Config {
	return Config{
		Closing:         time.Second,
		ReturnSteps:     10,
		ReturnStepTime:  3 * time.Second,
		BalancerLag:     5 * time.Second,
		PeerLag:         2 * time.Second,
		Grace:           60 * time.Second,
		LongestDeadline: 30 * time.Second,
	}
}

// Validate reports the first setting that is out of range.
func (c Config) Validate() error {
	if c.Closing < 0 || c.ReturnSteps < 1 || c.ReturnStepTime < 0 || c.BalancerLag < 0 || c.PeerLag < 0 {
		return errors.New("drain times must not be negative and return steps at least 1")
	}
	if least := max(c.BalancerLag, c.PeerLag) + c.LongestDeadline; c.Grace < least {
		return errors.Newf("grace period %s is below lag and longest deadline, %s", c.Grace, least)
	}
	return nil
}

// ReturnShare returns the share of its normal load, between 0 and 1, that a data
// centre gets at a time since its return. It rises by equal steps, the first
// one at once.
func (c Config) ReturnShare(since time.Duration) float64 {
	if since < 0 {
		return 0
	}
	if c.ReturnStepTime <= 0 {
		return 1
	}
	step := int64(since/c.ReturnStepTime) + 1
	if step >= int64(c.ReturnSteps) {
		return 1
	}
	return float64(step) / float64(c.ReturnSteps)
}

// InShare reports whether a query with this hash belongs to the share. It grows
// with the share: a query that is chosen stays chosen at a higher share.
func InShare(hash uint64, share float64) bool {
	const range53 = 1 << 53 // float64 holds integers up to 2^53 exactly
	return float64(hash>>11) < share*range53
}
