// Package replicas keeps track of which replicas of each service may get new work,
// based on the replicas' registry, the operator's decisions and the replicas' own
// replies.
//
// The registry in the store may lag, lose entries and be unavailable. Entries that
// lapse while the store is unavailable come back shortly after it is available again if
// their replica is alive; until then a Registry continues to use these replicas. What a
// replica says in its replies belongs to its incarnation and outlasts its entry. A store that
// is restored from a copy returns to older entries until the replicas write them again.
//
// What a Registry holds is bounded in bytes, whatever the store lists: what is known of
// incarnations without an entry goes first, then entries that are new.
package replicas

import (
	"container/list"
	"math"
	"slices"
	"time"
)

const (
	// entryOverhead and runOverhead are the approximate memory of an entry with its run, and
	// of a run without an entry, besides their texts, in bytes.
	entryOverhead = 512
	runOverhead   = 320
)

// Replica is one entry of the registry.
type Replica struct {
	ID         string
	Service    string
	Address    string // "ip:port"
	DataCentre string
	Version    string // of the replica's software
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

// size is the approximate memory of a run without an entry, in bytes.
func (i Incarnation) size() int { return runOverhead + len(i.ID) + len(i.Address) }

// size is the approximate memory of the entry, in bytes.
func (r *Replica) size() int {
	return entryOverhead + len(r.ID) + len(r.Service) + len(r.Address) + len(r.DataCentre) + len(r.Version)
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
	return e.excluded(out) == ""
}

func (e *entry) candidate(now time.Time) Candidate {
	return Candidate{
		Replica: e.Replica, ColdNow: now.Before(e.run.coldUntil), Lapsed: e.lapsed,
		Pause: max(e.run.pausedUntil.Sub(now), 0),
	}
}

// Registry holds the replicas by service. It is not safe for concurrent use.
//
// Invariants: bytes is the sum of the sizes of entries and unregistered, and at most maxBytes;
// unregistered is ordered by the time since which its runs have had no entry.
type Registry struct {
	// lapsedGrace is how long lapsed entries are kept after the store is available
	// again.
	lapsedGrace time.Duration
	entries     map[string]*entry
	services    map[string][]*entry
	runs        map[Incarnation]*run // of all entries and of unregistered
	out         map[string]bool      // data centres whose replicas get no new work
	available   bool
	changedAt   time.Time // when available last changed

	unregistered *list.List // of unregisteredRun
	bytes        int
	maxBytes     int
	leftOut      bool // whether an entry was left out since the last whole list
	era          era
}

// New returns an empty registry of any size whose store is not available yet.
func New(lapsedGrace time.Duration) *Registry {
	return &Registry{
		lapsedGrace: lapsedGrace, entries: map[string]*entry{}, services: map[string][]*entry{},
		runs: map[Incarnation]*run{}, out: map[string]bool{},
		unregistered: list.New(), maxBytes: math.MaxInt,
	}
}

// LimitBytes bounds what the registry holds. It must be called before the first entry.
func (r *Registry) LimitBytes(bytes int) { r.maxBytes = bytes }

// roomShare is the share of the largest size below which a list is worth reading again for
// the entries that were left out.
const roomShare = 7.0 / 8

// NeedsList reports whether entries were left out of the registry and there is room again, so
// that a whole list brings them.
func (r *Registry) NeedsList() bool {
	return r.leftOut && float64(r.bytes) < roomShare*float64(r.maxBytes)
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
	return !r.available || now.Before(r.changedAt.Add(r.lapsedGrace)) || now.Before(r.era.missingUntil)
}

// Put adds or updates an entry, unless its revision is older than the known one. It reports
// false if there is no room for the entry; its replica then is not in the registry.
func (r *Registry) Put(now time.Time, rep Replica) bool {
	e := r.entries[rep.ID]
	if e != nil && rep.Revision < e.Revision {
		return true
	}
	hadGone := r.hadGone(&rep)
	if hadGone && e != nil {
		// The restored store lists an earlier run under this id. The entry of the present run
		// counts as missing: it is kept as lapsed until the replica registers again.
		r.Remove(now, rep.ID)
		return true
	}
	if !r.makeRoom(now, e, rep) {
		r.leftOut = true
		if e != nil {
			r.drop(now, e)
		}
		return false
	}
	switch {
	case e == nil:
		e = &entry{run: r.registerRun(rep.Incarnation())}
		r.entries[rep.ID] = e
	case e.Service != rep.Service:
		r.unlink(e)
	}
	if e.Incarnation() != rep.Incarnation() && e.ID != "" {
		r.unregisterRun(now, e.Incarnation())
		e.run = r.registerRun(rep.Incarnation())
	}
	if rep.Revision > e.Revision && !r.era.stepping { // the entry has changed, so its replica is alive
		e.run.returned = false
	}
	if hadGone {
		r.markReturned(e.run)
	}
	e.Replica = rep
	e.lapsed = false
	if rep.Cold > 0 {
		e.run.coldUntil = now.Add(rep.Cold)
	}
	if !slices.Contains(r.services[rep.Service], e) {
		r.services[rep.Service] = append(r.services[rep.Service], e)
	}
	r.forgetRuns(now)
	return true
}

// makeRoom adds the size of a replica to that of the registry, in place of that of its entry,
// if it has one. It reports whether there is room, and changes the size only then.
func (r *Registry) makeRoom(now time.Time, e *entry, rep Replica) bool {
	more := rep.size()
	if e != nil {
		more -= e.size()
	}
	r.bytes += more
	r.forgetRuns(now)
	if r.bytes <= r.maxBytes || more <= 0 {
		return true
	}
	r.bytes -= more
	return false
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

// Replace sets all entries to a complete list. It returns the number of those for which there
// is no room.
func (r *Registry) Replace(now time.Time, list []Replica) (leftOut int) {
	listed := make(map[string]bool, len(list))
	for _, rep := range list {
		listed[rep.ID] = true
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(now, id)
		}
	}
	r.leftOut = false
	for _, rep := range list {
		if !r.Put(now, rep) {
			leftOut++
		}
	}
	return leftOut
}

// Expire drops the lapsed entries once the registry has settled, and returns their ids.
// It also forgets the runs that have long been unregistered.
func (r *Registry) Expire(now time.Time) []string {
	r.forgetRuns(now)
	r.endReturned(now)
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
	r.bytes -= e.size()
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
// centre for the wanted services.
func (r *Registry) SampleAddresses(dataCentre string, n int, wanted func(service string) bool) []string {
	var addresses []string
	for _, e := range r.entries { // the iteration order of a map is random
		if len(addresses) == n {
			break
		}
		if e.DataCentre == dataCentre && !e.lapsed && !e.Draining && !e.run.leaving && wanted(e.Service) {
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
