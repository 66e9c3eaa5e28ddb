package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/ownership"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// ownersInTurn names the second owner only after the first one has received its batch.
type ownersInTurn struct {
	first, second ownership.Share
	received      chan struct{}
}

func (o ownersInTurn) owners(string) []ownership.Share {
	select {
	case <-o.received:
		return []ownership.Share{o.first, o.second}
	default:
		return []ownership.Share{o.first}
	}
}

// startOwner starts a host that handles batches.
func startOwner(t *testing.T, id string, handle func(*peer.Node, context.Context, peer.Request) (any, error)) ownership.Share {
	t.Helper()
	node := startPeer(t)
	node.Handle(methodWorkBatch, func(ctx context.Context, r peer.Request) (any, error) { return handle(node, ctx, r) })
	return ownership.Share{Member: ownership.Member{ID: id, PeerAddress: node.Address()}, Slots: 1}
}

func startPeer(t *testing.T) *peer.Node {
	t.Helper()
	node := peer.NewNode(peer.Config{})
	if err := node.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = node.Close(context.Background()) })
	return node
}

// Guards against an attempt that ends with the error of an owner that has handed it back, while
// the owner that was tried next is at work on it.
func TestResultOfEarlierOwnerIsNotTaken(t *testing.T) {
	const moved, kept = "query-0", "query-1"
	received, movedOn, firstFailed := make(chan struct{}), make(chan struct{}), make(chan struct{})
	first := startOwner(t, "first", func(node *peer.Node, ctx context.Context, r peer.Request) (any, error) {
		close(received)
		if err := node.Notify(ctx, r.From, methodWorkDone, newWorkDone(moved, upstream.Reply{}, errNotOwner)); err != nil {
			return nil, err
		}
		<-movedOn
		return nil, errors.New("the batch failed")
	})
	second := startOwner(t, "second", func(node *peer.Node, ctx context.Context, r peer.Request) (any, error) {
		close(movedOn)
		<-firstFailed
		return struct{}{}, node.Notify(ctx, r.From, methodWorkDone, newWorkDone(moved, upstream.Reply{Attempt: moved}, nil))
	})
	self := startPeer(t)
	r := newRouter("self", ownersInTurn{first, second, received}, nil, self, metrics.NewRegistry())
	results := make(chan error, 1)
	attempt := func(id string, done func(upstream.Reply, error)) scatter.Attempt {
		return scatter.Attempt{ID: id, Replica: "replica", Request: upstream.Request{Attempt: id}, Deadline: time.Now().Add(10 * time.Second), Done: done}
	}
	r.Send(t.Context(), []scatter.Attempt{
		attempt(moved, func(_ upstream.Reply, err error) { results <- err }),
		attempt(kept, func(upstream.Reply, error) { close(firstFailed) }),
	})
	if err := <-results; err != nil {
		t.Errorf("the attempt ended with %v, want the second owner's reply", err)
	}
	if _, pending := r.pending.Load(moved); pending {
		t.Error("the attempt is still pending")
	}
}

// Guards against a result that counts twice: an owner hands an attempt back and its call fails
// before another owner is asked.
func TestResultOfOwnerCountsOnce(t *testing.T) {
	a := &routedAttempt{}
	owner := ownership.Member{ID: "owner", PeerAddress: "address"}
	if a.takeResult(owner.PeerAddress) {
		t.Error("took the result of an owner that was not asked")
	}
	a.assign(owner)
	if a.takeResult("another address") {
		t.Error("took the result of another owner")
	}
	if !a.takeResult(owner.PeerAddress) || a.takeResult(owner.PeerAddress) {
		t.Error("the owner's result was not taken exactly once")
	}
}
