// Package offload decides which requests with many parts a host forwards to a stronger
// host of its data centre. Every sub-request costs processor time, and time on the link
// for its reply: on a fifth of a core, a hundred of them take most of the caller's
// waiting time, while a host with four times as much processor time is hardly loaded.
// The stronger host handles the whole request and returns the merged answer.
//
// A host handles the request itself if no stronger host is reachable and alive. It does
// not repeat a request that a stronger host may have started: together they could send
// a part to more replicas than its route allows.
package offload

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldlever/marigoldlever/watchers"
)

const (
	// MinParts is the smallest number of parts of a large request.
	MinParts = 24
	// minCoresRatio is how many times this host's processor time a stronger host must
	// have.
	minCoresRatio = 2
	// maxMissed is the number of consecutive failed liveness checks after which the
	// requests in flight at a host are aborted. After the first one, it gets no new
	// requests.
	maxMissed = 2
	// refusedBackoff is how long a host is skipped after it refused a request.
	refusedBackoff = 100 * time.Millisecond
	// retainedShare is the part of its share of the bounds that an offloading host
	// keeps, for its other requests and for times without a stronger host.
	retainedShare = 0.25
	// requestsPerCore is the number of other hosts' requests that a host handles
	// concurrently for each of its cores. More would only delay each other.
	requestsPerCore = 8
)

// Large reports whether a request with this many parts is worth forwarding.
func Large(parts int) bool { return parts >= MinParts }

// Chooser chooses the host that a request is forwarded to. It is not safe for
// concurrent use.
type Chooser struct {
	self     watchers.Host
	stronger []*candidate
	rotation int
}

// candidate is a stronger host of the data centre.
type candidate struct {
	watchers.Host
	responded    bool      // whether it has ever passed a liveness check
	missed       int       // consecutive failed liveness checks
	refusedUntil time.Time // when to use it again after it refused a request
	inFlight     int       // requests of this host in flight there
}

// NewChooser returns a chooser that knows no other host.
func NewChooser(self watchers.Host) *Chooser {
	return &Chooser{self: self, rotation: int(xxhash.Sum64String(self.ID) & 0xffff)}
}

// SetHosts sets the hosts of the tier. The state of hosts that remain is kept.
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

// Next returns the host to forward a request to, and counts the request as in flight
// there. It returns false if this host must handle the request itself.
func (c *Chooser) Next(now time.Time, parts int) (watchers.Host, bool) {
	if !Large(parts) {
		return watchers.Host{}, false
	}
	var best *candidate
	c.rotation++
	for i := range c.stronger {
		// Rotate, so that hosts with equally many requests in flight get equally many.
		k := c.stronger[(c.rotation+i)%len(c.stronger)]
		if !k.alive() || now.Before(k.refusedUntil) {
			continue
		}
		if best == nil || k.inFlight < best.inFlight {
			best = k
		}
	}
	if best == nil {
		return watchers.Host{}, false
	}
	best.inFlight++
	return best.Host, true
}

// Candidates returns the stronger hosts, alive or not.
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

// HostState is what is known of a stronger host.
type HostState struct {
	ID       string
	Alive    bool
	InFlight int // requests of this host in flight there
}

// States returns the state of each stronger host.
func (c *Chooser) States() []HostState {
	states := make([]HostState, len(c.stronger))
	for i, k := range c.stronger {
		states[i] = HostState{ID: k.ID, Alive: k.alive(), InFlight: k.inFlight}
	}
	return states
}

func (k *candidate) alive() bool { return k.responded && k.missed == 0 }

func (c *Chooser) find(id string) *candidate {
	i := slices.IndexFunc(c.stronger, func(k *candidate) bool { return k.ID == id })
	if i < 0 {
		return &candidate{} // no longer listed
	}
	return c.stronger[i]
}

// MarkAlive records that a host passed a liveness check, and reports whether it was not
// alive before.
func (c *Chooser) MarkAlive(id string) (changed bool) {
	k := c.find(id)
	changed = !k.alive()
	k.responded, k.missed = true, 0
	return changed
}

// MarkMissed records that a host failed a liveness check. It reports whether this is
// the first of a series, and whether the requests in flight there must be aborted.
func (c *Chooser) MarkMissed(id string) (changed, abort bool) {
	k := c.find(id)
	k.missed++
	return k.missed == 1, k.missed >= maxMissed
}

// Result is the result of a forwarded request.
type Result int

const (
	// Completed means that the host answered.
	Completed Result = iota
	// Refused means that the host did not accept the request.
	Refused
	// Failed means that the host could not be reached, or that its answer was lost.
	Failed
)

// RecordResult records the result of a request whose host Next returned.
func (c *Chooser) RecordResult(now time.Time, id string, r Result) {
	k := c.find(id)
	k.inFlight = max(k.inFlight-1, 0)
	switch r {
	case Completed:
	case Refused:
		k.refusedUntil = now.Add(refusedBackoff)
	case Failed:
		k.missed = max(k.missed, 1) // until it passes a liveness check
	}
}

// MaxConcurrent returns how many requests of other hosts a host handles concurrently.
func MaxConcurrent(cores float64) int { return max(1, int(requestsPerCore*cores)) }

// Division describes how the hosts divide shared bounds for large requests.
type Division struct {
	Hosts           int
	OffloadingHosts int  // hosts that forward their large requests
	Offloads        bool // whether this host is one of them
	// Share is the expected part of all large requests' sub-requests that this host
	// sends to replicas. The shares of all hosts add up to one.
	Share float64
}

// Uniform returns the division among hosts that are alike.
func Uniform(hosts int) Division { return Division{Hosts: hosts, Share: 1 / float64(max(hosts, 1))} }

// Divide returns the division among the hosts for one of them.
func Divide(self watchers.Host, hosts []watchers.Host) Division {
	d := Uniform(len(hosts))
	strong := map[string][]watchers.Host{}
	for _, h := range hosts {
		if _, known := strong[h.DataCentre]; !known {
			strong[h.DataCentre] = strongest(hosts, h.DataCentre)
		}
	}
	offloadingHere := 0 // offloading hosts in this data centre
	for _, h := range hosts {
		if offloads(h, strong[h.DataCentre]) {
			d.OffloadingHosts++
			if h.DataCentre == self.DataCentre {
				offloadingHere++
			}
		}
	}
	strongHere := strong[self.DataCentre]
	d.Offloads = offloads(self, strongHere)
	switch {
	case d.Offloads:
		d.Share *= retainedShare
	case slices.ContainsFunc(strongHere, func(h watchers.Host) bool { return h.ID == self.ID }):
		d.Share *= 1 + (1-retainedShare)*float64(offloadingHere)/float64(len(strongHere))
	}
	return d
}

// strongest returns the hosts of a data centre with the most processor time, among
// those that accept calls.
func strongest(hosts []watchers.Host, dataCentre string) []watchers.Host {
	var result []watchers.Host
	for _, h := range hosts {
		if h.DataCentre != dataCentre || h.Address == "" {
			continue
		}
		if len(result) > 0 && h.Cores > result[0].Cores {
			result = result[:0]
		}
		if len(result) == 0 || h.Cores == result[0].Cores {
			result = append(result, h)
		}
	}
	return result
}

func isStronger(h, other watchers.Host) bool {
	return other.Cores > 0 && h.Cores >= minCoresRatio*other.Cores
}

// offloads reports whether a host forwards its large requests to the strongest hosts.
func offloads(h watchers.Host, strong []watchers.Host) bool {
	return h.Address != "" && len(strong) > 0 && isStronger(strong[0], h)
}
