package once

import (
	"container/heap"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
)

// Machine records, dispatches and answers non-idempotent requests on one host.
// It is not safe for concurrent use.
type Machine struct {
	cfg           Config
	rng           *rand.Rand
	attemptPrefix string // prefix of every attempt id of this machine
	attemptCount  uint64 // attempt ids issued
	journals      []*journal
	attempts      map[string]*attempt // claims recorded by this machine, by attempt id
	attemptsByKey map[string]*attempt // the same claims by key
	byDeadline    deadlines           // unanswered operations, and answered ones not yet removed
	pending       int                 // unanswered operations
	pendingBytes  int                 // of their bodies
	failedInARow  int                 // consecutive failed platform calls
	downUntil     time.Time           // submissions are refused until then
	stats         Stats
}

// New returns a Machine. The host string must be unique for each start of a
// process, for example host id and incarnation. Otherwise a restarted host could
// mistake records of its earlier run for its own.
func New(cfg Config, host string, rng *rand.Rand) (*Machine, error) {
	if err := cfg.Validate(); err != nil {
		return nil, errors.Wrap(err, "invalid settings of non-idempotent requests")
	}
	m := &Machine{
		cfg:           cfg,
		rng:           rng,
		attemptPrefix: digest(host) + ".",
		journals:      make([]*journal, cfg.Journals),
		attempts:      make(map[string]*attempt),
		attemptsByKey: make(map[string]*attempt),
	}
	for i := range m.journals {
		m.journals[i] = &journal{index: i}
	}
	return m, nil
}

// Submit accepts a submission. Its Answer is returned at once or by a later call,
// at the latest by the Tick at the deadline.
func (m *Machine) Submit(now time.Time, s Submission) []Action {
	return m.accept(now, &op{kind: opClaim, sub: s})
}

// Cancel writes a tombstone for a submission that was forwarded to another host
// and got no reply. The answer is RunNotRun only if the journal holds a tombstone.
func (m *Machine) Cancel(now time.Time, s Submission) []Action {
	return m.accept(now, &op{kind: opTombstone, sub: s, forwarded: true})
}

func (m *Machine) accept(now time.Time, o *op) []Action {
	m.pending++
	m.pendingBytes += len(o.sub.Body)
	key, err := ParseKey(o.sub.Key)
	if err != nil {
		return m.answer(o, Outcome{Run: RunNotRun, Reason: ReasonBadKey})
	}
	o.key = key
	o.dueAt = now
	o.digest = digest(o.sub.Contract, o.sub.Service, string(o.sub.Body))
	j := m.journals[JournalOf(key.Text, m.cfg.Journals)]
	if reason, retry := m.checkSubmission(now, o); reason != "" {
		return m.refuse(o, reason, retry)
	}
	heap.Push(&m.byDeadline, o)
	if done, acts := m.known(j, o); done {
		return acts
	}
	if now.Before(m.downUntil) {
		return m.refuse(o, ReasonPlatformDown, m.downUntil.Sub(now))
	}
	if m.pending > m.cfg.MaxPending || m.pendingBytes > m.cfg.MaxPendingBytes {
		return m.refuse(o, ReasonBusy, m.cfg.UpdateInterval)
	}
	m.attemptCount++
	o.attempt = m.attemptPrefix + strconv.FormatUint(m.attemptCount, 36)
	j.append(o)
	return m.advance(now, j)
}

// checkSubmission checks what does not depend on the journal. It returns the
// reason for a refusal, or "". A tombstone also needs a key of acceptable age: a
// host with a fast clock may already have removed the record of an older key, so a
// missing record does not prove that the request did not run.
func (m *Machine) checkSubmission(now time.Time, o *op) (Reason, time.Duration) {
	if !o.sub.Deadline.After(now) {
		return ReasonDeadline, 0
	}
	if !m.cfg.acceptable(now, o.key) {
		return ReasonKeyAge, 0
	}
	return "", 0
}

// expiryLimit returns the time of the oldest key whose entry is still kept.
func (m *Machine) expiryLimit(now time.Time) time.Time {
	return now.Add(-m.cfg.Retention())
}

// known handles an operation without a call to the platform, if it can: it makes the
// operation wait for an attempt of this machine with the same key, or answers it
// from the cached journal. It reports whether it did either.
func (m *Machine) known(j *journal, o *op) (bool, []Action) {
	if a := m.attemptsByKey[o.key.Text]; a != nil && !a.releasing {
		return true, m.joinAttempt(a, o)
	}
	if !j.known || j.inFlight != nil {
		return false, nil
	}
	e := j.contents.index[o.key.Text]
	if e == nil || e.State != StateRan && e.State != StateMayHaveRun {
		return false, nil
	}
	return true, m.answer(o, recordedOutcome(o, e))
}

// Tick answers submissions whose deadline has passed and starts the reads and
// updates that are due.
func (m *Machine) Tick(now time.Time) []Action {
	var acts []Action
	for len(m.byDeadline) > 0 && !m.byDeadline[0].sub.Deadline.After(now) {
		o := heap.Pop(&m.byDeadline).(*op)
		acts = append(acts, m.giveUp(o)...)
	}
	for _, j := range m.journals {
		acts = append(acts, m.advance(now, j)...)
		m.dropCache(now, j)
	}
	return acts
}

// Next returns the time at which Tick must be called. It returns false if nothing
// is pending.
func (m *Machine) Next() (time.Time, bool) {
	var next time.Time
	found := false
	consider := func(at time.Time) {
		if !found || at.Before(next) {
			next, found = at, true
		}
	}
	for len(m.byDeadline) > 0 && m.byDeadline[0].answered {
		heap.Pop(&m.byDeadline)
	}
	if len(m.byDeadline) > 0 {
		consider(m.byDeadline[0].sub.Deadline)
	}
	for _, j := range m.journals {
		if at, ok := m.due(j); ok {
			consider(at)
		}
	}
	return next, found
}

// InFlight returns the number of submissions without an answer.
func (m *Machine) InFlight() int { return m.pending }

// UnwrittenOutcomes returns the number of records of this host whose outcome is
// not yet in the journal. If the host stops while this is above 0, these records
// stay claimed, and resends of their keys get RunMayHaveRun.
func (m *Machine) UnwrittenOutcomes() int { return len(m.attempts) }

// PlatformDown reports whether submissions are refused because the platform
// cannot be reached, and until when.
func (m *Machine) PlatformDown(now time.Time) (time.Time, bool) {
	return m.downUntil, now.Before(m.downUntil)
}

// dropCache frees a cached journal that this host has not used for CacheIdleTime.
func (m *Machine) dropCache(now time.Time, j *journal) {
	if j.known && j.idle() && now.Sub(j.usedAt) > m.cfg.CacheIdleTime {
		j.known = false
		j.contents = nil
	}
}
