// Package replicas keeps track of which replicas of each service may get new work,
// based on the replicas' registry, the operator's decisions and the replicas' own
// replies.
//
// The registry in the store may lag, lose entries and be unavailable. Entries that
// lapse while the store is unavailable come back shortly after it is available again if
// their replica is alive; until then a Registry continues to use these replicas. What a
// replica says in its replies belongs to its incarnation and outlasts its entry.
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
	// Cold is how long the replica stays cold from the time its entry is received.
	Cold time.Duration
	// Started is the start time of the replica in Unix milliseconds, 0 if unknown. A
	// replica restarted under the same id has no state of its earlier run.
	Started int64
	// Revision is the revision of the entry in the store.
	Revision uint64
}

// Incarnation identifies one run of a replica.
type Incarnation struct {
	ID      string
	Address string
	Started int64
}

// Incarnation returns the run that registered the entry.
func (r *Replica) Incarnation() Incarnation {
	return Incarnation{ID: r.ID, Address: r.Address, Started: r.Started}
}

// entry is a registered replica.
type entry struct {
	Replica
	run *run
	// lapsed is set while the entry is gone from the store and may come back.
	lapsed bool
}

// usable reports whether the replica may get new work, apart from a pause.
func (e *entry) usable(out map[string]bool) bool {
	return !e.Draining && !e.run.moved && !e.run.leaving && !out[e.DataCentre]
}

func (e *entry) candidate(now time.Time) Candidate {
	return Candidate{
		Replica: e.Replica, ColdNow: now.Before(e.run.coldUntil), Lapsed: e.lapsed,
		Pause: max(e.run.pausedUntil.Sub(now), 0),
	}
}

// Registry holds the replicas by service. It is not safe for concurrent use.
type Registry struct {
	// lapsedGrace is how long lapsed entries are kept after the store is available
	// again.
	lapsedGrace time.Duration
	entries     map[string]*entry
	services    map[string][]*entry
	runs        map[Incarnation]*run // of all entries, and of those that were dropped lately
	out         map[string]bool      // data centres whose replicas get no new work
	available   bool
	changedAt   time.Time // when available last changed
}

// New returns an empty registry whose store is not available yet.
func New(lapsedGrace time.Duration) *Registry {
	return &Registry{
		lapsedGrace: lapsedGrace, entries: map[string]*entry{}, services: map[string][]*entry{},
		runs: map[Incarnation]*run{}, out: map[string]bool{},
	}
}

// SetAvailable records whether the store is available.
func (r *Registry) SetAvailable(now time.Time, available bool) {
	if r.available != available {
		r.available = available
		r.changedAt = now
	}
}

// settling reports whether lapsed entries may still come back.
func (r *Registry) settling(now time.Time) bool {
	return !r.available || now.Before(r.changedAt.Add(r.lapsedGrace))
}

// Put adds or updates an entry, unless its revision is older than the known one.
func (r *Registry) Put(now time.Time, rep Replica) {
	e := r.entries[rep.ID]
	switch {
	case e == nil:
		e = &entry{run: r.registerRun(rep.Incarnation())}
		r.entries[rep.ID] = e
	case rep.Revision < e.Revision:
		return
	case e.Service != rep.Service:
		r.unlink(e)
	}
	if e.Incarnation() != rep.Incarnation() && e.ID != "" {
		r.unregisterRun(now, e.Incarnation())
		e.run = r.registerRun(rep.Incarnation())
	}
	e.Replica = rep
	e.lapsed = false
	if rep.Cold > 0 {
		e.run.coldUntil = now.Add(rep.Cold)
	}
	if !slices.Contains(r.services[rep.Service], e) {
		r.services[rep.Service] = append(r.services[rep.Service], e)
	}
}

// Remove records that an entry is gone from the store. Unless its replica is draining,
// the entry is kept as lapsed while the registry is settling.
func (r *Registry) Remove(now time.Time, id string) {
	e := r.entries[id]
	if e == nil {
		return
	}
	if r.settling(now) && !e.Draining {
		e.lapsed = true
		return
	}
	r.drop(now, e)
}

// Replace sets all entries to a complete list.
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

// Expire drops the lapsed entries once the registry has settled, and returns their ids.
// It also forgets the runs that have long been unregistered.
func (r *Registry) Expire(now time.Time) []string {
	r.forgetRuns(now)
	if r.settling(now) {
		return nil
	}
	var expired []string
	for id, e := range r.entries {
		if e.lapsed {
			expired = append(expired, id)
			r.drop(now, e)
		}
	}
	slices.Sort(expired)
	return expired
}

func (r *Registry) drop(now time.Time, e *entry) {
	r.unlink(e)
	r.unregisterRun(now, e.Incarnation())
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

// SetDataCentresOut sets the data centres whose replicas get no new work.
func (r *Registry) SetDataCentresOut(out map[string]bool) { r.out = out }

// Candidate is a replica that may get new work.
type Candidate struct {
	Replica
	ColdNow bool
	// Lapsed is set while the entry is gone from the store and may come back.
	Lapsed bool
	// Pause is how much longer the replica wants no requests from this host; 0 if it
	// may get some now.
	Pause time.Duration
}

// Usable appends the replicas of a service that may get new work, now or after a pause,
// to dst.
func (r *Registry) Usable(now time.Time, service string, dst []Candidate) []Candidate {
	for _, e := range r.services[service] {
		if e.usable(r.out) {
			dst = append(dst, e.candidate(now))
		}
	}
	return dst
}

// GetUsable returns a replica if it may still get new work, now or after a pause. It is
// meant to be called right before a send, which may come long after the replica was
// chosen.
func (r *Registry) GetUsable(now time.Time, id string) (Candidate, bool) {
	e := r.entries[id]
	if e == nil || !e.usable(r.out) {
		return Candidate{}, false
	}
	return e.candidate(now), true
}

// SampleAddresses returns the addresses of up to n random replicas registered in a data
// centre.
func (r *Registry) SampleAddresses(dataCentre string, n int) []string {
	var addresses []string
	for _, e := range r.entries { // the iteration order of a map is random
		if len(addresses) == n {
			break
		}
		if e.DataCentre == dataCentre && !e.lapsed && !e.Draining && !e.run.leaving {
			addresses = append(addresses, e.Address)
		}
	}
	return addresses
}

// Service returns the service of a replica; empty if it is not known.
func (r *Registry) Service(id string) string {
	if e := r.entries[id]; e != nil {
		return e.Service
	}
	return ""
}

// Len returns the number of entries.
func (r *Registry) Len() int { return len(r.entries) }

// Incarnations returns the set of all entries' incarnations, without those that said
// that they are leaving.
func (r *Registry) Incarnations() map[Incarnation]bool {
	all := make(map[Incarnation]bool, len(r.entries))
	for _, e := range r.entries {
		if !e.run.leaving {
			all[e.Incarnation()] = true
		}
	}
	return all
}
