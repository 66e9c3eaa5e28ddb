package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/capacity"
	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/internal/membudget"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// coldNotice is the message that sends the ramp levels of upstreams to a co-owner.
type coldNotice struct {
	Levels map[string]capacity.Notice `json:"levels"` // by replica
}

// maintain does the periodic work until the daemon stops: it refreshes the host list
// and the shares, sends ramp levels, probes drained upstreams and drops old statistics.
func (d *Daemon) maintain() {
	d.register()
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		d.hosts.refresh(d.ctx)
		d.gateway.refresh()
		d.sendAllLevels()
		d.drainedProber.run(d.ctx)
		d.scatter.Prune(time.Now().Add(-statisticsAge), membudget.Host(d.settings.Limits.MemoryMB).Statistics()/maxScatterStripes)
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// register writes this host's entry to the platform's host list.
func (d *Daemon) register() {
	ctx, cancel := context.WithTimeout(d.ctx, d.settings.Platform.Timeout)
	defer cancel()
	err := d.platform.Register(ctx, objectstore.Host{
		ID: d.settings.Host.ID, Role: objectstore.RoleEntry, DataCentre: d.settings.Host.DataCentre,
		PeerAddress: d.settings.Host.PeerAddress, CallerAddress: d.settings.Host.CallerAddress,
		Leaving: d.lifecycle.Phase() == drain.Leaving,
	})
	if err != nil {
		klog.V(1).InfoS("Host list entry not written", "err", err)
	}
}

// observeReply records what a reply tells about its upstream. If the upstream has just
// closed, it excludes it from the running queries.
func (d *Daemon) observeReply(replica string, r upstream.Reply, err error, sentAt time.Time) {
	resets, closed := d.directory.recordReply(replica, r, err, sentAt)
	d.resetRamps(resets)
	if closed {
		klog.InfoS("Upstream leaves", "replica", replica, "incarnation", r.Incarnation)
		d.scatter.Exclude(query.Exclusion{Replica: replica, Reason: query.ReasonLeaving})
	}
}

// sendAllLevels sends the ramp levels of this host's upstreams to their co-owners. It
// repeats them periodically, because a co-owner that misses a notice stays at a lower
// level.
func (d *Daemon) sendAllLevels() { d.sendLevels(d.gateway.levelsToSend(time.Now())) }

// sendLevel sends the ramp level of an upstream to its co-owners.
func (d *Daemon) sendLevel(replica string, n capacity.Notice) {
	d.sendLevels(map[string]capacity.Notice{replica: n})
}

// sendLevels sends the ramp levels in one message per co-owner.
func (d *Daemon) sendLevels(levels map[string]capacity.Notice) {
	byOwner := make(map[string]coldNotice)
	for replica, notice := range levels {
		for _, s := range d.directory.allOwners(replica) {
			if s.Member.ID == d.settings.Host.ID {
				continue
			}
			n, ok := byOwner[s.Member.PeerAddress]
			if !ok {
				n = coldNotice{Levels: make(map[string]capacity.Notice)}
				byOwner[s.Member.PeerAddress] = n
			}
			n.Levels[replica] = notice
		}
	}
	ctx, cancel := context.WithTimeout(d.ctx, maintenanceInterval)
	defer cancel()
	for address, n := range byOwner {
		_ = d.node.Notify(ctx, address, methodColdNotice, n)
	}
}

func (d *Daemon) handleColdNotice(_ context.Context, request peer.Request) (any, error) {
	var n coldNotice
	if err := request.Decode(&n); err != nil {
		return nil, err
	}
	for replica, level := range n.Levels {
		d.gateway.applyLevel(replica, level)
	}
	return nil, nil
}
