package ownership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Tick returns the actions that are due: fetches of outdated tables, a read if
// the stored table is unknown, and a write if the table differs from the
// membership.
func (r *Reconciler) Tick(now time.Time) []Action {
	r.trackDifferences(now)
	actions := r.dueFetches(now)
	if r.call != idle || now.Before(r.retryAt) {
		return actions
	}
	due := r.due(now)
	writeDue := !due.IsZero() && !due.After(now)
	if r.mustRead || writeDue && r.isBehind() {
		r.call = reading
		return append(actions, ReadTable{DataCentre: r.table.DataCentre})
	}
	if !writeDue {
		return actions
	}
	nextChange := r.nextChange(now)
	r.call = writing
	r.hasWritten = true
	r.lastWrite = now
	r.pending = r.table.apply(nextChange)
	return append(actions, WriteTable{Base: r.table.Epoch, Table: r.pending})
}

// dueFetches requests each outdated table, and repeats the request after
// RetryInterval.
func (r *Reconciler) dueFetches(now time.Time) []Action {
	var actions []Action
	for _, dataCentre := range slices.Sorted(maps.Keys(r.knownEpochs)) {
		if r.knownEpochs[dataCentre] <= r.Table(dataCentre).Epoch {
			delete(r.fetchAt, dataCentre)
			continue
		}
		if at, ok := r.fetchAt[dataCentre]; ok && now.Before(at) {
			continue
		}
		r.fetchAt[dataCentre] = now.Add(r.cfg.RetryInterval)
		actions = append(actions, FetchTable{DataCentre: dataCentre, Epoch: r.knownEpochs[dataCentre]})
	}
	return actions
}

// trackDifferences records since when members have been dead or unknown, and live
// hosts have been missing from the table. The time of a member starts again if it
// was live in between.
func (r *Reconciler) trackDifferences(now time.Time) {
	unavailableSince := make(map[Member]time.Time)
	for _, m := range r.table.Members {
		if s, known := r.status(m); !known || s == Dead {
			unavailableSince[m] = sinceOrNow(r.unavailableSince, m, now)
		}
	}
	r.unavailableSince = unavailableSince
	unlistedSince := make(map[Member]time.Time)
	for _, p := range r.peers {
		if p.Status == Live && p.ID != r.self.ID && r.shouldJoin(p.Member) {
			unlistedSince[p.Member] = sinceOrNow(r.unlistedSince, p.Member, now)
		}
	}
	if !r.releasing && r.shouldJoin(r.self) {
		unlistedSince[r.self] = sinceOrNow(r.unlistedSince, r.self, now)
	}
	r.unlistedSince = unlistedSince
}

// shouldJoin reports whether m should be added to the table: the table contains
// neither m nor a later process of its host, and m has not released its slots.
func (r *Reconciler) shouldJoin(m Member) bool {
	if r.table.released(m) {
		return false
	}
	present, ok := r.table.Lookup(m.ID)
	return !ok || present.Incarnation < m.Incarnation
}

func sinceOrNow(m map[Member]time.Time, key Member, now time.Time) time.Time {
	if t, ok := m[key]; ok {
		return t
	}
	return now
}

// status returns the status of exactly this process, and false if the membership
// does not know it or has a newer incarnation of the host.
func (r *Reconciler) status(m Member) (Status, bool) {
	if m.sameProcess(r.self) {
		return Live, true
	}
	i := slices.IndexFunc(r.peers, func(p Peer) bool { return p.sameProcess(m) })
	if i < 0 {
		return 0, false
	}
	return r.peers[i].Status, true
}

// takeoverDelay returns how long this host leaves changes that any host can write
// to the live hosts that precede it in rendezvous order.
func (r *Reconciler) takeoverDelay() time.Duration {
	own := score(r.table.DataCentre, r.self.ID)
	rank := 0
	for _, p := range r.peers {
		if p.Status != Live || p.ID == r.self.ID {
			continue
		}
		other := score(r.table.DataCentre, p.ID)
		if other > own || other == own && strings.Compare(p.ID, r.self.ID) < 0 {
			rank++
		}
	}
	return time.Duration(min(rank, maxTakeoverRank)) * r.cfg.TakeoverDelay
}

// due returns when the next write is due, or zero if the table needs none.
func (r *Reconciler) due(now time.Time) time.Time {
	var due time.Time
	earlier := func(t time.Time) {
		if due.IsZero() || t.Before(due) {
			due = t
		}
	}
	if r.releasing && r.table.Contains(r.self) {
		earlier(now)
	}
	if !r.releasing {
		takeoverDelay := r.takeoverDelay()
		for m, t := range r.unavailableSince {
			earlier(t.Add(r.removalDelay(m) + takeoverDelay))
		}
		for m, t := range r.unlistedSince {
			if m.sameProcess(r.self) {
				earlier(t.Add(min(takeoverDelay, r.cfg.TakeoverDelay)))
			} else {
				earlier(t.Add(takeoverDelay))
			}
		}
	}
	if !due.IsZero() && r.hasWritten && due.Before(r.lastWrite.Add(r.cfg.WriteInterval)) {
		due = r.lastWrite.Add(r.cfg.WriteInterval)
	}
	return due
}

// removalDelay returns how long a member must have been dead or unknown before it
// is removed.
func (r *Reconciler) removalDelay(m Member) time.Duration {
	if _, known := r.status(m); known {
		return withDrift(r.cfg.Lease)
	}
	return max(r.cfg.MissingAfter, withDrift(r.cfg.Lease))
}

// nextChange collects the changes that can be written now. It includes changes
// whose takeover delay has not passed yet, so that one write carries all of them.
func (r *Reconciler) nextChange(now time.Time) Change {
	c := Change{Base: r.table.Epoch}
	if r.releasing {
		if r.table.Contains(r.self) {
			c.Released = []Member{r.self}
		}
		return c
	}
	for _, m := range r.table.Members {
		if t, ok := r.unavailableSince[m]; ok && !now.Before(t.Add(r.removalDelay(m))) {
			c.Removed = append(c.Removed, m)
		}
	}
	c.Joined = slices.Collect(maps.Keys(r.unlistedSince))
	for _, joined := range c.Joined {
		old, ok := r.table.Lookup(joined.ID)
		if ok && !slices.Contains(c.Removed, old) {
			c.Removed = append(c.Removed, old)
		}
	}
	slices.SortFunc(c.Removed, compareMembers)
	slices.SortFunc(c.Joined, compareMembers)
	return c
}
