package query

import (
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// begin starts a round: all parts are discarded, and every task is sent for the
// newest common snapshot above the given one, or for the newest of each
// service if none is known.
func (m *Machine) begin(now time.Time, above uint64) {
	m.snapshot = 0
	m.discovering = true
	if v, known := m.common(above); known {
		m.snapshot = v
		m.discovering = false
	}
	m.discoverBy = (now.Sub(m.start) + m.finishBy) / 2
	m.cancelAll(now, false)
	m.parts = make([]Part, 0, len(m.services))
	for i := range m.groups {
		m.groups[i].merged = coverage{}
	}
	m.addTasks()
	m.sendAll(now)
}

// common returns the newest snapshot above the given one that a usable replica
// of every service is known to hold. Services of which nothing is known and
// those without a usable replica are left out.
func (m *Machine) common(above uint64) (uint64, bool) {
	for _, v := range m.candidates(above) {
		if m.heldByAll(v) {
			return v, true
		}
	}
	return 0, false
}

// candidates returns the snapshots above the given one that the first service
// with any knowledge holds, newest first.
func (m *Machine) candidates(above uint64) []uint64 {
	for i := range m.services {
		s := &m.services[i]
		if s.outdated || !s.knowsHeld() {
			continue
		}
		var out []uint64
		for j := range s.replicas {
			out = appendAbove(out, &s.replicas[j], above)
		}
		slices.Sort(out)
		slices.Reverse(out)
		return out
	}
	return nil
}

// appendAbove adds the snapshots of a usable replica that are not in out yet.
func appendAbove(out []uint64, r *replica, above uint64) []uint64 {
	if r.unusable != "" {
		return out
	}
	for _, v := range r.held {
		if v > above && !slices.Contains(out, v) {
			out = append(out, v)
		}
	}
	return out
}

func (m *Machine) heldByAll(v uint64) bool {
	for i := range m.services {
		s := &m.services[i]
		if !s.outdated && s.knowsHeld() && !s.holds(v) {
			return false
		}
	}
	return true
}

// knowsHeld reports whether the snapshots of any usable replica are known.
func (s *service) knowsHeld() bool {
	return slices.ContainsFunc(s.replicas, func(r replica) bool { return r.unusable == "" && r.held != nil })
}

// holds reports whether a usable replica is known to hold the snapshot.
func (s *service) holds(v uint64) bool {
	return slices.ContainsFunc(s.replicas, func(r replica) bool {
		return r.unusable == "" && slices.Contains(r.held, v)
	})
}

// keep stores a reply that was asked for the newest snapshot. It becomes a part
// only if its snapshot is the one that the query settles on.
func (m *Machine) keep(now time.Time, a *attempt, r upstream.Reply) {
	t := &m.tasks[a.task]
	t.probe = &r
	t.prober = a.replica
	m.setState(t, probed)
	m.cancelTask(now, a.task)
}

// decide ends the discovery: the query settles on the newest common snapshot,
// or else on the one with the highest coverage.
func (m *Machine) decide(now time.Time) {
	v, ok := m.common(m.floor)
	if !ok {
		v, ok = m.widest(m.floor)
	}
	if !ok {
		m.giveUp(now)
		return
	}
	m.discovering = false
	m.snapshot = v
	m.adopt(now)
}

// giveUp ends all tasks of a discovery that found no snapshot.
func (m *Machine) giveUp(now time.Time) {
	m.discovering = false
	m.cancelAll(now, true)
	for i := range m.tasks {
		t := &m.tasks[i]
		switch t.state {
		case probed:
			t.reason = ReasonSnapshot
		case inFlight:
			t.reason = ReasonTimedOut
		}
		m.setState(t, failed)
	}
}

// widest returns the snapshot above the given one that covers most of the hash
// space, the newest if there are several.
func (m *Machine) widest(above uint64) (uint64, bool) {
	cover := map[uint64]float64{}
	for i := range m.services {
		s := &m.services[i]
		if s.outdated {
			continue
		}
		var held []uint64
		for j := range s.replicas {
			held = appendAbove(held, &s.replicas[j], above)
		}
		high, low := measure(s.partition)
		for _, v := range held {
			cover[v] += float64(high)*(1<<64) + float64(low)
		}
	}
	best := uint64(0)
	for v, c := range cover {
		if best == 0 || c > cover[best] || (c == cover[best] && v > best) {
			best = v
		}
	}
	return best, best != 0
}

// adopt merges the kept replies that have the chosen snapshot and asks again
// for the others.
func (m *Machine) adopt(now time.Time) {
	m.cancelAll(now, true)
	for i := range m.tasks {
		t := &m.tasks[i]
		probe := t.probe
		t.probe = nil
		if t.state == done {
			continue // divided into other tasks
		}
		m.setState(t, waiting)
		t.tries, t.sends, t.tried, t.hedged, t.redirected, t.due = 0, 0, 0, false, false, never
		if probe != nil && probe.Snapshot == m.snapshot {
			m.mergeKept(i, *probe)
		}
	}
	for g := range m.groups {
		m.trim(now, g, nil)
	}
	before, repeated := len(m.attempts), m.counts.Resent
	m.sendAll(now)
	m.counts.Resent = repeated + len(m.attempts) - before
}

// mergeKept merges a reply of the discovery unless it overlaps another part.
func (m *Machine) mergeKept(i int, r upstream.Reply) {
	t := &m.tasks[i]
	merged := &m.groups[t.group].merged
	if merged.overlaps(r.Partition) {
		m.counts.DroppedReplies++
		return
	}
	s := &m.services[t.service]
	t.tried = 1 << t.prober // not asked again if the reply left a gap
	merged.add(r.Partition)
	m.parts = append(m.parts, Part{
		Group: m.groups[t.group].name, Service: s.name, Replica: s.replicas[t.prober].id,
		Partition: r.Partition, Records: r.Records,
	})
}

// restart moves the whole query to a newer snapshot and reports whether time
// and the limit of restarts allowed it.
func (m *Machine) restart(now time.Time, s *service) bool {
	if m.counts.Restarts >= m.plan.Tuning.MaxRestarts || m.discovering {
		return false
	}
	// A restart needs about one slow sub-request, and one more in case the
	// newer snapshot has to be found out first.
	const rounds = 2
	if now.Sub(m.start)+rounds*m.hedgeDelay(s) > m.replyBy {
		return false
	}
	m.counts.Restarts++
	m.floor = m.snapshot
	before := len(m.attempts)
	m.begin(now, m.floor)
	m.counts.Resent += len(m.attempts) - before
	return true
}
