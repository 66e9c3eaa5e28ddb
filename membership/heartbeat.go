package membership

import (
	"maps"
	"slices"
	"time"
)

// rewatch makes the targets the watched hosts. A host that was not watched in
// the last period starts with a clean sheet.
func (m *StateMachine) rewatch(now time.Time, targets []string) {
	for _, w := range m.watched {
		w.current = false
	}
	for _, id := range targets {
		w := m.watched[id]
		if w == nil {
			w = &watch{heard: now}
			m.watched[id] = w
		}
		w.current = true
	}
	for id, w := range m.watched {
		if !w.current && (w.answered || m.cfg.Topology.FixedTargets()) {
			delete(m.watched, id)
		}
	}
}

// accuse suspects hosts that were silent too long.
func (m *StateMachine) accuse(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.watched)) {
		w := m.watched[id]
		if w.answered || w.accused || now.Sub(w.heard) < m.cfg.SuspectAfter {
			continue
		}
		w.accused = true
		s := m.members[id]
		if s == nil || s.gone() || s.DataCentre != m.self.DataCentre {
			delete(m.watched, id)
			continue
		}
		if s.Status == Live {
			accused := s.Member
			accused.Status = Suspect
			m.merge(now, accused)
		}
	}
}

// condemn declares hosts dead whose suspicion was not refuted in time.
func (m *StateMachine) condemn(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.suspects)) {
		if now.Before(m.suspects[id]) {
			continue
		}
		dead := m.members[id].Member
		dead.Status = Dead
		m.merge(now, dead)
	}
}

// joins asks one known address that no live member has for all records: at each
// period while this host is alone, rarely afterwards. The latter unites groups
// that formed when hosts started at the same time, and finds hosts again that
// were taken for dead.
func (m *StateMachine) joins(now time.Time) []Message {
	if len(m.members) > 0 && now.Before(m.joinAt) {
		return nil
	}
	m.joinAt = now.Add(m.cfg.RejoinInterval)
	missing := make(map[string]bool, len(m.known))
	for _, address := range m.known {
		missing[address] = address != m.self.Address
	}
	for _, s := range m.members {
		if !s.gone() {
			missing[s.Address] = false
		}
	}
	from := slices.DeleteFunc(slices.Clone(m.known), func(a string) bool { return !missing[a] })
	if len(from) == 0 {
		return nil
	}
	return []Message{m.message(now, Join, from[m.rng.IntN(len(from))], true)}
}

// heartbeat returns a heartbeat to a host, on request with digests.
func (m *StateMachine) heartbeat(now time.Time, id string, digests bool) Message {
	to := m.members[id]
	msg := m.message(now, Heartbeat, to.Address, digests)
	m.sequence++
	msg.Sequence = m.sequence
	w := m.watched[id]
	if w == nil {
		w = &watch{heard: now}
		m.watched[id] = w
	}
	if w.answered {
		w.heard = now // the silence counts from the first heartbeat unanswered
	}
	w.sequence, w.sentAt, w.answered = m.sequence, now, false
	for _, r := range m.recent {
		if len(msg.Updates) < m.cfg.MaxUpdates {
			msg.Updates = m.appendRecord(msg.Updates, r.id)
		}
	}
	if digests {
		msg.Digests = m.digests(now)
	}
	m.addProof(now, &msg, to.DataCentre)
	return msg
}

// stranger returns a random host of a random other data centre. The choice within
// a data centre stays for a while, as each new one costs a connection, unless the
// host did not answer.
func (m *StateMachine) stranger(now time.Time) string {
	var centres []string
	for _, name := range slices.Sorted(maps.Keys(m.rings)) {
		if name != m.self.DataCentre && len(m.rings[name].ids) > 0 {
			centres = append(centres, name)
		}
	}
	if len(centres) == 0 {
		return ""
	}
	name := centres[m.rng.IntN(len(centres))]
	c := m.contacts[name]
	if c == nil || !c.answered || now.After(c.until) || m.members[c.id] == nil || m.members[c.id].gone() {
		ids := m.rings[name].ids
		c = &contact{id: ids[m.rng.IntN(len(ids))], until: now.Add(m.cfg.ReselectInterval), answered: true}
		m.contacts[name] = c
	}
	return c.id
}
