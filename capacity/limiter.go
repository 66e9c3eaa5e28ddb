package capacity

import (
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// Limiter decides when one owner of an upstream may send requests to it. See the
// package comment for its invariants.
type Limiter struct {
	cfg          Config
	share        int
	rank, owners int
	draining     bool

	incarnation          string
	replacedIncarnations [maxReplacedIncarnations]string
	reportedSlots        int // slots that the upstream itself reported; 0 if none
	reportedAt           time.Time
	coldReported         bool // the last load report had the cold flag
	lastReply            time.Time
	noticeDue            bool
	resetByRestart       bool // a new incarnation caused the last ramp reset

	ramp     ramp
	speed    speed
	limit    limit
	queue    queue
	inFlight map[string]inFlight
	// resumeAt is the end of the pause between requests at a level of one slot.
	resumeAt time.Time
}

// maxHandBackWait is the longest expected wait, in service times, for which a
// ticket may be handed back. A longer queue indicates load: the other replicas
// would then refuse the ticket too, and the work on the other parts of its query
// would be wasted.
const maxHandBackWait = 2

// waitMargin is the safety factor applied to the expected wait of a ticket
// before it is compared with the deadline. A ticket that is accepted and then
// expires wastes the work on the other parts of its query.
// docs/measurements-policy.md lists the goodput at 120 % load for several
// factors.
const waitMargin = 1.5

// maxReplacedIncarnations is the number of replaced incarnations that are kept
// to recognise late messages about them.
const maxReplacedIncarnations = 4

// inFlight is a request that was started and has not ended.
type inFlight struct {
	startedAt  time.Time
	levelSince time.Time // start of the ramp level at which it was started
	fillsLimit bool      // it took the last place within the concurrency limit
	fillsLevel bool      // it took this owner's last slot at the level
}

// New returns a limiter with no share, at the floor of the ramp.
func New(cfg Config) (*Limiter, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	l := &Limiter{cfg: cfg, owners: 1, inFlight: map[string]inFlight{}, limit: limit{fraction: 1}}
	l.ramp = ramp{cold: true, level: cfg.Floor, ceiling: cfg.Slots}
	return l, nil
}

// SetRank sets the rank of this owner among the owners of the upstream. The
// owner of rank 0 controls the ramp; the level of the others follows its notices.
func (l *Limiter) SetRank(now time.Time, rank, owners int) Changes {
	switch {
	case rank == 0:
		l.ramp.ceiling = l.cfg.Slots
	case l.rank == 0:
		l.ramp.ceiling = l.ramp.level
	}
	l.noticeDue = l.noticeDue || rank == 0
	l.rank, l.owners = rank, owners
	return l.dispatch(now)
}

// SetShare sets the number of slots that this owner may use from now on. With a
// share of 0 it may not send requests.
func (l *Limiter) SetShare(now time.Time, slots int) Changes {
	l.share = max(0, slots)
	return l.dispatch(now)
}

// SetDraining sets whether the upstream is draining. Draining refuses new
// requests and drops all queued tickets; the end of draining resets the ramp.
func (l *Limiter) SetDraining(now time.Time, draining bool) Changes {
	if l.draining && !draining {
		l.resetRamp(now)
	}
	l.draining = draining
	return l.dispatch(now)
}

// Offer asks whether a request may be sent. now must not be earlier than the
// time of any previous event.
func (l *Limiter) Offer(now time.Time, t Ticket) Decision {
	l.checkSilence(now)
	if l.hasTicket(t.ID) {
		return Decision{Verdict: Refused, Reason: ReasonDuplicate}
	}
	allowed := l.allowed()
	if allowed == 0 {
		reason, after := l.blockReason()
		return Decision{Verdict: Refused, Reason: reason, RetryAfter: after}
	}
	position := l.queue.position(t.Deadline)
	inTime := now.Add(time.Duration(waitMargin * float64(l.wait(now, position, allowed)))).Before(l.latestStart(t))
	if l.queue.len() == 0 && l.canStart(now, allowed) && (inTime || l.mayProbe(now, t)) {
		l.start(now, t.ID)
		return Decision{Verdict: Started}
	}
	if !inTime {
		return Decision{Verdict: Refused, Reason: ReasonTooLate, RetryAfter: l.wait(now, l.queue.len(), allowed)}
	}
	if l.queue.len() >= l.cfg.QueueLength {
		return Decision{Verdict: Refused, Reason: ReasonQueueFull, RetryAfter: l.wait(now, l.queue.len(), allowed)}
	}
	entry := queuedTicket{Ticket: t}
	if wait := l.wait(now, position, allowed); t.HandBack && wait <= maxHandBackWait*l.speed.serviceTime() {
		entry.handBackAt = now.Add(wait + l.speed.serviceTime())
	}
	l.queue.insert(position, entry)
	return Decision{Verdict: Queued}
}

// Cancel removes a queued ticket and reports whether it was queued. For a
// started request, call Done instead.
func (l *Limiter) Cancel(id string) bool {
	i := slices.IndexFunc(l.queue.tickets, func(t queuedTicket) bool { return t.ID == id })
	if i < 0 {
		return false
	}
	l.queue.remove(i)
	return true
}

// Done records the end of a started request.
func (l *Limiter) Done(now time.Time, id string, o Outcome) Changes {
	f, ok := l.inFlight[id]
	if !ok {
		return Changes{}
	}
	delete(l.inFlight, id)
	l.setPause(now, f)
	l.applyOutcome(now, f, o)
	return l.dispatch(now)
}

// Report applies a health report. It can only lower the load, except that a new
// incarnation that is not draining ends the draining state of the previous one.
func (l *Limiter) Report(now time.Time, incarnation string, load upstream.Load) Changes {
	if l.draining && !l.isReplaced(incarnation) && !load.Draining && incarnation != "" && incarnation != l.incarnation {
		l.draining = false
	}
	if l.isReplaced(incarnation) {
		return l.dispatch(now)
	}
	l.observeIncarnation(now, incarnation)
	l.observeLoad(now, load)
	return l.dispatch(now)
}

// Tick starts and drops the tickets that are due. Call it at the time that Next
// returns.
func (l *Limiter) Tick(now time.Time) Changes { return l.dispatch(now) }

// Next returns the time at which Tick must be called, or false if no ticket is
// queued.
func (l *Limiter) Next() (time.Time, bool) {
	if l.queue.len() == 0 {
		return time.Time{}, false
	}
	next := l.latestStart(l.queue.tickets[0].Ticket)
	if l.resumeAt.Before(next) && l.pacing() && len(l.inFlight) < l.allowed() {
		next = l.resumeAt
	}
	if at, ok := l.queue.nextHandBack(); ok && at.Before(next) {
		next = at
	}
	return next, true
}

// InFlight returns the number of started requests that have not ended.
func (l *Limiter) InFlight() int { return len(l.inFlight) }

// QueueLength returns the number of queued tickets.
func (l *Limiter) QueueLength() int { return l.queue.len() }

func (l *Limiter) hasTicket(id string) bool {
	_, started := l.inFlight[id]
	return started || slices.ContainsFunc(l.queue.tickets, func(t queuedTicket) bool { return t.ID == id })
}

// mayProbe reports whether a ticket may start although its request will probably
// miss the deadline. One request at a time is let through, because only replies
// can show that the upstream has become faster.
func (l *Limiter) mayProbe(now time.Time, t Ticket) bool {
	return len(l.inFlight) == 0 && t.Deadline.Sub(now) > minimumServiceTime
}

// allowed returns the maximum number of requests in flight.
func (l *Limiter) allowed() int {
	portion := l.portion()
	if portion == 0 {
		return 0
	}
	return min(portion, l.limit.forShare(l.share))
}

// portion returns the number of slots that this owner may use within its share
// and the ramp level.
func (l *Limiter) portion() int {
	if l.draining {
		return 0
	}
	if level := l.level(); level < l.cfg.Slots {
		return min(l.share, Portion(level, l.rank, l.owners))
	}
	return l.share
}

// blockReason returns why no requests are allowed, and the time after which to
// retry.
func (l *Limiter) blockReason() (Reason, time.Duration) {
	switch {
	case l.draining:
		return ReasonDraining, 0
	case l.share == 0:
		return ReasonNoShare, 0
	}
	return ReasonCold, l.cfg.StepTime
}

// canStart reports whether a request may be started now.
func (l *Limiter) canStart(now time.Time, allowed int) bool {
	return len(l.inFlight) < allowed && !(l.pacing() && now.Before(l.resumeAt))
}

// pacing reports whether requests must be separated by pauses.
func (l *Limiter) pacing() bool { return l.ramp.cold && l.level() == 1 }

// setPause sets the end of the pause that follows a finished request.
func (l *Limiter) setPause(now time.Time, f inFlight) {
	l.resumeAt = now.Add(min(l.cfg.ColdPause, now.Sub(f.startedAt)))
}

// wait estimates the time until a ticket at the given queue position starts.
func (l *Limiter) wait(now time.Time, position, allowed int) time.Duration {
	if position == 0 && l.canStart(now, allowed) {
		return 0
	}
	ahead := len(l.inFlight) - allowed + position + 1
	wait := time.Duration(max(0, ahead)) * l.speed.serviceTime() / time.Duration(allowed)
	if l.pacing() {
		wait += time.Duration(position)*min(l.cfg.ColdPause, l.speed.serviceTime()) + max(0, l.resumeAt.Sub(now))
	}
	return wait
}

// latestStart returns the latest time at which a ticket can start and still meet
// its deadline.
func (l *Limiter) latestStart(t Ticket) time.Time { return t.Deadline.Add(-l.speed.serviceTime()) }

func (l *Limiter) start(now time.Time, id string) {
	if l.ramp.levelStart.IsZero() {
		l.ramp.levelStart = now // the time at the first level starts with the first request
	}
	n := len(l.inFlight) + 1
	l.inFlight[id] = inFlight{
		startedAt: now, levelSince: l.ramp.levelStart,
		fillsLimit: n >= l.limit.forShare(l.share), fillsLevel: n >= l.portion(),
	}
}

// dispatch starts as many queued tickets as are allowed and drops those that
// cannot be served in time.
func (l *Limiter) dispatch(now time.Time) Changes {
	var c Changes
	l.checkSilence(now)
	allowed := l.allowed()
	if allowed == 0 {
		reason, after := l.blockReason()
		for l.queue.len() > 0 {
			c.Dropped = append(c.Dropped, Dropped{ID: l.queue.pop().ID, Reason: reason, RetryAfter: after})
		}
		return c
	}
	l.startQueued(now, allowed, &c)
	l.handBack(now, allowed, &c)
	return c
}

// startQueued starts tickets in deadline order while slots are free, and drops
// tickets at the head of the queue that cannot be served in time.
func (l *Limiter) startQueued(now time.Time, allowed int, c *Changes) {
	for l.queue.len() > 0 {
		head := l.queue.tickets[0].Ticket
		switch {
		case !now.Before(l.latestStart(head)):
			l.queue.pop()
			c.Dropped = append(c.Dropped, Dropped{head.ID, ReasonTooLate, l.wait(now, l.queue.len(), allowed)})
		case l.canStart(now, allowed):
			l.queue.pop()
			l.start(now, head.ID)
			c.Starts = append(c.Starts, Start{ID: head.ID})
		default:
			return
		}
	}
}

// handBack drops the tickets with HandBack that waited longer than expected.
func (l *Limiter) handBack(now time.Time, allowed int, c *Changes) {
	for i := 0; i < l.queue.len(); {
		at := l.queue.tickets[i].handBackAt
		if at.IsZero() || at.After(now) {
			i++
			continue
		}
		t := l.queue.remove(i)
		c.Dropped = append(c.Dropped, Dropped{t.ID, ReasonBusy, l.wait(now, l.queue.len(), allowed)})
	}
}
