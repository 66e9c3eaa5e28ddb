package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/wait"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/rollout"
)

// activeRollout is this host's part in a roll-out: who leads it, and its leader if that is this host.
type activeRollout struct {
	id     rollout.OrderID
	order  rollout.Order
	seenAt time.Time
	// leaderAddress is that of the leader; empty if it is not known.
	leaderAddress string
	// asked counts the reports without a leader's reply. While no leader is known, it selects the
	// host that is asked next.
	asked     int
	candidate rollout.Candidate
	readAt    time.Time // when the record was read last to take the lead

	leader    *rollout.Leader // nil if another host leads
	revision  uint64          // of the record
	writtenAt time.Time       // when the last write of the record that succeeded was sent
	// endedAt is when the order was decided or removed; zero before.
	endedAt time.Time
}

// endedRolloutTime is how long after its end a leader goes on telling other hosts.
const endedRolloutTime = 10 * time.Second

// runUntil carries out roll-outs until ctx ends.
func (r *rollouts) runUntil(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { wait.Every(ctx, reportInterval, func(time.Time) { r.lead(ctx) }) })
	for wait.For(ctx, r.reportInterval()) {
		r.report(ctx)
	}
	group.Wait()
}

// reportInterval returns the time between two reports of this host.
func (r *rollouts) reportInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(reportInterval, time.Duration(len(r.hosts))*reportIntervalPerHost)
}

// update brings the active roll-outs in line with the orders and returns those that are carried out.
func (r *rollouts) update(now time.Time) []*activeRollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	orders := r.host.Trials()
	var active []*activeRollout
	for _, o := range orders {
		c := r.active[o.OrderID]
		if c == nil {
			c = &activeRollout{id: o.OrderID, seenAt: now}
			r.active[o.OrderID] = c
		}
		c.order = o
		if c.leader != nil {
			c.leader.SetOrder(o)
		}
		active = append(active, c)
	}
	for id, c := range r.active {
		switch {
		case slices.Contains(active, c):
		case c.endedAt.IsZero():
			c.endedAt = now
		case now.Sub(c.endedAt) >= endedRolloutTime:
			delete(r.active, id)
		}
	}
	r.running.Update(int64(len(active)))
	return active
}

// report reports to the leaders of all roll-outs.
func (r *rollouts) report(ctx context.Context) {
	var group sync.WaitGroup
	for _, c := range r.update(time.Now()) {
		group.Go(func() { r.reportOn(ctx, c) })
	}
	group.Wait()
}

// reportOn reports on a roll-out to its leader, which may be this host.
func (r *rollouts) reportOn(ctx context.Context, c *activeRollout) {
	sentAt := time.Now()
	r.mu.Lock()
	id := c.id
	report, ok := r.host.Report(sentAt, id)
	if !ok {
		r.mu.Unlock()
		return
	}
	if c.leader != nil {
		r.handleReply(sentAt, c, c.leader.HandleReport(sentAt, report))
		r.mu.Unlock()
		return
	}
	address := r.destination(sentAt, c)
	r.mu.Unlock()
	if address == "" {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var reply rollout.Reply
	r.reports.Inc(1)
	err := r.node.Call(callCtx, address, methodReport, report, &reply)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reported(sentAt, c, address, reply, err)
}

// reported applies the answer to a report: the reply of the leader, or the hint of another host or a
// failure, from which follows whom to ask next. The caller holds mu.
func (r *rollouts) reported(sentAt time.Time, c *activeRollout, address string, reply rollout.Reply, err error) {
	if err == nil && reply.Fence > 0 {
		c.leaderAddress = address
		r.handleReply(sentAt, c, reply)
		return
	}
	if err != nil {
		r.failures.Inc(1)
		klog.V(1).InfoS("Report on a roll-out failed", "order", c.id.Name, "leader", address, "err", err)
	}
	c.asked++
	switch {
	case err == nil && reply.LeaderAddress != "":
		c.leaderAddress = reply.LeaderAddress
	case r.host.Quiet(time.Now(), c.id) >= leaderTimeout, err == nil && c.leaderAddress == address:
		c.leaderAddress = "" // the leader has failed, or says that it doesn't lead
	}
}

// destination returns the address to which a report is sent: that of the leader, or of the
// hosts that may lead in turn. The caller holds mu.
func (r *rollouts) destination(now time.Time, c *activeRollout) string {
	if c.leaderAddress != "" && c.leaderAddress != r.entry.settings.PeerAddress {
		return c.leaderAddress
	}
	others := slices.DeleteFunc(rollout.Rank(c.id.Service, r.hosts), func(p rollout.Peer) bool { return p.ID == r.entry.settings.Host })
	if len(others) == 0 {
		return ""
	}
	return others[c.asked%len(others)].Address
}

// handleReply applies a leader's reply. The caller holds mu.
func (r *rollouts) handleReply(sentAt time.Time, c *activeRollout, reply rollout.Reply) {
	if entered := r.host.HandleReply(time.Now(), sentAt, reply); entered != "" {
		klog.InfoS("Roll-out enters phase", "order", c.id.Name, "service", c.id.Service, "version", c.id.Version, "phase", entered, "fence", reply.Fence)
	}
}

// handleReport handles the report of another host.
func (r *rollouts) handleReport(_ context.Context, request peer.Request) (any, error) {
	var report rollout.Report
	if err := request.Decode(&report); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.active[report.Order]
	switch {
	case c == nil:
		return rollout.Reply{Order: report.Order}, nil
	case c.leader == nil:
		return rollout.Reply{Order: report.Order, LeaderAddress: c.leaderAddress}, nil
	}
	return c.leader.HandleReport(time.Now(), report), nil
}

// lead does the work of a leader for the roll-outs that this host leads, and takes the lead of
// others if nobody does.
func (r *rollouts) lead(ctx context.Context) {
	var group sync.WaitGroup
	leading := int64(0)
	for _, c := range r.update(time.Now()) {
		r.mu.Lock()
		leads, stopping := c.leader != nil, r.stopping
		r.mu.Unlock()
		switch {
		case leads && stopping:
			group.Go(func() { r.release(ctx, c) })
		case leads:
			leading++
			group.Go(func() { r.advance(ctx, c) })
		case !stopping:
			group.Go(func() { r.tryLead(ctx, c) })
		}
	}
	group.Wait()
	r.leading.Update(leading)
}

// tryLead takes the lead of a roll-out if it is this host's turn and the lead is free.
func (r *rollouts) tryLead(ctx context.Context, c *activeRollout) {
	order, due := r.leadDue(time.Now(), c)
	if !due {
		return
	}
	present, revision, err := r.store.ReadRecord(ctx, order.Name)
	if err != nil {
		klog.V(1).InfoS("Failed to read the record of a roll-out", "order", order.Name, "err", err)
		return
	}
	record, free := r.nextTerm(c, order, present)
	if !free {
		return
	}
	revision, err = r.store.WriteRecord(ctx, order.Name, record, revision)
	if err != nil {
		klog.V(1).InfoS("Failed to take the lead of a roll-out", "order", order.Name, "err", err)
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	c.leader, c.revision, c.writtenAt = rollout.NewLeader(now, r.cfg, order, record, c.seenAt), revision, now
	klog.InfoS("Leads roll-out", "order", order.Name, "service", order.Service, "version", order.Version, "fence", record.Fence, "phase", record.Phase, "elapsedMS", record.ElapsedMS)
}

// leadDue returns the order as it is now, and whether it is this host's turn to try to take the lead.
// The record is read once in RenewInterval at most.
func (r *rollouts) leadDue(now time.Time, c *activeRollout) (rollout.Order, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	order := c.order
	rank := slices.IndexFunc(rollout.Rank(order.Service, r.hosts), func(p rollout.Peer) bool { return p.ID == r.entry.settings.Host })
	if rank < 0 || !rollout.CandidateDue(rank, r.host.Quiet(now, order.OrderID)) || now.Sub(c.readAt) < rollout.RenewInterval {
		return order, false
	}
	c.readAt = now
	return order, true
}

// nextTerm returns the record with which this host takes the lead, or false if the lead isn't free.
func (r *rollouts) nextTerm(c *activeRollout, order rollout.Order, present *rollout.Record) (rollout.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !c.candidate.Free(time.Now(), r.entry.settings.Host, order, present) {
		if present.Order == order.OrderID {
			c.leaderAddress = present.Address
		}
		return rollout.Record{}, false
	}
	record := rollout.NextTerm(order, present, r.entry.settings.Host, r.entry.settings.PeerAddress, time.Since(c.seenAt))
	record.Fence = max(record.Fence, r.host.Fence(order.OrderID)+1) // the store may have lost later terms
	return record, true
}

// resign makes this host give up the lead of all roll-outs because it stops.
func (r *rollouts) resign() {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
}

// release gives up the lead of a roll-out, so that the next host need not wait for the lease to
// end.
func (r *rollouts) release(ctx context.Context, c *activeRollout) {
	r.mu.Lock()
	record, revision := c.leader.Released(time.Now()), c.revision
	c.leader, c.leaderAddress = nil, ""
	r.mu.Unlock()
	_, err := r.store.WriteRecord(ctx, c.id.Name, record, revision)
	klog.InfoS("Releases the lead of a roll-out", "order", c.id.Name, "fence", record.Fence, "err", err)
}

// advance does the work of the leader of a roll-out: it decides, renews the record and writes
// the status.
func (r *rollouts) advance(ctx context.Context, c *activeRollout) {
	now := time.Now()
	present := r.entry.view.hasUsable(now, c.id.Service, c.id.Version)
	r.mu.Lock()
	leader := c.leader
	before := leader.Phase()
	leader.Advance(now, rollout.Target{Present: present, Alone: r.host.Alone(c.id.Service, c.id.Version)})
	record, urgent := leader.Next(now)
	revision, evidence := c.revision, leader.Evidence()
	due := urgent || now.Sub(c.writtenAt) >= rollout.RenewInterval
	r.mu.Unlock()
	if due && !r.renew(ctx, c, leader, record, revision) {
		return
	}
	r.mu.Lock()
	status, statusDue := leader.StatusDue()
	order, after := leader.Order(), leader.Phase()
	// Later, another host may have taken the lead and decided otherwise.
	recent := time.Since(c.writtenAt) < rollout.LeaseTime/2
	r.mu.Unlock()
	if before != after || urgent {
		klog.InfoS("Roll-out decided", "order", order.Name, "service", order.Service, "version", order.Version, "phase", record.Phase,
			"answers", evidence.Answers, "bad", evidence.Bad, "requests", record.Requests, "reserve", record.Reserve, "elapsedMS", record.ElapsedMS)
	}
	if statusDue && recent {
		r.writeStatus(ctx, leader, order, status)
	}
}

// renew writes the record. It reports whether this host still leads for sure.
func (r *rollouts) renew(ctx context.Context, c *activeRollout, leader *rollout.Leader, record rollout.Record, revision uint64) bool {
	sentAt := time.Now()
	written, err := r.store.WriteRecord(ctx, c.id.Name, record, revision)
	if errors.Is(err, objectstore.ErrConflict) {
		// Another host leads, or an earlier write of this one was done and its answer lost.
		written, err = r.confirm(ctx, c, record, err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if errors.Is(err, objectstore.ErrConflict) {
		klog.InfoS("Lost the lead of a roll-out", "order", c.id.Name, "fence", record.Fence)
		c.leader, c.leaderAddress, c.candidate = nil, "", rollout.Candidate{}
		return false
	}
	if err != nil {
		klog.V(1).InfoS("Failed to renew the record of a roll-out", "order", c.id.Name, "err", err)
		return false
	}
	leader.Stored(sentAt, record)
	c.revision, c.writtenAt = written, sentAt
	return true
}

// confirm writes a record again if the present one is of this host's term, or of an earlier one: a
// store that was restored from a copy has lost what was written since. Otherwise it returns the
// conflict.
func (r *rollouts) confirm(ctx context.Context, c *activeRollout, record rollout.Record, conflict error) (uint64, error) {
	present, revision, err := r.store.ReadRecord(ctx, c.id.Name)
	if err != nil {
		return 0, err
	}
	if present != nil && (present.Fence > record.Fence || present.Fence == record.Fence && present.Leader != record.Leader) {
		return 0, conflict
	}
	return r.store.WriteRecord(ctx, c.id.Name, record, revision)
}

// writeStatus writes the status of an order, unless the order has changed since the leader saw it.
func (r *rollouts) writeStatus(ctx context.Context, leader *rollout.Leader, order rollout.Order, status rollout.Status) {
	revision, err := r.store.WriteStatus(ctx, order.Name, status, order.Revision)
	if err != nil {
		klog.V(1).InfoS("Failed to write the status of a roll-out", "order", order.Name, "state", status.State, "err", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	leader.StatusWritten(status, revision)
	klog.InfoS("Status of roll-out written", "order", order.Name, "version", status.Version, "state", status.State, "revision", revision)
}
