package watchers

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Host is one host of the tier.
type Host struct {
	ID         string
	DataCentre string
	Address    string // for calls from other hosts; empty if it accepts none
	// Cores is the host's processor limit, in CPU seconds per second; 0 if it is not
	// known.
	Cores float64
}

const (
	// maxHostsPerWatcher limits the hosts served by one watcher: with a hundred, a small
	// host was fully occupied with passing on lists when it was the watcher. The next
	// host in rank replaces a watcher that does not answer.
	maxHostsPerWatcher = 40
	// minRelayHosts is the size of a data centre from which on its hosts use watchers:
	// with fewer hosts, hardly any calls to the store are saved.
	minRelayHosts = 6
	// initialUnreachableTime is how long a watcher that did not answer is skipped; the
	// time doubles up to maxUnreachableTime.
	initialUnreachableTime = 2 * time.Second
	maxUnreachableTime     = 30 * time.Second
	// staleTime is how long a watcher that has no recent answer of the store is
	// skipped.
	staleTime = 500 * time.Millisecond
	// storeRetryDelay is the wait of a host that is not a watcher between calls to a
	// store that does not answer: the watchers call it more often.
	storeRetryDelay = 2 * time.Second
)

// Target is the destination of the next call.
type Target int

const (
	// TargetStore means that this host calls the store, because it is a watcher or no
	// watcher is available.
	TargetStore Target = iota
	// TargetWatcher means that this host calls a watcher.
	TargetWatcher
	// TargetNone means that neither a watcher nor the store may be called now.
	TargetNone
)

// Chooser decides where a host reads the lists of the store. All hosts of a data centre
// rank its hosts in the same order; the first reachable ones are the watchers. It is
// not safe for concurrent use.
type Chooser struct {
	self         Host
	ranked       []Host // hosts of this data centre that accept calls, including this one
	unreachable  map[string]exclusion
	stale        map[string]time.Time // when to call a stale watcher again
	storeRetryAt time.Time            // when to call the store again
}

// exclusion is the time during which an unreachable host is skipped.
type exclusion struct {
	until time.Time
	time  time.Duration
}

// NewChooser returns a chooser that knows no other host: it chooses the store.
func NewChooser(self Host) *Chooser {
	return &Chooser{self: self, unreachable: map[string]exclusion{}, stale: map[string]time.Time{}}
}

// SetHosts sets the hosts of the tier.
func (c *Chooser) SetHosts(hosts []Host) {
	c.ranked = nil
	for _, h := range hosts {
		if h.DataCentre == c.self.DataCentre && h.Address != "" {
			c.ranked = append(c.ranked, h)
		}
	}
	slices.SortFunc(c.ranked, func(a, b Host) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)), cmp.Compare(a.ID, b.ID))
	})
}

// relays reports whether the hosts of this data centre use watchers, and this host
// takes part.
func (c *Chooser) relays() bool { return len(c.ranked) >= minRelayHosts && c.self.Address != "" }

// Next returns where to send the next call.
func (c *Chooser) Next(now time.Time) (Host, Target) {
	if !c.relays() {
		return Host{}, TargetStore
	}
	var current []Host
	maxWatchers := c.maxWatchers()
	reachable := 0
	for _, h := range c.ranked {
		if h.ID == c.self.ID {
			return Host{}, TargetStore
		}
		if now.Before(c.unreachable[h.ID].until) {
			continue
		}
		if reachable++; !now.Before(c.stale[h.ID]) {
			current = append(current, h)
		}
		if reachable == maxWatchers {
			break
		}
	}
	switch {
	case len(current) > 0:
		// The hash of its id assigns each host to a watcher.
		return current[xxhash.Sum64String(c.self.ID)%uint64(len(current))], TargetWatcher
	case now.Before(c.storeRetryAt):
		return Host{}, TargetNone
	}
	return Host{}, TargetStore
}

// hasWatcher reports whether a reachable watcher reads the lists for this host, though its copy may
// be out of date.
func (c *Chooser) hasWatcher(now time.Time) bool {
	if !c.relays() {
		return false
	}
	maxWatchers, reachable := c.maxWatchers(), 0
	for _, h := range c.ranked {
		if h.ID == c.self.ID {
			return false
		}
		if now.Before(c.unreachable[h.ID].until) {
			continue
		}
		if reachable++; reachable == maxWatchers {
			return true
		}
	}
	return false
}

// maxWatchers returns how many of the reachable hosts of this data centre are its watchers.
func (c *Chooser) maxWatchers() int {
	return (len(c.ranked) + maxHostsPerWatcher - 1) / maxHostsPerWatcher
}

// MarkUnreachable records that a watcher did not answer, and reports whether that is
// new. Calls for several lists that fail together count once.
func (c *Chooser) MarkUnreachable(now time.Time, id string) (changed bool) {
	if now.Before(c.unreachable[id].until) {
		return false
	}
	t := min(max(2*c.unreachable[id].time, initialUnreachableTime), maxUnreachableTime)
	c.unreachable[id] = exclusion{until: now.Add(t), time: t}
	return true
}

// MarkStale records that a watcher answered but that its copy is out of date, and reports
// whether that is new.
func (c *Chooser) MarkStale(now time.Time, id string) (changed bool) {
	_, known := c.stale[id]
	delete(c.unreachable, id)
	c.stale[id] = now.Add(staleTime)
	return !known
}

// MarkCurrent records that a watcher gave an up-to-date answer, and reports whether it
// was unreachable or stale before.
func (c *Chooser) MarkCurrent(id string) (changed bool) {
	_, unreachable := c.unreachable[id]
	_, stale := c.stale[id]
	delete(c.unreachable, id)
	delete(c.stale, id)
	return unreachable || stale
}

// RecordStoreCall records whether the store answered a call of this host.
func (c *Chooser) RecordStoreCall(now time.Time, answered bool) {
	if answered {
		c.storeRetryAt = time.Time{}
		return
	}
	c.storeRetryAt = now.Add(storeRetryDelay)
}
