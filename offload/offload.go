// Package offload decides which requests over many parts a host gives to a stronger host
// of its data centre. A sub-request costs processor time, and its reply time on the link:
// on a fifth of a core, a hundred of them take most of the time that a caller waits, while
// a host with four times as much is hardly busy. The stronger host does the whole request
// and returns the merged answer.
//
// A host that can't reach a stronger one, or gets no sign of life from it, does the
// request itself. It does not repeat a request that the other may have begun: both
// together could send a part to more replicas than its route allows.
package offload

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldlever/marigoldlever/watchers"
)

const (
	// MinParts is the number of parts from which on a request is large.
	MinParts = 24
	// strongerBy is how many times the processor time of this host another has to have.
	strongerBy = 2
	// lostAfter is the number of questions without an answer after which the requests
	// that a host has are given up. After the first it gets no more.
	lostAfter = 2
	// refusedTime is how long a host is passed over that took no request.
	refusedTime = 100 * time.Millisecond
	// keptShare is the part of its share of the bounds that a host keeps which gives its
	// large requests away: for the others, and for the time without a stronger host.
	keptShare = 0.25
	// requestsPerCore is the number of requests of others that a host does at the same
	// time for each of its cores. More would wait for each other.
	requestsPerCore = 8
)

// Large reports whether a request over a number of parts is worth the way to another host.
func Large(parts int) bool { return parts >= MinParts }

// Chooser chooses the host that gets a request. It is not safe for concurrent use.
type Chooser struct {
	self     watchers.Host
	stronger []*candidate
	turn     int
}

// candidate is a stronger host of the data centre.
type candidate struct {
	watchers.Host
	heard   bool      // it has said once that it is alive
	missed  int       // questions in a row without an answer
	refused time.Time // until when it is passed over as it refused a request
	waiting int       // requests that it has from this host
}

// NewChooser returns a chooser that knows no other host.
func NewChooser(self watchers.Host) *Chooser {
	return &Chooser{self: self, turn: int(xxhash.Sum64String(self.ID) & 0xffff)}
}

// SetHosts takes the hosts of the tier. What is known of those that stay is kept.
func (c *Chooser) SetHosts(hosts []watchers.Host) {
	known := c.stronger
	c.stronger = nil
	if c.self.Address == "" {
		return
	}
	for _, h := range strongest(hosts, c.self.DataCentre) {
		if !isStronger(h, c.self) {
			continue
		}
		next := &candidate{Host: h}
		if i := slices.IndexFunc(known, func(k *candidate) bool { return k.Host == h }); i >= 0 {
			next = known[i]
		}
		c.stronger = append(c.stronger, next)
	}
	slices.SortFunc(c.stronger, func(a, b *candidate) int { return cmp.Compare(a.ID, b.ID) })
}

// Next returns the host that is to do a request over a number of parts, and counts the
// request. It returns false if this host does it itself.
func (c *Chooser) Next(now time.Time, parts int) (watchers.Host, bool) {
	if !Large(parts) {
		return watchers.Host{}, false
	}
	var best *candidate
	c.turn++
	for i := range c.stronger {
		// The hosts take turns, so that those with equally few requests get equally many.
		k := c.stronger[(c.turn+i)%len(c.stronger)]
		if !k.alive() || now.Before(k.refused) {
			continue
		}
		if best == nil || k.waiting < best.waiting {
			best = k
		}
	}
	if best == nil {
		return watchers.Host{}, false
	}
	best.waiting++
	return best.Host, true
}

// Candidates returns the hosts that may get requests, alive or not.
func (c *Chooser) Candidates() []watchers.Host {
	hosts := make([]watchers.Host, len(c.stronger))
	for i, k := range c.stronger {
		hosts[i] = k.Host
	}
	return hosts
}

// AliveCount returns the number of stronger hosts that are alive.
func (c *Chooser) AliveCount() int {
	n := 0
	for _, k := range c.stronger {
		if k.alive() {
			n++
		}
	}
	return n
}

func (k *candidate) alive() bool { return k.heard && k.missed == 0 }

func (c *Chooser) find(id string) *candidate {
	i := slices.IndexFunc(c.stronger, func(k *candidate) bool { return k.ID == id })
	if i < 0 {
		return &candidate{} // no longer on the list
	}
	return c.stronger[i]
}

// MarkAlive tells that a host said that it is alive.
func (c *Chooser) MarkAlive(id string) (news bool) {
	k := c.find(id)
	news = !k.alive()
	k.heard, k.missed = true, 0
	return news
}

// MarkMissed tells that a host did not say that it is alive. It reports whether its requests
// are to be given up.
func (c *Chooser) MarkMissed(id string) (news, lost bool) {
	k := c.find(id)
	k.missed++
	return k.missed == 1, k.missed >= lostAfter
}

// Result is how a request ended that another host got.
type Result int

const (
	// Completed means that the host answered.
	Completed Result = iota
	// Refused means that it did not take the request on.
	Refused
	// Failed means that it could not be reached, or that its answer was lost.
	Failed
)

// RecordResult takes how a request ended that Next gave away.
func (c *Chooser) RecordResult(now time.Time, id string, r Result) {
	k := c.find(id)
	k.waiting = max(k.waiting-1, 0)
	switch r {
	case Completed:
	case Refused:
		k.refused = now.Add(refusedTime)
	case Failed:
		k.missed = max(k.missed, 1) // until it says that it is alive
	}
}

// MaxConcurrent returns how many requests of others a host does at the same time.
func MaxConcurrent(cores float64) int { return max(1, int(requestsPerCore*cores)) }

// Division is how hosts divide what they may use together for large requests.
type Division struct {
	Hosts           int
	OffloadingHosts int  // hosts that give their large requests away
	Offloads        bool // this host is one of them
	// Share is the part of all large requests that this host is expected to send to
	// replicas. The shares of all hosts add up to one.
	Share float64
}

// Uniform returns the division among hosts that are alike.
func Uniform(hosts int) Division { return Division{Hosts: hosts, Share: 1 / float64(max(hosts, 1))} }

// Divide returns the division among hosts as it is for one of them.
func Divide(self watchers.Host, hosts []watchers.Host) Division {
	d := Uniform(len(hosts))
	strong := map[string][]watchers.Host{}
	for _, h := range hosts {
		if _, known := strong[h.DataCentre]; !known {
			strong[h.DataCentre] = strongest(hosts, h.DataCentre)
		}
	}
	near := 0 // hosts of this data centre that give their requests away
	for _, h := range hosts {
		if givesAway(h, strong[h.DataCentre]) {
			d.OffloadingHosts++
			if h.DataCentre == self.DataCentre {
				near++
			}
		}
	}
	own := strong[self.DataCentre]
	d.Offloads = givesAway(self, own)
	switch {
	case d.Offloads:
		d.Share *= keptShare
	case slices.ContainsFunc(own, func(h watchers.Host) bool { return h.ID == self.ID }):
		d.Share *= 1 + (1-keptShare)*float64(near)/float64(len(own))
	}
	return d
}

// strongest returns the hosts of a data centre that can be called and have the most
// processor time.
func strongest(hosts []watchers.Host, dataCentre string) []watchers.Host {
	var found []watchers.Host
	for _, h := range hosts {
		if h.DataCentre != dataCentre || h.Address == "" {
			continue
		}
		if len(found) > 0 && h.Cores > found[0].Cores {
			found = found[:0]
		}
		if len(found) == 0 || h.Cores == found[0].Cores {
			found = append(found, h)
		}
	}
	return found
}

func isStronger(h, than watchers.Host) bool {
	return than.Cores > 0 && h.Cores >= strongerBy*than.Cores
}

// givesAway reports whether a host gives its large requests to the strongest hosts.
func givesAway(h watchers.Host, strong []watchers.Host) bool {
	return h.Address != "" && len(strong) > 0 && isStronger(strong[0], h)
}
