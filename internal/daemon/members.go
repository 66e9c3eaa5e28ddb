package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/internal/stepper"
	"github.com/marigoldlever/marigoldlever/membership"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/ownership"
	"github.com/marigoldlever/marigoldlever/peer"
)

// gossipTimeout bounds the sending of one membership message.
const gossipTimeout = 500 * time.Millisecond

// memberRunner knows the other hosts and spreads the facts that this host has.
type memberRunner struct {
	self       ownership.Member
	dataCentre string
	node       *peer.Node
	ctx        context.Context
	seeds      []string
	machine    *membership.StateMachine
	step       stepper.Stepper[membership.Message]
	members    atomic.Pointer[memberView]

	// changed is called when the members or their states changed.
	changed func(*memberView)
	// heard is called with the facts of each message and its sender's address.
	heard func(address string, f membership.Facts)
	// proof is called when a fresher proof of this data centre's table arrived.
	proof func(membership.Proof)
	// superseded is called when a later process of this host was seen.
	superseded func()
}

// memberView is the member table at one moment; it is not changed.
type memberView struct {
	generation uint64
	others     []membership.MemberState
	byID       map[string]membership.MemberState
}

func newMemberRunner(ctx context.Context, period time.Duration, self ownership.Member, dataCentre string, seeds []string, node *peer.Node, seed uint64) *memberRunner {
	cfg := membership.DefaultConfig()
	// The other times are multiples of the period that the measurements chose.
	scale := func(d time.Duration) time.Duration {
		return time.Duration(float64(d) * float64(period) / float64(cfg.Period))
	}
	cfg.SuspectAfter, cfg.DeadAfter, cfg.MinProofAdvance = scale(cfg.SuspectAfter), scale(cfg.DeadAfter), scale(cfg.MinProofAdvance)
	cfg.Period = period
	record := membership.Member{
		ID: self.ID, DataCentre: dataCentre, Address: self.PeerAddress, Incarnation: self.Incarnation, Phase: membership.Joining,
	}
	r := &memberRunner{
		self: self, dataCentre: dataCentre, node: node, ctx: ctx, seeds: seeds,
		machine: membership.New(cfg, record, rand.New(rand.NewPCG(seed, 2))),
	}
	r.members.Store(&memberView{})
	r.step.Tick, r.step.Perform = r.machine.Tick, r.send
	r.step.Next = func() (time.Time, bool) { return r.machine.Next(), true }
	node.Handle(methodGossip, r.handleGossip)
	return r
}

func (r *memberRunner) start() {
	r.step.Step(func(now time.Time) []membership.Message {
		r.machine.SetJoinAddresses(r.seeds)
		return r.machine.Tick(now)
	})
}

func (r *memberRunner) send(_ time.Time, messages []membership.Message) {
	for _, m := range messages {
		go func() {
			ctx, cancel := context.WithTimeout(r.ctx, gossipTimeout)
			defer cancel()
			// A lost message is repaired by the next period's.
			_ = r.node.Notify(ctx, m.To, methodGossip, m)
		}()
	}
	r.publish()
}

func (r *memberRunner) handleGossip(_ context.Context, request peer.Request) (any, error) {
	var m membership.Message
	if err := request.Decode(&m); err != nil {
		return nil, err
	}
	if m.From.Address == "" {
		// A record that has not changed for a while is sent without its address.
		m.From.Address = request.From
	}
	var proof membership.Proof
	var fresher, superseded bool
	r.step.Step(func(now time.Time) []membership.Message {
		before := r.machine.Proof()
		answers := r.machine.Receive(now, m.From.Address, m)
		proof = r.machine.Proof()
		fresher = proof != before
		superseded = r.machine.Superseded()
		return answers
	})
	r.publish()
	r.heard(m.From.Address, m.Facts)
	if fresher {
		r.proof(proof)
	}
	if superseded {
		r.superseded()
	}
	return nil, nil
}

// publish makes a new view if the member table changed. A view is complete before
// it is stored, since readers take no lock.
func (r *memberRunner) publish() {
	for {
		current := r.members.Load()
		next := r.viewAfter(current.generation)
		if next == nil {
			return
		}
		if r.members.CompareAndSwap(current, next) {
			r.changed(next)
			return
		}
		// Another goroutine stored a view meanwhile, perhaps an older one than this.
	}
}

// viewAfter returns the view of the member table, or nil if it is still that of
// the generation.
func (r *memberRunner) viewAfter(generation uint64) *memberView {
	var view *memberView
	r.step.View(func(time.Time) {
		if g := r.machine.Generation(); g != generation {
			view = &memberView{generation: g, others: r.machine.Members(), byID: make(map[string]membership.MemberState)}
		}
	})
	if view == nil {
		return nil
	}
	for _, m := range view.others {
		view.byID[m.ID] = m
	}
	return view
}

// setHosts takes the platform's host list as addresses to join through.
func (r *memberRunner) setHosts(hosts []objectstore.Host) {
	addresses := slices.Clone(r.seeds)
	for _, h := range hosts {
		if h.Role == objectstore.RoleEntry && h.ID != r.self.ID {
			addresses = append(addresses, h.PeerAddress)
		}
	}
	r.step.Step(func(time.Time) []membership.Message {
		r.machine.SetJoinAddresses(addresses)
		return nil
	})
}

func (r *memberRunner) setConfiguration(number uint64) {
	r.step.Step(func(now time.Time) []membership.Message {
		r.machine.SetConfiguration(now, number)
		return nil
	})
}

func (r *memberRunner) setEpoch(dataCentre string, epoch uint64) {
	r.step.Step(func(now time.Time) []membership.Message {
		r.machine.SetEpoch(now, dataCentre, epoch)
		return nil
	})
}

func (r *memberRunner) setProof(epoch uint64, at time.Time) {
	r.step.Step(func(now time.Time) []membership.Message {
		r.machine.SetProof(now, epoch, at)
		return nil
	})
}

var phases = map[drain.Phase]membership.Phase{
	drain.Starting: membership.Joining,
	drain.Ready:    membership.Serving,
	drain.Out:      membership.Serving,
	drain.Leaving:  membership.Leaving,
	drain.Stopped:  membership.Left,
}

func (r *memberRunner) announce(p drain.Phase) {
	r.step.Step(func(now time.Time) []membership.Message {
		r.machine.SetPhase(now, phases[p])
		return nil
	})
}

// live reports whether a host takes work: it is not suspected, leaving or gone.
func live(m membership.MemberState) bool {
	return m.Status == membership.Live && (m.Phase == membership.Serving || m.Phase == membership.Joining)
}

// liveHere returns the ids of this data centre's live hosts, this one included.
func (r *memberRunner) liveHere() []string {
	ids := []string{r.self.ID}
	for _, m := range r.members.Load().others {
		if m.DataCentre == r.dataCentre && live(m) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// isLive tells whether an owner should be preferred. A process that another one
// of the same host replaced is not live. A host that its table names and that this
// host has not heard of yet is taken as live: news of a table can outrun the news
// of its members.
func (r *memberRunner) isLive(m ownership.Member) bool {
	if m.ID == r.self.ID {
		return m.Incarnation == r.self.Incarnation
	}
	known, ok := r.members.Load().byID[m.ID]
	if !ok {
		return true
	}
	return known.Incarnation == m.Incarnation && live(known)
}

// othersHere returns the other hosts of this data centre that are not gone.
func (r *memberRunner) othersHere() []membership.MemberState {
	return slices.DeleteFunc(r.others(), func(m membership.MemberState) bool { return m.DataCentre != r.dataCentre })
}

// others returns the other hosts that are not gone.
func (r *memberRunner) others() []membership.MemberState {
	var list []membership.MemberState
	for _, m := range r.members.Load().others {
		if m.Status != membership.Dead && m.Phase != membership.Left {
			list = append(list, m)
		}
	}
	return list
}

// journalWriters returns the ids of all live hosts that serve.
func (r *memberRunner) journalWriters() []string {
	ids := []string{r.self.ID}
	for _, m := range r.members.Load().others {
		if live(m) && m.Phase == membership.Serving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// address returns the peer address of a host.
func (r *memberRunner) address(id string) string { return r.members.Load().byID[id].Address }

// holdersOfTable returns the addresses of hosts to ask for a table: those of its
// data centre first.
func (r *memberRunner) holdersOfTable(dataCentre string) []string {
	var first, then []string
	for _, m := range r.members.Load().others {
		switch {
		case !live(m):
		case m.DataCentre == dataCentre:
			first = append(first, m.Address)
		case m.DataCentre == r.dataCentre:
			then = append(then, m.Address)
		}
	}
	return append(first[:min(len(first), maxTableAsked)], then[:min(len(then), maxTableAsked)]...)
}

// maxTableAsked bounds how many hosts of a data centre are asked for a table
// before the platform is.
const maxTableAsked = 2

// peersOf converts the hosts of this data centre for the ownership keeper.
func (r *memberRunner) peersOf(view *memberView) []ownership.Peer {
	var peers []ownership.Peer
	for _, m := range view.others {
		if m.DataCentre != r.dataCentre {
			continue
		}
		peers = append(peers, ownership.Peer{
			Member: ownership.Member{ID: m.ID, Incarnation: m.Incarnation, PeerAddress: m.Address}, Status: ownershipStatus(m),
		})
	}
	return peers
}

func ownershipStatus(m membership.MemberState) ownership.Status {
	switch {
	case m.Status == membership.Dead || m.Phase == membership.Left:
		return ownership.Dead
	case m.Phase == membership.Leaving:
		return ownership.Leaving
	case m.Status == membership.Suspect:
		return ownership.Suspect
	default:
		return ownership.Live
	}
}

// membersChanged passes a new view to the parts that use it.
func (d *Daemon) membersChanged(view *memberView) {
	d.tables.observe(d.members.peersOf(view))
	d.configuration.setMembers(d.members.liveHere())
	for _, m := range view.others {
		if m.Status == membership.Dead || m.Phase == membership.Left {
			klog.V(1).InfoS("Host is gone", "host", m.ID, "status", m.Status, "phase", m.Phase)
			d.configuration.peerGone(m.Address)
		}
	}
}

// factsHeard passes what a peer knows to the parts that follow it.
func (d *Daemon) factsHeard(address string, f membership.Facts) {
	if f.Configuration > 0 {
		d.configuration.peerAt(address, f.Configuration)
	}
	for dataCentre, epoch := range f.Epochs {
		d.tables.heard(dataCentre, epoch)
	}
}
