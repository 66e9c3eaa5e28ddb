package capacity

import (
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// applyOutcome updates the state of the upstream from a finished request. It
// ignores replies from a replaced incarnation, which say nothing about the
// current one.
func (l *Limiter) applyOutcome(now time.Time, f inFlight, o Outcome) {
	if o.Result == Cancelled || l.isReplaced(o.Incarnation) {
		return
	}
	l.observeIncarnation(now, o.Incarnation)
	switch o.Result {
	case Broken:
		l.resetRamp(now)
		return
	case TimedOut:
		l.applyServiceTime(now, f, o)
		return
	case Draining:
		l.draining = true
	case Shed:
		l.limit.decrease(l.share)
		l.resetRamp(now)
	case Served:
		l.applyServiceTime(now, f, o)
	}
	l.lastReply = now
	l.observeLoad(now, o.Load)
}

// applyServiceTime updates the speed, the concurrency limit and the ramp from
// the duration of a request that was served or timed out.
func (l *Limiter) applyServiceTime(now time.Time, f inFlight, o Outcome) {
	slow, speedFell := l.speed.observe(now.Sub(f.startedAt))
	if speedFell {
		l.limit.decrease(l.share)
		l.resetRamp(now)
	}
	if slow || o.Result != Served {
		return
	}
	if f.fillsLimit {
		l.limit.increase(l.share)
	}
	if !f.fillsLevel || !f.levelSince.Equal(l.ramp.levelStart) || l.coldReportHoldsLevel(now, o.Load) {
		return
	}
	l.ramp.goodReplies++
	if l.ramp.raise(now, &l.cfg) && l.rank == 0 {
		l.noticeDue = true
	}
}

// coldHoldSteps is the maximum time, in multiples of StepTime, for which an
// upstream that reports itself cold holds a ramp level. Without this bound, an
// upstream that never stops reporting cold would keep the load low forever.
const coldHoldSteps = 10

// coldReportHoldsLevel reports whether the load report in a reply prevents the
// ramp from rising. Time alone does not warm an upstream that gets little work.
func (l *Limiter) coldReportHoldsLevel(now time.Time, load upstream.Load) bool {
	return load.Cold && now.Sub(l.ramp.levelStart) < coldHoldSteps*l.cfg.StepTime
}

// observeIncarnation resets the ramp if the upstream has restarted.
func (l *Limiter) observeIncarnation(now time.Time, incarnation string) {
	if incarnation == "" || incarnation == l.incarnation {
		return
	}
	if l.incarnation != "" {
		l.resetRamp(now)
		l.resetByRestart = true
		if l.owners > 1 {
			// Requests that co-owners sent before they learned of the restart
			// are still running. Starting another one now could exceed the
			// floor of the ramp.
			l.resumeAt = now.Add(l.cfg.ColdPause)
		}
	}
	l.replaceIncarnation(incarnation)
}

func (l *Limiter) replaceIncarnation(incarnation string) {
	copy(l.replacedIncarnations[1:], l.replacedIncarnations[:])
	l.replacedIncarnations[0] = l.incarnation
	l.incarnation = incarnation
}

// isReplaced reports whether a newer incarnation has replaced this one.
func (l *Limiter) isReplaced(incarnation string) bool {
	return incarnation != "" && slices.Contains(l.replacedIncarnations[:], incarnation)
}

// observeLoad applies a load report, which can only lower the load. A cold
// report resets the ramp only when the flag first appears, since an upstream
// that always reports cold could be wrong.
func (l *Limiter) observeLoad(now time.Time, load upstream.Load) {
	if load.Draining {
		l.draining = true
	}
	l.reportedSlots, l.reportedAt = load.Slots, now
	if load.Cold && !l.coldReported && !l.ramp.cold {
		l.resetRamp(now)
	}
	l.coldReported = load.Cold
}

// checkSilence resets the ramp if this owner got no reply for SilenceLimit,
// whether or not it sent requests. A co-owner sends no notice then, because the
// other owners may still be getting replies. The number of slots that the
// upstream reported expires after the same time.
func (l *Limiter) checkSilence(now time.Time) {
	if now.Sub(l.reportedAt) > l.cfg.SilenceLimit {
		l.reportedSlots = 0
	}
	lastActivity := l.lastReply
	if l.ramp.levelStart.After(lastActivity) {
		lastActivity = l.ramp.levelStart
	}
	raised := !l.ramp.cold || l.ramp.level > l.cfg.Floor
	if raised && now.Sub(lastActivity) > l.cfg.SilenceLimit {
		l.ramp.resetRamp(now, l.cfg.Floor)
		l.noticeDue = l.noticeDue || l.rank == 0
	}
}
