package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/capacity"
	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// restartingClient answers each request as a new incarnation of the upstream.
type restartingClient struct{ starts int }

func (c *restartingClient) Do(_ context.Context, _ string, r upstream.Request) (upstream.Reply, error) {
	c.starts++
	return upstream.Reply{Attempt: r.Attempt, Incarnation: string(rune('a' + c.starts))}, nil
}

// firstOwnerRights makes this host the first of two owners of every replica, with one slot.
type firstOwnerRights struct{}

func (firstOwnerRights) allowedSlots(time.Time, string) int { return 1 }

func (firstOwnerRights) shareOf(string) (ownedShare, bool) {
	return ownedShare{limits: capacity.DefaultConfig(2), rank: 0, owners: 2, connections: 1}, true
}

// noticeTimeout is long enough that it expires only if no notice is sent.
const noticeTimeout = 10 * time.Second

// Guards requirement R3: co-owners must not keep using their full shares of an upstream
// that has restarted. They would if the owner that detects the restart sent its notice
// only with the next periodic maintenance.
func TestColdStartNoticeIsSentImmediately(t *testing.T) {
	g := newGateway(&restartingClient{}, firstOwnerRights{}, metrics.NewRegistry())
	notices := make(chan capacity.Notice, 16)
	g.notifyOwners = func(_ string, n capacity.Notice) { notices <- n }
	for _, id := range []string{"first", "second"} {
		done := make(chan error, 1)
		a := scatter.Attempt{ID: id, Replica: "replica", Request: upstream.Request{Attempt: id}, Deadline: time.Now().Add(noticeTimeout)}
		g.submit(t.Context(), a,
			func(_ upstream.Reply, err error) { done <- err })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
	}
	for n := (capacity.Notice{}); n.Incarnation != "c"; {
		select {
		case n = <-notices:
		case <-time.After(noticeTimeout):
			t.Fatal("no notice of the restarted incarnation")
		}
	}
}
