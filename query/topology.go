package query

import (
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// Exclusion names upstreams that must not get new attempts.
type Exclusion struct {
	Replica    string // one replica, or empty
	DataCentre string // all replicas of a data centre, or empty
	Reason     Reason
}

func (e Exclusion) matches(r *replica) bool {
	return (e.Replica != "" && e.Replica == r.id) || (e.DataCentre != "" && e.DataCentre == r.dataCentre)
}

// Exclude stops new attempts at a replica that became unusable, or at all replicas
// of a data centre that was taken out of service. Attempts in flight continue.
func (m *Machine) Exclude(now time.Time, e Exclusion) []Action {
	if m.finished {
		return nil
	}
	if e.Reason == "" {
		e.Reason = ReasonNoReplica
	}
	m.excluded = append(m.excluded, e)
	for i := range m.services {
		for j := range m.services[i].replicas {
			m.services[i].replicas[j].exclude(e)
		}
	}
	return m.completeEvent(now)
}

func (r *replica) exclude(e Exclusion) {
	if r.unusable == "" && e.matches(r) {
		r.unusable = e.Reason
	}
}

// Repartition replaces the services and replicas of the groups while the query
// runs. Attempts in flight continue. Ranges without one are redistributed to the
// services that cover them now. Unchanged services are kept, and groups that are
// not in the plan are ignored.
func (m *Machine) Repartition(now time.Time, groups []Group) []Action {
	if !m.started || m.finished {
		return nil
	}
	for _, g := range groups {
		m.replaceGroup(g)
	}
	tasks := len(m.tasks)
	for i := range tasks {
		t := &m.tasks[i]
		if (t.state == waiting || t.state == failed) && m.services[t.service].outdated {
			m.redistribute(now, i)
		}
	}
	return m.completeEvent(now)
}

// replaceGroup marks the changed services of a group as outdated and adds the new
// ones.
func (m *Machine) replaceGroup(g Group) {
	index := m.groupIndex(g.Name)
	if index < 0 {
		return
	}
	added := slices.Clone(g.Services)
	for i := range m.services {
		s := &m.services[i]
		if s.group != index || s.outdated {
			continue
		}
		same := slices.IndexFunc(added, s.same)
		if same < 0 {
			s.outdated = true
			continue
		}
		added = slices.Delete(added, same, same+1)
	}
	m.addServices([]Group{{Name: g.Name, Services: added}})
}

// same reports whether o has the same name, range and replicas.
func (s *service) same(o Service) bool {
	return s.name == o.Name && s.partition == o.Partition &&
		slices.EqualFunc(s.replicas, o.Replicas, func(a replica, b Replica) bool {
			return a.id == b.ID && a.dataCentre == b.DataCentre
		})
}

// groupIndex returns the index of the group in m.groups, or -1.
func (m *Machine) groupIndex(name string) int {
	return slices.IndexFunc(m.groups, func(g group) bool { return g.name == name })
}

// addServices adds the services of the given groups. Groups that are not in the
// plan are ignored.
func (m *Machine) addServices(groups []Group) {
	services, replicas := 0, 0
	for _, g := range groups {
		services += len(g.Services)
		for _, s := range g.Services {
			replicas += min(len(s.Replicas), maxReplicas)
		}
	}
	m.services = slices.Grow(m.services, services)
	replicaStorage := make([]replica, replicas)
	for _, g := range groups {
		index := m.groupIndex(g.Name)
		if index < 0 {
			continue
		}
		for _, s := range g.Services {
			n := min(len(s.Replicas), maxReplicas)
			m.services = append(m.services, m.newService(index, s, replicaStorage[:n:n]))
			replicaStorage = replicaStorage[n:]
		}
	}
}

// newService returns the state of s in the group with index g. It fills replicas,
// whose length is the number of replicas to consider.
func (m *Machine) newService(g int, s Service, replicas []replica) service {
	out := service{
		name: s.Name, group: g, partition: s.Partition, stats: m.stats.service(s.Name), groupStats: m.stats.group(m.groups[g].name), replicas: replicas,
	}
	for i, r := range s.Replicas[:len(replicas)] {
		unusable := r.UnusableReason
		if unusable == "" && m.plan.DataCentres != nil && !slices.Contains(m.plan.DataCentres, r.DataCentre) {
			unusable = ReasonOut
		}
		out.replicas[i] = replica{
			id: r.ID, dataCentre: r.DataCentre, unusable: unusable, cold: r.Cold, lapsed: r.Lapsed, unconnected: r.Unconnected, unreachable: r.Unreachable, held: r.Held, stats: m.stats.replica(r.ID),
		}
		for _, e := range m.excluded {
			out.replicas[i].exclude(e)
		}
	}
	return out
}

// createTasks replaces all tasks by one task for each current service.
func (m *Machine) createTasks() {
	m.tasks = make([]task, 0, len(m.services))
	m.openTasks = 0
	m.due = never
	for i := range m.services {
		if s := &m.services[i]; !s.outdated {
			m.newTask(s.group, i, s.partition)
		}
	}
}

// newTask appends a waiting task for range r of service s in group g.
func (m *Machine) newTask(g, s int, r upstream.HashRange) {
	m.tasks = append(m.tasks, task{hashRange: r, group: g, service: s, due: never})
	m.openTasks++
}

// redistribute replaces a task without attempts in flight by tasks for the
// services that now cover its range, and sends them.
func (m *Machine) redistribute(now time.Time, i int) {
	t := m.tasks[i]
	m.setState(&m.tasks[i], done)
	uncovered := []upstream.HashRange{t.hashRange}
	first := len(m.tasks)
	for j := range m.services {
		s := &m.services[j]
		if s.outdated || s.group != t.group || !s.partition.Overlaps(t.hashRange) {
			continue
		}
		uncovered = m.assignRanges(t.group, j, uncovered)
	}
	for j := first; j < len(m.tasks); j++ {
		m.sendReassigned(now, j)
	}
}

// assignRanges creates tasks for the parts of the ranges that a service covers,
// and returns the remaining parts.
func (m *Machine) assignRanges(g, s int, ranges []upstream.HashRange) []upstream.HashRange {
	partition := m.services[s].partition
	var rest []upstream.HashRange
	for _, r := range ranges {
		if !r.Overlaps(partition) {
			rest = append(rest, r)
			continue
		}
		m.newTask(g, s, clip(r, partition))
		rest = append(rest, upstream.Gaps(r, []upstream.HashRange{partition})...)
	}
	return rest
}

// sendReassigned sends the first attempt of a task that redistribute created.
func (m *Machine) sendReassigned(now time.Time, i int) {
	before := len(m.attempts)
	m.sendFirst(now, i)
	m.counts.Resent += len(m.attempts) - before
}

// trimMerged removes the merged ranges from the tasks of a group. Covered tasks
// are done; partly covered ones are replaced by tasks for the gaps. Their attempts
// in flight are cancelled, because a reply for the whole range would overlap a
// merged one. The attempt whose reply was merged is a, or nil if there is none.
func (m *Machine) trimMerged(now time.Time, g int, a *attempt) {
	merged := &m.groups[g].merged
	mergedTask, replica := -1, 0
	if a != nil {
		mergedTask, replica = a.task, a.replica
	}
	tasks := len(m.tasks)
	for i := range tasks {
		t := &m.tasks[i]
		if t.group != g || t.state == done || !merged.overlaps(t.hashRange) {
			continue
		}
		triedReplicas := uint64(0)
		if i == mergedTask {
			triedReplicas = 1 << replica
		}
		m.trimTask(now, i, triedReplicas, upstream.Gaps(t.hashRange, merged.ranges))
	}
}

// trimTask replaces a task by one task for each gap. If the task is in flight, the
// gaps go to replicas that are not in triedReplicas.
func (m *Machine) trimTask(now time.Time, i int, triedReplicas uint64, gaps []upstream.HashRange) {
	old := m.tasks[i]
	m.completeTask(now, i)
	for _, gap := range gaps {
		j := len(m.tasks)
		m.newTask(old.group, old.service, gap)
		t := &m.tasks[j]
		t.tries, t.sends, t.triedReplicas, t.reason = old.tries, old.sends, triedReplicas, old.reason
		switch old.state {
		case inFlight:
			t.reason = ReasonMoved
			m.sendGap(now, j)
		case failed:
			m.setState(t, failed)
		default:
			t.due, t.triedReplicas = old.due, old.triedReplicas
		}
	}
}

// sendGap sends a task for a range that a partial reply did not cover. It is not
// charged to the retry budget: each such reply has covered a part of the range,
// and MaxTries limits their number.
func (m *Machine) sendGap(now time.Time, i int) {
	t := &m.tasks[i]
	at := now.Sub(m.start)
	if m.services[t.service].outdated {
		m.redistribute(now, i)
		return
	}
	if m.attemptsExhausted(t) || at >= m.attemptDeadline {
		m.setState(t, failed)
		return
	}
	r, ok := m.pickReplica(now, t)
	if !ok {
		m.handleNoReplica(t, at)
		return
	}
	m.counts.Resent++
	m.send(now, i, r, false, false)
}
