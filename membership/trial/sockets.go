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

// daemon is a member with real sockets and clocks. It includes the cost of all
// layers.
type daemon struct {
	node    *peer.Node
	wake    chan struct{}
	mu      sync.Mutex
	machine *membership.StateMachine
}

// runOverSockets runs members over loopback sockets for a time. It returns a row of
// the results table with the framed bytes and the CPU time of all threads, per
// member.
func runOverSockets(seed uint64, members int, length time.Duration) (string, error) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var daemons []*daemon
	var addresses []string
	for i := range members {
		d, err := newDaemon(seed, i)
		if err != nil {
			return "", err
		}
		defer func() { _ = d.node.Close(ctx) }()
		daemons = append(daemons, d)
		addresses = append(addresses, d.node.Address())
	}
	for i, d := range daemons {
		d.machine.SetJoinAddresses(addresses[:min(2, members)])
		go d.run(ctx)
		if i < watchers {
			go d.renewProof(ctx)
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
	d.machine = membership.New(membership.DefaultConfig(), self, rand.New(rand.NewPCG(seed, uint64(i))))
	return d, nil
}

func (d *daemon) receive(_ context.Context, r peer.Request) (any, error) {
	var m membership.Message
	if err := r.Decode(&m); err != nil {
		return nil, err
	}
	d.step(func(now time.Time) []membership.Message { return d.machine.Receive(now, r.From, m) })
	return nil, nil
}

// step runs one event of the state machine and sends the resulting messages.
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
	// The protocol tolerates lost messages.
	_ = d.node.Notify(ctx, m.To, methodGossip, m)
}

func (d *daemon) run(ctx context.Context) {
	for {
		d.mu.Lock()
		wait := time.Until(d.machine.Next())
		d.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
			d.step(d.machine.Tick)
		case <-d.wake:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (d *daemon) renewProof(ctx context.Context) {
	ticker := time.NewTicker(proofInterval)
	defer ticker.Stop()
	for {
		d.step(func(now time.Time) []membership.Message {
			d.machine.SetProof(now, 1, now)
			return nil
		})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
