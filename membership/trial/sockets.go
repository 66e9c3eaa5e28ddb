package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marigoldlever/marigoldlever/membership"
	"github.com/marigoldlever/marigoldlever/peer"
)

const (
	methodGossip = "member.gossip"
	sendTimeout  = time.Second
	warmUp       = 5 * time.Second
)

// daemon is a member on real sockets and clocks, for the cost of all layers.
type daemon struct {
	node  *peer.Node
	wake  chan struct{}
	mu    sync.Mutex
	state *membership.StateMachine
}

// overSockets runs members on loopback for a time and returns a row of the table:
// bytes that the nodes framed and processor time of all threads, per member.
func overSockets(seed uint64, members int, length time.Duration) (string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var daemons []*daemon
	var known []string
	for i := range members {
		d, err := newDaemon(seed, i)
		if err != nil {
			return "", err
		}
		defer func() { _ = d.node.Close(ctx) }()
		daemons = append(daemons, d)
		known = append(known, d.node.Address())
	}
	for i, d := range daemons {
		d.state.SetJoinAddresses(known[:min(2, members)])
		go d.run(ctx)
		if i < watchers {
			go d.prove(ctx)
		}
	}
	time.Sleep(warmUp)
	bytes, cpu := sentBy(daemons), cpuTime()
	time.Sleep(length)
	bytes, cpu = sentBy(daemons)-bytes, cpuTime()-cpu
	seconds := float64(members) * length.Seconds()
	links := 0
	for _, d := range daemons {
		links += d.node.Stats().Links
	}
	return fmt.Sprintf("| %d | %.2f | %.3f | %.1f |", members, float64(bytes)/seconds/1000,
		100*cpu.Seconds()/seconds, float64(links)/float64(members)), nil
}

func sentBy(daemons []*daemon) (sum int64) {
	for _, d := range daemons {
		sum += d.node.Stats().SentBytes
	}
	return sum
}

func newDaemon(seed uint64, i int) (*daemon, error) {
	d := &daemon{node: peer.NewNode(peer.Config{}), wake: make(chan struct{}, 1)}
	d.node.Handle(methodGossip, d.receive)
	if err := d.node.Listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	self := membership.Member{ID: fmt.Sprintf("lahore-a-%04d", i), DataCentre: "lahore-a", Address: d.node.Address(),
		Incarnation: "01791043200123", Phase: membership.Serving}
	d.state = membership.New(membership.DefaultConfig(), self, rand.New(rand.NewPCG(seed, uint64(i))))
	return d, nil
}

func (d *daemon) receive(_ context.Context, r peer.Request) (any, error) {
	var m membership.Message
	if err := r.Decode(&m); err != nil {
		return nil, err
	}
	d.step(func(now time.Time) []membership.Message { return d.state.Receive(now, r.From, m) })
	return nil, nil
}

// step runs one event of the machine and sends its messages.
func (d *daemon) step(event func(now time.Time) []membership.Message) {
	d.mu.Lock()
	messages := event(time.Now())
	d.mu.Unlock()
	for _, m := range messages {
		go d.send(m) // may have to dial
	}
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

func (d *daemon) send(m membership.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
	defer cancel()
	// A lost message is repeated by the protocol.
	_ = d.node.Notify(ctx, m.To, methodGossip, m)
}

func (d *daemon) run(ctx context.Context) {
	for {
		d.mu.Lock()
		wait := time.Until(d.state.Next())
		d.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
			d.step(d.state.Tick)
		case <-d.wake:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (d *daemon) prove(ctx context.Context) {
	ticker := time.NewTicker(proofInterval)
	defer ticker.Stop()
	for {
		d.step(func(now time.Time) []membership.Message {
			d.state.SetProof(now, 1, now)
			return nil
		})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
