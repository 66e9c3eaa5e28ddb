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
	// proofsPerLease is how often a proof is renewed within a lease: one lost
	// round and a slow one still leave the right in force.
	proofsPerLease = 5
	// proofTimeout bounds one question for a proof.
	proofTimeout = 400 * time.Millisecond
)

// proofAnswer is what a host knows of its data centre's table.
type proofAnswer struct {
	Member ownership.Member `json:"member"`
	Epoch  uint64           `json:"epoch"`
	Proven bool             `json:"proven"`
	AgeUS  int64            `json:"age_us"` // microseconds
}

// proofRunner renews this host's proof that its ownership table is current. The
// two watchers of a data centre read the platform; the others ask a watcher, so
// that the platform's calls grow with the data centres and not with the hosts.
type proofRunner struct {
	self   ownership.Member
	lease  time.Duration
	tables *tableRunner
	node   *peer.Node
	// live returns the ids of the live hosts of this data centre.
	live func() []string
	// proven is called with each proof that this host read from the platform.
	proven func(epoch uint64, at time.Time)
}

func newProofRunner(self ownership.Member, lease time.Duration, tables *tableRunner, node *peer.Node) *proofRunner {
	p := &proofRunner{
		self: self, lease: lease, tables: tables, node: node, live: func() []string { return []string{self.ID} },
		proven: func(uint64, time.Time) {},
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

// renew asks for one proof. If none is fresh by now it makes a whole round, which
// may allow this host to continue during an outage of the platform.
func (p *proofRunner) renew(ctx context.Context) {
	watchers := configuration.Watchers(p.live())
	if slices.Contains(watchers, p.self.ID) {
		p.readPlatform(ctx)
	} else if !p.fresh() {
		// Heartbeats bring most proofs; this fills the gaps.
		p.askWatchers(ctx, watchers)
	}
	if p.fresh() {
		return
	}
	p.round(ctx)
}

func (p *proofRunner) fresh() bool {
	fresh := false
	p.tables.directory.withHolder(func(now time.Time, h *ownership.LeaseHolder) {
		_, age, ok := h.Proof(now)
		fresh = ok && age < p.lease/2
	})
	return fresh
}

// readPlatform asks the platform for the table and reports whether it answered.
// A watch brings the table, 20 KB with 200 hosts, only when it has changed; its
// end without a change is a proof too.
func (p *proofRunner) readPlatform(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	known := p.tables.epoch()
	sentAt := time.Now()
	t, err := p.tables.watchTable(ctx, known)
	if errors.Is(err, objectstore.ErrTimeout) {
		p.tables.prove(known, sentAt)
		p.proven(known, sentAt)
		return true
	}
	if err != nil {
		return false
	}
	p.tables.step.Step(func(now time.Time) []ownership.Action {
		return p.tables.keeper.ReadDone(now, sentAt, t, ownership.Done)
	})
	if t.Epoch > 0 {
		p.proven(t.Epoch, sentAt)
	}
	return true
}

func (p *proofRunner) askWatchers(ctx context.Context, watchers []string) {
	for _, m := range p.members() {
		if !slices.Contains(watchers, m.ID) {
			continue
		}
		sentAt := time.Now()
		a, err := p.ask(ctx, m)
		if err != nil || !a.Proven {
			continue
		}
		p.tables.prove(a.Epoch, sentAt.Add(-a.Age))
		if p.fresh() {
			return
		}
	}
}

// ask puts one question to a member. Whatever epoch it knows is taken over, also
// from an answer that comes too late for its round.
func (p *proofRunner) ask(ctx context.Context, m ownership.Member) (ownership.PeerAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	var a proofAnswer
	if err := p.node.Call(ctx, m.PeerAddress, methodOwnershipProof, struct{}{}, &a); err != nil {
		return ownership.PeerAnswer{}, err
	}
	p.tables.heard(p.tables.dataCentre, a.Epoch)
	return ownership.PeerAnswer{Member: a.Member, Epoch: a.Epoch, Proven: a.Proven, Age: time.Duration(a.AgeUS) * time.Microsecond}, nil
}

// round asks the platform and every other member at once.
func (p *proofRunner) round(ctx context.Context) {
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
			a, err := p.ask(ctx, m)
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
			klog.V(1).InfoS("Platform out of reach, shares continue under the last table", "epoch", h.Table().Epoch, "answers", len(check.Answers))
		}
	})
}

func (p *proofRunner) members() []ownership.Member {
	var members []ownership.Member
	p.tables.directory.withHolder(func(_ time.Time, h *ownership.LeaseHolder) { members = h.Table().Members })
	return members
}

func (p *proofRunner) handle(context.Context, peer.Request) (any, error) {
	a := proofAnswer{Member: p.self}
	p.tables.directory.withHolder(func(now time.Time, h *ownership.LeaseHolder) {
		epoch, age, ok := h.Proof(now)
		a.Epoch, a.AgeUS, a.Proven = epoch, age.Microseconds(), ok
	})
	return a, nil
}
