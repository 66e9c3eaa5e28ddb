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

// restartingClient answers as an upstream that starts anew with each request.
type restartingClient struct{ starts int }

func (c *restartingClient) Do(_ context.Context, _ string, r upstream.Request) (upstream.Reply, error) {
	c.starts++
	return upstream.Reply{Attempt: r.Attempt, Incarnation: string(rune('a' + c.starts))}, nil
}

// soleRights owns the first of two slots of every replica.
type soleRights struct{}

func (soleRights) allowed(time.Time, string) int { return 1 }

func (soleRights) place(string) (ownedShare, bool) {
	return ownedShare{limits: capacity.DefaultConfig(2), rank: 0, owners: 2, connections: 1}, true
}

// noticeTimeout is generous: only a notice that never comes exceeds it.
const noticeTimeout = 10 * time.Second

// Guards R3 against co-owners that go on with their shares of an upstream that has
// restarted, because the owner that saw it first tells them only with its next
// maintenance.
func TestColdStartIsToldAtOnce(t *testing.T) {
	g := newGateway(&restartingClient{}, soleRights{}, metrics.NewRegistry())
	told := make(chan capacity.Notice, 16)
	g.tell = func(_ string, n capacity.Notice) { told <- n }
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
		case n = <-told:
		case <-time.After(noticeTimeout):
			t.Fatal("no notice of the second incarnation")
		}
	}
}
