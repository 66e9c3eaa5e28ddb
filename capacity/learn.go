package capacity

import (
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// learn takes over what the end of a request shows about the upstream. A reply
// of a replaced incarnation shows nothing about the present one.
func (l *Limiter) learn(now time.Time, f flight, o Outcome) {
	if o.Result == Cancelled || l.replaced(o.Incarnation) {
		return
	}
	l.seeIncarnation(now, o.Incarnation)
	switch o.Result {
	case Broken:
		l.chill(now)
		return
	case TimedOut:
		l.served(now, f, o)
		return
	case Draining:
		l.draining = true
	case Shed:
		l.limit.cut(l.share)
		l.chill(now)
	case Served:
		l.served(now, f, o)
	}
	l.lastReply = now
	l.seeLoad(now, o.Load)
}

// served judges the speed of a reply, or of a request that got none in time.
func (l *Limiter) served(now time.Time, f flight, o Outcome) {
	slow, fallen := l.speed.observe(now.Sub(f.at))
	if fallen {
		l.limit.cut(l.share)
		l.chill(now)
	}
	if slow || o.Result != Served {
		return
	}
	if f.usesLimit {
		l.limit.grow(l.share)
	}
	if !f.usesLevel || !f.levelSince.Equal(l.ramp.since) || l.heldCold(now, o.Load) {
		return
	}
	l.ramp.good++
	if l.ramp.raise(now, &l.cfg) && l.rank == 0 {
		l.noticeDue = true
	}
}

// coldHold is how long, in step times, a level is kept because the upstream's own
// replies say that it is cold. The bound keeps a report that is never taken back
// from holding the load down for good.
const coldHold = 10

// heldCold reports whether a reply's load report keeps the ramp from rising. Time
// alone does not warm an upstream that gets little work.
func (l *Limiter) heldCold(now time.Time, load upstream.Load) bool {
	return load.Cold && now.Sub(l.ramp.since) < coldHold*l.cfg.StepTime
}

// seeIncarnation puts the upstream back on its ramp if it was restarted.
func (l *Limiter) seeIncarnation(now time.Time, incarnation string) {
	if incarnation == "" || incarnation == l.incarnation {
		return
	}
	if l.incarnation != "" {
		l.chill(now)
		l.restarted = true
		if l.owners > 1 {
			// What the co-owners sent before they heard of the restart still
			// runs; together with it the next request would be one too many.
			l.resumeAt = now.Add(l.cfg.ColdPause)
		}
	}
	l.replaceIncarnation(incarnation)
}

func (l *Limiter) replaceIncarnation(incarnation string) {
	copy(l.past[1:], l.past[:])
	l.past[0] = l.incarnation
	l.incarnation = incarnation
}

// replaced reports whether the incarnation is known to be over.
func (l *Limiter) replaced(incarnation string) bool {
	return incarnation != "" && slices.Contains(l.past[:], incarnation)
}

// seeLoad takes over what a load report lowers. A report of cold counts when it
// begins, since a report that never ends could be wrong.
func (l *Limiter) seeLoad(now time.Time, load upstream.Load) {
	if load.Draining {
		l.draining = true
	}
	l.reportedSlots, l.reportedAt = load.Slots, now
	if load.Cold && !l.coldReported && !l.ramp.cold {
		l.chill(now)
	}
	l.coldReported = load.Cold
}

// checkSilence puts the upstream back on its ramp if this owner got no reply
// for the silence limit, whether it sent requests or not. The silence of a
// co-owner says nothing about the replies of the others, so it sends no notice.
// A report of fewer slots is forgotten after the same time.
func (l *Limiter) checkSilence(now time.Time) {
	if now.Sub(l.reportedAt) > l.cfg.SilenceLimit {
		l.reportedSlots = 0
	}
	heard := l.lastReply
	if l.ramp.since.After(heard) {
		heard = l.ramp.since
	}
	raised := !l.ramp.cold || l.ramp.level > l.cfg.Floor
	if raised && now.Sub(heard) > l.cfg.SilenceLimit {
		l.ramp.chill(now, l.cfg.Floor)
		l.noticeDue = l.noticeDue || l.rank == 0
	}
}
