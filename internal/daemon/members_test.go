package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/membership"
	"github.com/marigoldlever/marigoldlever/ownership"
	"github.com/marigoldlever/marigoldlever/peer"
)

// Guards against skipping an owner because the table that names it arrived before its
// first heartbeat. At the start of a system the other owners of a cold upstream refuse
// requests, so the query would lose that part of its answer.
func TestUnknownOwnerCountsAsLive(t *testing.T) {
	self := ownership.Member{ID: "self", Incarnation: "1"}
	r := newMemberRunner(t.Context(), time.Second, self, "dc", nil, peer.NewNode(peer.Config{}), 1)
	r.view.Store(&memberView{byID: map[string]membership.MemberState{
		"live":     {Member: membership.Member{ID: "live", Incarnation: "1", Phase: membership.Serving}},
		"dead":     {Member: membership.Member{ID: "dead", Incarnation: "1", Phase: membership.Serving, Status: membership.Dead}},
		"left":     {Member: membership.Member{ID: "left", Incarnation: "1", Phase: membership.Left}},
		"replaced": {Member: membership.Member{ID: "replaced", Incarnation: "2", Phase: membership.Serving}},
	}})
	for id, want := range map[string]bool{"self": true, "live": true, "unknown": true, "dead": false, "left": false, "replaced": false} {
		if got := r.isLive(ownership.Member{ID: id, Incarnation: "1"}); got != want {
			t.Errorf("owner %s counts as live: %t, want %t", id, got, want)
		}
	}
}

// Guards against a data race between start and the heartbeats of hosts that started
// earlier: these arrive as soon as the host listens, before it joins through its seeds.
func TestHeartbeatBeforeStart(t *testing.T) {
	self := ownership.Member{ID: "self", Incarnation: "1"}
	node := peer.NewNode(peer.Config{})
	t.Cleanup(func() { _ = node.Close(context.Background()) })
	r := newMemberRunner(t.Context(), time.Hour, self, "dc", []string{"127.0.0.1:1"}, node, 1)
	r.onChange = func(*memberView) {}
	stepped := make(chan struct{})
	go func() {
		defer close(stepped)
		// A heartbeat steps the machine, whose timer is then due immediately.
		r.step.Step(func(time.Time) []membership.Message { return nil })
	}()
	// Nothing orders the two in a daemon. A channel here would hide the race.
	time.Sleep(10 * time.Millisecond)
	r.start()
	<-stepped
	r.step.Stop()
}
