package query

import (
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// Exclusion names upstreams that must not get new work.
type Exclusion struct {
	Replica    string // one replica, or empty
	DataCentre string // all replicas of a data centre, or empty
	Reason     Reason
}

func (e Exclusion) matches(r *replica) bool {
	return (e.Replica != "" && e.Replica == r.id) || (e.DataCentre != "" && e.DataCentre == r.dataCentre)
}

// Exclude stops new work to a replica that became unusable or to a data centre
// that was taken out. Attempts in flight go on.
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
	return m.settle(now)
}

func (r *replica) exclude(e Exclusion) {
	if r.unusable == "" && e.matches(r) {
		r.unusable = e.Reason
	}
}

// Repartition replaces the services and replicas of the groups while the query
// runs. Attempts in flight go on; ranges that have none are divided among the
// services that cover them now. Services that did not change are kept, and
// groups that the plan does not have are ignored.
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
			m.divide(now, i)
		}
	}
	return m.settle(now)
}

// replaceGroup marks the services of a group that changed as outdated and adds
// the new ones.
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

func (m *Machine) groupIndex(name string) int {
	return slices.IndexFunc(m.groups, func(g group) bool { return g.name == name })
}

// addServices adds the services of the groups of the plan.
func (m *Machine) addServices(groups []Group) {
	services, replicas := 0, 0
	for _, g := range groups {
		services += len(g.Services)
		for _, s := range g.Services {
			replicas += min(len(s.Replicas), maxReplicas)
		}
	}
	m.services = slices.Grow(m.services, services)
	room := make([]replica, replicas)
	for _, g := range groups {
		index := m.groupIndex(g.Name)
		if index < 0 {
			continue
		}
		for _, s := range g.Services {
			n := min(len(s.Replicas), maxReplicas)
			m.services = append(m.services, m.newService(index, s, room[:n:n]))
			room = room[n:]
		}
	}
}

// newService fills replicas, which has room for those that are considered.
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
			id: r.ID, dataCentre: r.DataCentre, unusable: unusable, cold: r.Cold, lapsed: r.Lapsed, unconnected: r.Unconnected, outOfReach: r.Unreachable, held: r.Held, stats: m.stats.replica(r.ID),
		}
		for _, e := range m.excluded {
			out.replicas[i].exclude(e)
		}
	}
	return out
}

// addTasks replaces all tasks by one for each service.
func (m *Machine) addTasks() {
	m.tasks = make([]task, 0, len(m.services))
	m.open = 0
	m.due = never
	for i := range m.services {
		if s := &m.services[i]; !s.outdated {
			m.newTask(s.group, i, s.partition)
		}
	}
}

func (m *Machine) newTask(g, s int, r upstream.HashRange) {
	m.tasks = append(m.tasks, task{rng: r, group: g, service: s, due: never})
	m.open++
}

// divide replaces a task without attempts by tasks for the services that cover
// its range now, and sends them.
func (m *Machine) divide(now time.Time, i int) {
	t := m.tasks[i]
	m.setState(&m.tasks[i], done)
	left := []upstream.HashRange{t.rng}
	first := len(m.tasks)
	for j := range m.services {
		s := &m.services[j]
		if s.outdated || s.group != t.group || !s.partition.Overlaps(t.rng) {
			continue
		}
		left = m.assign(t.group, j, left)
	}
	for j := first; j < len(m.tasks); j++ {
		m.sendMoved(now, j)
	}
}

// assign creates tasks for the parts of the ranges that a service covers and
// returns the rest.
func (m *Machine) assign(g, s int, ranges []upstream.HashRange) []upstream.HashRange {
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

// sendMoved sends the first attempt of a task that a new division created.
func (m *Machine) sendMoved(now time.Time, i int) {
	before := len(m.attempts)
	m.sendFirst(now, i)
	m.counts.Resent += len(m.attempts) - before
}

// trim removes merged ranges from the tasks of a group: those that are covered
// are done, and others are replaced by tasks for their gaps. A reply for the
// whole range would overlap, so attempts in flight are cancelled. The attempt
// that was merged, if any, is a.
func (m *Machine) trim(now time.Time, g int, a *attempt) {
	merged := &m.groups[g].merged
	by, replica := -1, 0
	if a != nil {
		by, replica = a.task, a.replica
	}
	tasks := len(m.tasks)
	for i := range tasks {
		t := &m.tasks[i]
		if t.group != g || t.state == done || !merged.overlaps(t.rng) {
			continue
		}
		tried := uint64(0)
		if i == by {
			tried = 1 << replica
		}
		m.trimTask(now, i, tried, upstream.Gaps(t.rng, merged.ranges))
	}
}

// trimTask replaces a task by one for each gap, which is asked from replicas
// that are not in tried.
func (m *Machine) trimTask(now time.Time, i int, tried uint64, gaps []upstream.HashRange) {
	old := m.tasks[i]
	m.complete(now, i)
	for _, gap := range gaps {
		j := len(m.tasks)
		m.newTask(old.group, old.service, gap)
		t := &m.tasks[j]
		t.tries, t.sends, t.tried, t.reason = old.tries, old.sends, tried, old.reason
		switch old.state {
		case inFlight:
			t.reason = ReasonMoved
			m.sendGap(now, j)
		case failed:
			m.setState(t, failed)
		default:
			t.due, t.tried = old.due, old.tried
		}
	}
}

// sendGap asks for a range that a partial reply left open. It is not paid from
// the budget: every such reply has covered a part, and MaxTries limits them.
func (m *Machine) sendGap(now time.Time, i int) {
	t := &m.tasks[i]
	at := now.Sub(m.start)
	if m.services[t.service].outdated {
		m.divide(now, i)
		return
	}
	if m.spent(t) || at >= m.replyBy {
		m.setState(t, failed)
		return
	}
	r, ok := m.pick(now, t)
	if !ok {
		m.noReplicaLeft(t, at)
		return
	}
	m.counts.Resent++
	m.send(now, i, r, false, false)
}
