package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/capacity"
	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// coldNotice tells a co-owner the ramp levels of upstreams.
type coldNotice struct {
	Levels map[string]capacity.Notice `json:"levels"` // by replica
}

// maintain does the periodic work that no event triggers.
func (d *Daemon) maintain() {
	d.register()
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		d.hosts.refresh(d.ctx)
		d.gateway.refresh()
		d.sendNotices()
		d.reopener.run(d.ctx)
		d.scatter.Prune(time.Now().Add(-statisticsAge))
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// register writes this host's entry of the host list.
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

// learn takes what a reply says about its upstream and stops running queries from
// using one that has closed.
func (d *Daemon) learn(replica string, r upstream.Reply, err error, sentAt time.Time) {
	cold, closed := d.directory.observe(replica, r, err, sentAt)
	d.chill(cold)
	if closed {
		klog.InfoS("Upstream leaves", "replica", replica, "incarnation", r.Incarnation)
		d.scatter.Exclude(query.Exclusion{Replica: replica, Reason: query.ReasonLeaving})
	}
}

// sendNotices tells the co-owners of this host's upstreams their ramp levels
// again: a co-owner that lost a notice stays at a lower level.
func (d *Daemon) sendNotices() { d.sendLevels(d.gateway.notices(time.Now())) }

// tellLevel tells the co-owners of an upstream its ramp level.
func (d *Daemon) tellLevel(replica string, n capacity.Notice) {
	d.sendLevels(map[string]capacity.Notice{replica: n})
}

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
		d.gateway.notice(replica, level)
	}
	return nil, nil
}
