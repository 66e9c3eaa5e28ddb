package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/upstream"
	"github.com/marigoldlever/marigoldlever/upstream/upstreamhttp"
)

// healthTimeout bounds one look at an upstream that drains.
const healthTimeout = 500 * time.Millisecond

// upstreamState is what an owner knows of an upstream that drained.
type upstreamState struct {
	Incarnation string `json:"incarnation"`
	Draining    bool   `json:"draining"`
}

type stateRequest struct {
	Replicas []string `json:"replicas"`
}

type stateAnswer struct {
	States map[string]upstreamState `json:"states"` // by replica
}

// reopener finds out when upstreams that drained have come back. No work goes to
// them, so no reply tells. Their first owner looks at their health; other hosts
// ask that owner, so that an upstream isn't asked by every host.
type reopener struct {
	daemon *Daemon
	health func(ctx context.Context, address string) (upstreamhttp.Health, error)
	seen   sync.Map // replica id to upstreamState
}

func newReopener(d *Daemon) *reopener {
	r := &reopener{daemon: d, health: d.client.Health}
	d.node.Handle(methodUpstreamState, r.handle)
	return r
}

// run looks once at all upstreams that are closed by their own signal.
func (r *reopener) run(ctx context.Context) {
	ask := make(map[string][]string) // peer address to replicas
	r.daemon.directory.draining.Range(func(key, _ any) bool {
		replica := key.(string)
		owners := r.daemon.directory.owners(replica)
		if len(owners) == 0 {
			return true
		}
		if owners[0].Member.ID == r.daemon.settings.Host.ID {
			r.look(ctx, replica)
		} else {
			ask[owners[0].Member.PeerAddress] = append(ask[owners[0].Member.PeerAddress], replica)
		}
		return true
	})
	for address, replicas := range ask {
		r.ask(ctx, address, replicas)
	}
}

func (r *reopener) look(ctx context.Context, replica string) {
	share, ok := r.daemon.directory.place(replica)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	sentAt := time.Now()
	h, err := r.health(ctx, share.address)
	if err != nil {
		return
	}
	state := upstreamState{Incarnation: h.Incarnation, Draining: h.Load.Draining}
	r.seen.Store(replica, state)
	r.report(replica, state, sentAt)
}

func (r *reopener) ask(ctx context.Context, address string, replicas []string) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	sentAt := time.Now()
	var a stateAnswer
	if err := r.daemon.node.Call(ctx, address, methodUpstreamState, stateRequest{Replicas: replicas}, &a); err != nil {
		return
	}
	for replica, state := range a.States {
		r.report(replica, state, sentAt)
	}
}

func (r *reopener) report(replica string, s upstreamState, sentAt time.Time) {
	cold, _ := r.daemon.directory.report(drain.Report{
		Replica: replica, Incarnation: s.Incarnation, SentAt: sentAt, Draining: s.Draining,
	})
	r.daemon.chill(cold)
	r.daemon.gateway.report(replica, s.Incarnation, upstream.Load{Draining: s.Draining})
}

func (r *reopener) handle(_ context.Context, request peer.Request) (any, error) {
	var q stateRequest
	if err := request.Decode(&q); err != nil {
		return nil, err
	}
	a := stateAnswer{States: make(map[string]upstreamState)}
	for _, replica := range q.Replicas {
		if s, ok := r.seen.Load(replica); ok {
			a.States[replica] = s.(upstreamState)
		}
	}
	return a, nil
}
