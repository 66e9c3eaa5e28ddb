// Package ownership divides the slots of upstream replicas among the hosts of a
// data centre so that a replica's limit holds without a message per request.
//
// Owners is the division: a pure function of the data centre's table. LeaseHolder
// holds one host's rights: what it may use now, given when it learned of each
// table and how old its proof is that the table is current. Reconciler maintains the
// table on the platform: it joins, releases and removes dead members by
// conditional update.
//
// Safety argument. Let E be the table in force on the platform one lease plus
// one longest deadline ago. Every host that sends now has proof that its table
// was in force within the lease, so its table is E or newer. If it is newer, the
// host learned of it after E was replaced, hence within the wait, and is limited
// to the smallest share it had under any table within the wait, E among them.
// All sends whose work may still run are therefore within the shares of E, whose
// sum is the replica's slots. During an outage the answers of the peers stand in
// for the proof; see LeaseHolder.Outage.
package ownership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is one process of a host that takes part in the division.
type Member struct {
	ID string `json:"id"`
	// Incarnation tells the processes of one host apart. A later process has
	// the greater string, as from a start time of fixed width.
	Incarnation string `json:"incarnation"`
	PeerAddress string `json:"peer_address"`
}

// is reports whether m and other are the same process.
func (m Member) is(other Member) bool {
	return m.ID == other.ID && m.Incarnation == other.Incarnation
}

// Table is the assignment table of a data centre, stored as the object
// ownership/<data centre>.
type Table struct {
	DataCentre string `json:"data_centre"`
	// Epoch is the version of the object. It is 0 in the stored value, as it is
	// known only after the write.
	Epoch uint64 `json:"epoch,omitempty"`
	// Members are sorted by ID; each ID occurs once.
	Members []Member `json:"members"`
	// RecentChanges holds the latest changes, newest first. With it a host that missed a
	// few epochs learns of the tables in between.
	RecentChanges []Change `json:"past,omitempty"`
}

// Change tells how a table differs from the one before.
type Change struct {
	// Base is the epoch of the table before; 0 if there was none.
	Base uint64 `json:"base"`
	// Joined were added.
	Joined []Member `json:"joined,omitempty"`
	// Removed were found dead or replaced by a new incarnation. Their work may
	// still run.
	Removed []Member `json:"removed,omitempty"`
	// Released removed themselves after the last of their work had ended. A
	// process that has released never takes part again.
	Released []Member `json:"released,omitempty"`
}

// maxPast bounds the changes kept in a table. At one write a second by each of a
// few writers it spans several seconds.
const maxPast = 16

// ObjectName returns the name of the data centre's table on the platform.
func ObjectName(dataCentre string) string { return "ownership/" + dataCentre }

// Lookup returns the member with the ID.
func (t Table) Lookup(id string) (Member, bool) {
	i, found := slices.BinarySearchFunc(t.Members, id, compareID)
	if !found {
		return Member{}, false
	}
	return t.Members[i], true
}

func compareID(m Member, id string) int { return strings.Compare(m.ID, id) }

// Contains reports whether exactly this process is a member.
func (t Table) Contains(m Member) bool {
	found, ok := t.Lookup(m.ID)
	return ok && found.is(m)
}

// apply returns the table after a change, to be written on top of t.
func (t Table) apply(c Change) Table {
	members := t.without(c.Removed)
	members = Table{Members: members}.without(c.Released)
	members = append(members, c.Joined...)
	slices.SortFunc(members, compareMembers)
	past := append([]Change{c}, t.RecentChanges...)
	return Table{DataCentre: t.DataCentre, Members: members, RecentChanges: past[:min(len(past), maxPast)]}
}

// before returns the table that t's latest change was applied to.
func (t Table) before() (Table, bool) {
	if len(t.RecentChanges) == 0 {
		return Table{}, false
	}
	c := t.RecentChanges[0]
	members := t.without(c.Joined)
	members = append(members, c.Removed...)
	members = append(members, c.Released...)
	slices.SortFunc(members, compareMembers)
	return Table{DataCentre: t.DataCentre, Epoch: c.Base, Members: members, RecentChanges: t.RecentChanges[1:]}, true
}

// without returns a copy of the members that lacks the given processes.
func (t Table) without(gone []Member) []Member {
	kept := make([]Member, 0, len(t.Members))
	for _, m := range t.Members {
		if !slices.ContainsFunc(gone, m.is) {
			kept = append(kept, m)
		}
	}
	return kept
}

// released reports whether the table's changes name m as having released.
func (t Table) released(m Member) bool {
	return slices.ContainsFunc(t.RecentChanges, func(c Change) bool {
		return slices.ContainsFunc(c.Released, m.is)
	})
}

// MaxOwners is the largest number of owners of one replica. Few owners keep the
// connections to a replica few and each owner's share large; three leave two
// when one host fails.
const MaxOwners = 3

// Share is what one owner may use of a replica.
type Share struct {
	Member      Member
	Rank        int // 0 is the first owner
	Slots       int
	Connections int
}

// Owners divides a replica's slots and connections among its owners, which are
// the members with the highest hash of member ID and replica. There are at most
// MaxOwners, and never more than slots. Each gets the same part; rank 0 also
// gets the remainder. A replica needs at least as many connections as slots, as
// an owner without connection cannot use its slots.
//
// Removing a member lowers nobody else's slots, adding one raises nobody else's;
// LeaseHolder relies on this.
func Owners(t Table, replica string, slots, connections int) []Share {
	owners := ranked(t.Members, replica, min(MaxOwners, slots))
	shares := make([]Share, len(owners))
	for rank, m := range owners {
		shares[rank] = Share{
			Member:      m,
			Rank:        rank,
			Slots:       part(slots, len(owners), rank),
			Connections: part(connections, len(owners), rank),
		}
	}
	return shares
}

// LimitedShares divides a limit below the replica's slots, as for a cold replica: the
// same division of a smaller total, so that at limit 1 only rank 0 sends. No
// owner's slots exceed its slots under Owners: hosts that know different limits
// together then still stay within the replica's slots.
func LimitedShares(t Table, replica string, slots, connections, limit int) []Share {
	shares := Owners(t, replica, slots, connections)
	owners := min(len(shares), limit)
	for rank := range shares {
		if rank >= owners {
			shares[rank].Slots = 0
			continue
		}
		shares[rank].Slots = min(shares[rank].Slots, part(limit, owners, rank))
	}
	return shares
}

// part returns the part of a total that goes to a rank.
func part(total, owners, rank int) int {
	each := total / owners
	if rank == 0 {
		return each + total%owners
	}
	return each
}

// ranked returns the n members that come first in rendezvous order for a key.
func ranked(members []Member, key string, n int) []Member {
	type scored struct {
		score  uint64
		member int
	}
	n = max(0, min(n, len(members)))
	top := make([]scored, 0, n+1)
	for i, m := range members {
		s := scored{score(key, m.ID), i}
		at, _ := slices.BinarySearchFunc(top, s, func(a, b scored) int {
			if a.score != b.score {
				if a.score > b.score {
					return -1
				}
				return 1
			}
			return strings.Compare(members[a.member].ID, members[b.member].ID)
		})
		if at < n {
			top = slices.Insert(top, at, s)
			top = top[:min(len(top), n)]
		}
	}
	owners := make([]Member, len(top))
	for i, s := range top {
		owners[i] = members[s.member]
	}
	return owners
}

// score hashes a key and a member ID. The zero byte keeps "ab"+"c" apart from
// "a"+"bc".
func score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
