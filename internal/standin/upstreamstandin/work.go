package upstreamstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// delivery is how a reply reaches the caller.
type delivery int

const (
	replyComplete  delivery = iota
	replyLost               // the connection is closed without a reply
	replyTruncated          // the connection is closed within the body of the reply
)

// outcome is the result of one request.
type outcome struct {
	status   int
	code     string // of a refusal
	reply    upstream.Reply
	delivery delivery
}

// ReadResult is the content of Reply.Records for a read.
type ReadResult struct {
	Service   string             `json:"service"`
	Partition upstream.HashRange `json:"partition"`
	Snapshot  uint64             `json:"snapshot"`
	Replica   string             `json:"replica"`
	Request   json.RawMessage    `json:"request,omitempty"` // body of the request
}

// Slip is the content of Reply.Records for an execute: the receipt of one run.
type Slip struct {
	Service string          `json:"service"`
	Number  string          `json:"slip"` // unique for each run
	Key     string          `json:"key"`
	Replica string          `json:"replica"`
	Request json.RawMessage `json:"request,omitempty"`
}

// handle processes one request from its arrival to its reply.
func (r *replica) handle(ctx context.Context, q upstream.Request, outSince time.Time) outcome {
	deadline := time.Now().Add(q.Deadline)
	lifetime := r.arrive(q, outSince)
	if !r.awaitThaw(ctx, lifetime) {
		return outcome{delivery: replyLost}
	}
	if o, refused := r.checkRefusal(q); refused {
		return o
	}
	slot, queuedAt, o := r.acquireSlot(lifetime, q.Attempt)
	if slot == nil {
		return o
	}
	if o, ok := r.awaitSlot(ctx, lifetime, slot, queuedAt, q, deadline); !ok {
		return o
	}
	o, part := r.run(ctx, lifetime, q, deadline)
	if o.status != http.StatusOK {
		return o
	}
	return r.applyReplyFaults(ctx, part, q, deadline)
}

// awaitThaw waits while the replica is frozen. It returns false if the request is
// aborted: its context ended, or its incarnation did.
func (r *replica) awaitThaw(ctx context.Context, lifetime chan struct{}) bool {
	for {
		r.mu.Lock()
		frozen, ended := r.frozen, r.ended(lifetime)
		r.mu.Unlock()
		if ended {
			return false
		}
		if frozen == nil {
			return true
		}
		select {
		case <-frozen:
		case <-lifetime:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// ended reports whether the incarnation with the given lifetime channel has ended. The
// caller holds r.mu.
func (r *replica) ended(lifetime chan struct{}) bool { return r.crashed || r.lifetime != lifetime }

// checkRefusal decides whether the replica refuses a request before it takes a slot.
func (r *replica) checkRefusal(q upstream.Request) (outcome, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.leaveMode == LeaveRefuse {
		return r.refusal(now, http.StatusServiceUnavailable, "draining", q.Attempt), true
	}
	if q.Service != r.cfg.Service {
		return r.refusal(now, http.StatusGone, "moved", q.Attempt), true
	}
	if _, ok := r.coveredRange(q.Partition); !ok {
		return r.refusal(now, http.StatusGone, "moved", q.Attempt), true
	}
	if q.Snapshot != 0 && !slices.Contains(r.held, q.Snapshot) {
		return r.refusal(now, http.StatusConflict, "snapshot_gone", q.Attempt), true
	}
	if r.rng.Float64() < r.faults.ShedShare {
		return r.shed(now, q.Attempt), true
	}
	return outcome{}, false
}

func (r *replica) refusal(now time.Time, status int, code, attempt string) outcome {
	return outcome{status: status, code: code, reply: r.baseReply(now, attempt)}
}

func (r *replica) shed(now time.Time, attempt string) outcome {
	r.record.Shed++
	return r.refusal(now, http.StatusServiceUnavailable, "shed", attempt)
}

// acquireSlot takes a slot or queues the request. The returned channel is closed when
// the slot is granted, and nil if the request ends with outcome o, as when it is shed.
// queuedAt is zero if the slot was granted at once.
func (r *replica) acquireSlot(lifetime chan struct{}, attempt string) (slot chan struct{}, queuedAt time.Time, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.ended(lifetime) {
		return nil, queuedAt, outcome{delivery: replyLost}
	}
	r.record.addOffered(r)
	if r.hasFallenOver(now) && r.running > 0 {
		return nil, queuedAt, r.shed(now, attempt)
	}
	slot = make(chan struct{})
	if r.running < r.capacity() {
		r.grant(slot)
		return slot, queuedAt, outcome{}
	}
	if r.countExcess() {
		r.fallOver(now)
		return nil, queuedAt, r.shed(now, attempt)
	}
	r.queue = append(r.queue, slot)
	r.record.Queued++
	return slot, now, outcome{}
}

// countExcess counts a request above the capacity and reports whether it makes the
// replica fall over.
func (r *replica) countExcess() bool {
	if r.cold() {
		r.coldExcess++
		return r.coldExcess >= maxColdExcess
	}
	return len(r.queue) >= maxQueuePerSlot*r.cfg.Slots
}

func (r *replica) grant(slot chan struct{}) {
	r.running++
	close(slot)
	r.record.addStarted(r)
}

// awaitSlot waits until the slot is granted. It returns false if the request ends
// before that. Only a request that was queued is recorded as waiting: on a busy machine,
// this goroutine may be descheduled for longer than overlapGrace although its slot was
// granted at once.
func (r *replica) awaitSlot(ctx context.Context, lifetime, slot chan struct{}, queuedAt time.Time, q upstream.Request, deadline time.Time) (outcome, bool) {
	if queuedAt.IsZero() {
		return outcome{}, true
	}
	defer r.recordWait(queuedAt)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-slot:
		return outcome{}, true
	case <-lifetime:
		return outcome{delivery: replyLost}, false
	case <-ctx.Done():
		r.releaseSlot(lifetime, slot)
		return outcome{delivery: replyLost}, false
	case <-timer.C:
		r.releaseSlot(lifetime, slot)
		return r.deadlineExceeded(q.Attempt), false
	}
}

func (r *replica) recordWait(start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.addWait(time.Since(start))
}

func (r *replica) deadlineExceeded(attempt string) outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusal(time.Now(), http.StatusGatewayTimeout, "deadline_exceeded", attempt)
}

// releaseSlot releases the slot, or removes the request from the queue.
func (r *replica) releaseSlot(lifetime, slot chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended(lifetime) {
		return // the slots of an ended incarnation are gone
	}
	if i := slices.Index(r.queue, slot); i >= 0 {
		r.queue = slices.Delete(r.queue, i, i+1)
		return
	}
	r.running--
	for r.running < r.capacity() && len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		r.grant(next)
	}
}

// run runs a request that has a slot.
func (r *replica) run(ctx context.Context, lifetime chan struct{}, q upstream.Request, deadline time.Time) (outcome, upstream.Reply) {
	done := make(chan struct{}) // never in the queue, so releaseSlot releases a slot
	defer r.releaseSlot(lifetime, done)
	duration, reply, o := r.beginWork(lifetime, q)
	if o.status != http.StatusOK {
		return o, upstream.Reply{}
	}
	timer := time.NewTimer(min(duration, time.Until(deadline)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-lifetime:
		return outcome{delivery: replyLost}, upstream.Reply{}
	case <-ctx.Done():
		return outcome{delivery: replyLost}, upstream.Reply{}
	}
	if !r.awaitThaw(ctx, lifetime) {
		return outcome{delivery: replyLost}, upstream.Reply{}
	}
	if !time.Now().Before(deadline) {
		return r.deadlineExceeded(q.Attempt), upstream.Reply{}
	}
	return outcome{status: http.StatusOK}, r.completeReply(reply)
}

// beginWork returns a random work time and the reply, which shows the partition and the
// snapshot as they are when the work begins. An outcome with a status other than 200 ends
// the request. A non-idempotent request takes effect here, so one that is aborted later
// has run.
func (r *replica) beginWork(lifetime chan struct{}, q upstream.Request) (time.Duration, upstream.Reply, outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.ended(lifetime) {
		return 0, upstream.Reply{}, outcome{delivery: replyLost}
	}
	part, ok := r.coveredRange(q.Partition)
	if !ok {
		return 0, upstream.Reply{}, r.refusal(now, http.StatusGone, "moved", q.Attempt)
	}
	factor := r.faults.workTimeFactor(r.rng)
	if r.hasFallenOver(now) {
		factor *= fallOverSlowdown
	}
	duration := time.Duration(float64(r.cfg.WorkTime.draw(r.rng)) * factor)
	reply := r.baseReply(now, q.Attempt)
	reply.Partition = part
	reply.Snapshot = q.Snapshot
	if q.Snapshot == 0 {
		reply.Snapshot = r.held[len(r.held)-1]
	}
	reply.Records = r.content(now, q, reply)
	return duration, reply, outcome{status: http.StatusOK}
}

func (r *replica) content(now time.Time, q upstream.Request, reply upstream.Reply) json.RawMessage {
	var content any = ReadResult{
		Service: r.cfg.Service, Partition: reply.Partition, Snapshot: reply.Snapshot,
		Replica: r.cfg.ID, Request: q.Body,
	}
	if q.Kind == upstream.Execute {
		r.slips++
		slip := Slip{
			Service: r.cfg.Service, Number: fmt.Sprintf("%s/%d", r.incarnation, r.slips), Key: q.Key,
			Replica: r.cfg.ID, Request: q.Body,
		}
		r.record.addRun(Run{Key: q.Key, Replica: r.cfg.ID, Slip: slip.Number, Attempt: q.Attempt, Time: now})
		content = slip
	}
	data, err := json.Marshal(content)
	if err != nil {
		// Only the request body could be invalid, and it was decoded from JSON.
		panic(err)
	}
	return data
}

// completeReply counts a served request and updates the load in the reply.
func (r *replica) completeReply(reply upstream.Reply) upstream.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served++
	r.record.Served++
	reply.Load = r.reportedLoad(time.Now())
	return reply
}

// applyReplyFaults injects the faults that affect a complete reply.
func (r *replica) applyReplyFaults(ctx context.Context, reply upstream.Reply, q upstream.Request, deadline time.Time) outcome {
	r.mu.Lock()
	f := r.faults
	isLost, isBroken := r.rng.Float64() < f.LostShare, r.rng.Float64() < f.BrokenShare
	isCrossed, isLate := r.rng.Float64() < f.CrossedShare, r.rng.Float64() < f.LateShare
	ownReply := reply
	if isCrossed && r.lastReply != nil {
		reply = *r.lastReply
	}
	r.lastReply = &ownReply
	r.mu.Unlock()
	o := outcome{status: http.StatusOK, reply: reply}
	if isLate {
		sleep(ctx, time.Until(deadline)+time.Duration(f.LateMS)*time.Millisecond)
	}
	if isBroken {
		o.delivery = replyTruncated
	}
	if isLost {
		o.delivery = replyLost
	}
	return o
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
