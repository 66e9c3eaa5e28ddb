package capacity

import (
	"time"
)

// Portion returns how many slots of a ramp level belong to the owner of the
// given rank. Slot k belongs to rank k modulo the number of owners. The portions
// of all owners add up to the level, and an owner's portion never exceeds its
// portion of a higher level.
func Portion(level, rank, owners int) int {
	if owners < 1 || rank < 0 || rank >= owners || level <= rank {
		return 0
	}
	return (level-rank-1)/owners + 1
}

// ramp is the cold-start state of an upstream. Levels count slots of the whole
// upstream.
type ramp struct {
	cold        bool
	level       int
	levelStart  time.Time // start of the current level
	goodReplies int       // good replies to requests started at the current level
	ceiling     int       // highest level that the owner of rank 0 permits
}

// resetRamp marks the upstream as cold and sets the level.
func (r *ramp) resetRamp(now time.Time, level int) {
	r.cold = true
	r.setLevel(now, level)
}

func (r *ramp) setLevel(now time.Time, level int) {
	r.level = level
	r.levelStart = now
	r.goodReplies = 0
}

// raise moves to the next level if there were enough good replies at the current
// one and StepTime has passed. It reports whether the level changed.
func (r *ramp) raise(now time.Time, c *Config) bool {
	if !r.cold || r.goodReplies < c.MinGoodReplies || now.Sub(r.levelStart) < c.StepTime {
		return false
	}
	next := min(c.Slots, r.ceiling, r.level+c.Step)
	if next <= r.level && next < c.Slots {
		return false
	}
	r.cold = next < c.Slots
	r.setLevel(now, next)
	return true
}

// Level returns a notice with this owner's current ramp level. The owner of
// rank 0 sends it to the co-owners once a second, in addition to the notices
// from TakeNotice: a co-owner that missed a notice, or that reset its ramp after
// SilenceLimit, stays at a lower level until it receives one.
func (l *Limiter) Level(now time.Time) Notice {
	l.checkSilence(now)
	return Notice{Incarnation: l.incarnation, Level: l.level(), Rank: l.rank, Restart: l.resetByRestart}
}

// TakeNotice returns a notice and whether it must be sent to the other owners
// because of the events since the last call.
func (l *Limiter) TakeNotice(now time.Time) (Notice, bool) {
	n := l.Level(now)
	due := l.noticeDue
	l.noticeDue = false
	return n, due
}

// Cold reports whether the upstream is still on its ramp.
func (l *Limiter) Cold() bool { return l.ramp.cold }

// level returns the number of slots that all owners together may use.
func (l *Limiter) level() int {
	level := min(l.ramp.level, l.ramp.ceiling)
	if l.reportedSlots > 0 {
		level = min(level, l.reportedSlots)
	}
	return level
}

// Notice applies a notice from another owner. At a co-owner, a notice from
// rank 0 sets the ceiling of the level. A lower level takes effect immediately. A
// higher one raises the level only until this owner has its first slot; replies
// to its own requests must confirm every further step. Any other notice can only
// lower the level. A notice about a replaced incarnation is ignored.
func (l *Limiter) Notice(now time.Time, n Notice) Changes {
	if l.isReplaced(n.Incarnation) {
		return l.dispatch(now)
	}
	level := max(l.cfg.Floor, min(n.Level, l.cfg.Slots))
	known := n.Incarnation == l.incarnation || l.incarnation == "" || n.Incarnation == ""
	switch {
	case n.Restart && n.Rank != 0 && n.Incarnation == l.incarnation:
		// This owner has reset its ramp for the same incarnation.
	case l.rank == 0 || n.Rank != 0:
		if !known {
			level = l.cfg.Floor
		}
		l.lowerTo(now, level)
	case !known:
		l.replaceIncarnation(n.Incarnation)
		l.ramp.ceiling = level
		l.ramp.resetRamp(now, l.cfg.Floor)
	default:
		if l.incarnation == "" {
			l.incarnation = n.Incarnation
		}
		l.followRankZero(now, level)
	}
	return l.dispatch(now)
}

// lowerTo sets the level that a co-owner reported if it is lower.
func (l *Limiter) lowerTo(now time.Time, level int) {
	if level < l.ramp.level {
		l.ramp.resetRamp(now, level)
		l.noticeDue = l.rank == 0
	}
}

// followRankZero applies the level of the owner of rank 0. It does not raise a
// level that was lowered less than half a StepTime ago, because the notice may be
// older than the cause of the decrease.
func (l *Limiter) followRankZero(now time.Time, level int) {
	l.ramp.ceiling = level
	if level < l.ramp.level {
		l.ramp.resetRamp(now, level)
		return
	}
	lowestUseful := min(level, l.rank+1) // the lowest level that gives this owner a slot
	if l.ramp.cold && l.ramp.level < lowestUseful && now.Sub(l.ramp.levelStart) >= l.cfg.StepTime/2 {
		l.ramp.setLevel(now, lowestUseful)
		l.ramp.cold = lowestUseful < l.cfg.Slots
	}
}

// resetRamp returns the upstream to the floor of the ramp and schedules a notice
// to the co-owners.
func (l *Limiter) resetRamp(now time.Time) {
	l.ramp.resetRamp(now, l.cfg.Floor)
	l.coldReported = false
	l.resetByRestart = false
	l.noticeDue = true
}
