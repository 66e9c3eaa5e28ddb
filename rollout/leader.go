package rollout

import (
	"slices"
	"time"
)

const (
	// boundMargin is the share of the exposure bound that a leader uses. The rest is left for
	// requests that the new version got before the hosts saw the order.
	boundMargin = 0.75
	// firstGrants is the number of sends that a leader grants before any answer is known, and
	// grantsPerAnswer the number for each good answer.
	firstGrants     = 8
	grantsPerAnswer = 4
	// Until loadProgress of the duration, the grants rise from firstShare to secondShare of
	// the bound. The rest follows at once and puts as much load on the new replicas as they
	// will have later.
	loadProgress            = 0.4
	firstShare, secondShare = 0.25, 0.5
	// From switchProgress of the duration on, a version that looks good is switched to. At
	// decideProgress one that does not is rolled back.
	switchProgress = 0.65
	decideProgress = 0.8
	// noAnswerRequests is the number of requests to the service from which on a version that
	// has answered none of them is rolled back.
	noAnswerRequests = 20
	// minLedTime is how long a leader collects reports before it decides.
	minLedTime = 1500 * time.Millisecond
	// Hosts may take switchShare of the duration to end their requests to old replicas,
	// within minSwitchTime and maxSwitchTime.
	switchShare   = 0.25
	minSwitchTime = 2 * time.Second
	maxSwitchTime = 6 * time.Second
)

// member is what a leader knows of a host.
type member struct {
	last     Report
	reported time.Time
	pastRuns []uint64 // of its process, whose late reports are ignored
	// counted are its requests in this term. Only what it did after it heard of this leader
	// counts: an earlier leader may have counted the rest.
	counted int
	granted int // in this term, to this run
	// recent are the requests between its last two reports.
	recent int
}

// Leader leads one roll-out for one term.
type Leader struct {
	cfg      Config
	order    Order
	ledSince time.Time
	began    time.Time // when the order was seen, by this host or an earlier leader
	stored   Record    // as written last
	base     int       // requests that were known when the term began
	phase    Phase     // as hosts are told
	wanted   Phase     // to be stored before hosts are told
	members  map[string]*member
	// results are those of all hosts, earlier runs included, and evidence the verdict on them.
	results  Tally
	evidence Evidence
	// used is an upper bound of the sends that were granted and not returned: the reserve of
	// the earlier terms and the grants of this one.
	used       int
	usedBefore int       // of that, the reserve of the earlier terms
	switchedAt time.Time // when hosts were first told to switch in this term
}

// NewLeader returns the leader of a term that was written to the store as record. Seen is when
// this host saw the order.
func NewLeader(now time.Time, cfg Config, order Order, record Record, seen time.Time) *Leader {
	began := now.Add(-time.Duration(record.ElapsedMS) * time.Millisecond)
	if seen.Before(began) {
		began = seen
	}
	l := &Leader{
		cfg: cfg, order: order, ledSince: now, began: began, stored: record, base: record.Requests,
		phase: record.Phase, wanted: record.Phase, members: map[string]*member{}, results: Tally{},
		used: record.Reserve, usedBefore: record.Reserve,
	}
	if l.phase == PhaseSwitching {
		l.switchedAt = now
	}
	return l
}

// NextTerm returns the record with which a host takes the lead over, given the present record,
// if there is one. Orders for the same version of the service share the bound.
func NextTerm(order Order, present *Record, leader, address string, elapsed time.Duration) Record {
	r := Record{Order: order.OrderID, Phase: PhaseTrial}
	if present != nil {
		r.Fence = present.Fence
		switch {
		case present.Order == order.OrderID:
			r = *present
		case present.Order.Version == order.Version && !present.Phase.final():
			r.Requests, r.Reserve = present.Requests, present.Reserve
		}
	}
	r.Fence++
	r.OrderRevision = max(r.OrderRevision, order.Revision)
	r.Leader, r.Address = leader, address
	r.ElapsedMS = max(r.ElapsedMS, elapsed.Milliseconds())
	return r
}

// final reports whether a roll-out in the phase has been decided.
func (p Phase) final() bool { return p == PhaseCompleted || p == PhaseRolledBack }

// Record returns the record that was stored last.
func (l *Leader) Record() Record { return l.stored }

// Phase returns the phase that hosts are told.
func (l *Leader) Phase() Phase { return l.phase }

// BeginEra records that the store was restored from a copy, so that revisions begin anew.
func (l *Leader) BeginEra() { l.order.Revision, l.stored.OrderRevision = 0, 0 }

// SetOrder updates the revision and the status of the order.
func (l *Leader) SetOrder(o Order) {
	if o.Revision > l.order.Revision {
		l.order = o
	}
}

// Order returns the order as the leader knows it.
func (l *Leader) Order() Order { return l.order }

// HandleReport records a host's report and returns the reply.
func (l *Leader) HandleReport(now time.Time, r Report) Reply {
	m := l.members[r.Host]
	switch {
	case m == nil:
		m = &member{last: r}
		l.members[r.Host] = m
		l.results.add(r.Tally)
	case slices.Contains(m.pastRuns, r.Run):
		return Reply{Order: r.Order}
	case m.last.Run != r.Run:
		l.results.add(r.Tally)
		// What the earlier run was granted may have been spent.
		*m = member{last: r, counted: m.counted, pastRuns: append(m.pastRuns, m.last.Run)}
	case r.Sequence <= m.last.Sequence:
		return l.reply(m)
	default:
		m.recent = r.Requests - m.last.Requests
		if m.last.Fence == l.stored.Fence && r.Fence == l.stored.Fence {
			m.counted += m.recent
		}
		l.takeBack(m, r)
		l.results.subtract(m.last.Tally)
		l.results.add(r.Tally)
		m.last = r
	}
	m.reported = now
	l.evidence = judge(l.results)
	l.rollBackIfBad()
	if l.phase == PhaseTrial {
		l.grant(now, m)
	}
	return l.reply(m)
}

// rollBackIfBad rolls back a version that is bad. Hosts are told at once, before it is stored:
// the next leader would see the same results. Once the completion may have been stored, it is too
// late.
func (l *Leader) rollBackIfBad() {
	if (l.phase == PhaseTrial || l.phase == PhaseSwitching) && l.wanted != PhaseCompleted && l.evidence.Verdict == Bad {
		l.phase, l.wanted = PhaseRolledBack, PhaseRolledBack
	}
}

// reply returns the answer to a report of a host.
func (l *Leader) reply(m *member) Reply {
	return Reply{Order: l.order.OrderID, Fence: l.stored.Fence, Phase: l.phase, Granted: m.granted}
}

// takeBack credits the granted sends that a host returned since its last report.
func (l *Leader) takeBack(m *member, r Report) {
	if r.Fence != l.stored.Fence {
		return
	}
	before := 0
	if m.last.Fence == r.Fence {
		before = m.last.Returned
	}
	l.used -= r.Returned - before
}

// grant gives a host sends to the new version: as many as it had requests lately, and one at
// least, as far as the bound and the stored reserve leave room.
func (l *Leader) grant(now time.Time, m *member) {
	held := m.granted
	if m.last.Fence == l.stored.Fence {
		held -= m.last.Returned + m.last.Spent
	}
	n := min(max(m.recent, 1)-held, l.allowance(now)-l.used, l.stored.Reserve-l.used)
	if n > 0 {
		m.granted += n
		l.used += n
	}
}

// bound returns the number of sends to the new version up to which the exposure bound holds.
func (l *Leader) bound() float64 {
	return boundMargin * (l.cfg.Share*float64(l.requests()) + l.cfg.Slack)
}

// requests returns the known requests to the service since the order.
func (l *Leader) requests() int {
	n := l.base
	for _, m := range l.members {
		n += m.counted
	}
	return n
}

// allowance returns the number of sends to the new version that may have been granted by now.
func (l *Leader) allowance(now time.Time) int {
	share := 1.0
	switch p := l.progress(now); {
	case l.evidence.Verdict != Good:
		share = secondShare
	case p < loadProgress:
		share = firstShare + (secondShare-firstShare)*p/loadProgress
	}
	return min(int(share*l.bound()), l.usedBefore+firstGrants+grantsPerAnswer*(l.evidence.Answers-l.evidence.Bad))
}

// progress returns the share of the order's duration that has passed.
func (l *Leader) progress(now time.Time) float64 {
	return float64(now.Sub(l.began)) / float64(max(l.order.Duration, 1))
}

// Evidence returns the verdict on the new version so far.
func (l *Leader) Evidence() Evidence { return l.evidence }

// Target is what the leader's host knows of the version of an order.
type Target struct {
	Present bool // a replica may get requests
	Alone   bool // no other version is in service
}

// Advance decides whether the roll-out enters another phase.
func (l *Leader) Advance(now time.Time, target Target) {
	l.rollBackIfBad()
	switch {
	case l.phase == PhaseTrial && l.wanted == PhaseTrial:
		l.wanted = l.decide(now, target)
		if l.wanted == PhaseRolledBack {
			l.phase = PhaseRolledBack
		}
	case l.phase == PhaseSwitching && l.wanted == PhaseSwitching && l.switched(now):
		l.wanted = PhaseCompleted
	}
}

// decide returns the phase that follows a trial.
func (l *Leader) decide(now time.Time, target Target) Phase {
	progress, evidence := l.progress(now), l.evidence
	unanswered := evidence.Answers == 0 && l.requests() >= noAnswerRequests
	switch {
	case target.Alone && target.Present:
		return PhaseSwitching
	case progress >= 1 || progress >= decideProgress && target.Present && (evidence.Verdict != Good || unanswered):
		return PhaseRolledBack
	case progress >= switchProgress && now.Sub(l.ledSince) >= minLedTime && target.Present && evidence.Verdict == Good && !unanswered:
		return PhaseSwitching
	}
	return PhaseTrial
}

// switched reports whether no request may be on its way to an old replica: all hosts have
// said so, or they had time enough.
func (l *Leader) switched(now time.Time) bool {
	limit := min(max(time.Duration(switchShare*float64(l.order.Duration)), minSwitchTime), maxSwitchTime)
	if now.Sub(l.switchedAt) >= limit {
		return true
	}
	if now.Sub(l.switchedAt) < minLedTime {
		return false // hosts that report seldom may not have been heard yet
	}
	for _, m := range l.members {
		waitedFor := now.Sub(m.reported) < memberLifetime
		if waitedFor && (m.last.Phase != PhaseSwitching || m.last.OldInFlight > 0) {
			return false
		}
	}
	return true
}

// Next returns the record to store, and whether the phase changes with it.
func (l *Leader) Next(now time.Time) (r Record, urgent bool) {
	r = l.stored
	r.OrderRevision = max(r.OrderRevision, l.order.Revision)
	r.Phase = l.wanted
	r.ElapsedMS = now.Sub(l.began).Milliseconds()
	r.Requests = l.requests()
	// The reserve covers the grants until the next record, with room for the allowance to double. It
	// never falls, because the result of a write may be unknown.
	r.Reserve = max(r.Reserve, l.used, min(int(l.bound()), 2*l.allowance(now)+firstGrants))
	r.Renewals++
	return r, l.stored.Phase != l.wanted
}

// Released returns the record with which this host gives up the lead.
func (l *Leader) Released(now time.Time) Record {
	r, _ := l.Next(now)
	r.Leader, r.Address = "", ""
	return r
}

// Stored records that a record was written. Hosts are told of the phase from now on.
func (l *Leader) Stored(now time.Time, r Record) {
	l.stored = r
	if r.Phase == PhaseSwitching && l.phase == PhaseTrial {
		l.phase, l.switchedAt = PhaseSwitching, now
	}
}

// StatusDue returns the status to be written to the order, if it has another one. A final
// state is due only once the record holds it.
func (l *Leader) StatusDue() (Status, bool) {
	due := Status{State: Running, Version: l.order.Version}
	switch {
	case l.stored.Phase == PhaseCompleted:
		due.State = Completed
	case l.stored.Phase == PhaseRolledBack:
		due.State = RolledBack
	}
	if _, decided := l.order.Decided(); decided || l.order.Status == due {
		return Status{}, false
	}
	return due, true
}

// StatusWritten records that a status was written, which gave the order's object a revision.
func (l *Leader) StatusWritten(s Status, revision uint64) {
	l.order.Status, l.order.Revision = s, max(revision, l.order.Revision)
	if s.State == Completed {
		l.phase = PhaseCompleted
	}
}
