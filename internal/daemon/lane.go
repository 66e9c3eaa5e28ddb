package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/capacity"
	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/internal/stepper"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// lane runs the limiter of one upstream.
type lane struct {
	gateway *gateway
	replica string
	machine stepper.Stepper[capacity.Changes]
	limiter *capacity.Limiter
	current atomic.Pointer[ownedShare]
	waiting map[string]*job // queued jobs, guarded by machine
}

func newLane(g *gateway, replica string, share ownedShare) (*lane, error) {
	limiter, err := capacity.New(share.limits)
	if err != nil {
		return nil, errors.Wrapf(err, "limiter of replica %s", replica)
	}
	l := &lane{gateway: g, replica: replica, limiter: limiter, waiting: make(map[string]*job)}
	l.machine.Tick = func(now time.Time) []capacity.Changes { return l.noticed(now, l.limiter.Tick(now)) }
	l.machine.Next = limiter.Next
	l.machine.Perform = func(_ time.Time, changes []capacity.Changes) {
		for _, c := range changes {
			l.perform(c)
		}
	}
	l.update(share)
	return l, nil
}

func (l *lane) share() ownedShare { return *l.current.Load() }

// step passes one event to the limiter.
func (l *lane) step(event func(now time.Time) capacity.Changes) {
	l.machine.Step(func(now time.Time) []capacity.Changes { return l.noticed(now, event(now)) })
}

// noticed tells the other owners at once when the event lowered the ramp: until
// they know of a cold start they go on with their own shares.
func (l *lane) noticed(now time.Time, c capacity.Changes) []capacity.Changes {
	if notice, due := l.limiter.TakeNotice(now); due && l.share().owners > 1 {
		go l.gateway.tell(l.replica, notice)
	}
	return []capacity.Changes{c}
}

// update applies a new rank or share.
func (l *lane) update(share ownedShare) {
	l.current.Store(&share)
	l.gateway.connect(share.address, share.connections)
	l.step(func(now time.Time) capacity.Changes {
		first := l.limiter.SetRank(now, share.rank, share.owners)
		second := l.limiter.SetShare(now, l.gateway.rights.allowed(now, l.replica))
		return merge(first, second)
	})
}

// chill starts the ramp again, as the end of draining does.
func (l *lane) chill() {
	l.step(func(now time.Time) capacity.Changes {
		before := l.limiter.SetDraining(now, true)
		after := l.limiter.SetDraining(now, false)
		return merge(before, after)
	})
}

// merge returns the changes of two events that follow each other.
func merge(a, b capacity.Changes) capacity.Changes {
	return capacity.Changes{Starts: append(a.Starts, b.Starts...), Dropped: append(a.Dropped, b.Dropped...)}
}

func (l *lane) inFlight() int {
	n := 0
	l.machine.View(func(time.Time) { n = l.limiter.InFlight() })
	return n
}

func (l *lane) room() bool {
	free := false
	l.machine.View(func(now time.Time) {
		free = l.limiter.QueueLength() == 0 && l.limiter.InFlight() < l.gateway.rights.allowed(now, l.replica)
	})
	return free
}

// offer asks the limiter for a slot. The right to the share is looked up with
// each offer, because it lapses without any event.
func (l *lane) offer(j *job) {
	var decision capacity.Decision
	l.step(func(now time.Time) capacity.Changes {
		changes := l.limiter.SetShare(now, l.gateway.rights.allowed(now, l.replica))
		l.waiting[j.ID] = j
		decision = l.limiter.Offer(now, capacity.Ticket{ID: j.ID, Deadline: j.Deadline, HandBack: j.HandBack})
		if decision.Verdict != capacity.Queued {
			delete(l.waiting, j.ID)
		}
		return changes
	})
	switch decision.Verdict {
	case capacity.Started:
		go l.run(j)
	case capacity.Refused:
		l.refuse(j, decision.Reason, decision.RetryAfter)
	}
}

// drop ends a cancelled job that is still queued.
func (l *lane) drop(j *job) {
	queued := false
	l.machine.View(func(time.Time) {
		queued = l.limiter.Cancel(j.ID)
		if queued {
			delete(l.waiting, j.ID)
		}
	})
	if queued {
		j.finish(upstream.Reply{}, errors.Wrap(upstream.ErrShed, "cancelled before it was sent"))
	}
}

// retire hands back the queue.
func (l *lane) retire() {
	l.step(func(now time.Time) capacity.Changes { return l.limiter.SetShare(now, 0) })
}

// perform carries out the limiter's decisions about queued jobs.
func (l *lane) perform(c capacity.Changes) {
	for _, s := range c.Starts {
		if j := l.take(s.ID); j != nil {
			go l.run(j)
			continue
		}
		l.end(s.ID, capacity.Outcome{Result: capacity.Cancelled})
	}
	for _, e := range c.Dropped {
		if j := l.take(e.ID); j != nil {
			l.refuse(j, e.Reason, e.RetryAfter)
		}
	}
}

func (l *lane) take(id string) *job {
	var j *job
	l.machine.View(func(time.Time) {
		j = l.waiting[id]
		delete(l.waiting, id)
	})
	return j
}

// refuse ends a job that was not sent.
func (l *lane) refuse(j *job, reason capacity.Reason, retryAfter time.Duration) {
	metrics.GetOrRegisterCounter("gateway.refused."+string(reason), l.gateway.registry).Inc(1)
	cause := upstream.ErrShed
	switch reason {
	case capacity.ReasonNoShare, capacity.ReasonCold:
		cause = errNotOwner
	case capacity.ReasonDraining:
		cause = upstream.ErrDraining
	}
	j.cancel()
	refused := errors.Wrapf(cause, "refused by the owner: %s", reason)
	j.finish(upstream.Reply{}, &scatter.UnsentError{Cause: refused, RetryAfter: retryAfter})
}

// run sends a job that the limiter has started.
func (l *lane) run(j *job) {
	defer j.cancel()
	sentAt := time.Now()
	// The right is checked again right before the send: this goroutine may have
	// been paused since the limiter's decision.
	if l.gateway.rights.allowed(sentAt, l.replica) == 0 {
		l.end(j.ID, capacity.Outcome{Result: capacity.Cancelled})
		l.refuse(j, capacity.ReasonNoShare, 0)
		return
	}
	reply, err := l.gateway.send(j)
	l.gateway.heard(l.replica, reply, err, sentAt)
	outcome := capacity.Outcome{Result: capacity.ResultOf(err), Incarnation: reply.Incarnation, Load: reply.Load}
	if j.ctx.Err() != nil && err != nil {
		if errors.Is(j.ctx.Err(), context.Canceled) {
			outcome.Result = capacity.Cancelled
		}
		time.AfterFunc(cancelSettle, func() { l.end(j.ID, outcome) })
	} else {
		l.end(j.ID, outcome)
	}
	j.finish(reply, err)
}

// end frees the slot of a started request.
func (l *lane) end(id string, o capacity.Outcome) {
	l.step(func(now time.Time) capacity.Changes {
		changes := l.limiter.SetShare(now, l.gateway.rights.allowed(now, l.replica))
		after := l.limiter.Done(now, id, o)
		return merge(changes, after)
	})
}
