package ownership

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Tick starts what is due: fetches of tables that are behind, a read if the
// platform's table is unknown, a write if it differs from the membership.
func (k *Reconciler) Tick(now time.Time) []Action {
	k.note(now)
	actions := k.fetches(now)
	if k.call != idle || now.Before(k.notBefore) {
		return actions
	}
	due := k.due(now)
	ripe := !due.IsZero() && !due.After(now)
	if k.mustRead || ripe && k.behind() {
		k.call = reading
		return append(actions, ReadTable{DataCentre: k.table.DataCentre})
	}
	if !ripe {
		return actions
	}
	change := k.change(now)
	k.call = writing
	k.wrote = true
	k.lastWrite = now
	k.pending = k.table.apply(change)
	return append(actions, WriteTable{Base: k.table.Epoch, Table: k.pending})
}

// fetches asks for each table that is behind, again after the retry interval.
func (k *Reconciler) fetches(now time.Time) []Action {
	var actions []Action
	for _, dataCentre := range slices.Sorted(maps.Keys(k.heard)) {
		if k.heard[dataCentre] <= k.Table(dataCentre).Epoch {
			delete(k.fetchAt, dataCentre)
			continue
		}
		if at, ok := k.fetchAt[dataCentre]; ok && now.Before(at) {
			continue
		}
		k.fetchAt[dataCentre] = now.Add(k.cfg.RetryInterval)
		actions = append(actions, FetchTable{DataCentre: dataCentre, Epoch: k.heard[dataCentre]})
	}
	return actions
}

// note records since when members are dead or missing and live hosts lack in the
// table. A member that is live again starts anew.
func (k *Reconciler) note(now time.Time) {
	adverse := make(map[Member]time.Time)
	for _, m := range k.table.Members {
		if s, known := k.status(m); !known || s == Dead {
			adverse[m] = sinceOr(k.adverse, m, now)
		}
	}
	k.adverse = adverse
	wanted := make(map[Member]time.Time)
	for _, p := range k.peers {
		if p.Status == Live && p.ID != k.self.ID && k.lacks(p.Member) {
			wanted[p.Member] = sinceOr(k.wanted, p.Member, now)
		}
	}
	if !k.releasing && k.lacks(k.self) {
		wanted[k.self] = sinceOr(k.wanted, k.self, now)
	}
	k.wanted = wanted
}

// lacks reports whether the table should get m as a member: it has neither this
// nor a later process of the host, and this one has not released.
func (k *Reconciler) lacks(m Member) bool {
	if k.table.released(m) {
		return false
	}
	present, ok := k.table.Lookup(m.ID)
	return !ok || present.Incarnation < m.Incarnation
}

func sinceOr(m map[Member]time.Time, key Member, now time.Time) time.Time {
	if t, ok := m[key]; ok {
		return t
	}
	return now
}

// status returns what the membership says of exactly this process. A process
// that a newer incarnation replaced is unknown.
func (k *Reconciler) status(m Member) (Status, bool) {
	if m.is(k.self) {
		return Live, true
	}
	i := slices.IndexFunc(k.peers, func(p Peer) bool { return p.is(m) })
	if i < 0 {
		return 0, false
	}
	return k.peers[i].Status, true
}

// delay returns how long this host leaves changes that any host can write to the
// live hosts that come before it in the order of the data centre.
func (k *Reconciler) delay() time.Duration {
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

// due returns when the next write is due; zero if the table needs none.
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
		delay := k.delay()
		for m, t := range k.adverse {
			earlier(t.Add(k.standing(m) + delay))
		}
		for m, t := range k.wanted {
			if m.is(k.self) {
				earlier(t.Add(min(delay, k.cfg.TakeoverDelay)))
			} else {
				earlier(t.Add(delay))
			}
		}
	}
	if !due.IsZero() && k.wrote && due.Before(k.lastWrite.Add(k.cfg.WriteInterval)) {
		due = k.lastWrite.Add(k.cfg.WriteInterval)
	}
	return due
}

// standing returns how long the verdict on a member must have stood.
func (k *Reconciler) standing(m Member) time.Duration {
	if _, known := k.status(m); known {
		return withDrift(k.cfg.Lease)
	}
	return max(k.cfg.MissingAfter, withDrift(k.cfg.Lease))
}

// change collects all that can be written now. Once a host writes for others it
// takes along every change that is ripe without the delay, so that one write
// carries them all.
func (k *Reconciler) change(now time.Time) Change {
	c := Change{Base: k.table.Epoch}
	if k.releasing {
		if k.table.Contains(k.self) {
			c.Released = []Member{k.self}
		}
		return c
	}
	for _, m := range k.table.Members {
		if t, ok := k.adverse[m]; ok && !now.Before(t.Add(k.standing(m))) {
			c.Removed = append(c.Removed, m)
		}
	}
	c.Joined = slices.Collect(maps.Keys(k.wanted))
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
