package once

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// Config holds the settings of a Machine. Journals, MaxAge and ClockError must
// be the same on all hosts: another number of journals would let two hosts
// record the same key.
type Config struct {
	Journals          int           // number of journal objects
	MaxAge            time.Duration // oldest key that is accepted
	ClockError        time.Duration // largest error of any clock against true time
	MaxBatch          int           // records in one update of a journal
	MaxPending        int           // submissions that wait for a journal of this host
	MaxTries          int           // updates tried for one submission after conflicts
	MinBackoff        time.Duration // first wait after a conflict or platform error
	MaxBackoff        time.Duration // longest wait after a conflict or platform error
	DownAfter         int           // failed calls in a row after which the platform counts as down
	DownRetryDelay    time.Duration // time for which submissions are refused before the next probe
	MinDispatchTime   time.Duration // time to the deadline below which a record is released, not dispatched
	CancelTime        time.Duration // time kept before the deadline for a tombstone if another host does not reply
	ClaimPollInterval time.Duration // time between reads for a resend that meets another host's record
	MaxClaimWait      time.Duration // longest wait of such a resend for the outcome
	OutcomeDelay      time.Duration // longest wait of an outcome for an update it can share
	UpdateInterval    time.Duration // shortest time between updates of one journal
	MaxJournalBytes   int           // largest journal
	ClaimReserve      int           // part of a journal, in bytes, that claims leave free
	MaxResultBytes    int           // largest result kept in a journal; above it a digest is kept
	CacheIdleTime     time.Duration // unused time after which a cached journal is dropped
}

// claimReserve is the part of a journal that claims leave free by default. A
// full journal could not take a tombstone, and a refusal could not be answered
// with RunNotRun; 64 KiB hold several hundred tombstones.
const claimReserve = 64 << 10

// DefaultConfig returns the settings of the design page.
func DefaultConfig() Config {
	return Config{
		Journals:          32,
		MaxAge:            2 * time.Minute,
		ClockError:        10 * time.Second,
		MaxBatch:          1000,
		MaxPending:        4000,
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

// Validate reports the first setting that is out of range.
func (c Config) Validate() error {
	switch {
	case c.Journals < 1:
		return errors.Newf("journals is %d, want at least 1", c.Journals)
	case c.MaxAge <= 0 || c.ClockError < 0:
		return errors.New("maximum age must be positive and clock error not negative")
	case c.MaxBatch < 1 || c.MaxPending < 1 || c.MaxTries < 1 || c.DownAfter < 1:
		return errors.New("batch, pending, tries and down-after must be at least 1")
	case c.MinBackoff <= 0 || c.MaxBackoff < c.MinBackoff:
		return errors.New("backoff must be positive and its maximum not below its minimum")
	case c.MaxJournalBytes > objectstore.MaxValueBytes:
		return errors.Newf("journal size %d is above %d bytes", c.MaxJournalBytes, objectstore.MaxValueBytes)
	case c.ClaimReserve < 0 || c.ClaimReserve >= c.MaxJournalBytes:
		return errors.Newf("claim reserve %d is not below the journal size %d", c.ClaimReserve, c.MaxJournalBytes)
	}
	return nil
}

// Retention is the time after a key's time for which its entry is kept. A clock
// that is slow by ClockError accepts the key until MaxAge plus ClockError of
// true time, and a clock that is fast by ClockError must not remove the entry
// before that.
func (c Config) Retention() time.Duration {
	return c.MaxAge + 2*c.ClockError
}

// acceptable reports whether a key may be recorded now.
func (c Config) acceptable(now time.Time, k Key) bool {
	age := now.Sub(k.Time)
	return age <= c.MaxAge && age >= -c.ClockError
}
