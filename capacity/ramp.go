package capacity

import (
	"time"
)

// Portion returns how many of level slots belong to the owner of the given
// rank: slot k belongs to rank k modulo the number of owners. The portions add
// up to the level, and none exceeds the owner's portion of all slots.
func Portion(level, rank, owners int) int {
	if owners < 1 || rank < 0 || rank >= owners || level <= rank {
		return 0
	}
	return (level-rank-1)/owners + 1
}

// ramp is the cold-start state. The level counts slots of the whole upstream.
type ramp struct {
	cold    bool
	level   int
	since   time.Time // start of the current level
	good    int       // good replies to requests started at the current level
	ceiling int       // highest level that the owner of rank 0 allows
}

// chill puts the upstream back to a level of the ramp.
func (r *ramp) chill(now time.Time, level int) {
	r.cold = true
	r.setLevel(now, level)
}

func (r *ramp) setLevel(now time.Time, level int) {
	r.level = level
	r.since = now
	r.good = 0
}

// raise moves to the next level if the current one has been shown to be safe.
// It reports whether the level changed.
func (r *ramp) raise(now time.Time, c *Config) bool {
	if !r.cold || r.good < c.MinGoodReplies || now.Sub(r.since) < c.StepTime {
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

// Level returns the ramp level as this owner knows it. The owner of rank 0
// sends it to the co-owners when TakeNotice says so and also once a second:
// a co-owner that lost a notice or was silent for long stays at a lower level
// until it gets one.
func (l *Limiter) Level(now time.Time) Notice {
	l.checkSilence(now)
	return Notice{Incarnation: l.incarnation, Level: l.level(), Rank: l.rank, Restart: l.restarted}
}

// TakeNotice returns the notice that has to go to the other owners, if the
// events since the last call caused one.
func (l *Limiter) TakeNotice(now time.Time) (Notice, bool) {
	n := l.Level(now)
	due := l.noticeDue
	l.noticeDue = false
	return n, due
}

// Cold reports whether the upstream is on its ramp.
func (l *Limiter) Cold() bool { return l.ramp.cold }

// level returns the highest number of slots that all owners together may use.
func (l *Limiter) level() int {
	level := min(l.ramp.level, l.ramp.ceiling)
	if l.reportedSlots > 0 {
		level = min(level, l.reportedSlots)
	}
	return level
}

// Notice handles a notice from another owner. A notice from rank 0 sets the
// ceiling of a co-owner. It lowers the level at once, but raises it no further
// than to the first slot of this owner, whose own replies must agree with the
// rest. Any other notice can only lower the level. A notice about an
// incarnation that this owner saw replaced is ignored.
func (l *Limiter) Notice(now time.Time, n Notice) Changes {
	if l.replaced(n.Incarnation) {
		return l.dispatch(now)
	}
	level := max(l.cfg.Floor, min(n.Level, l.cfg.Slots))
	known := n.Incarnation == l.incarnation || l.incarnation == "" || n.Incarnation == ""
	switch {
	case n.Restart && n.Rank != 0 && n.Incarnation == l.incarnation:
		// This owner began at the floor as well.
	case l.rank == 0 || n.Rank != 0:
		if !known {
			level = l.cfg.Floor
		}
		l.lowerTo(now, level)
	case !known:
		l.replaceIncarnation(n.Incarnation)
		l.ramp.ceiling = level
		l.ramp.chill(now, l.cfg.Floor)
	default:
		if l.incarnation == "" {
			l.incarnation = n.Incarnation
		}
		l.follow(now, level)
	}
	return l.dispatch(now)
}

// lowerTo takes over what a co-owner saw, if it is worse.
func (l *Limiter) lowerTo(now time.Time, level int) {
	if level < l.ramp.level {
		l.ramp.chill(now, level)
		l.noticeDue = l.rank == 0
	}
}

// follow takes over the level of the owner of rank 0. A level that was lowered
// a moment ago is not raised, as the notice may be older than the reason.
func (l *Limiter) follow(now time.Time, level int) {
	l.ramp.ceiling = level
	if level < l.ramp.level {
		l.ramp.chill(now, level)
		return
	}
	first := min(level, l.rank+1) // lowest level with a slot for this owner
	if l.ramp.cold && l.ramp.level < first && now.Sub(l.ramp.since) >= l.cfg.StepTime/2 {
		l.ramp.setLevel(now, first)
		l.ramp.cold = first < l.cfg.Slots
	}
}

// chill puts the upstream back to the floor and lets the co-owners know.
func (l *Limiter) chill(now time.Time) {
	l.ramp.chill(now, l.cfg.Floor)
	l.coldReported = false
	l.restarted = false
	l.noticeDue = true
}
