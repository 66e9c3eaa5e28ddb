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
	cfg      Config
	rng      *rand.Rand
	prefix   string // start of every attempt id of this machine
	counter  uint64 // attempts made
	journals []*journal
	attempts map[string]*attempt // recorded claims of this machine by attempt id
	byKey    map[string]*attempt // the same by key
	deadline deadlines           // operations that still need an answer
	pending  int                 // operations that still need an answer
	failures int                 // failed platform calls in a row
	down     time.Time           // submissions are refused until then
	stats    Stats
}

// New returns a Machine. The host text must be unique for each start of a
// process, for example host id and incarnation: a restarted host must not take
// a record of its predecessor for its own.
func New(cfg Config, host string, rng *rand.Rand) (*Machine, error) {
	if err := cfg.Validate(); err != nil {
		return nil, errors.Wrap(err, "settings of non-idempotent requests")
	}
	m := &Machine{
		cfg:      cfg,
		rng:      rng,
		prefix:   digest(host) + ".",
		journals: make([]*journal, cfg.Journals),
		attempts: make(map[string]*attempt),
		byKey:    make(map[string]*attempt),
	}
	for i := range m.journals {
		m.journals[i] = &journal{index: i}
	}
	return m, nil
}

// Submit takes a submission. Its Answer may come at once or from a later call,
// at the deadline at the latest.
func (m *Machine) Submit(now time.Time, s Submission) []Action {
	return m.accept(now, &op{kind: opClaim, sub: s})
}

// Cancel writes a tombstone for a submission that was forwarded to another host
// and got no reply. The answer is RunNotRun only if the journal holds a tombstone.
func (m *Machine) Cancel(now time.Time, s Submission) []Action {
	return m.accept(now, &op{kind: opTombstone, sub: s, passedOn: true})
}

func (m *Machine) accept(now time.Time, o *op) []Action {
	m.pending++
	key, err := ParseKey(o.sub.Key)
	if err != nil {
		return m.answer(o, Outcome{Run: RunNotRun, Reason: ReasonBadKey})
	}
	o.key = key
	o.wanted = now
	o.digest = digest(o.sub.Contract, o.sub.Service, string(o.sub.Body))
	j := m.journals[JournalOf(key.Text, m.cfg.Journals)]
	if reason, retry := m.reject(now, o); reason != "" {
		return m.refuse(o, reason, retry)
	}
	heap.Push(&m.deadline, o)
	if done, acts := m.known(j, o); done {
		return acts
	}
	if now.Before(m.down) {
		return m.refuse(o, ReasonPlatformDown, m.down.Sub(now))
	}
	if m.pending > m.cfg.MaxPending {
		return m.refuse(o, ReasonBusy, m.cfg.UpdateInterval)
	}
	m.counter++
	o.attempt = m.prefix + strconv.FormatUint(m.counter, 36)
	j.append(o)
	return m.advance(now, j)
}

// reject checks what needs no journal. A tombstone needs an acceptable key as
// well: the record of an older key may have been removed already by a host whose
// clock is fast, so that an absent record does not show that nothing ran.
func (m *Machine) reject(now time.Time, o *op) (Reason, time.Duration) {
	if !o.sub.Deadline.After(now) {
		return ReasonDeadline, 0
	}
	if !m.cfg.acceptable(now, o.key) {
		return ReasonKeyAge, 0
	}
	return "", 0
}

// forgotten returns the time of the oldest key whose entry is still kept.
func (m *Machine) forgotten(now time.Time) time.Time {
	return now.Add(-m.cfg.Retention())
}

// known answers from an attempt of this machine or from the cached journal
// without a call to the platform, if they settle the outcome.
func (m *Machine) known(j *journal, o *op) (bool, []Action) {
	if a := m.byKey[o.key.Text]; a != nil && !a.releasing {
		return true, m.join(a, o)
	}
	if !j.known || j.flight != nil {
		return false, nil
	}
	e := j.contents.index[o.key.Text]
	if e == nil || e.State != StateRan && e.State != StateMayHaveRun {
		return false, nil
	}
	return true, m.answer(o, recorded(o, e))
}

// Tick gives up submissions whose deadline has passed and starts the reads and
// updates that are due.
func (m *Machine) Tick(now time.Time) []Action {
	var acts []Action
	for len(m.deadline) > 0 && !m.deadline[0].sub.Deadline.After(now) {
		o := heap.Pop(&m.deadline).(*op)
		acts = append(acts, m.giveUp(o)...)
	}
	for _, j := range m.journals {
		acts = append(acts, m.advance(now, j)...)
		m.dropCache(now, j)
	}
	return acts
}

// Next returns the time at which Tick is due, and false if nothing is pending.
func (m *Machine) Next() (time.Time, bool) {
	var next time.Time
	found := false
	consider := func(at time.Time) {
		if !found || at.Before(next) {
			next, found = at, true
		}
	}
	for len(m.deadline) > 0 && m.deadline[0].answered {
		heap.Pop(&m.deadline)
	}
	if len(m.deadline) > 0 {
		consider(m.deadline[0].sub.Deadline)
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
	return m.down, now.Before(m.down)
}

// dropCache frees a cached journal that this host no longer writes.
func (m *Machine) dropCache(now time.Time, j *journal) {
	if j.known && j.idle() && now.Sub(j.usedAt) > m.cfg.CacheIdleTime {
		j.known = false
		j.contents = nil
	}
}
