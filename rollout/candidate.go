package rollout

import (
	"cmp"
	"slices"
	"time"
)

// Candidate is a host that may take the lead of a roll-out: at once if nobody leads it, or
// when the leader has stopped renewing its record.
type Candidate struct {
	seen  Record
	known bool
	since time.Time // when seen was first read
}

// CandidateDue reports whether a host should try to take the lead, given its rank among the
// hosts and for how long no leader has replied to it.
func CandidateDue(rank int, quiet time.Duration) bool {
	return quiet >= time.Duration(rank)*candidateDelay
}

// Free reports whether a host that does not lead may take the lead, given the present record, or
// nil if there is none. A record without a leader was released. One of the host itself is of an
// earlier run, or its write was not answered. Any other must be unchanged for LeaseTime by this
// host's clock, so that the clocks of two hosts are never compared.
func (c *Candidate) Free(now time.Time, self string, order Order, present *Record) bool {
	if present == nil || present.Order == order.OrderID && (present.Leader == self || present.Leader == "") {
		return true
	}
	if present.Order != order.OrderID { // the later order replaces the other one
		return order.Revision > present.OrderRevision
	}
	if !c.known || c.seen != *present {
		c.seen, c.known, c.since = *present, true, now
		return false
	}
	return now.Sub(c.since) >= LeaseTime
}

// Peer is a host that may lead.
type Peer struct {
	ID, Address string
	Cores       float64
}

// Rank returns the hosts that can be called, in the order in which they should lead a
// roll-out: the strongest first, and otherwise differently for each service.
func Rank(serviceName string, hosts []Peer) []Peer {
	ranked := slices.DeleteFunc(slices.Clone(hosts), func(p Peer) bool { return p.Address == "" })
	slices.SortFunc(ranked, func(a, b Peer) int {
		return cmp.Or(
			cmp.Compare(b.Cores, a.Cores),
			cmp.Compare(hash(serviceName, a.ID), hash(serviceName, b.ID)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return ranked
}
