package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// digestQuietTime is how long the records of a data centre must have been
	// unchanged before their digest is compared. Digests would otherwise differ
	// just because a change is still spreading.
	digestQuietTime = 2 * time.Second
	// recordsInterval is the minimum time between two answers with the records of
	// one data centre, which limits their cost.
	recordsInterval = 10 * time.Second
	// maxDataCentres is the maximum number of epochs that are kept, since they
	// come from messages.
	maxDataCentres = 64
	// proofRequestInterval is the minimum time between two requests for a fresher
	// proof.
	proofRequestInterval = 200 * time.Millisecond
)

// Receive handles a message and returns the messages to send. from is the sender's
// address according to the transport, or empty if unknown.
func (m *StateMachine) Receive(now time.Time, from string, msg Message) []Message {
	if msg.From.ID == m.self.ID {
		m.merge(now, msg.From) // another process with this host's ID; a later one supersedes this one
		return nil
	}
	if from == "" {
		from = msg.From.Address
	}
	if s := m.members[msg.From.ID]; from == "" && s != nil {
		from = s.Address
	}
	if msg.From.Phase != "" { // otherwise the record holds only ID and data centre
		msg.From.Address = from
		m.merge(now, msg.From)
	}
	msg.From.Address = from
	if w := m.watched[msg.From.ID]; w != nil {
		w.lastHeard, w.suspected = now, false
	}
	if c := m.contacts[msg.From.DataCentre]; c != nil && c.id == msg.From.ID {
		c.answered = true
	}
	for _, u := range msg.Updates[:min(len(msg.Updates), m.cfg.MaxUpdates)] {
		m.merge(now, u)
	}
	m.raiseFacts(now, msg.Facts)
	var out []Message
	switch msg.Kind {
	case Heartbeat:
		out = append(out, m.ackMessage(now, msg))
	case Ack:
		m.handleAck(now, msg)
	case Join:
		out = m.recordMessages(now, msg.From.Address, slices.Sorted(maps.Keys(m.rings)))
	}
	out = append(out, m.compareDigests(now, msg)...)
	return append(out, m.requestProof(now, msg)...)
}

// ackMessage returns the answer to a heartbeat. If the sender is known as suspect
// or dead, the answer carries its record, so that it can refute the status.
func (m *StateMachine) ackMessage(now time.Time, msg Message) Message {
	answer := m.message(now, Ack, msg.From.Address, msg.Digests != nil)
	answer.Sequence = msg.Sequence
	if s := m.members[msg.From.ID]; s != nil && s.Status != Live {
		answer.Updates = append(answer.Updates, s.Member)
	}
	m.addProof(now, &answer, msg.From.DataCentre)
	return answer
}

// handleAck handles the answer to a heartbeat. The time of the proof in it is
// calculated from the time at which the heartbeat was sent, which is before the
// peer measured the proof's age.
func (m *StateMachine) handleAck(now time.Time, msg Message) {
	w := m.watched[msg.From.ID]
	if w == nil || w.sequence != msg.Sequence {
		return
	}
	w.answered = true
	if msg.Proof != nil && msg.From.DataCentre == m.self.DataCentre {
		age := time.Duration(msg.Proof.AgeMS) * time.Millisecond
		m.updateProof(now, Proof{Epoch: msg.Proof.Epoch, At: w.sentAt.Add(-age)})
	}
	if !w.current {
		delete(m.watched, msg.From.ID)
	}
}

// requestProof returns a heartbeat to the sender of a message with a sufficiently
// fresher proof, because a proof is used only from the answer to a heartbeat.
func (m *StateMachine) requestProof(now time.Time, msg Message) []Message {
	if msg.Proof == nil || msg.Kind == Ack || msg.From.DataCentre != m.self.DataCentre {
		return nil
	}
	at := now.Add(-time.Duration(msg.Proof.AgeMS) * time.Millisecond)
	if !m.isFresher(Proof{Epoch: msg.Proof.Epoch, At: at}) || now.Sub(m.lastProofRequest) < proofRequestInterval {
		return nil
	}
	s := m.members[msg.From.ID]
	if s == nil || s.gone() {
		return nil
	}
	m.lastProofRequest = now
	return []Message{m.heartbeat(now, msg.From.ID, false)}
}

// isFresher reports whether a proof has a newer epoch, or is fresher than the known
// one by MinProofAdvance.
func (m *StateMachine) isFresher(p Proof) bool {
	if p.Epoch != m.proof.Epoch {
		return p.Epoch > m.proof.Epoch
	}
	return p.At.Sub(m.proof.At) >= m.cfg.MinProofAdvance
}

func (m *StateMachine) updateProof(now time.Time, p Proof) {
	if p.Epoch == 0 || p.Epoch < m.proof.Epoch || p.Epoch == m.proof.Epoch && !p.At.After(m.proof.At) {
		return
	}
	if m.isFresher(p) {
		m.schedulePush(now)
	}
	m.proof = p
	m.raiseFacts(now, Facts{Epochs: map[string]uint64{m.self.DataCentre: p.Epoch}})
}

// raiseFacts adopts higher facts and schedules a push of them.
func (m *StateMachine) raiseFacts(now time.Time, f Facts) {
	globalNews := f.Configuration > m.facts.Configuration
	m.facts.Configuration = max(m.facts.Configuration, f.Configuration)
	for dataCentre, epoch := range f.Epochs {
		if len(m.facts.Epochs) >= maxDataCentres && m.facts.Epochs[dataCentre] == 0 {
			continue
		}
		if epoch > m.facts.Epochs[dataCentre] {
			m.facts.Epochs[dataCentre] = epoch
			m.epochRaisedAt[dataCentre] = now
			globalNews = true
		}
	}
	if globalNews {
		m.globalNews = true
		m.schedulePush(now)
	}
}

// schedulePush schedules a push after PushDelay if none is scheduled.
func (m *StateMachine) schedulePush(now time.Time) {
	if m.pushAt.IsZero() {
		m.pushAt = now.Add(m.cfg.PushDelay)
	}
}

// merge adopts a record if it is newer than the known one.
func (m *StateMachine) merge(now time.Time, u Member) {
	if u.ID == m.self.ID {
		m.refute(now, u)
		return
	}
	old := m.members[u.ID]
	if old != nil && !u.supersedes(old.Member) {
		return
	}
	if old == nil && u.gone() {
		return
	}
	previous := Member{Phase: Left}
	if old != nil {
		previous = old.Member
		m.removeRecord(previous)
	}
	m.updateDigests(now, previous, u)
	m.members[u.ID] = &MemberState{Member: u, Since: now}
	m.addRecord(now, u)
	// Suspicions and their refutations only concern the host's own data centre.
	global := previous.gone() != u.gone() || previous.digest() != u.digest()
	if global || u.DataCentre == m.self.DataCentre {
		m.queueNews(now, u.ID, global)
	} else {
		m.generation++
	}
}

// refute handles a record of this host that came from another host.
func (m *StateMachine) refute(now time.Time, u Member) {
	switch {
	case u.Incarnation > m.self.Incarnation:
		m.superseded = true
	case u.Incarnation == m.self.Incarnation && u.Status != Live && u.Version >= m.self.Version:
		m.self.Version = u.Version
		m.updateRecord(now, u.Status == Dead)
	}
}

// addRecord adds a host to the ring and, if it is suspect, to the suspects.
func (m *StateMachine) addRecord(now time.Time, u Member) {
	if u.gone() {
		delete(m.watched, u.ID)
		return
	}
	m.ring(u.DataCentre).add(u.ID)
	if u.Status != Suspect || u.DataCentre != m.self.DataCentre {
		return
	}
	wait := m.cfg.DeadAfter
	if w := m.watched[u.ID]; w == nil || !w.current {
		wait += m.cfg.Period
	}
	m.suspects[u.ID] = now.Add(wait)
}

// removeRecord reverses addRecord for a host.
func (m *StateMachine) removeRecord(u Member) {
	delete(m.suspects, u.ID)
	if !u.gone() {
		m.ring(u.DataCentre).remove(u.ID)
	}
}

// updateDigests replaces a record in the digests. They exclude the records of hosts
// that are gone.
func (m *StateMachine) updateDigests(now time.Time, old, u Member) {
	if old.DataCentre == u.DataCentre && !old.gone() && !u.gone() && old.digest() == u.digest() {
		return
	}
	for _, r := range []Member{old, u} {
		if r.gone() {
			continue
		}
		g := m.recordDigests[r.DataCentre]
		if g == nil {
			g = &recordDigest{}
			m.recordDigests[r.DataCentre] = g
		}
		g.digest ^= r.digest()
		g.changedAt = now
	}
}

// queueNews queues the record of a host as news, if global is set also for other
// data centres.
func (m *StateMachine) queueNews(now time.Time, id string, global bool) {
	m.generation++
	m.globalNews = m.globalNews || global
	if !slices.Contains(m.pendingNews, id) {
		m.pendingNews = append(m.pendingNews, id)
	}
	m.repeats = slices.DeleteFunc(m.repeats, func(r repeat) bool { return r.id == id })
	m.repeats = append(m.repeats, repeat{id, m.cfg.ChangeRepeats})
	m.schedulePush(now)
}

// digests returns the digests of the data centres whose records have not changed
// for digestQuietTime. This host's own record is included.
func (m *StateMachine) digests(now time.Time) map[string]uint64 {
	list := make(map[string]uint64, len(m.recordDigests))
	for name := range m.rings {
		if d, ok := m.digestOf(now, name); ok {
			list[name] = d
		}
	}
	return list
}

func (m *StateMachine) digestOf(now time.Time, dataCentre string) (uint64, bool) {
	var digest uint64
	if g := m.recordDigests[dataCentre]; g != nil {
		if now.Sub(g.changedAt) < digestQuietTime {
			return 0, false
		}
		digest = g.digest
	}
	if dataCentre == m.self.DataCentre && m.self.Phase != Left {
		digest ^= m.self.digest()
	}
	return digest, true
}

// compareDigests returns messages with the records of the data centres for which
// the digests of the sender differ.
func (m *StateMachine) compareDigests(now time.Time, msg Message) []Message {
	var differ []string
	for _, name := range slices.Sorted(maps.Keys(msg.Digests)) {
		own, ok := m.digestOf(now, name)
		if !ok || own == msg.Digests[name] {
			continue
		}
		g := m.recordDigests[name]
		if g == nil || now.Sub(g.recordsSentAt) < recordsInterval {
			continue
		}
		g.recordsSentAt = now
		differ = append(differ, name)
	}
	if len(differ) == 0 {
		return nil
	}
	return m.recordMessages(now, msg.From.Address, differ)
}

// recordMessages returns messages with the records of all hosts of the data
// centres that are not gone.
func (m *StateMachine) recordMessages(now time.Time, to string, dataCentres []string) []Message {
	out := []Message{m.message(now, Records, to, true)}
	for _, name := range dataCentres {
		for _, id := range m.ring(name).ids {
			last := &out[len(out)-1]
			if len(last.Updates) >= m.cfg.MaxUpdates {
				out = append(out, m.message(now, Records, to, true))
				last = &out[len(out)-1]
			}
			last.Updates = m.appendRecord(last.Updates, id)
		}
	}
	return out
}
