package membership

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// StateMachine is one host's part of the protocol. It is not safe for concurrent use.
type StateMachine struct {
	cfg        Config
	self       Member
	rng        *rand.Rand
	known      []string // addresses to join through
	superseded bool
	generation uint64

	members map[string]*MemberState // the others, by ID
	rings   map[string]*ring        // hosts that are not gone, by data centre
	groups  map[string]*group       // digests, by data centre
	facts   Facts
	proof   Proof

	watched  map[string]*watch // hosts with a heartbeat unanswered or watched now
	suspects map[string]time.Time
	contacts map[string]*contact // by data centre
	sequence uint64

	period   time.Time            // next heartbeats
	pushAt   time.Time            // next push; zero if there is no news
	news     []string             // IDs changed since the last push
	rose     bool                 // news that concern all data centres
	recent   []repeat             // changes that heartbeats still repeat
	asked    time.Time            // when a fresher proof was last asked for
	sweep    time.Time            // next removal of old records
	joinAt   time.Time            // next question to a known address
	links    []string             // hosts to push to
	linked   int                  // number of others when links were chosen
	relink   time.Time            // next choice of links
	restated time.Time            // last change of the own record
	roseAt   map[string]time.Time // epochs that rose lately
}

// watch is the state of the heartbeats to one host.
type watch struct {
	heard    time.Time // last sign of life, or when the watch began
	sequence uint64    // of the last heartbeat
	sentAt   time.Time
	answered bool
	current  bool // watched in this period
	accused  bool // suspected since it was last heard
}

// group is the digest of one data centre's live records.
type group struct {
	digest  uint64
	changed time.Time
	sent    time.Time // last answer with records
}

// contact is the host of another data centre that this host talks to.
type contact struct {
	id       string
	until    time.Time
	answered bool // something came from it since the last heartbeat to it
}

type repeat struct {
	id   string
	left int
}

// New returns the machine of a host. It is alone until Join or a message.
func New(cfg Config, self Member, rng *rand.Rand) *StateMachine {
	m := &StateMachine{
		cfg:      cfg,
		self:     self,
		rng:      rng,
		members:  make(map[string]*MemberState),
		rings:    make(map[string]*ring),
		groups:   make(map[string]*group),
		facts:    Facts{Epochs: make(map[string]uint64)},
		roseAt:   make(map[string]time.Time),
		contacts: make(map[string]*contact),
		watched:  make(map[string]*watch),
		suspects: make(map[string]time.Time),
	}
	m.ring(self.DataCentre).add(self.ID)
	return m
}

// SetJoinAddresses names the addresses of hosts to join through, as from the host list. Give
// the newest list whenever it changes.
func (m *StateMachine) SetJoinAddresses(addresses []string) {
	m.known = slices.Clone(addresses)
}

// Self returns this host's own record.
func (m *StateMachine) Self() Member { return m.self }

// Superseded reports that a later process with this host's ID was seen. This
// process should end.
func (m *StateMachine) Superseded() bool { return m.superseded }

// Generation changes whenever Members does.
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

// Facts returns the newest facts.
func (m *StateMachine) Facts() Facts {
	return Facts{Configuration: m.facts.Configuration, Epochs: maps.Clone(m.facts.Epochs)}
}

// Proof returns the freshest proof; its Epoch is 0 if there is none.
func (m *StateMachine) Proof() Proof { return m.proof }

// SetConfiguration states the number of a configuration that this host has.
func (m *StateMachine) SetConfiguration(now time.Time, number uint64) {
	m.rise(now, Facts{Configuration: number})
}

// SetEpoch states the epoch of a table that this host has.
func (m *StateMachine) SetEpoch(now time.Time, dataCentre string, epoch uint64) {
	m.rise(now, Facts{Epochs: map[string]uint64{dataCentre: epoch}})
}

// SetProof states that the table of the own data centre was in force at the
// given time or later.
func (m *StateMachine) SetProof(now time.Time, epoch uint64, at time.Time) {
	m.prove(now, Proof{Epoch: epoch, At: at})
}

// SetPhase states this host's own phase.
func (m *StateMachine) SetPhase(now time.Time, p Phase) {
	if m.self.Phase == p {
		return
	}
	m.self.Phase = p
	m.restate(now, true)
}

// restate raises the version of the own record and spreads it, a wide change to
// all data centres.
func (m *StateMachine) restate(now time.Time, wide bool) {
	m.self.Version++
	m.restated = now
	m.changed(now, m.self.ID, wide)
}

// Next returns when Tick has to be called.
func (m *StateMachine) Next() time.Time {
	next := m.period
	if !m.pushAt.IsZero() && m.pushAt.Before(next) {
		next = m.pushAt
	}
	for _, t := range m.suspects {
		if t.Before(next) {
			next = t
		}
	}
	for _, w := range m.watched {
		if t := w.heard.Add(m.cfg.SuspectAfter); !w.answered && !w.accused && t.Before(next) {
			next = t
		}
	}
	return next
}

// Tick sends what is due.
func (m *StateMachine) Tick(now time.Time) []Message {
	var out []Message
	if late := now.Sub(m.period); !m.period.IsZero() && late > m.cfg.Period/2 {
		m.resume(late)
	}
	if m.restated.IsZero() {
		m.restated = now
	}
	if !now.Before(m.period) {
		out = m.beat(now)
	}
	m.accuse(now)
	m.condemn(now)
	if !m.pushAt.IsZero() && !now.Before(m.pushAt) {
		out = append(out, m.push(now)...)
	}
	if now.After(m.sweep) {
		m.forget(now)
	}
	return out
}

// beat runs once a period and sends heartbeats.
func (m *StateMachine) beat(now time.Time) []Message {
	m.period = now.Add(m.cfg.Period)
	var out []Message
	out = append(out, m.joins(now)...)
	others := m.ring(m.self.DataCentre).after(m.self.ID)
	targets := m.again(m.cfg.Topology.HeartbeatTargets(others, m.rng))
	m.rewatch(now, targets)
	for i, id := range targets {
		out = append(out, m.heartbeat(now, id, i == 0))
	}
	if id := m.stranger(now); id != "" {
		m.contacts[m.members[id].DataCentre].answered = false
		out = append(out, m.heartbeat(now, id, true))
	}
	m.age()
	return out
}

// again adds the hosts that did not answer, so that random links too suspect a
// host only after more than one heartbeat.
func (m *StateMachine) again(targets []string) []string {
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

// resume forgives the watched hosts the time that this host was paused: their
// answers may wait unread.
func (m *StateMachine) resume(late time.Duration) {
	for _, w := range m.watched {
		w.heard = w.heard.Add(late)
		w.sentAt = w.sentAt.Add(late)
	}
	for id, t := range m.suspects {
		m.suspects[id] = t.Add(late)
	}
}

// age counts down the repetitions.
func (m *StateMachine) age() {
	for i := range m.recent {
		m.recent[i].left--
	}
	m.recent = slices.DeleteFunc(m.recent, func(r repeat) bool { return r.left <= 0 })
}

// push sends the news to the pushed hosts and, if they concern all data centres,
// to one host of another.
func (m *StateMachine) push(now time.Time) []Message {
	m.pushAt = time.Time{}
	others := m.ring(m.self.DataCentre).after(m.self.ID)
	targets := m.pushLinks(now, others)
	var accused []string
	for _, id := range m.news {
		// The suspect itself has to learn of the suspicion to refute it.
		if s := m.members[id]; s != nil && s.Status == Suspect && !slices.Contains(targets, id) {
			accused = append(accused, id)
		}
	}
	targets = append(slices.Clone(targets), accused...)
	if id := m.stranger(now); id != "" && m.rose {
		targets = append(targets, id)
	}
	first := m.news[:min(len(m.news), m.cfg.MaxUpdates)]
	var out []Message
	for _, id := range targets {
		to := m.members[id]
		msg := m.message(now, News, to.Address, to.DataCentre != m.self.DataCentre)
		for _, changed := range first {
			msg.Updates = m.appendRecord(msg.Updates, changed)
		}
		m.addProof(now, &msg, to.DataCentre)
		out = append(out, msg)
	}
	m.news = m.news[len(first):]
	m.rose = false
	if len(m.news) > 0 {
		m.pushAt = now.Add(m.cfg.PushDelay)
	}
	return out
}

// pushLinks returns the hosts to push to. They stay the same for a while, as each
// new one costs a connection.
func (m *StateMachine) pushLinks(now time.Time, others []string) []string {
	gone := func(id string) bool { return m.members[id] == nil || m.members[id].gone() }
	if m.linked != len(others) || now.After(m.relink) || slices.ContainsFunc(m.links, gone) {
		m.links = m.cfg.Topology.PushTargets(others, m.rng)
		m.linked = len(others)
		m.relink = now.Add(m.cfg.ReselectInterval)
	}
	return m.links
}

// forget drops old records of hosts that are gone.
func (m *StateMachine) forget(now time.Time) {
	m.sweep = now.Add(m.cfg.GoneRetention / 4)
	for id, s := range m.members {
		if s.gone() && now.Sub(s.Since) > m.cfg.GoneRetention {
			delete(m.members, id)
			m.generation++
		}
	}
}

// restAfter is when an unchanged record or epoch no longer rides on every
// message, but only on those that carry everything, one or two each period.
const restAfter = 5 * time.Second

// message returns a message; a full one carries the whole own record and all
// epochs.
func (m *StateMachine) message(now time.Time, kind Kind, to string, full bool) Message {
	if full {
		return Message{To: to, Kind: kind, From: m.self, Facts: m.Facts()}
	}
	msg := Message{To: to, Kind: kind, From: m.self, Facts: Facts{Configuration: m.facts.Configuration}}
	if now.Sub(m.restated) > restAfter {
		msg.From = Member{ID: m.self.ID, DataCentre: m.self.DataCentre}
	}
	for dataCentre, at := range m.roseAt {
		if now.Sub(at) > restAfter {
			delete(m.roseAt, dataCentre)
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
	return list // the own record is in From
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
