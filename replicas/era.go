package replicas

import "time"

const (
	// missingGrace is how long replicas may take to register again that the first list of a new
	// era lacks: several heartbeats, and the time until all hosts have read them.
	missingGrace = 5 * time.Second
	// returnedGrace is how long replicas that had gone are not used although the first list of a
	// new era has their entries. The store removes such an entry after three heartbeats of
	// silence.
	returnedGrace = 10 * time.Second
)

// era is what a Registry keeps of the step to a new era of the store.
type era struct {
	// stepping is set until the first state of the new era is known.
	stepping bool
	// missingUntil and returnedUntil are the ends of the grace periods.
	missingUntil, returnedUntil time.Time
	// returned are the runs that had gone and that the new era lists again.
	returned []*run
}

// BeginEra records that the store was restored from a copy. The changes until EndStep lead to the
// first state of the new era, which is older than what is known: entries that it lacks may come
// back, a run that is draining stays so whatever its entry says, and a run that had gone gets no
// work unless its entry changes. Revisions of the entries begin anew.
func (r *Registry) BeginEra(now time.Time) {
	r.era.stepping = true
	r.era.missingUntil = now.Add(missingGrace)
	r.era.returnedUntil = now.Add(returnedGrace)
	for _, e := range r.entries {
		e.Revision = 0
		if e.Draining {
			e.run.leaving = true
		}
	}
}

// EndStep records that the changes from now on are new ones of the present era.
func (r *Registry) EndStep() { r.era.stepping = false }

// hadGone reports whether an entry in the first state of a new era is of a run that was known to
// have no entry any more.
func (r *Registry) hadGone(rep *Replica) bool {
	known := r.runs[rep.Incarnation()]
	return r.era.stepping && known != nil && known.unregistered != nil
}

// markReturned keeps a run out of use until its entry changes or returnedGrace has passed.
func (r *Registry) markReturned(known *run) {
	known.returned = true
	r.era.returned = append(r.era.returned, known)
}

// endReturned makes the runs that had gone usable again after returnedGrace: the store would
// have removed their entries by then if they were still silent.
func (r *Registry) endReturned(now time.Time) {
	if now.Before(r.era.returnedUntil) {
		return
	}
	for _, known := range r.era.returned {
		known.returned = false
	}
	r.era.returned = nil
}
