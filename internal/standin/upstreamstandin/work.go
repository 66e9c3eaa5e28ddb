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

// fate is how a reply reaches the caller.
type fate int

const (
	whole    fate = iota
	lost          // the connection is closed without a reply
	cutShort      // the connection is closed within the body
)

// outcome is the end of one request.
type outcome struct {
	status int
	code   string // of a refusal
	reply  upstream.Reply
	fate   fate
}

// ReadResult is the content of a reply to a read.
type ReadResult struct {
	Service   string             `json:"service"`
	Partition upstream.HashRange `json:"partition"`
	Snapshot  uint64             `json:"snapshot"`
	Replica   string             `json:"replica"`
	Request   json.RawMessage    `json:"request,omitempty"` // as it was asked
}

// Slip is the content of a reply to an execute.
type Slip struct {
	Service string          `json:"service"`
	Number  string          `json:"slip"` // made anew by every run
	Key     string          `json:"key"`
	Replica string          `json:"replica"`
	Request json.RawMessage `json:"request,omitempty"`
}

// do handles one request from its arrival to its reply.
func (r *replica) do(ctx context.Context, q upstream.Request, outSince time.Time) outcome {
	deadline := time.Now().Add(q.Deadline)
	life := r.arrive(q, outSince)
	if !r.ready(ctx, life) {
		return outcome{fate: lost}
	}
	if o, refused := r.refuse(q); refused {
		return o
	}
	place, queuedAt, o := r.enter(life, q.Attempt)
	if place == nil {
		return o
	}
	if o, ok := r.await(ctx, life, place, queuedAt, q, deadline); !ok {
		return o
	}
	o, part := r.run(ctx, life, q, deadline)
	if o.status != http.StatusOK {
		return o
	}
	return r.spoil(ctx, part, q, deadline)
}

// ready waits while the replica is frozen. It returns false if the request is
// cut off, as all requests of an incarnation are at its end.
func (r *replica) ready(ctx context.Context, life chan struct{}) bool {
	for {
		r.mu.Lock()
		frozen, ended := r.frozen, r.ended(life)
		r.mu.Unlock()
		if ended {
			return false
		}
		if frozen == nil {
			return true
		}
		select {
		case <-frozen:
		case <-life:
			return false
		case <-ctx.Done():
			return false
		}
	}
}

// ended reports whether the incarnation is over. The caller holds the lock.
func (r *replica) ended(life chan struct{}) bool { return r.crashed || r.life != life }

// refuse checks what a replica refuses before it takes a slot.
func (r *replica) refuse(q upstream.Request) (outcome, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.leave == LeaveRefuse {
		return r.refusal(now, http.StatusServiceUnavailable, "draining", q.Attempt), true
	}
	if q.Service != r.cfg.Service {
		return r.refusal(now, http.StatusGone, "moved", q.Attempt), true
	}
	if _, ok := r.cover(q.Partition); !ok {
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
	return outcome{status: status, code: code, reply: r.state(now, attempt)}
}

func (r *replica) shed(now time.Time, attempt string) outcome {
	r.record.Shed++
	return r.refusal(now, http.StatusServiceUnavailable, "shed", attempt)
}

// enter takes a slot, or a place in the queue, whose channel is closed when
// the slot is granted. A nil channel means that the request is shed; queuedAt is
// zero if the slot was granted at once.
func (r *replica) enter(life chan struct{}, attempt string) (place chan struct{}, queuedAt time.Time, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.ended(life) {
		return nil, queuedAt, outcome{fate: lost}
	}
	r.record.offered(r)
	if r.fallen(now) && r.running > 0 {
		return nil, queuedAt, r.shed(now, attempt)
	}
	place = make(chan struct{})
	if r.running < r.capacity() {
		r.grant(place)
		return place, queuedAt, outcome{}
	}
	if r.overloaded() {
		r.fallOver(now)
		return nil, queuedAt, r.shed(now, attempt)
	}
	r.queue = append(r.queue, place)
	r.record.Queued++
	return place, now, outcome{}
}

// overloaded counts a request above the capacity and reports whether the
// replica falls over because of it.
func (r *replica) overloaded() bool {
	if r.cold() {
		r.strain++
		return r.strain >= coldStrain
	}
	return len(r.queue) >= queuePerSlot*r.cfg.Slots
}

func (r *replica) grant(place chan struct{}) {
	r.running++
	close(place)
	r.record.started(r)
}

// await waits for the slot. It returns false if the request ends before. Only a
// request that found no free slot is recorded as waiting: on a busy machine this
// goroutine may stand still for longer than overlapGrace with its slot granted.
func (r *replica) await(ctx context.Context, life, place chan struct{}, queuedAt time.Time, q upstream.Request, deadline time.Time) (outcome, bool) {
	if queuedAt.IsZero() {
		return outcome{}, true
	}
	defer r.waitedSince(queuedAt)
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-place:
		return outcome{}, true
	case <-life:
		return outcome{fate: lost}, false
	case <-ctx.Done():
		r.exit(life, place)
		return outcome{fate: lost}, false
	case <-timer.C:
		r.exit(life, place)
		return r.late(q.Attempt), false
	}
}

func (r *replica) waitedSince(start time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.waited(time.Since(start))
}

func (r *replica) late(attempt string) outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusal(time.Now(), http.StatusGatewayTimeout, "deadline_exceeded", attempt)
}

// exit gives the slot, or the place in the queue, back.
func (r *replica) exit(life, place chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended(life) {
		return // its slots ended with it
	}
	if i := slices.Index(r.queue, place); i >= 0 {
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

// run does the work of a request that has a slot.
func (r *replica) run(ctx context.Context, life chan struct{}, q upstream.Request, deadline time.Time) (outcome, upstream.Reply) {
	done := make(chan struct{}) // never queued, so exit frees a slot
	defer r.exit(life, done)
	duration, reply, o := r.begun(life, q)
	if o.status != http.StatusOK {
		return o, upstream.Reply{}
	}
	timer := time.NewTimer(min(duration, time.Until(deadline)))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-life:
		return outcome{fate: lost}, upstream.Reply{}
	case <-ctx.Done():
		return outcome{fate: lost}, upstream.Reply{}
	}
	if !r.ready(ctx, life) {
		return outcome{fate: lost}, upstream.Reply{}
	}
	if !time.Now().Before(deadline) {
		return r.late(q.Attempt), upstream.Reply{}
	}
	return outcome{status: http.StatusOK}, r.complete(reply)
}

// begun draws the work time and makes the content of the reply, which shows
// the partition and snapshot as they are now; an outcome other than 200 ends
// the request. A non-idempotent request takes effect here, so a request that
// is cut off later has run.
func (r *replica) begun(life chan struct{}, q upstream.Request) (time.Duration, upstream.Reply, outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.ended(life) {
		return 0, upstream.Reply{}, outcome{fate: lost}
	}
	part, ok := r.cover(q.Partition)
	if !ok {
		return 0, upstream.Reply{}, r.refusal(now, http.StatusGone, "moved", q.Attempt)
	}
	factor := r.faults.workFactor(r.rng)
	if r.fallen(now) {
		factor *= fallFactor
	}
	duration := time.Duration(float64(r.cfg.WorkTime.draw(r.rng)) * factor)
	reply := r.state(now, q.Attempt)
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
		r.record.ran(Run{Key: q.Key, Replica: r.cfg.ID, Slip: slip.Number, Attempt: q.Attempt, Time: now})
		content = slip
	}
	data, err := json.Marshal(content)
	if err != nil {
		// Only the request's own body can be invalid, and it was decoded from JSON.
		panic(err)
	}
	return data
}

// complete counts a served request and brings the reply's load up to date.
func (r *replica) complete(reply upstream.Reply) upstream.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.served++
	r.record.Served++
	reply.Load = r.load(time.Now())
	return reply
}

// spoil applies the faults that act on a finished reply.
func (r *replica) spoil(ctx context.Context, reply upstream.Reply, q upstream.Request, deadline time.Time) outcome {
	r.mu.Lock()
	f := r.faults
	isLost, isBroken := r.rng.Float64() < f.LostShare, r.rng.Float64() < f.BrokenShare
	isCrossed, isLate := r.rng.Float64() < f.CrossedShare, r.rng.Float64() < f.LateShare
	own := reply
	if isCrossed && r.last != nil {
		reply = *r.last
	}
	r.last = &own
	r.mu.Unlock()
	o := outcome{status: http.StatusOK, reply: reply}
	if isLate {
		sleep(ctx, time.Until(deadline)+time.Duration(f.LateMS)*time.Millisecond)
	}
	if isBroken {
		o.fate = cutShort
	}
	if isLost {
		o.fate = lost
	}
	return o
}

// sleep waits for d or until the caller gives up.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
