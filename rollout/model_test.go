package rollout

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/replicas"
)

// init fixes the seed of rapid to make runs reproducible. A command line flag overrides it.
func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	modelStep   = 50 * time.Millisecond
	reportEvery = 500 * time.Millisecond
)

// modelHost is a host with its part of the protocol around Host and Leader.
type modelHost struct {
	id        string
	host      *Host
	leader    *Leader
	revision  uint64 // of the record that the leader wrote
	candidate Candidate
	seenAt    time.Time
	// The steps for which the host is suspended, or doesn't reach the store or the other hosts.
	frozen, noStore, noPeers int
}

// model is a tier with one order, a store and messages in flight.
type model struct {
	t     *rapid.T
	rng   *rand.Rand
	cfg   Config
	now   time.Time
	hosts []*modelHost
	runs  uint64

	order          Order // as in the store, with its status
	record         *Record
	recordRevision uint64
	messages       []func() // in flight

	badShare          float64
	requests, exposed int
	switched          bool // some leader has told hosts to switch
	finals            []State
	seen              Evidence // of the leader that wrote the final state
	faultless         bool     // hosts have no new faults
	reliable          bool     // nor have they had any, and nothing is lost
}

// newHost returns a process of a host that has just started and knows two versions of the service.
func (m *model) newHost(id string) *modelHost {
	m.runs++
	h := &modelHost{id: id, host: NewHost(m.cfg, id, m.runs)}
	h.host.SeeReplica(m.now, "s", "v1")
	h.host.SetListed()
	h.host.SetOrdersAvailable(m.now, true)
	h.host.SeeReplica(m.now, "s", "v2")
	return h
}

func (m *model) chance(p float64) bool { return m.rng.Float64() < p }

// turn reports whether a host does now what it does twice a second when all is well.
func (m *model) turn() bool {
	if m.reliable {
		return m.now.UnixMilli()%reportEvery.Milliseconds() == 0
	}
	return m.chance(0.2)
}

// post delivers a message later, in any order, twice or never.
func (m *model) post(deliver func()) {
	if !m.reliable && m.chance(0.1) {
		return
	}
	m.messages = append(m.messages, deliver)
	if m.chance(0.1) {
		m.messages = append(m.messages, deliver)
	}
}

// step lets a short time pass, in which messages arrive in any order.
func (m *model) step() {
	m.now = m.now.Add(modelStep)
	for range len(m.messages) {
		if len(m.messages) > 0 && m.chance(0.7) {
			i := m.rng.IntN(len(m.messages))
			deliver := m.messages[i]
			m.messages = append(m.messages[:i], m.messages[i+1:]...)
			deliver()
		}
	}
	for i, h := range m.hosts {
		if !m.faultless {
			m.fault(i, h)
		}
		if h.frozen > 0 {
			h.frozen--
			continue
		}
		h.noStore, h.noPeers = max(h.noStore-1, 0), max(h.noPeers-1, 0)
		m.act(h)
	}
	m.check()
}

// fault restarts, suspends or cuts off a host now and then.
func (m *model) fault(i int, h *modelHost) {
	switch {
	case m.chance(0.002):
		m.hosts[i] = m.newHost(h.id)
	case m.chance(0.003):
		h.frozen = m.rng.IntN(100)
	case m.chance(0.003):
		h.noStore = m.rng.IntN(100)
	case m.chance(0.003):
		h.noPeers = m.rng.IntN(100)
	}
}

// act does what a host does in a step: it reads the order, sends requests and reports, and leads or
// tries to.
func (m *model) act(h *modelHost) {
	if h.noStore == 0 && m.turn() {
		order := m.order
		h.host.PutOrder(m.now, order)
		if h.seenAt.IsZero() {
			h.seenAt = m.now
		}
		if h.leader != nil {
			h.leader.SetOrder(order)
		}
	}
	for range m.rng.IntN(3) {
		m.request(h)
	}
	if m.turn() {
		m.report(h)
	}
	if h.noStore == 0 && m.turn() {
		if h.leader != nil {
			m.lead(h)
		} else {
			m.tryLead(h)
		}
	}
}

// request sends to the new version whenever the host permits it.
func (m *model) request(h *modelHost) {
	candidates := []replicas.Candidate{{Replica: replicas.Replica{ID: "a", Version: "v1"}}, {Replica: replicas.Replica{ID: "b", Version: "v2"}}}
	chosen, _ := h.host.Choose(m.now, "s", candidates)
	version := "v1"
	for _, c := range chosen {
		if c.Version == "v2" {
			version = "v2"
		}
	}
	pass, ok := h.host.Admit(m.now, "s", version, func() bool { return true })
	if !ok {
		return
	}
	m.requests++
	result := Answered
	if version == "v2" {
		m.exposed++
		if m.chance(m.badShare) {
			result = Failed
		}
	}
	h.host.Finish(pass, "route", result, 10*time.Millisecond)
}

// report sends a report to any host that believes that it leads.
func (m *model) report(h *modelHost) {
	sentAt := m.now
	r, ok := h.host.Report(m.now, m.order.OrderID)
	if !ok || h.noPeers > 0 {
		return
	}
	for _, to := range m.hosts {
		if to.leader == nil || !m.reliable && m.chance(0.2) {
			continue
		}
		m.post(func() {
			if to.leader == nil || to.frozen > 0 || to.noPeers > 0 {
				return
			}
			reply := to.leader.HandleReport(m.now, r)
			m.post(func() { h.host.HandleReply(m.now, sentAt, reply) })
		})
	}
}

// tryLead takes the lead if it is the host's turn and the lead is free.
func (m *model) tryLead(h *modelHost) {
	if len(h.host.Trials()) == 0 || !CandidateDue(slices.Index(m.hosts, h), h.host.Quiet(m.now, m.order.OrderID)) {
		return
	}
	o := h.host.Trials()[0]
	if !h.candidate.Free(m.now, h.id, o, m.record) {
		return
	}
	r := NextTerm(o, m.record, h.id, h.id, m.now.Sub(h.seenAt))
	m.store(&r)
	m.switched = m.switched || r.Phase == PhaseSwitching
	if m.reliable || m.chance(0.9) { // otherwise the answer of the store is lost
		h.leader, h.revision = NewLeader(m.now, m.cfg, o, r, h.seenAt), m.recordRevision
	}
}

// store writes the record. Neither the term nor the reserve may fall.
func (m *model) store(r *Record) {
	if m.record != nil && (r.Fence < m.record.Fence || r.Reserve < m.record.Reserve) {
		m.t.Fatalf("the record %+v follows %+v", r, m.record)
	}
	m.recordRevision++
	m.record = r
}

// lead does the work of a leader: it decides, renews the record and writes the status.
func (m *model) lead(h *modelHost) {
	l := h.leader
	l.Advance(m.now, Target{Present: true})
	r, _ := l.Next(m.now)
	if h.revision != m.recordRevision {
		if m.record.Fence != l.Record().Fence {
			h.leader, h.candidate = nil, Candidate{}
			return
		}
		h.revision = m.recordRevision
	}
	m.store(&r)
	if !m.reliable && m.chance(0.1) { // the answer of the store is lost
		return
	}
	h.revision = m.recordRevision
	l.Stored(m.now, r)
	m.switched = m.switched || l.Phase() == PhaseSwitching
	status, due := l.StatusDue()
	if !due || l.Order().Revision != m.order.Revision {
		return
	}
	if m.order.Status.State.Final() {
		m.t.Fatalf("status %+v follows %+v", status, m.order.Status)
	}
	m.order.Status = status
	m.order.Revision++
	if status.State.Final() {
		m.finals = append(m.finals, status.State)
		m.seen = l.Evidence()
		m.checkCompleted(status.State)
	}
	if m.chance(0.9) {
		l.StatusWritten(status, m.order.Revision)
	}
}

// check checks what must hold at any time: the bound on the exposure and a single decision.
func (m *model) check() {
	// The grants keep a lower bound than the hosts have to, so that a small excess shows.
	if bound := boundMargin * (m.cfg.Share*float64(m.requests) + m.cfg.Slack); !m.switched && float64(m.exposed) > bound {
		m.t.Fatalf("%d of %d requests went to the new version, %.1f may", m.exposed, m.requests, bound)
	}
	if len(m.finals) > 1 {
		m.t.Fatalf("final states %v", m.finals)
	}
}

// checkCompleted checks that no host sends to the old version when the new one is completed.
func (m *model) checkCompleted(state State) {
	if state != Completed || !m.reliable {
		return
	}
	for _, h := range m.hosts {
		if _, ok := h.host.Admit(m.now, "s", "v1", func() bool { return true }); ok {
			m.t.Fatalf("%s still sends to the old version", h.id)
		}
	}
}

func newModel(t *rapid.T, badShare float64) *model {
	m := &model{
		t: t, rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), now: time.Unix(1000, 0), badShare: badShare,
		cfg: Config{
			Share: rapid.Float64Range(0.01, 0.3).Draw(t, "share"), Slack: rapid.Float64Range(0, 60).Draw(t, "slack"),
			SettleTime: time.Hour,
		},
	}
	m.order = Order{OrderID: OrderID{Name: "s", Service: "s", Version: "v2", Created: 5, Duration: time.Duration(rapid.IntRange(8, 30).Draw(t, "seconds")) * time.Second}, Revision: 5}
	for i := range rapid.IntRange(1, 8).Draw(t, "hosts") {
		m.hosts = append(m.hosts, m.newHost(fmt.Sprint("host-", i)))
	}
	return m
}

// Guards against a bad version that gets more than its bound, or that is switched to, and
// against a status that goes back: with lost, late and repeated messages, unknown results of
// writes, hosts that start anew, freeze or are cut off, and several hosts that believe to lead.
func TestBadVersionStaysWithinBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, rapid.Float64Range(0.6, 1).Draw(t, "badShare"))
		for range int(2 * m.order.Duration / modelStep) {
			m.step()
		}
		if m.order.Status.State == Completed && m.seen.Answers > 20 {
			t.Fatalf("a version with a share of %.2f bad answers was completed on %+v", m.badShare, m.seen)
		}
	})
}

// Guards against a good version that gets more than its bound before it is judged, or that is
// never decided although faults have ended.
func TestGoodVersionIsDecided(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 0)
		for i := range int(2 * m.order.Duration / modelStep) {
			m.faultless = i > int(m.order.Duration/modelStep)
			m.step()
		}
		if m.order.Status.State != Completed && m.order.Status.State != RolledBack {
			t.Fatalf("status is %+v after twice the duration", m.order.Status)
		}
	})
}

// Guards against a good version that is completed too late, or with requests on their way to
// old replicas, when nothing fails.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 0)
		m.faultless, m.reliable = true, true
		m.order.Duration = max(m.order.Duration, 12*time.Second)
		m.cfg.Slack = max(m.cfg.Slack, 20) // with less, a version may not be tried at all
		for _, h := range m.hosts {
			h.host.cfg = m.cfg
		}
		for range int(0.9 * float64(m.order.Duration) / float64(modelStep)) {
			m.step()
		}
		if m.order.Status.State != Completed {
			t.Fatalf("status is %+v after 0.9 of the duration, record %+v", m.order.Status, m.record)
		}
	})
}
