package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// StateMachine runs the protocol for one host. It is not safe for concurrent use.
type StateMachine struct {
	cfg           Config
	self          Member
	rng           *rand.Rand
	joinAddresses []string // addresses to send Join messages to
	superseded    bool
	generation    uint64

	members       map[string]*MemberState  // the other hosts, by ID
	rings         map[string]*ring         // hosts that are not gone, by data centre
	recordDigests map[string]*recordDigest // by data centre
	facts         Facts
	proof         Proof

	watched  map[string]*heartbeatState // heartbeat targets of this period and hosts with an unanswered heartbeat
	suspects map[string]time.Time       // when a suspect is declared dead
	contacts map[string]*contact        // by data centre
	sequence uint64

	nextHeartbeat    time.Time            // start of the next period
	pushAt           time.Time            // next push; zero if there is no news
	pendingNews      []string             // IDs of hosts whose records are still to be pushed
	globalNews       bool                 // the pending news concerns all data centres
	repeats          []repeat             // changes that heartbeats repeat
	lastProofRequest time.Time            // last request for a fresher proof
	nextPurge        time.Time            // next removal of old records
	nextJoin         time.Time            // next Join message
	pushTargets      []string             // hosts that get news
	othersAtChoice   int                  // number of other hosts when pushTargets was selected
	reselectAt       time.Time            // next selection of pushTargets
	recordChangedAt  time.Time            // last change of this host's own record
	epochRaisedAt    map[string]time.Time // when an epoch rose, for recent changes
}

// heartbeatState is the state of the heartbeats to one host.
type heartbeatState struct {
	lastHeard time.Time // last message from it, or the start of the silence
	sequence  uint64    // of the last heartbeat
	sentAt    time.Time
	answered  bool
	current   bool // watched in this period
	suspected bool // became suspect since its last message
}

// recordDigest is the digest of the records of one data centre, without those of
// hosts that are gone.
type recordDigest struct {
	digest        uint64
	changedAt     time.Time
	recordsSentAt time.Time // last time that the records were sent in an answer
}

// contact is the host of another data centre to which this host sends messages.
type contact struct {
	id       string
	until    time.Time // when another contact is selected
	answered bool      // it sent a message since the last heartbeat to it
}

// repeat is a changed record that heartbeats repeat.
type repeat struct {
	id        string
	remaining int // number of periods left
}

// New returns the state machine of a host. It knows no other hosts until
// SetJoinAddresses is called or a message arrives.
func New(cfg Config, self Member, rng *rand.Rand) *StateMachine {
	m := &StateMachine{
		cfg:           cfg,
		self:          self,
		rng:           rng,
		members:       make(map[string]*MemberState),
		rings:         make(map[string]*ring),
		recordDigests: make(map[string]*recordDigest),
		facts:         Facts{Epochs: make(map[string]uint64)},
		epochRaisedAt: make(map[string]time.Time),
		contacts:      make(map[string]*contact),
		watched:       make(map[string]*heartbeatState),
		suspects:      make(map[string]time.Time),
	}
	m.ring(self.DataCentre).add(self.ID)
	return m
}

// SetJoinAddresses sets the addresses of hosts to which Join messages are sent, for
// example from the host list. The caller should set it whenever the list changes.
func (m *StateMachine) SetJoinAddresses(addresses []string) {
	m.joinAddresses = slices.Clone(addresses)
}

// Self returns this host's own record.
func (m *StateMachine) Self() Member { return m.self }

// Superseded reports whether a later process with this host's ID was seen. If so,
// this process should exit.
func (m *StateMachine) Superseded() bool { return m.superseded }

// Generation returns a number that changes whenever the result of Members changes.
func (m *StateMachine) Generation() uint64 { return m.generation }

// Members returns the other hosts, sorted by ID.
func (m *StateMachine) Members() []MemberState {
	list := make([]MemberState, 0, len(m.members))
	for _, s := range m.members {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b MemberState) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Facts returns the newest known facts.
func (m *StateMachine) Facts() Facts {
	return Facts{Configuration: m.facts.Configuration, Epochs: maps.Clone(m.facts.Epochs)}
}

// Proof returns the freshest known proof. Its Epoch is 0 if there is none.
func (m *StateMachine) Proof() Proof { return m.proof }

// SetConfiguration records the number of a configuration that this host has.
func (m *StateMachine) SetConfiguration(now time.Time, number uint64) {
	m.raiseFacts(now, Facts{Configuration: number})
}

// SetEpoch records the epoch of an ownership table that this host has.
func (m *StateMachine) SetEpoch(now time.Time, dataCentre string, epoch uint64) {
	m.raiseFacts(now, Facts{Epochs: map[string]uint64{dataCentre: epoch}})
}

// SetProof records that the ownership table of this data centre was in force at or
// after the given time.
func (m *StateMachine) SetProof(now time.Time, epoch uint64, at time.Time) {
	m.updateProof(now, Proof{Epoch: epoch, At: at})
}

// SetPhase sets this host's own phase.
func (m *StateMachine) SetPhase(now time.Time, p Phase) {
	if m.self.Phase == p {
		return
	}
	m.self.Phase = p
	m.updateRecord(now, true)
}

// updateRecord raises the version of this host's own record and spreads it, if
// global is set to all data centres.
func (m *StateMachine) updateRecord(now time.Time, global bool) {
	m.self.Version++
	m.recordChangedAt = now
	m.queueNews(now, m.self.ID, global)
}

// Next returns the time at which Tick must be called.
func (m *StateMachine) Next() time.Time {
	next := m.nextHeartbeat
	if !m.pushAt.IsZero() && m.pushAt.Before(next) {
		next = m.pushAt
	}
	for _, t := range m.suspects {
		if t.Before(next) {
			next = t
		}
	}
	for _, w := range m.watched {
		if t := w.lastHeard.Add(m.cfg.SuspectAfter); !w.answered && !w.suspected && t.Before(next) {
			next = t
		}
	}
	return next
}

// Tick performs the actions that are due and returns the messages to send.
func (m *StateMachine) Tick(now time.Time) []Message {
	var out []Message
	if late := now.Sub(m.nextHeartbeat); !m.nextHeartbeat.IsZero() && late > m.cfg.Period/2 {
		m.extendForPause(late)
	}
	if m.recordChangedAt.IsZero() {
		m.recordChangedAt = now
	}
	if !now.Before(m.nextHeartbeat) {
		out = m.sendHeartbeats(now)
	}
	m.suspectSilent(now)
	m.declareDead(now)
	if !m.pushAt.IsZero() && !now.Before(m.pushAt) {
		out = append(out, m.push(now)...)
	}
	if now.After(m.nextPurge) {
		m.purgeGone(now)
	}
	return out
}

// sendHeartbeats returns the messages that are sent once per period.
func (m *StateMachine) sendHeartbeats(now time.Time) []Message {
	m.nextHeartbeat = now.Add(m.cfg.Period)
	var out []Message
	out = append(out, m.joinMessages(now)...)
	others := m.ring(m.self.DataCentre).after(m.self.ID)
	targets := m.withUnanswered(m.cfg.Topology.HeartbeatTargets(others, m.rng))
	m.setWatched(now, targets)
	for i, id := range targets {
		out = append(out, m.heartbeat(now, id, i == 0))
	}
	if id := m.remoteContact(now); id != "" {
		m.contacts[m.members[id].DataCentre].answered = false
		out = append(out, m.heartbeat(now, id, true))
	}
	m.countDownRepeats()
	return out
}

// withUnanswered adds the hosts that have not answered yet if the topology selects
// new targets in each period, so that a host does not become suspect after a
// single unanswered heartbeat.
func (m *StateMachine) withUnanswered(targets []string) []string {
	if m.cfg.Topology.FixedTargets() {
		return targets
	}
	for _, id := range slices.Sorted(maps.Keys(m.watched)) {
		s := m.members[id]
		if !m.watched[id].answered && s != nil && s.DataCentre == m.self.DataCentre && !slices.Contains(targets, id) {
			targets = append(targets, id)
		}
	}
	return targets
}

// extendForPause extends the deadlines of other hosts by the time for which this
// host was paused, because their answers may not have been processed yet.
func (m *StateMachine) extendForPause(late time.Duration) {
	for _, w := range m.watched {
		w.lastHeard = w.lastHeard.Add(late)
		w.sentAt = w.sentAt.Add(late)
	}
	for id, t := range m.suspects {
		m.suspects[id] = t.Add(late)
	}
}

// countDownRepeats counts down the remaining repetitions of each change.
func (m *StateMachine) countDownRepeats() {
	for i := range m.repeats {
		m.repeats[i].remaining--
	}
	m.repeats = slices.DeleteFunc(m.repeats, func(r repeat) bool { return r.remaining <= 0 })
}

// push returns messages that carry the pending news to the push targets and, if it
// concerns all data centres, to a host of another data centre.
func (m *StateMachine) push(now time.Time) []Message {
	m.pushAt = time.Time{}
	others := m.ring(m.self.DataCentre).after(m.self.ID)
	targets := m.choosePushTargets(now, others)
	var newSuspects []string
	for _, id := range m.pendingNews {
		// The suspect itself must learn of the suspicion to refute it.
		if s := m.members[id]; s != nil && s.Status == Suspect && !slices.Contains(targets, id) {
			newSuspects = append(newSuspects, id)
		}
	}
	targets = append(slices.Clone(targets), newSuspects...)
	if id := m.remoteContact(now); id != "" && m.globalNews {
		targets = append(targets, id)
	}
	batch := m.pendingNews[:min(len(m.pendingNews), m.cfg.MaxUpdates)]
	var out []Message
	for _, id := range targets {
		to := m.members[id]
		msg := m.message(now, News, to.Address, to.DataCentre != m.self.DataCentre)
		for _, changed := range batch {
			msg.Updates = m.appendRecord(msg.Updates, changed)
		}
		m.addProof(now, &msg, to.DataCentre)
		out = append(out, msg)
	}
	m.pendingNews = m.pendingNews[len(batch):]
	m.globalNews = false
	if len(m.pendingNews) > 0 {
		m.pushAt = now.Add(m.cfg.PushDelay)
	}
	return out
}

// choosePushTargets returns the hosts that get news. They are kept for
// ReselectInterval, because each new one costs a connection.
func (m *StateMachine) choosePushTargets(now time.Time, others []string) []string {
	gone := func(id string) bool { return m.members[id] == nil || m.members[id].gone() }
	if m.othersAtChoice != len(others) || now.After(m.reselectAt) || slices.ContainsFunc(m.pushTargets, gone) {
		m.pushTargets = m.cfg.Topology.PushTargets(others, m.rng)
		m.othersAtChoice = len(others)
		m.reselectAt = now.Add(m.cfg.ReselectInterval)
	}
	return m.pushTargets
}

// purgeGone removes the records of hosts that have been gone for GoneRetention.
func (m *StateMachine) purgeGone(now time.Time) {
	m.nextPurge = now.Add(m.cfg.GoneRetention / 4)
	for id, s := range m.members {
		if s.gone() && now.Sub(s.Since) > m.cfg.GoneRetention {
			delete(m.members, id)
			m.generation++
		}
	}
}

// quietAfter is the time after its last change for which this host's record or an
// epoch is part of every message. Later only full messages, one or two per period,
// carry it.
const quietAfter = 5 * time.Second

// message returns a new message. A full message carries this host's whole record
// and all epochs.
func (m *StateMachine) message(now time.Time, kind Kind, to string, full bool) Message {
	if full {
		return Message{To: to, Kind: kind, From: m.self, Facts: m.Facts()}
	}
	msg := Message{To: to, Kind: kind, From: m.self, Facts: Facts{Configuration: m.facts.Configuration}}
	if now.Sub(m.recordChangedAt) > quietAfter {
		msg.From = Member{ID: m.self.ID, DataCentre: m.self.DataCentre}
	}
	for dataCentre, at := range m.epochRaisedAt {
		if now.Sub(at) > quietAfter {
			delete(m.epochRaisedAt, dataCentre)
			continue
		}
		if msg.Facts.Epochs == nil {
			msg.Facts.Epochs = make(map[string]uint64)
		}
		msg.Facts.Epochs[dataCentre] = m.facts.Epochs[dataCentre]
	}
	return msg
}

func (m *StateMachine) appendRecord(list []Member, id string) []Member {
	if s := m.members[id]; s != nil {
		return append(list, s.Member)
	}
	return list // this host's own record is in From
}

func (m *StateMachine) addProof(now time.Time, msg *Message, dataCentre string) {
	if m.proof.Epoch > 0 && dataCentre == m.self.DataCentre {
		msg.Proof = &wireProof{Epoch: m.proof.Epoch, AgeMS: now.Sub(m.proof.At).Milliseconds() + 1}
	}
}

func (m *StateMachine) ring(dataCentre string) *ring {
	r := m.rings[dataCentre]
	if r == nil {
		r = &ring{}
		m.rings[dataCentre] = r
	}
	return r
}
