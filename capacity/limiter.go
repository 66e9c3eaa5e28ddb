package capacity

import (
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// Limiter admits requests to one upstream at one of its owners. See the package
// comment for its invariants.
type Limiter struct {
	cfg          Config
	share        int
	rank, owners int
	draining     bool

	incarnation   string
	past          [pastIncarnations]string
	reportedSlots int // capacity by the upstream's own report; 0 if none
	reportedAt    time.Time
	coldReported  bool // the last load report said cold
	lastReply     time.Time
	noticeDue     bool
	restarted     bool // the last fall to the floor was a new incarnation

	ramp   ramp
	speed  speed
	limit  limit
	queue  queue
	flight map[string]flight
	// resumeAt is the end of the pause at a level of one slot.
	resumeAt time.Time
}

// handBackWaits is the longest expected wait, in service times, at which a
// ticket may be handed back. A longer queue is a sign of load, under which the
// other replicas would refuse the ticket after other parts were served.
const handBackWaits = 2

// waitMargin is the factor applied to the expected wait of a ticket before it is
// compared with the deadline. Tickets that are accepted and then expire cost the
// work of the other parts of their queries: docs/measurements-policy.md shows
// the goodput at 120 % load for several factors.
const waitMargin = 1.5

// pastIncarnations is the number of replaced incarnations that are remembered,
// so that late messages about them are recognised.
const pastIncarnations = 4

// flight is a request that was started.
type flight struct {
	at         time.Time
	levelSince time.Time // the level that it was started at
	usesLimit  bool      // it used the last request of the concurrency limit
	usesLevel  bool      // it used the last slot of this owner at the level
}

// New returns a limiter at the floor of the ramp, with no share.
func New(cfg Config) (*Limiter, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	l := &Limiter{cfg: cfg, owners: 1, flight: map[string]flight{}, limit: limit{part: 1}}
	l.ramp = ramp{cold: true, level: cfg.Floor, ceiling: cfg.Slots}
	return l, nil
}

// SetRank sets the rank of this owner among the owners of the upstream. The
// owner of rank 0 leads the ramp; the others follow its notices.
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

// SetShare sets the number of slots that this owner may use from now on; 0
// means that it has no right to send.
func (l *Limiter) SetShare(now time.Time, slots int) Changes {
	l.share = max(0, slots)
	return l.dispatch(now)
}

// SetDraining stops or allows new requests. Draining ends all queued tickets.
func (l *Limiter) SetDraining(now time.Time, draining bool) Changes {
	if l.draining && !draining {
		l.chill(now)
	}
	l.draining = draining
	return l.dispatch(now)
}

// Offer asks for a request to be sent. Now must not be before that of earlier
// events.
func (l *Limiter) Offer(now time.Time, t Ticket) Decision {
	l.checkSilence(now)
	if l.knows(t.ID) {
		return Decision{Verdict: Refused, Reason: ReasonDuplicate}
	}
	allowed := l.allowed()
	if allowed == 0 {
		reason, after := l.blocked()
		return Decision{Verdict: Refused, Reason: reason, RetryAfter: after}
	}
	place := l.queue.place(t.Deadline)
	inTime := now.Add(time.Duration(waitMargin * float64(l.wait(now, place, allowed)))).Before(l.startBy(t))
	if l.queue.len() == 0 && l.free(now, allowed) && (inTime || l.probe(now, t)) {
		l.start(now, t.ID)
		return Decision{Verdict: Started}
	}
	if !inTime {
		return Decision{Verdict: Refused, Reason: ReasonTooLate, RetryAfter: l.wait(now, l.queue.len(), allowed)}
	}
	if l.queue.len() >= l.cfg.QueueLength {
		return Decision{Verdict: Refused, Reason: ReasonQueueFull, RetryAfter: l.wait(now, l.queue.len(), allowed)}
	}
	entry := queued{Ticket: t}
	if wait := l.wait(now, place, allowed); t.HandBack && wait <= handBackWaits*l.speed.serviceTime() {
		entry.handBackAt = now.Add(wait + l.speed.serviceTime())
	}
	l.queue.insert(place, entry)
	return Decision{Verdict: Queued}
}

// Cancel removes a queued ticket and reports whether it was queued. A started
// request is ended by Done.
func (l *Limiter) Cancel(id string) bool {
	i := slices.IndexFunc(l.queue.tickets, func(t queued) bool { return t.ID == id })
	if i < 0 {
		return false
	}
	l.queue.remove(i)
	return true
}

// Done ends a started request.
func (l *Limiter) Done(now time.Time, id string, o Outcome) Changes {
	f, ok := l.flight[id]
	if !ok {
		return Changes{}
	}
	delete(l.flight, id)
	l.pause(now, f)
	l.learn(now, f, o)
	return l.dispatch(now)
}

// Report handles a health report. It can only lower the load, except that a
// new incarnation ends the draining of the old one.
func (l *Limiter) Report(now time.Time, incarnation string, load upstream.Load) Changes {
	if l.draining && !l.replaced(incarnation) && !load.Draining && incarnation != "" && incarnation != l.incarnation {
		l.draining = false
	}
	if l.replaced(incarnation) {
		return l.dispatch(now)
	}
	l.seeIncarnation(now, incarnation)
	l.seeLoad(now, load)
	return l.dispatch(now)
}

// Tick starts and ends what is due. Call it at Next.
func (l *Limiter) Tick(now time.Time) Changes { return l.dispatch(now) }

// Next returns the time of the next Tick, and false if there is nothing to
// wait for.
func (l *Limiter) Next() (time.Time, bool) {
	if l.queue.len() == 0 {
		return time.Time{}, false
	}
	next := l.startBy(l.queue.tickets[0].Ticket)
	if l.resumeAt.Before(next) && l.paused() && len(l.flight) < l.allowed() {
		next = l.resumeAt
	}
	if at, ok := l.queue.nextHandBack(); ok && at.Before(next) {
		next = at
	}
	return next, true
}

// InFlight returns the number of started requests that were not ended.
func (l *Limiter) InFlight() int { return len(l.flight) }

// QueueLength returns the number of queued tickets.
func (l *Limiter) QueueLength() int { return l.queue.len() }

func (l *Limiter) knows(id string) bool {
	_, started := l.flight[id]
	return started || slices.ContainsFunc(l.queue.tickets, func(t queued) bool { return t.ID == id })
}

// probe reports whether a ticket may start although it would probably miss its
// deadline. One request at a time must get through, since only replies can show
// that the upstream is faster again.
func (l *Limiter) probe(now time.Time, t Ticket) bool {
	return len(l.flight) == 0 && t.Deadline.Sub(now) > minimumServiceTime
}

// allowed returns the number of requests that may be in flight.
func (l *Limiter) allowed() int {
	portion := l.portion()
	if portion == 0 {
		return 0
	}
	return min(portion, l.limit.of(l.share))
}

// portion returns the number of slots that the share and the ramp give this
// owner.
func (l *Limiter) portion() int {
	if l.draining {
		return 0
	}
	if level := l.level(); level < l.cfg.Slots {
		return min(l.share, Portion(level, l.rank, l.owners))
	}
	return l.share
}

// blocked returns why nothing is allowed.
func (l *Limiter) blocked() (Reason, time.Duration) {
	switch {
	case l.draining:
		return ReasonDraining, 0
	case l.share == 0:
		return ReasonNoShare, 0
	}
	return ReasonCold, l.cfg.StepTime
}

// free reports whether a request may be started now.
func (l *Limiter) free(now time.Time, allowed int) bool {
	return len(l.flight) < allowed && !(l.paused() && now.Before(l.resumeAt))
}

// paused reports whether requests must be spaced out.
func (l *Limiter) paused() bool { return l.ramp.cold && l.level() == 1 }

// pause spaces out the requests to a cold upstream.
func (l *Limiter) pause(now time.Time, f flight) {
	l.resumeAt = now.Add(min(l.cfg.ColdPause, now.Sub(f.at)))
}

// wait estimates the time until a ticket at the given place would start.
func (l *Limiter) wait(now time.Time, place, allowed int) time.Duration {
	if place == 0 && l.free(now, allowed) {
		return 0
	}
	ahead := len(l.flight) - allowed + place + 1
	wait := time.Duration(max(0, ahead)) * l.speed.serviceTime() / time.Duration(allowed)
	if l.paused() {
		wait += time.Duration(place)*min(l.cfg.ColdPause, l.speed.serviceTime()) + max(0, l.resumeAt.Sub(now))
	}
	return wait
}

// startBy returns when a queued ticket must have started.
func (l *Limiter) startBy(t Ticket) time.Time { return t.Deadline.Add(-l.speed.serviceTime()) }

func (l *Limiter) start(now time.Time, id string) {
	if l.ramp.since.IsZero() {
		l.ramp.since = now // the first level counts from the first request
	}
	n := len(l.flight) + 1
	l.flight[id] = flight{
		at: now, levelSince: l.ramp.since,
		usesLimit: n >= l.limit.of(l.share), usesLevel: n >= l.portion(),
	}
}

// dispatch starts queued tickets as far as allowed and ends those that cannot
// be served in time.
func (l *Limiter) dispatch(now time.Time) Changes {
	var c Changes
	l.checkSilence(now)
	allowed := l.allowed()
	if allowed == 0 {
		reason, after := l.blocked()
		for l.queue.len() > 0 {
			c.Dropped = append(c.Dropped, Dropped{ID: l.queue.pop().ID, Reason: reason, RetryAfter: after})
		}
		return c
	}
	l.startQueued(now, allowed, &c)
	l.handBack(now, allowed, &c)
	return c
}

// startQueued starts tickets in the order of their deadlines while slots are
// free, and ends those at the head that cannot be served in time.
func (l *Limiter) startQueued(now time.Time, allowed int, c *Changes) {
	for l.queue.len() > 0 {
		head := l.queue.tickets[0].Ticket
		switch {
		case !now.Before(l.startBy(head)):
			l.queue.pop()
			c.Dropped = append(c.Dropped, Dropped{head.ID, ReasonTooLate, l.wait(now, l.queue.len(), allowed)})
		case l.free(now, allowed):
			l.queue.pop()
			l.start(now, head.ID)
			c.Starts = append(c.Starts, Start{ID: head.ID})
		default:
			return
		}
	}
}

// handBack ends the tickets that waited longer than expected and ask for it.
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
