package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// digestRest is how long a data centre's records must not have changed
	// before their digests are compared: changes on their way differ anyway.
	digestRest = 2 * time.Second
	// recordsPause is the least time between two answers with the records of
	// one data centre, which bounds their cost.
	recordsPause = 10 * time.Second
	// maxDataCentres bounds the epochs that messages can make a host keep.
	maxDataCentres = 64
	// askPause is the least time between two questions for a fresher proof.
	askPause = 200 * time.Millisecond
)

// Receive takes a message. from is the sender's address as the transport knows
// it; empty if it does not.
func (m *StateMachine) Receive(now time.Time, from string, msg Message) []Message {
	if msg.From.ID == m.self.ID {
		m.merge(now, msg.From) // a namesake; a later process supersedes this one
		return nil
	}
	if from == "" {
		from = msg.From.Address
	}
	if s := m.members[msg.From.ID]; from == "" && s != nil {
		from = s.Address
	}
	if msg.From.Phase != "" { // else the record is shortened
		msg.From.Address = from
		m.merge(now, msg.From)
	}
	msg.From.Address = from
	if w := m.watched[msg.From.ID]; w != nil {
		w.heard, w.accused = now, false
	}
	if c := m.contacts[msg.From.DataCentre]; c != nil && c.id == msg.From.ID {
		c.answered = true
	}
	for _, u := range msg.Updates[:min(len(msg.Updates), m.cfg.MaxUpdates)] {
		m.merge(now, u)
	}
	m.rise(now, msg.Facts)
	var out []Message
	switch msg.Kind {
	case Heartbeat:
		out = append(out, m.ack(now, msg))
	case Ack:
		m.acked(now, msg)
	case Join:
		out = m.records(now, msg.From.Address, slices.Sorted(maps.Keys(m.rings)))
	}
	out = append(out, m.compare(now, msg)...)
	return append(out, m.ask(now, msg)...)
}

// ack answers a heartbeat. A sender that others take for suspect or dead is told
// so, that it can refute.
func (m *StateMachine) ack(now time.Time, msg Message) Message {
	answer := m.message(now, Ack, msg.From.Address, msg.Digests != nil)
	answer.Sequence = msg.Sequence
	if s := m.members[msg.From.ID]; s != nil && s.Status != Live {
		answer.Updates = append(answer.Updates, s.Member)
	}
	m.addProof(now, &answer, msg.From.DataCentre)
	return answer
}

// acked takes the answer to a heartbeat. The proof in it is dated by the time at
// which the heartbeat was sent, which was before the peer stated the age.
func (m *StateMachine) acked(now time.Time, msg Message) {
	w := m.watched[msg.From.ID]
	if w == nil || w.sequence != msg.Sequence {
		return
	}
	w.answered = true
	if msg.Proof != nil && msg.From.DataCentre == m.self.DataCentre {
		age := time.Duration(msg.Proof.AgeMS) * time.Millisecond
		m.prove(now, Proof{Epoch: msg.Proof.Epoch, At: w.sentAt.Add(-age)})
	}
	if !w.current {
		delete(m.watched, msg.From.ID)
	}
}

// ask sends a heartbeat to a host that has a clearly fresher proof, since a proof
// counts only in the answer to a question.
func (m *StateMachine) ask(now time.Time, msg Message) []Message {
	if msg.Proof == nil || msg.Kind == Ack || msg.From.DataCentre != m.self.DataCentre {
		return nil
	}
	at := now.Add(-time.Duration(msg.Proof.AgeMS) * time.Millisecond)
	if !m.fresher(Proof{Epoch: msg.Proof.Epoch, At: at}) || now.Sub(m.asked) < askPause {
		return nil
	}
	s := m.members[msg.From.ID]
	if s == nil || s.gone() {
		return nil
	}
	m.asked = now
	return []Message{m.heartbeat(now, msg.From.ID, false)}
}

// fresher reports whether a proof is worth spreading.
func (m *StateMachine) fresher(p Proof) bool {
	if p.Epoch != m.proof.Epoch {
		return p.Epoch > m.proof.Epoch
	}
	return p.At.Sub(m.proof.At) >= m.cfg.MinProofAdvance
}

func (m *StateMachine) prove(now time.Time, p Proof) {
	if p.Epoch == 0 || p.Epoch < m.proof.Epoch || p.Epoch == m.proof.Epoch && !p.At.After(m.proof.At) {
		return
	}
	if m.fresher(p) {
		m.schedule(now)
	}
	m.proof = p
	m.rise(now, Facts{Epochs: map[string]uint64{m.self.DataCentre: p.Epoch}})
}

// rise takes over higher facts and spreads them at once.
func (m *StateMachine) rise(now time.Time, f Facts) {
	rose := f.Configuration > m.facts.Configuration
	m.facts.Configuration = max(m.facts.Configuration, f.Configuration)
	for dataCentre, epoch := range f.Epochs {
		if len(m.facts.Epochs) >= maxDataCentres && m.facts.Epochs[dataCentre] == 0 {
			continue
		}
		if epoch > m.facts.Epochs[dataCentre] {
			m.facts.Epochs[dataCentre] = epoch
			m.roseAt[dataCentre] = now
			rose = true
		}
	}
	if rose {
		m.rose = true
		m.schedule(now)
	}
}

// schedule makes the next push due soon.
func (m *StateMachine) schedule(now time.Time) {
	if m.pushAt.IsZero() {
		m.pushAt = now.Add(m.cfg.PushDelay)
	}
}

// merge takes over a record if it is newer than the known one.
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
		m.leave(previous)
	}
	m.redigest(now, previous, u)
	m.members[u.ID] = &MemberState{Member: u, Since: now}
	m.enter(now, u)
	// Suspicions and their refutations concern only the hosts that watch.
	wide := previous.gone() != u.gone() || previous.digest() != u.digest()
	if wide || u.DataCentre == m.self.DataCentre {
		m.changed(now, u.ID, wide)
	} else {
		m.generation++
	}
}

// refute answers a record about this host that others wrote.
func (m *StateMachine) refute(now time.Time, u Member) {
	switch {
	case u.Incarnation > m.self.Incarnation:
		m.superseded = true
	case u.Incarnation == m.self.Incarnation && u.Status != Live && u.Version >= m.self.Version:
		m.self.Version = u.Version
		m.restate(now, u.Status == Dead)
	}
}

// enter adds a record to ring, digest and suspects.
func (m *StateMachine) enter(now time.Time, u Member) {
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

// leave takes a record out again.
func (m *StateMachine) leave(u Member) {
	delete(m.suspects, u.ID)
	if !u.gone() {
		m.ring(u.DataCentre).remove(u.ID)
	}
}

// redigest replaces a record in the digests. Records of gone hosts do not count.
func (m *StateMachine) redigest(now time.Time, old, u Member) {
	if old.DataCentre == u.DataCentre && !old.gone() && !u.gone() && old.digest() == u.digest() {
		return
	}
	for _, r := range []Member{old, u} {
		if r.gone() {
			continue
		}
		g := m.groups[r.DataCentre]
		if g == nil {
			g = &group{}
			m.groups[r.DataCentre] = g
		}
		g.digest ^= r.digest()
		g.changed = now
	}
}

// changed spreads the record of a host; a wide change also to other data centres.
func (m *StateMachine) changed(now time.Time, id string, wide bool) {
	m.generation++
	m.rose = m.rose || wide
	if !slices.Contains(m.news, id) {
		m.news = append(m.news, id)
	}
	m.recent = slices.DeleteFunc(m.recent, func(r repeat) bool { return r.id == id })
	m.recent = append(m.recent, repeat{id, m.cfg.ChangeRepeats})
	m.schedule(now)
}

// digests returns the digests of the data centres at rest, this host included.
func (m *StateMachine) digests(now time.Time) map[string]uint64 {
	list := make(map[string]uint64, len(m.groups))
	for name := range m.rings {
		if d, ok := m.digestOf(now, name); ok {
			list[name] = d
		}
	}
	return list
}

func (m *StateMachine) digestOf(now time.Time, dataCentre string) (uint64, bool) {
	var digest uint64
	if g := m.groups[dataCentre]; g != nil {
		if now.Sub(g.changed) < digestRest {
			return 0, false
		}
		digest = g.digest
	}
	if dataCentre == m.self.DataCentre && m.self.Phase != Left {
		digest ^= m.self.digest()
	}
	return digest, true
}

// compare sends records to a host whose digests show that it has others.
func (m *StateMachine) compare(now time.Time, msg Message) []Message {
	var differ []string
	for _, name := range slices.Sorted(maps.Keys(msg.Digests)) {
		own, ok := m.digestOf(now, name)
		if !ok || own == msg.Digests[name] {
			continue
		}
		g := m.groups[name]
		if g == nil || now.Sub(g.sent) < recordsPause {
			continue
		}
		g.sent = now
		differ = append(differ, name)
	}
	if len(differ) == 0 {
		return nil
	}
	return m.records(now, msg.From.Address, differ)
}

// records returns messages with all records of the data centres that are not
// gone.
func (m *StateMachine) records(now time.Time, to string, dataCentres []string) []Message {
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
