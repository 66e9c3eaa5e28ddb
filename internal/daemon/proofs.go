package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/configuration"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/ownership"
	"github.com/marigoldlever/marigoldlever/peer"
)

const (
	// proofsPerLease is the number of renewals of the proof within a lease. With 5 the
	// right stays in force after one lost and one slow renewal.
	proofsPerLease = 5
	// proofTimeout limits one request for a proof.
	proofTimeout = 400 * time.Millisecond
)

// proofAnswer states the epoch of a host's ownership table and the age of the proof that
// the table is current.
type proofAnswer struct {
	Member ownership.Member `json:"member"`
	Epoch  uint64           `json:"epoch"`
	Proven bool             `json:"proven"`
	AgeUS  int64            `json:"age_us"` // microseconds
}

// proofRunner renews this host's proof that its ownership table is current. The two
// watchers of a data centre read the platform; the other hosts ask a watcher, so that
// the number of platform calls depends on the number of data centres and not of hosts.
type proofRunner struct {
	self   ownership.Member
	lease  time.Duration
	tables *tableRunner
	node   *peer.Node
	// live returns the ids of the live hosts of this data centre.
	live func() []string
	// onProof is called with each proof that this host obtains from the platform.
	onProof func(epoch uint64, at time.Time)
}

func newProofRunner(self ownership.Member, lease time.Duration, tables *tableRunner, node *peer.Node) *proofRunner {
	p := &proofRunner{
		self: self, lease: lease, tables: tables, node: node, live: func() []string { return []string{self.ID} },
		onProof: func(uint64, time.Time) {},
	}
	node.Handle(methodOwnershipProof, p.handle)
	return p
}

func (p *proofRunner) run(ctx context.Context) {
	ticker := time.NewTicker(p.lease / proofsPerLease)
	defer ticker.Stop()
	for {
		p.renew(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// renew obtains a proof from the platform or a watcher. If there is still no fresh one,
// it runs checkOutage, which may allow this host to continue during an outage of the
// platform.
func (p *proofRunner) renew(ctx context.Context) {
	watchers := configuration.Watchers(p.live())
	if slices.Contains(watchers, p.self.ID) {
		p.readPlatform(ctx)
	} else if !p.fresh() {
		// Most proofs arrive with heartbeats; this covers the gaps.
		p.askWatchers(ctx, watchers)
	}
	if p.fresh() {
		return
	}
	p.checkOutage(ctx)
}

// fresh reports whether this host has a proof younger than half a lease.
func (p *proofRunner) fresh() bool {
	fresh := false
	p.tables.directory.withHolder(func(now time.Time, h *ownership.LeaseHolder) {
		_, age, ok := h.Proof(now)
		fresh = ok && age < p.lease/2
	})
	return fresh
}

// readPlatform obtains a proof from the platform and reports whether the platform
// answered. It uses a watch, which transfers the table (20 KB with 200 hosts) only if it
// has changed; a watch that ends without a change is a proof as well.
func (p *proofRunner) readPlatform(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	known := p.tables.epoch()
	sentAt := time.Now()
	t, err := p.tables.watchTable(ctx, known)
	if errors.Is(err, objectstore.ErrTimeout) {
		p.tables.addProof(known, sentAt)
		p.onProof(known, sentAt)
		return true
	}
	if err != nil {
		return false
	}
	p.tables.step.Step(func(now time.Time) []ownership.Action {
		return p.tables.reconciler.ReadDone(now, sentAt, t, ownership.Done)
	})
	if t.Epoch > 0 {
		p.onProof(t.Epoch, sentAt)
	}
	return true
}

// askWatchers asks the watchers in turn until this host has a fresh proof.
func (p *proofRunner) askWatchers(ctx context.Context, watchers []string) {
	for _, m := range p.members() {
		if !slices.Contains(watchers, m.ID) {
			continue
		}
		sentAt := time.Now()
		a, err := p.askMember(ctx, m)
		if err != nil || !a.Proven {
			continue
		}
		p.tables.addProof(a.Epoch, sentAt.Add(-a.Age))
		if p.fresh() {
			return
		}
	}
}

// askMember asks a member for its proof. The epoch in the answer is always recorded, even
// if the answer arrives too late for its check.
func (p *proofRunner) askMember(ctx context.Context, m ownership.Member) (ownership.PeerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	var a proofAnswer
	if err := p.node.Call(ctx, m.PeerAddress, methodOwnershipProof, struct{}{}, &a); err != nil {
		return ownership.PeerAnswer{}, err
	}
	p.tables.observeEpoch(p.tables.dataCentre, a.Epoch)
	return ownership.PeerAnswer{Member: a.Member, Epoch: a.Epoch, Proven: a.Proven, Age: time.Duration(a.AgeUS) * time.Microsecond}, nil
}

// checkOutage asks the platform and all other members concurrently and passes the
// answers to the holder, which decides whether this host may continue during an outage.
func (p *proofRunner) checkOutage(ctx context.Context) {
	check := ownership.OutageCheck{SentAt: time.Now()}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, m := range p.members() {
		if m.ID == p.self.ID {
			continue
		}
		wait.Add(1)
		go func() {
			defer wait.Done()
			a, err := p.askMember(ctx, m)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			check.Answers = append(check.Answers, a)
		}()
	}
	check.PlatformUnreachable = !p.readPlatform(ctx)
	wait.Wait()
	p.tables.directory.withHolder(func(now time.Time, h *ownership.LeaseHolder) {
		if h.ExtendInOutage(now, check) {
			klog.V(1).InfoS("Platform unreachable, shares stay in force under the last table", "epoch", h.Table().Epoch, "answers", len(check.Answers))
		}
	})
}

// members returns the members of this host's ownership table.
func (p *proofRunner) members() []ownership.Member {
	var members []ownership.Member
	p.tables.directory.withHolder(func(_ time.Time, h *ownership.LeaseHolder) { members = h.Table().Members })
	return members
}

// handle is the other side of askMember.
func (p *proofRunner) handle(context.Context, peer.Request) (any, error) {
	a := proofAnswer{Member: p.self}
	p.tables.directory.withHolder(func(now time.Time, h *ownership.LeaseHolder) {
		epoch, age, ok := h.Proof(now)
		a.Epoch, a.AgeUS, a.Proven = epoch, age.Microseconds(), ok
	})
	return a, nil
}
