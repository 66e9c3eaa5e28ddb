package once

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// Config holds the settings of a Machine. Journals, MaxAge and ClockError must
// be the same on all hosts. With different numbers of journals, two hosts could
// record the same key in different journals.
type Config struct {
	Journals          int           // number of journal objects
	MaxAge            time.Duration // largest age of an accepted key
	ClockError        time.Duration // largest error of any clock relative to true time
	MaxBatch          int           // most operations in one update of a journal
	MaxPending        int           // most unanswered submissions of this host
	MaxPendingBytes   int           // most bytes of their bodies together
	MaxTries          int           // most updates tried for one submission
	MinBackoff        time.Duration // first wait after a conflict or platform error
	MaxBackoff        time.Duration // longest wait after a conflict or platform error
	DownAfter         int           // consecutive failed calls after which the platform counts as down
	DownRetryDelay    time.Duration // time for which submissions are refused before the platform is tried again
	MinDispatchTime   time.Duration // shortest time to the deadline at which a request is dispatched
	CancelTime        time.Duration // time reserved before the deadline to write a tombstone if the writer host does not reply
	ClaimPollInterval time.Duration // time between reads while a resend waits for another host's record
	MaxClaimWait      time.Duration // longest wait of such a resend for the outcome
	OutcomeDelay      time.Duration // longest wait of an outcome for an update that it can share
	UpdateInterval    time.Duration // shortest time between updates of one journal
	MaxJournalBytes   int           // largest journal
	ClaimReserve      int           // bytes of a journal that claims must leave free
	MaxResultBytes    int           // largest result stored in a journal; of a larger one, a digest is stored
	CacheIdleTime     time.Duration // idle time after which a cached journal is dropped
}

// claimReserve is the default of ClaimReserve. Without it, a full journal could
// not hold a tombstone, so a refused submission could not be answered with
// RunNotRun. 64 KiB hold several hundred tombstones.
const claimReserve = 64 << 10

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		Journals:          32,
		MaxAge:            2 * time.Minute,
		ClockError:        10 * time.Second,
		MaxBatch:          1000,
		MaxPending:        4000,
		MaxPendingBytes:   16 << 20,
		MaxTries:          8,
		MinBackoff:        5 * time.Millisecond,
		MaxBackoff:        time.Second,
		DownAfter:         2,
		DownRetryDelay:    time.Second,
		MinDispatchTime:   10 * time.Millisecond,
		CancelTime:        200 * time.Millisecond,
		ClaimPollInterval: 100 * time.Millisecond,
		MaxClaimWait:      time.Second,
		OutcomeDelay:      500 * time.Millisecond,
		UpdateInterval:    100 * time.Millisecond,
		MaxJournalBytes:   objectstore.MaxValueBytes - 4<<10,
		ClaimReserve:      claimReserve,
		MaxResultBytes:    256,
		CacheIdleTime:     time.Minute,
	}
}

// Validate returns an error for the first setting that is out of range.
func (c Config) Validate() error {
	switch {
	case c.Journals < 1:
		return errors.Newf("number of journals is %d, must be at least 1", c.Journals)
	case c.MaxAge <= 0 || c.ClockError < 0:
		return errors.New("maximum age must be positive and clock error not negative")
	case c.MaxPendingBytes < 1:
		return errors.New("MaxPendingBytes must be at least 1")
	case c.MaxBatch < 1 || c.MaxPending < 1 || c.MaxTries < 1 || c.DownAfter < 1:
		return errors.New("MaxBatch, MaxPending, MaxTries and DownAfter must be at least 1")
	case c.MinBackoff <= 0 || c.MaxBackoff < c.MinBackoff:
		return errors.New("minimum backoff must be positive and not above the maximum backoff")
	case c.MaxJournalBytes > objectstore.MaxValueBytes:
		return errors.Newf("journal size of %d bytes is above the limit of %d bytes", c.MaxJournalBytes, objectstore.MaxValueBytes)
	case c.ClaimReserve < 0 || c.ClaimReserve >= c.MaxJournalBytes:
		return errors.Newf("claim reserve of %d bytes is negative or not below the journal size of %d bytes", c.ClaimReserve, c.MaxJournalBytes)
	}
	return nil
}

// Retention returns how long an entry is kept after the time in its key. A host
// whose clock is slow by ClockError accepts the key until MaxAge + ClockError in
// true time. A host whose clock is fast by ClockError must not remove the entry
// before that.
func (c Config) Retention() time.Duration {
	return c.MaxAge + 2*c.ClockError
}

// acceptable reports whether the age of a key allows it to be recorded now.
func (c Config) acceptable(now time.Time, k Key) bool {
	age := now.Sub(k.Time)
	return age <= c.MaxAge && age >= -c.ClockError
}
