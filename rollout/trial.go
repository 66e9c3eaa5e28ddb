package rollout

import "time"

// trial is a host's part in one roll-out.
type trial struct {
	order Order
	began time.Time
	// lifetime is how long after the last contact with the leader grants are used.
	lifetime time.Duration
	phase    Phase
	// switchedAt is when this host entered PhaseSwitching.
	switchedAt time.Time
	// stopped is set once this host alone has seen that the version is bad.
	stopped bool

	fence uint64    // of the leader's term
	heard time.Time // when the last report was sent that the leader replied to
	// granted, spent and returned count the sends to the new version in the leader's term.
	granted, spent, returned int

	requests    int
	oldInFlight int
	tally       Tally
	sequence    uint64
}

func newTrial(now time.Time, o Order, lifetime time.Duration) *trial {
	return &trial{order: o, began: now, lifetime: lifetime, phase: PhaseTrial, tally: Tally{}}
}

// open reports whether everything goes to the new version.
func (t *trial) open() bool {
	return !t.stopped && (t.phase == PhaseSwitching || t.phase == PhaseCompleted)
}

// inGrace reports whether requests that were about to be sent when this host entered PhaseSwitching
// may still go to old replicas.
func (t *trial) inGrace(now time.Time) bool {
	return t.phase == PhaseSwitching && now.Before(t.switchedAt.Add(switchGrace))
}

// mayTry reports whether granted sends may be used.
func (t *trial) mayTry(now time.Time) bool {
	return t.phase == PhaseTrial && !t.stopped && now.Sub(t.heard) < t.lifetime
}

// balance returns the granted sends that are left.
func (t *trial) balance(now time.Time) int {
	if !t.mayTry(now) {
		return 0
	}
	return t.granted - t.spent - t.returned
}

// finish records how a request ended. A host that has seen enough failures stops at once, without
// waiting for the leader.
func (t *trial) finish(p Pass, route string, r Result, latency time.Duration) {
	counts := &t.tally.route(route).New
	if !p.new {
		t.oldInFlight--
		counts = &t.tally.route(route).Old
	}
	counts.record(r, latency)
	if p.new && !t.stopped && judge(t.tally).Verdict == Bad {
		t.stopped = true
	}
}

// report returns the counts so far. Sends that can't be used any more are returned to the
// leader first.
func (t *trial) report(now time.Time) Report {
	if !t.mayTry(now) {
		t.returned = t.granted - t.spent
	}
	t.sequence++
	phase := t.phase
	if t.inGrace(now) {
		phase = PhaseTrial // the leader has to wait for the requests that are still sent
	}
	tally := Tally{} // a copy: the report is encoded while requests go on
	tally.add(t.tally)
	return Report{
		Order: t.order.OrderID, Sequence: t.sequence, Requests: t.requests, Tally: tally,
		Fence: t.fence, Spent: t.spent, Returned: t.returned, Phase: phase, OldInFlight: t.oldInFlight,
	}
}

// handle applies a leader's reply. A leader of an earlier term is ignored, and so is a phase
// that comes before the one that the host knows from the same term.
func (t *trial) handle(now, sentAt time.Time, r Reply) {
	if r.Fence == 0 || r.Fence < t.fence || t.phase == PhaseRolledBack {
		return
	}
	if r.Fence > t.fence {
		t.fence, t.granted, t.spent, t.returned = r.Fence, 0, 0, 0
		t.enter(now, r.Phase)
	}
	if sentAt.After(t.heard) {
		t.heard = sentAt
	}
	t.granted = max(t.granted, r.Granted)
	if phaseRank[r.Phase] > phaseRank[t.phase] {
		t.enter(now, r.Phase)
	}
}

// enter applies a phase that the leader told.
func (t *trial) enter(now time.Time, p Phase) {
	if p == PhaseSwitching && t.phase != PhaseSwitching {
		t.switchedAt = now
	}
	t.phase = p
}

// phaseRank is the order in which the phases of a roll-out follow each other.
var phaseRank = map[Phase]int{PhaseTrial: 0, PhaseSwitching: 1, PhaseCompleted: 2, PhaseRolledBack: 3}

// heardOrBegan returns since when no leader has replied.
func (t *trial) heardOrBegan() time.Time {
	if t.heard.IsZero() {
		return t.began
	}
	return t.heard
}
