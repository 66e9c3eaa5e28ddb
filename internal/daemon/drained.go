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

// healthTimeout limits one health request to a drained upstream, or one request for
// upstream states to an owner.
const healthTimeout = 500 * time.Millisecond

// upstreamState is the last known state of an upstream that has signalled draining.
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

// drainedProber detects when upstreams that signalled draining have returned. They
// receive no requests, so no reply can show it. The first owner of an upstream requests
// its health; the other hosts ask that owner, so that not every host sends health
// requests to the upstream.
type drainedProber struct {
	daemon *Daemon
	health func(ctx context.Context, address string) (upstreamhttp.Health, error)
	states sync.Map // replica id to upstreamState
}

func newDrainedProber(d *Daemon) *drainedProber {
	r := &drainedProber{daemon: d, health: d.client.Health}
	d.node.Handle(methodUpstreamState, r.handle)
	return r
}

// run checks once all upstreams that are closed because they signalled draining.
func (r *drainedProber) run(ctx context.Context) {
	ask := make(map[string][]string) // peer address to replicas
	r.daemon.directory.draining.Range(func(key, _ any) bool {
		replica := key.(string)
		owners := r.daemon.directory.owners(replica)
		if len(owners) == 0 {
			return true
		}
		if owners[0].Member.ID == r.daemon.settings.Host.ID {
			r.probe(ctx, replica)
		} else {
			ask[owners[0].Member.PeerAddress] = append(ask[owners[0].Member.PeerAddress], replica)
		}
		return true
	})
	for address, replicas := range ask {
		r.ask(ctx, address, replicas)
	}
}

// probe requests the health of an upstream and applies it.
func (r *drainedProber) probe(ctx context.Context, replica string) {
	share, ok := r.daemon.directory.shareOf(replica)
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
	r.states.Store(replica, state)
	r.applyReport(replica, state, sentAt)
}

// ask requests the states of upstreams from their first owner and applies them.
func (r *drainedProber) ask(ctx context.Context, address string, replicas []string) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	sentAt := time.Now()
	var a stateAnswer
	if err := r.daemon.node.Call(ctx, address, methodUpstreamState, stateRequest{Replicas: replicas}, &a); err != nil {
		return
	}
	for replica, state := range a.States {
		r.applyReport(replica, state, sentAt)
	}
}

// applyReport passes the state of an upstream to the directory and to its limiter.
func (r *drainedProber) applyReport(replica string, s upstreamState, sentAt time.Time) {
	resets, _ := r.daemon.directory.applyReport(drain.Report{
		Replica: replica, Incarnation: s.Incarnation, SentAt: sentAt, Draining: s.Draining,
	})
	r.daemon.resetRamps(resets)
	r.daemon.gateway.applyReport(replica, s.Incarnation, upstream.Load{Draining: s.Draining})
}

// handle is the first owner's side of ask.
func (r *drainedProber) handle(_ context.Context, request peer.Request) (any, error) {
	var q stateRequest
	if err := request.Decode(&q); err != nil {
		return nil, err
	}
	a := stateAnswer{States: make(map[string]upstreamState)}
	for _, replica := range q.Replicas {
		if s, ok := r.states.Load(replica); ok {
			a.States[replica] = s.(upstreamState)
		}
	}
	return a, nil
}
