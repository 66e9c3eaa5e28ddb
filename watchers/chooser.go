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
	Address    string // for calls between hosts; empty if it takes none
	// Cores is the processor time that the host may use in a second, in seconds; 0 if
	// it is not known.
	Cores float64
}

const (
	// hostsPerWatcher bounds the hosts for which one of them watches the store: with a
	// hundred, the watcher of a small host was busy with passing lists on. The next in
	// rank takes over from a watcher that does not answer.
	hostsPerWatcher = 40
	// relayFrom is the number of hosts of a data centre from which on the others
	// ask the watchers: with fewer, hardly a call to the store is saved.
	relayFrom = 6
	// unreachableFirst is how long a watcher that did not answer is passed over;
	// the time doubles up to unreachableMost.
	unreachableFirst = 2 * time.Second
	unreachableMost  = 30 * time.Second
	// behindTime is how long a watcher is passed over that has lost the store.
	behindTime = 500 * time.Millisecond
	// storePause is the wait between calls of a host that is no watcher to a store
	// that does not answer: the watchers try it more often.
	storePause = 2 * time.Second
)

// Target is where the next call goes.
type Target int

const (
	// TargetStore means that this host asks the store, as it is a watcher or no watcher
	// can be asked.
	TargetStore Target = iota
	// TargetWatcher means that a watcher is asked.
	TargetWatcher
	// TargetNone means that neither a watcher nor the store can be asked now.
	TargetNone
)

// Chooser decides whom to ask. All hosts of a data centre rank its hosts alike;
// the first that can be reached are the watchers. It is not safe for concurrent
// use.
type Chooser struct {
	self    Host
	ranked  []Host // hosts of this data centre that can be called, this one included
	silent  map[string]silence
	behind  map[string]time.Time // until when a watcher is known to be behind
	storeAt time.Time            // when the store may be asked again
}

// silence is the time during which a host is taken as unreachable.
type silence struct {
	until time.Time
	time  time.Duration
}

// NewChooser returns a chooser that knows no other host: it asks the store.
func NewChooser(self Host) *Chooser {
	return &Chooser{self: self, silent: map[string]silence{}, behind: map[string]time.Time{}}
}

// SetHosts takes the hosts of the tier.
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

// relays reports whether this host and the others of its data centre ask each other.
func (c *Chooser) relays() bool { return len(c.ranked) >= relayFrom && c.self.Address != "" }

// Next returns whom to ask.
func (c *Chooser) Next(now time.Time) (Host, Target) {
	if !c.relays() {
		return Host{}, TargetStore
	}
	var ready []Host
	most := (len(c.ranked) + hostsPerWatcher - 1) / hostsPerWatcher
	watchers := 0
	for _, h := range c.ranked {
		if h.ID == c.self.ID {
			return Host{}, TargetStore
		}
		if now.Before(c.silent[h.ID].until) {
			continue
		}
		if watchers++; !now.Before(c.behind[h.ID]) {
			ready = append(ready, h)
		}
		if watchers == most {
			break
		}
	}
	switch {
	case len(ready) > 0:
		// The hosts divide themselves among the watchers.
		return ready[xxhash.Sum64String(c.self.ID)%uint64(len(ready))], TargetWatcher
	case now.Before(c.storeAt):
		return Host{}, TargetNone
	}
	return Host{}, TargetStore
}

// MarkUnreachable tells that a watcher did not answer. Calls for several lists that fail
// together count once.
func (c *Chooser) MarkUnreachable(now time.Time, id string) (news bool) {
	if now.Before(c.silent[id].until) {
		return false
	}
	t := min(max(2*c.silent[id].time, unreachableFirst), unreachableMost)
	c.silent[id] = silence{until: now.Add(t), time: t}
	return true
}

// MarkStale tells that a watcher answered that its knowledge is too old.
func (c *Chooser) MarkStale(now time.Time, id string) (news bool) {
	_, known := c.behind[id]
	delete(c.silent, id)
	c.behind[id] = now.Add(behindTime)
	return !known
}

// MarkCurrent tells that a watcher answered with up-to-date knowledge.
func (c *Chooser) MarkCurrent(id string) (news bool) {
	_, silent := c.silent[id]
	_, behind := c.behind[id]
	delete(c.silent, id)
	delete(c.behind, id)
	return silent || behind
}

// RecordStoreCall tells whether a call of this host to the store was answered.
func (c *Chooser) RecordStoreCall(now time.Time, answered bool) {
	if answered {
		c.storeAt = time.Time{}
		return
	}
	c.storeAt = now.Add(storePause)
}
