package drain

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Config holds the settings of Gate and HostLifecycle.
type Config struct {
	// Closing is the time after a configuration or host list signal in which an
	// owner still accepts work from entry hosts that have not received the signal
	// yet. Closing plus the time that the signal takes to reach this host must
	// not exceed 3 s.
	Closing time.Duration
	// ReturnSteps is the number of equal steps in which a data centre that
	// returns regains its load.
	ReturnSteps int
	// ReturnStepTime is the duration of one step.
	ReturnStepTime time.Duration
	// BalancerLag is the time that the load balancer takes to detect that a host
	// is unready. Until then it still sends new requests.
	BalancerLag time.Duration
	// PeerLag is the time that peers take to learn that this host is leaving.
	PeerLag time.Duration
	// Grace is the maximum duration of a planned stop. It must be at least the
	// greater of BalancerLag and PeerLag plus LongestDeadline.
	Grace time.Duration
	// LongestDeadline is the longest time that a request may take.
	LongestDeadline time.Duration
	// AnswerTime is reserved at the end of Grace to answer the requests that are still
	// in progress.
	AnswerTime time.Duration
	// OpenEnded is the time after the beginning of a planned stop in which requests
	// that may be repeated are accepted although they may last longer than the stop.
	OpenEnded time.Duration
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Closing:         time.Second,
		ReturnSteps:     10,
		ReturnStepTime:  3 * time.Second,
		BalancerLag:     5 * time.Second,
		PeerLag:         2 * time.Second,
		Grace:           60 * time.Second,
		LongestDeadline: 30 * time.Second,
		AnswerTime:      500 * time.Millisecond,
	}
}

// Validate returns an error if a setting is out of range.
func (c Config) Validate() error {
	if c.Closing < 0 || c.ReturnSteps < 1 || c.ReturnStepTime < 0 || c.BalancerLag < 0 || c.PeerLag < 0 || c.OpenEnded < 0 {
		return errors.New("drain times must not be negative and return steps must be at least 1")
	}
	if c.Grace < c.MinimumGrace() {
		return errors.Newf("grace period %s is shorter than lag plus longest deadline, %s", c.Grace, c.MinimumGrace())
	}
	return nil
}

// MinimumGrace returns the grace period in which everything that arrives before others know
// of a stop can end, without the time to answer what is concluded.
func (c Config) MinimumGrace() time.Duration {
	return max(c.BalancerLag, c.PeerLag) + c.LongestDeadline
}

// ReturnShare returns the share of its normal load, between 0 and 1, that a data
// centre gets when the given time has passed since its return. It rises in equal
// steps, the first of which takes effect immediately.
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

// InShare reports whether a query with the given hash belongs to a share of all
// queries. A query that belongs to a share also belongs to every larger one.
func InShare(hash uint64, share float64) bool {
	const range53 = 1 << 53 // float64 holds integers up to 2^53 exactly
	return float64(hash>>11) < share*range53
}
