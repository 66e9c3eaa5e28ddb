package membership

import (
	"maps"
	"slices"
	"time"
)

// setWatched sets the heartbeat targets of this period as the watched hosts. A host
// that was not watched before starts without unanswered heartbeats.
func (m *StateMachine) setWatched(now time.Time, targets []string) {
	for _, w := range m.watched {
		w.current = false
	}
	for _, id := range targets {
		w := m.watched[id]
		if w == nil {
			w = &heartbeatState{lastHeard: now}
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

// suspectSilent marks hosts as suspect that have not answered for SuspectAfter.
func (m *StateMachine) suspectSilent(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.watched)) {
		w := m.watched[id]
		if w.answered || w.suspected || now.Sub(w.lastHeard) < m.cfg.SuspectAfter {
			continue
		}
		w.suspected = true
		s := m.members[id]
		if s == nil || s.gone() || s.DataCentre != m.self.DataCentre {
			delete(m.watched, id)
			continue
		}
		if s.Status == Live {
			suspected := s.Member
			suspected.Status = Suspect
			m.merge(now, suspected)
		}
	}
}

// declareDead marks suspects as dead that have not refuted the suspicion in time.
func (m *StateMachine) declareDead(now time.Time) {
	for _, id := range slices.Sorted(maps.Keys(m.suspects)) {
		if now.Before(m.suspects[id]) {
			continue
		}
		dead := m.members[id].Member
		dead.Status = Dead
		m.merge(now, dead)
	}
}

// joinMessages returns a Join message to a random join address that no live member
// has. It does so in every period while this host knows no others, and once per
// RejoinInterval afterwards. The latter merges separate groups that formed when
// hosts started at the same time, and restores hosts that were declared dead by
// mistake.
func (m *StateMachine) joinMessages(now time.Time) []Message {
	if len(m.members) > 0 && now.Before(m.nextJoin) {
		return nil
	}
	m.nextJoin = now.Add(m.cfg.RejoinInterval)
	missing := make(map[string]bool, len(m.joinAddresses))
	for _, address := range m.joinAddresses {
		missing[address] = address != m.self.Address
	}
	for _, s := range m.members {
		if !s.gone() {
			missing[s.Address] = false
		}
	}
	from := slices.DeleteFunc(slices.Clone(m.joinAddresses), func(a string) bool { return !missing[a] })
	if len(from) == 0 {
		return nil
	}
	return []Message{m.message(now, Join, from[m.rng.IntN(len(from))], true)}
}

// heartbeat returns a heartbeat to a host, with digests if requested.
func (m *StateMachine) heartbeat(now time.Time, id string, digests bool) Message {
	to := m.members[id]
	msg := m.message(now, Heartbeat, to.Address, digests)
	m.sequence++
	msg.Sequence = m.sequence
	w := m.watched[id]
	if w == nil {
		w = &heartbeatState{lastHeard: now}
		m.watched[id] = w
	}
	if w.answered {
		w.lastHeard = now // the silence is measured from the first unanswered heartbeat
	}
	w.sequence, w.sentAt, w.answered = m.sequence, now, false
	for _, r := range m.repeats {
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

// remoteContact returns the contact in a random other data centre, or "" if there
// is none. The contact is selected at random and kept for ReselectInterval, because
// each new one costs a connection, unless it stops answering.
func (m *StateMachine) remoteContact(now time.Time) string {
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
