// Package replicas keeps which replicas of each service may get new work, from
// what the replicas' registry, the operator and the replicas themselves say.
//
// The registry may lag, lapse and be out of reach. Entries that lapse while it
// is unavailable come back within a short time of its return if their replica
// lives; until then a Registry goes on using the replicas that it knew.
package replicas

import (
	"slices"
	"time"
)

// Replica is one entry of the registry.
type Replica struct {
	ID         string
	Service    string
	Address    string // "ip:port"
	DataCentre string
	Slots      int
	Draining   bool
	// Cold is how long the replica stays cold from the time it was heard.
	Cold time.Duration
	// Started is the Unix millisecond of the replica's start, 0 if unknown. A
	// replica that starts again under its id knows nothing of before.
	Started int64
	// Revision is the store's revision of the entry.
	Revision uint64
}

// Incarnation names one run of a replica.
type Incarnation struct {
	ID      string
	Address string
	Started int64
}

// Incarnation returns the run that the entry is about.
func (r *Replica) Incarnation() Incarnation {
	return Incarnation{ID: r.ID, Address: r.Address, Started: r.Started}
}

// entry is a replica with what this host knows beyond its registration.
type entry struct {
	Replica
	coldUntil time.Time
	// missing is set while the entry has lapsed and may come back.
	missing bool
	// moved is set when another replica answered at the address.
	moved bool
}

// Registry is not safe for concurrent use.
type Registry struct {
	// returnTime is how long lapsed entries are kept after the store's return.
	returnTime time.Duration
	entries    map[string]*entry
	services   map[string][]*entry
	out        map[string]bool // data centres that get no new work
	available  bool
	since      time.Time // of the last change of available
}

// New returns an empty registry, whose store is not reached yet.
func New(returnTime time.Duration) *Registry {
	return &Registry{
		returnTime: returnTime, entries: map[string]*entry{}, services: map[string][]*entry{}, out: map[string]bool{},
	}
}

// SetAvailable tells whether the store answers.
func (r *Registry) SetAvailable(now time.Time, available bool) {
	if r.available != available {
		r.available = available
		r.since = now
	}
}

// settling reports whether missing entries may still come back.
func (r *Registry) settling(now time.Time) bool {
	return !r.available || now.Before(r.since.Add(r.returnTime))
}

// Put takes a new or changed entry.
func (r *Registry) Put(now time.Time, rep Replica) {
	e := r.entries[rep.ID]
	switch {
	case e == nil:
		e = &entry{}
		r.entries[rep.ID] = e
	case rep.Revision < e.Revision:
		return
	case e.Service != rep.Service:
		r.unlink(e)
	}
	if e.Incarnation() != rep.Incarnation() {
		e.moved = false
		e.coldUntil = time.Time{}
	}
	e.Replica = rep
	e.missing = false
	if rep.Cold > 0 {
		e.coldUntil = now.Add(rep.Cold)
	}
	if !slices.Contains(r.services[rep.Service], e) {
		r.services[rep.Service] = append(r.services[rep.Service], e)
	}
}

// Remove takes the end of an entry.
func (r *Registry) Remove(now time.Time, id string) {
	e := r.entries[id]
	if e == nil {
		return
	}
	if r.settling(now) && !e.Draining {
		e.missing = true
		return
	}
	r.drop(e)
}

// Replace takes a whole listing.
func (r *Registry) Replace(now time.Time, list []Replica) {
	listed := make(map[string]bool, len(list))
	for _, rep := range list {
		listed[rep.ID] = true
		r.Put(now, rep)
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(now, id)
		}
	}
}

// Expire drops the entries that did not come back. It returns their ids.
func (r *Registry) Expire(now time.Time) []string {
	if r.settling(now) {
		return nil
	}
	var gone []string
	for id, e := range r.entries {
		if e.missing {
			gone = append(gone, id)
			r.drop(e)
		}
	}
	slices.Sort(gone)
	return gone
}

func (r *Registry) drop(e *entry) {
	r.unlink(e)
	delete(r.entries, e.ID)
}

func (r *Registry) unlink(e *entry) {
	list := slices.DeleteFunc(r.services[e.Service], func(o *entry) bool { return o == e })
	if len(list) == 0 {
		delete(r.services, e.Service)
		return
	}
	r.services[e.Service] = list
}

// SetDataCentresOut takes the data centres whose replicas get no new work.
func (r *Registry) SetDataCentresOut(out map[string]bool) { r.out = out }

// MarkMoved tells that another replica answered at the address of a run.
func (r *Registry) MarkMoved(run Incarnation) {
	if e := r.entries[run.ID]; e != nil && e.Incarnation() == run {
		e.moved = true
	}
}

// Cold tells how much longer a run stays cold, by its own word. A shorter time
// than known is not believed, as it would raise the load.
func (r *Registry) Cold(now time.Time, run Incarnation, left time.Duration) {
	e := r.entries[run.ID]
	if e == nil || e.Incarnation() != run {
		return
	}
	if until := now.Add(left); until.After(e.coldUntil) {
		e.coldUntil = until
	}
}

// Candidate is a replica that may get new work.
type Candidate struct {
	Replica
	ColdNow bool
	// Lapsed is set while the entry is missing and may come back.
	Lapsed bool
}

// Usable appends the replicas of a service that may get new work.
func (r *Registry) Usable(now time.Time, service string, to []Candidate) []Candidate {
	for _, e := range r.services[service] {
		if e.Draining || e.moved || r.out[e.DataCentre] {
			continue
		}
		to = append(to, Candidate{Replica: e.Replica, ColdNow: now.Before(e.coldUntil), Lapsed: e.missing})
	}
	return to
}

// GetUsable returns a replica if it may still get new work. It is asked right before a
// send, which may come long after the choice.
func (r *Registry) GetUsable(now time.Time, id string) (Candidate, bool) {
	e := r.entries[id]
	if e == nil || e.Draining || e.moved || r.out[e.DataCentre] {
		return Candidate{}, false
	}
	return Candidate{Replica: e.Replica, ColdNow: now.Before(e.coldUntil), Lapsed: e.missing}, true
}

// SampleAddresses returns the addresses of up to n replicas, drawn at random, that are registered
// in a data centre.
func (r *Registry) SampleAddresses(dataCentre string, n int) []string {
	var addresses []string
	for _, e := range r.entries { // the order of a map differs each time
		if len(addresses) == n {
			break
		}
		if e.DataCentre == dataCentre && !e.missing && !e.Draining {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}

// Service returns the service of a replica, empty if it is not known.
func (r *Registry) Service(id string) string {
	if e := r.entries[id]; e != nil {
		return e.Service
	}
	return ""
}

// Len returns the number of entries.
func (r *Registry) Len() int { return len(r.entries) }

// Incarnations returns the runs of all entries.
func (r *Registry) Incarnations() map[Incarnation]bool {
	all := make(map[Incarnation]bool, len(r.entries))
	for _, e := range r.entries {
		all[e.Incarnation()] = true
	}
	return all
}
