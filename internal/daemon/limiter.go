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

// limiterRunner runs the limiter of one upstream: it sends, queues or refuses jobs as
// the limiter decides.
type limiterRunner struct {
	gateway      *gateway
	replica      string
	limiterStep  stepper.Stepper[capacity.Changes]
	limiter      *capacity.Limiter
	currentShare atomic.Pointer[ownedShare]
	queuedJobs   map[string]*job // by attempt id, guarded by limiterStep's lock
}

func newLimiterRunner(g *gateway, replica string, share ownedShare) (*limiterRunner, error) {
	limiter, err := capacity.New(share.limits)
	if err != nil {
		return nil, errors.Wrapf(err, "limiter of replica %s", replica)
	}
	l := &limiterRunner{gateway: g, replica: replica, limiter: limiter, queuedJobs: make(map[string]*job)}
	l.limiterStep.Tick = func(now time.Time) []capacity.Changes { return l.sendDueNotice(now, l.limiter.Tick(now)) }
	l.limiterStep.Next = limiter.Next
	l.limiterStep.Perform = func(_ time.Time, changes []capacity.Changes) {
		for _, c := range changes {
			l.perform(c)
		}
	}
	l.updateShare(share)
	return l, nil
}

func (l *limiterRunner) share() ownedShare { return *l.currentShare.Load() }

// step passes an event to the limiter and carries out the changes that result.
func (l *limiterRunner) step(event func(now time.Time) capacity.Changes) {
	l.limiterStep.Step(func(now time.Time) []capacity.Changes { return l.sendDueNotice(now, event(now)) })
}

// sendDueNotice notifies the other owners immediately if the event lowered the ramp,
// because they use their own full shares until they know of a cold start.
func (l *limiterRunner) sendDueNotice(now time.Time, c capacity.Changes) []capacity.Changes {
	if notice, due := l.limiter.TakeNotice(now); due && l.share().owners > 1 {
		go l.gateway.notifyOwners(l.replica, notice)
	}
	return []capacity.Changes{c}
}

// updateShare applies a new rank, share or number of connections.
func (l *limiterRunner) updateShare(share ownedShare) {
	l.currentShare.Store(&share)
	l.gateway.connect(share.address, share.connections)
	l.step(func(now time.Time) capacity.Changes {
		first := l.limiter.SetRank(now, share.rank, share.owners)
		second := l.limiter.SetShare(now, l.gateway.rights.allowedSlots(now, l.replica))
		return mergeChanges(first, second)
	})
}

// resetRamps sets the ramp back to its floor, as the end of draining does.
func (l *limiterRunner) resetRamps() {
	l.step(func(now time.Time) capacity.Changes {
		before := l.limiter.SetDraining(now, true)
		after := l.limiter.SetDraining(now, false)
		return mergeChanges(before, after)
	})
}

// mergeChanges combines the changes of two consecutive events.
func mergeChanges(a, b capacity.Changes) capacity.Changes {
	return capacity.Changes{Starts: append(a.Starts, b.Starts...), Dropped: append(a.Dropped, b.Dropped...)}
}

func (l *limiterRunner) inFlight() int {
	n := 0
	l.limiterStep.View(func(time.Time) { n = l.limiter.InFlight() })
	return n
}

// hasFreeSlot reports whether a request could be sent without queueing it.
func (l *limiterRunner) hasFreeSlot() bool {
	free := false
	l.limiterStep.View(func(now time.Time) {
		free = l.limiter.QueueLength() == 0 && l.limiter.InFlight() < l.gateway.rights.allowedSlots(now, l.replica)
	})
	return free
}

// offer requests a slot from the limiter. It looks up the right to the share each
// time, because the right expires without an event.
func (l *limiterRunner) offer(j *job) {
	var decision capacity.Decision
	l.step(func(now time.Time) capacity.Changes {
		changes := l.limiter.SetShare(now, l.gateway.rights.allowedSlots(now, l.replica))
		l.queuedJobs[j.ID] = j
		decision = l.limiter.Offer(now, capacity.Ticket{ID: j.ID, Deadline: j.Deadline, HandBack: j.HandBack})
		if decision.Verdict != capacity.Queued {
			delete(l.queuedJobs, j.ID)
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

// cancelQueued ends a cancelled job if it is still queued.
func (l *limiterRunner) cancelQueued(j *job) {
	queued := false
	l.limiterStep.View(func(time.Time) {
		queued = l.limiter.Cancel(j.ID)
		if queued {
			delete(l.queuedJobs, j.ID)
		}
	})
	if queued {
		j.finish(upstream.Reply{}, errors.Wrap(upstream.ErrShed, "cancelled before it was sent"))
	}
}

// retire refuses all queued jobs by setting the share to 0.
func (l *limiterRunner) retire() {
	l.step(func(now time.Time) capacity.Changes { return l.limiter.SetShare(now, 0) })
}

// perform carries out the limiter's decisions about queued jobs.
func (l *limiterRunner) perform(c capacity.Changes) {
	for _, s := range c.Starts {
		if j := l.takeQueued(s.ID); j != nil {
			go l.run(j)
			continue
		}
		l.releaseSlot(s.ID, capacity.Outcome{Result: capacity.Cancelled})
	}
	for _, e := range c.Dropped {
		if j := l.takeQueued(e.ID); j != nil {
			l.refuse(j, e.Reason, e.RetryAfter)
		}
	}
}

// takeQueued removes a job from the queued ones and returns it, or nil if it is gone.
func (l *limiterRunner) takeQueued(id string) *job {
	var j *job
	l.limiterStep.View(func(time.Time) {
		j = l.queuedJobs[id]
		delete(l.queuedJobs, id)
	})
	return j
}

// refuse ends a job that was not sent.
func (l *limiterRunner) refuse(j *job, reason capacity.Reason, retryAfter time.Duration) {
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
func (l *limiterRunner) run(j *job) {
	defer j.cancel()
	sentAt := time.Now()
	// Check the right again immediately before the send, since this goroutine may not
	// have been scheduled for a while after the limiter's decision.
	if l.gateway.rights.allowedSlots(sentAt, l.replica) == 0 {
		l.releaseSlot(j.ID, capacity.Outcome{Result: capacity.Cancelled})
		l.refuse(j, capacity.ReasonNoShare, 0)
		return
	}
	reply, err := l.gateway.send(j)
	l.gateway.onReceive(l.replica, reply, err, sentAt)
	outcome := capacity.Outcome{Result: capacity.ResultOf(err), Incarnation: reply.Incarnation, Load: reply.Load}
	if j.ctx.Err() != nil && err != nil {
		if errors.Is(j.ctx.Err(), context.Canceled) {
			outcome.Result = capacity.Cancelled
		}
		time.AfterFunc(cancelSettle, func() { l.releaseSlot(j.ID, outcome) })
	} else {
		l.releaseSlot(j.ID, outcome)
	}
	j.finish(reply, err)
}

// releaseSlot frees the slot of a started request.
func (l *limiterRunner) releaseSlot(id string, o capacity.Outcome) {
	l.step(func(now time.Time) capacity.Changes {
		changes := l.limiter.SetShare(now, l.gateway.rights.allowedSlots(now, l.replica))
		after := l.limiter.Done(now, id, o)
		return mergeChanges(changes, after)
	})
}
