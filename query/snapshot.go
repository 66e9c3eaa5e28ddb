package query

import (
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// beginRound discards all parts and sends every task again. The tasks ask for the
// newest common snapshot above the given one. If none is known, they ask each
// service for its newest snapshot, which starts the discovery.
func (m *Machine) beginRound(now time.Time, above uint64) {
	m.snapshot = 0
	m.discovering = true
	if v, known := m.newestCommonSnapshot(above); known {
		m.snapshot = v
		m.discovering = false
	}
	m.discoveryDeadline = (now.Sub(m.start) + m.finishDeadline) / 2
	m.cancelAll(now, false)
	m.parts = make([]Part, 0, len(m.services))
	for i := range m.groups {
		m.groups[i].merged = coverage{}
	}
	m.createTasks()
	m.sendAll(now)
}

// newestCommonSnapshot returns the newest snapshot above the given one that a
// usable replica of every service is known to hold. It ignores services without a
// usable replica whose snapshots are known.
func (m *Machine) newestCommonSnapshot(above uint64) (uint64, bool) {
	for _, v := range m.candidateSnapshots(above) {
		if m.heldByAll(v) {
			return v, true
		}
	}
	return 0, false
}

// candidateSnapshots returns the snapshots above the given one that are held by
// the first service whose snapshots are known, newest first.
func (m *Machine) candidateSnapshots(above uint64) []uint64 {
	for i := range m.services {
		s := &m.services[i]
		if s.outdated || !s.knowsHeld() {
			continue
		}
		var out []uint64
		for j := range s.replicas {
			out = appendSnapshotsAbove(out, &s.replicas[j], above)
		}
		slices.Sort(out)
		slices.Reverse(out)
		return out
	}
	return nil
}

// appendSnapshotsAbove appends to out the snapshots above the given one that a
// usable replica holds and that out lacks.
func appendSnapshotsAbove(out []uint64, r *replica, above uint64) []uint64 {
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

// heldByAll reports whether every service whose snapshots are known holds v.
func (m *Machine) heldByAll(v uint64) bool {
	for i := range m.services {
		s := &m.services[i]
		if !s.outdated && s.knowsHeld() && !s.holds(v) {
			return false
		}
	}
	return true
}

// knowsHeld reports whether the snapshots of at least one usable replica are known.
func (s *service) knowsHeld() bool {
	return slices.ContainsFunc(s.replicas, func(r replica) bool { return r.unusable == "" && r.held != nil })
}

// holds reports whether a usable replica is known to hold the snapshot.
func (s *service) holds(v uint64) bool {
	return slices.ContainsFunc(s.replicas, func(r replica) bool {
		return r.unusable == "" && slices.Contains(r.held, v)
	})
}

// storeProbe stores a reply to a discovery request. The reply becomes a part only
// if the query chooses its snapshot.
func (m *Machine) storeProbe(now time.Time, a *attempt, r upstream.Reply) {
	t := &m.tasks[a.task]
	t.probe = &r
	t.probeReplica = a.replica
	m.setState(t, probed)
	m.cancelTask(now, a.task)
}

// chooseSnapshot ends the discovery. It chooses the newest common snapshot, or the
// snapshot with the highest coverage if there is no common one.
func (m *Machine) chooseSnapshot(now time.Time) {
	v, ok := m.newestCommonSnapshot(m.snapshotFloor)
	if !ok {
		v, ok = m.widestSnapshot(m.snapshotFloor)
	}
	if !ok {
		m.failDiscovery(now)
		return
	}
	m.discovering = false
	m.snapshot = v
	m.adoptSnapshot(now)
}

// failDiscovery marks all tasks as failed because no snapshot was found.
func (m *Machine) failDiscovery(now time.Time) {
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

// widestSnapshot returns the snapshot above the given one that covers the largest
// part of the hash space. If several cover the same part, it returns the newest.
func (m *Machine) widestSnapshot(above uint64) (uint64, bool) {
	covered := map[uint64]float64{}
	for i := range m.services {
		s := &m.services[i]
		if s.outdated {
			continue
		}
		var held []uint64
		for j := range s.replicas {
			held = appendSnapshotsAbove(held, &s.replicas[j], above)
		}
		high, low := measure(s.partition)
		for _, v := range held {
			covered[v] += float64(high)*(1<<64) + float64(low)
		}
	}
	best := uint64(0)
	for v, c := range covered {
		if best == 0 || c > covered[best] || (c == covered[best] && v > best) {
			best = v
		}
	}
	return best, best != 0
}

// adoptSnapshot merges the stored replies that have the chosen snapshot and sends
// the other tasks again.
func (m *Machine) adoptSnapshot(now time.Time) {
	m.cancelAll(now, true)
	for i := range m.tasks {
		t := &m.tasks[i]
		probe := t.probe
		t.probe = nil
		if t.state == done {
			continue // replaced by other tasks
		}
		m.setState(t, waiting)
		t.tries, t.sends, t.triedReplicas, t.hedged, t.redirected, t.due = 0, 0, 0, false, false, never
		if probe != nil && probe.Snapshot == m.snapshot {
			m.mergeProbe(i, *probe)
		}
	}
	for g := range m.groups {
		m.trimMerged(now, g, nil)
	}
	before, repeated := len(m.attempts), m.counts.Resent
	m.sendAll(now)
	m.counts.Resent = repeated + len(m.attempts) - before
}

// mergeProbe merges a stored discovery reply unless it overlaps a merged range.
func (m *Machine) mergeProbe(i int, r upstream.Reply) {
	t := &m.tasks[i]
	merged := &m.groups[t.group].merged
	if merged.overlaps(r.Partition) {
		m.counts.DroppedReplies++
		return
	}
	s := &m.services[t.service]
	t.triedReplicas = 1 << t.probeReplica // a gap that the reply left goes to another replica
	merged.add(r.Partition)
	m.parts = append(m.parts, Part{
		Group: m.groups[t.group].name, Service: s.name, Replica: s.replicas[t.probeReplica].id,
		Partition: r.Partition, Records: r.Records,
	})
}

// restart starts the query again with a newer snapshot. It reports false if too
// little time is left or MaxRestarts is reached.
func (m *Machine) restart(now time.Time, s *service) bool {
	if m.counts.Restarts >= m.plan.Tuning.MaxRestarts || m.discovering {
		return false
	}
	// A restart takes about as long as one slow sub-request, and as long again if
	// the newer snapshot has to be discovered first.
	const rounds = 2
	if now.Sub(m.start)+rounds*m.hedgeDelay(s) > m.attemptDeadline {
		return false
	}
	m.counts.Restarts++
	m.snapshotFloor = m.snapshot
	before := len(m.attempts)
	m.beginRound(now, m.snapshotFloor)
	m.counts.Resent += len(m.attempts) - before
	return true
}
