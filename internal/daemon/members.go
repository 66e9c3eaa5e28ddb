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

// gossipTimeout limits the sending of one membership message.
const gossipTimeout = 500 * time.Millisecond

// memberRunner runs the membership protocol: it tracks the other hosts and spreads the
// facts that this host knows by gossip.
type memberRunner struct {
	self       ownership.Member
	dataCentre string
	node       *peer.Node
	ctx        context.Context
	seeds      []string
	machine    *membership.StateMachine
	step       stepper.Stepper[membership.Message]
	view       atomic.Pointer[memberView]

	// onChange is called when members or their states have changed.
	onChange func(*memberView)
	// onReceive is called with the facts of each message and its sender's address.
	onReceive func(address string, f membership.Facts)
	// proof is called when a newer proof of this data centre's table arrives.
	proof func(membership.Proof)
	// superseded is called when a later process of this host is detected.
	superseded func()
}

// memberView is an immutable snapshot of the member table.
type memberView struct {
	generation uint64
	others     []membership.MemberState
	byID       map[string]membership.MemberState
}

func newMemberRunner(ctx context.Context, period time.Duration, self ownership.Member, dataCentre string, seeds []string, node *peer.Node, seed uint64) *memberRunner {
	cfg := membership.DefaultConfig()
	// The other times keep their ratio to the default period, for which they were
	// measured.
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
	r.view.Store(&memberView{})
	r.step.Tick, r.step.Perform = r.machine.Tick, r.send
	r.step.Next = func() (time.Time, bool) { return r.machine.Next(), true }
	node.Handle(methodGossip, r.handleGossip)
	return r
}

// start joins through the seeds and starts the periodic gossip.
func (r *memberRunner) start() {
	r.step.Step(func(now time.Time) []membership.Message {
		r.machine.SetJoinAddresses(r.seeds)
		return r.machine.Tick(now)
	})
}

// send sends the messages of a step, each in a goroutine of its own.
func (r *memberRunner) send(_ time.Time, messages []membership.Message) {
	for _, m := range messages {
		go func() {
			ctx, cancel := context.WithTimeout(r.ctx, gossipTimeout)
			defer cancel()
			// A lost message needs no retry: the next period sends another.
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
		// Records that have not changed for a while are sent without their address.
		m.From.Address = request.From
	}
	var proof membership.Proof
	var newer, superseded bool
	r.step.Step(func(now time.Time) []membership.Message {
		before := r.machine.Proof()
		answers := r.machine.Receive(now, m.From.Address, m)
		proof = r.machine.Proof()
		newer = proof != before
		superseded = r.machine.Superseded()
		return answers
	})
	r.publish()
	r.onReceive(m.From.Address, m.Facts)
	if newer {
		r.proof(proof)
	}
	if superseded {
		r.superseded()
	}
	return nil, nil
}

// publish stores a new view if the member table has changed. Readers take no lock, so
// a view must be complete before it is stored.
func (r *memberRunner) publish() {
	for {
		current := r.view.Load()
		next := r.viewAfter(current.generation)
		if next == nil {
			return
		}
		if r.view.CompareAndSwap(current, next) {
			r.onChange(next)
			return
		}
		// Another goroutine has stored a view meanwhile, which may be older than this one.
	}
}

// viewAfter returns a view of the member table, or nil if the table has not changed
// since the given generation.
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

// setHosts uses the addresses of the platform's host list for joining.
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

// phases maps a host's drain phase to the membership phase that it announces.
var phases = map[drain.Phase]membership.Phase{
	drain.Starting: membership.Joining,
	drain.Ready:    membership.Serving,
	drain.Out:      membership.Serving,
	drain.Leaving:  membership.Leaving,
	drain.Stopped:  membership.Left,
}

// announcePhase spreads the phase of this host.
func (r *memberRunner) announcePhase(p drain.Phase) {
	r.step.Step(func(now time.Time) []membership.Message {
		r.machine.SetPhase(now, phases[p])
		return nil
	})
}

// takesWork reports whether a host accepts requests: it is not suspected of having
// failed, not leaving and not gone.
func takesWork(m membership.MemberState) bool {
	return m.Status == membership.Live && (m.Phase == membership.Serving || m.Phase == membership.Joining)
}

// liveInDataCentre returns the ids of the live hosts of this data centre, including
// this one.
func (r *memberRunner) liveInDataCentre() []string {
	ids := []string{r.self.ID}
	for _, m := range r.view.Load().others {
		if m.DataCentre == r.dataCentre && takesWork(m) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// isLive reports whether an owner should be preferred. A process that a later one of
// the same host has superseded is not live. A host that this one does not know yet
// counts as live if a table names it, since a table can arrive before the membership
// records of its members.
func (r *memberRunner) isLive(m ownership.Member) bool {
	if m.ID == r.self.ID {
		return m.Incarnation == r.self.Incarnation
	}
	known, ok := r.view.Load().byID[m.ID]
	if !ok {
		return true
	}
	return known.Incarnation == m.Incarnation && takesWork(known)
}

// othersInDataCentre returns the other hosts of this data centre that are not gone.
func (r *memberRunner) othersInDataCentre() []membership.MemberState {
	return slices.DeleteFunc(r.others(), func(m membership.MemberState) bool { return m.DataCentre != r.dataCentre })
}

// others returns the other hosts that are not gone.
func (r *memberRunner) others() []membership.MemberState {
	var list []membership.MemberState
	for _, m := range r.view.Load().others {
		if m.Status != membership.Dead && m.Phase != membership.Left {
			list = append(list, m)
		}
	}
	return list
}

// journalWriters returns the ids of all live hosts that serve, in all data centres.
func (r *memberRunner) journalWriters() []string {
	ids := []string{r.self.ID}
	for _, m := range r.view.Load().others {
		if takesWork(m) && m.Phase == membership.Serving {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// address returns the peer address of a host.
func (r *memberRunner) address(id string) string { return r.view.Load().byID[id].Address }

// tableHolders returns the addresses of hosts from which to fetch a data centre's
// table: hosts of that data centre first, then hosts of this one.
func (r *memberRunner) tableHolders(dataCentre string) []string {
	var owning, local []string
	for _, m := range r.view.Load().others {
		switch {
		case !takesWork(m):
		case m.DataCentre == dataCentre:
			owning = append(owning, m.Address)
		case m.DataCentre == r.dataCentre:
			local = append(local, m.Address)
		}
	}
	return append(owning[:min(len(owning), maxTableHolders)], local[:min(len(local), maxTableHolders)]...)
}

// maxTableHolders limits the number of hosts of a data centre that are asked for a
// table before it is read from the platform.
const maxTableHolders = 2

// ownershipPeers converts the other hosts of this data centre for the ownership reconciler.
func (r *memberRunner) ownershipPeers(view *memberView) []ownership.Peer {
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

// applyMembers passes a new view to the components that use it.
func (d *Daemon) applyMembers(view *memberView) {
	d.tables.setPeers(d.members.ownershipPeers(view))
	d.configuration.setMembers(d.members.liveInDataCentre())
	for _, m := range view.others {
		if m.Status == membership.Dead || m.Phase == membership.Left {
			klog.V(1).InfoS("Host is gone", "host", m.ID, "status", m.Status, "phase", m.Phase)
			d.configuration.removePeer(m.Address)
		}
	}
}

// applyFacts passes the facts that a peer knows to the components that use them.
func (d *Daemon) applyFacts(address string, f membership.Facts) {
	if f.Configuration > 0 {
		d.configuration.setPeer(address, f.Configuration)
	}
	for dataCentre, epoch := range f.Epochs {
		d.tables.observeEpoch(dataCentre, epoch)
	}
}
