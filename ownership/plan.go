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
func (k *Reconciler) Tick(now time.Time) []Action {
	k.trackDifferences(now)
	actions := k.dueFetches(now)
	if k.call != idle || now.Before(k.retryAt) {
		return actions
	}
	due := k.due(now)
	writeDue := !due.IsZero() && !due.After(now)
	if k.mustRead || writeDue && k.isBehind() {
		k.call = reading
		return append(actions, ReadTable{DataCentre: k.table.DataCentre})
	}
	if !writeDue {
		return actions
	}
	nextChange := k.nextChange(now)
	k.call = writing
	k.hasWritten = true
	k.lastWrite = now
	k.pending = k.table.apply(nextChange)
	return append(actions, WriteTable{Base: k.table.Epoch, Table: k.pending})
}

// dueFetches requests each outdated table, and repeats the request after
// RetryInterval.
func (k *Reconciler) dueFetches(now time.Time) []Action {
	var actions []Action
	for _, dataCentre := range slices.Sorted(maps.Keys(k.knownEpochs)) {
		if k.knownEpochs[dataCentre] <= k.Table(dataCentre).Epoch {
			delete(k.fetchAt, dataCentre)
			continue
		}
		if at, ok := k.fetchAt[dataCentre]; ok && now.Before(at) {
			continue
		}
		k.fetchAt[dataCentre] = now.Add(k.cfg.RetryInterval)
		actions = append(actions, FetchTable{DataCentre: dataCentre, Epoch: k.knownEpochs[dataCentre]})
	}
	return actions
}

// trackDifferences records since when members have been dead or unknown, and live
// hosts have been missing from the table. The time of a member starts again if it
// was live in between.
func (k *Reconciler) trackDifferences(now time.Time) {
	unavailableSince := make(map[Member]time.Time)
	for _, m := range k.table.Members {
		if s, known := k.status(m); !known || s == Dead {
			unavailableSince[m] = sinceOrNow(k.unavailableSince, m, now)
		}
	}
	k.unavailableSince = unavailableSince
	unlistedSince := make(map[Member]time.Time)
	for _, p := range k.peers {
		if p.Status == Live && p.ID != k.self.ID && k.shouldJoin(p.Member) {
			unlistedSince[p.Member] = sinceOrNow(k.unlistedSince, p.Member, now)
		}
	}
	if !k.releasing && k.shouldJoin(k.self) {
		unlistedSince[k.self] = sinceOrNow(k.unlistedSince, k.self, now)
	}
	k.unlistedSince = unlistedSince
}

// shouldJoin reports whether m should be added to the table: the table contains
// neither m nor a later process of its host, and m has not released its slots.
func (k *Reconciler) shouldJoin(m Member) bool {
	if k.table.released(m) {
		return false
	}
	present, ok := k.table.Lookup(m.ID)
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
func (k *Reconciler) status(m Member) (Status, bool) {
	if m.sameProcess(k.self) {
		return Live, true
	}
	i := slices.IndexFunc(k.peers, func(p Peer) bool { return p.sameProcess(m) })
	if i < 0 {
		return 0, false
	}
	return k.peers[i].Status, true
}

// takeoverDelay returns how long this host leaves changes that any host can write
// to the live hosts that precede it in rendezvous order.
func (k *Reconciler) takeoverDelay() time.Duration {
	own := score(k.table.DataCentre, k.self.ID)
	rank := 0
	for _, p := range k.peers {
		if p.Status != Live || p.ID == k.self.ID {
			continue
		}
		other := score(k.table.DataCentre, p.ID)
		if other > own || other == own && strings.Compare(p.ID, k.self.ID) < 0 {
			rank++
		}
	}
	return time.Duration(min(rank, maxTakeoverRank)) * k.cfg.TakeoverDelay
}

// due returns when the next write is due, or zero if the table needs none.
func (k *Reconciler) due(now time.Time) time.Time {
	var due time.Time
	earlier := func(t time.Time) {
		if due.IsZero() || t.Before(due) {
			due = t
		}
	}
	if k.releasing && k.table.Contains(k.self) {
		earlier(now)
	}
	if !k.releasing {
		takeoverDelay := k.takeoverDelay()
		for m, t := range k.unavailableSince {
			earlier(t.Add(k.removalDelay(m) + takeoverDelay))
		}
		for m, t := range k.unlistedSince {
			if m.sameProcess(k.self) {
				earlier(t.Add(min(takeoverDelay, k.cfg.TakeoverDelay)))
			} else {
				earlier(t.Add(takeoverDelay))
			}
		}
	}
	if !due.IsZero() && k.hasWritten && due.Before(k.lastWrite.Add(k.cfg.WriteInterval)) {
		due = k.lastWrite.Add(k.cfg.WriteInterval)
	}
	return due
}

// removalDelay returns how long a member must have been dead or unknown before it
// is removed.
func (k *Reconciler) removalDelay(m Member) time.Duration {
	if _, known := k.status(m); known {
		return withDrift(k.cfg.Lease)
	}
	return max(k.cfg.MissingAfter, withDrift(k.cfg.Lease))
}

// nextChange collects the changes that can be written now. It includes changes
// whose takeover delay has not passed yet, so that one write carries all of them.
func (k *Reconciler) nextChange(now time.Time) Change {
	c := Change{Base: k.table.Epoch}
	if k.releasing {
		if k.table.Contains(k.self) {
			c.Released = []Member{k.self}
		}
		return c
	}
	for _, m := range k.table.Members {
		if t, ok := k.unavailableSince[m]; ok && !now.Before(t.Add(k.removalDelay(m))) {
			c.Removed = append(c.Removed, m)
		}
	}
	c.Joined = slices.Collect(maps.Keys(k.unlistedSince))
	for _, joined := range c.Joined {
		old, ok := k.table.Lookup(joined.ID)
		if ok && !slices.Contains(c.Removed, old) {
			c.Removed = append(c.Removed, old)
		}
	}
	slices.SortFunc(c.Removed, compareMembers)
	slices.SortFunc(c.Joined, compareMembers)
	return c
}
