package replicas

import (
	"container/list"
	"time"
)

// maxPause bounds the pause that a replica may ask for, so that a wrong value does not
// put the replica out of use for good.
const maxPause = 10 * time.Minute

// runRetention is how long a run without an entry is remembered. An entry may lapse with
// the store and be registered again as ready by a replica that is leaving.
const runRetention = 10 * time.Minute

// run is what the replies of one incarnation said about it.
type run struct {
	// moved is set when another replica has answered at the address.
	moved bool
	// leaving is set when the replica said that it is leaving. It is never reset: a
	// replica that starts again is another incarnation.
	leaving bool
	// returned is set while only an older copy of the store lists the run, which had gone.
	returned    bool
	coldUntil   time.Time
	pausedUntil time.Time // the replica wants no requests from this host until then
	// malformed is set when the run sent a value that can't be decoded.
	malformed bool
	// unregistered is the run's place among the runs without an entry; nil while there is
	// one.
	unregistered *list.Element
}

// unregisteredRun is a run without an entry.
type unregisteredRun struct {
	Incarnation
	since time.Time
}

// registerRun returns what is known about an incarnation that has an entry now.
func (r *Registry) registerRun(incarnation Incarnation) *run {
	known := r.runs[incarnation]
	if known == nil {
		known = &run{}
		r.runs[incarnation] = known
	}
	if known.unregistered != nil {
		r.unregistered.Remove(known.unregistered)
		r.bytes -= incarnation.size()
		known.unregistered = nil
	}
	return known
}

// unregisterRun records that an incarnation has no entry any more. Without a start time
// it can't be told from a later one under the same id, so it is forgotten.
func (r *Registry) unregisterRun(now time.Time, incarnation Incarnation) {
	if incarnation.Started == 0 {
		delete(r.runs, incarnation)
		return
	}
	r.runs[incarnation].unregistered = r.unregistered.PushBack(unregisteredRun{incarnation, now})
	r.bytes += incarnation.size()
}

// forgetRuns removes the runs that have had no entry for runRetention, and those that have
// had none longest while the registry is over its size.
func (r *Registry) forgetRuns(now time.Time) {
	for oldest := r.unregistered.Front(); oldest != nil; oldest = r.unregistered.Front() {
		u := oldest.Value.(unregisteredRun)
		if now.Sub(u.since) < runRetention && r.bytes <= r.maxBytes {
			return
		}
		r.unregistered.Remove(oldest)
		r.bytes -= u.size()
		delete(r.runs, u.Incarnation)
	}
}

// MarkMoved records that another replica answered at the address of a run.
func (r *Registry) MarkMoved(incarnation Incarnation) {
	if known := r.runs[incarnation]; known != nil {
		known.moved = true
	}
}

// MarkLeaving records that a run said that it is leaving. It reports whether this is
// news.
func (r *Registry) MarkLeaving(incarnation Incarnation) bool {
	known := r.runs[incarnation]
	if known == nil || known.leaving {
		return false
	}
	known.leaving = true
	return true
}

// Pause records that a run wants no requests from this host for a while. It reports
// whether the run was not paused before. The pause ends no sooner than an earlier one.
func (r *Registry) Pause(now time.Time, incarnation Incarnation, pause time.Duration) bool {
	known := r.runs[incarnation]
	if known == nil || pause <= 0 {
		return false
	}
	began := !now.Before(known.pausedUntil)
	if until := now.Add(min(pause, maxPause)); until.After(known.pausedUntil) {
		known.pausedUntil = until
	}
	return began
}

// MarkMalformed records that a run sent a value that can't be decoded. It reports
// whether this is news.
func (r *Registry) MarkMalformed(incarnation Incarnation) bool {
	known := r.runs[incarnation]
	if known == nil || known.malformed {
		return false
	}
	known.malformed = true
	return true
}

// Cold records that a run reported how much longer it stays cold. A shorter time than
// known is ignored, because believing it would raise the load on a cold replica.
func (r *Registry) Cold(now time.Time, incarnation Incarnation, remaining time.Duration) {
	known := r.runs[incarnation]
	if known == nil {
		return
	}
	if until := now.Add(remaining); until.After(known.coldUntil) {
		known.coldUntil = until
	}
}
