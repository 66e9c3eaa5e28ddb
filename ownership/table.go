// Package ownership divides the slots of upstream replicas among the hosts of a
// data centre, so that a replica's limit is kept without coordination per request.
//
// Owners computes the division as a pure function of the data centre's table.
// LeaseHolder tracks which slots one host may use now, which depends on when it
// received each table and on the age of its proof that the table is current.
// Reconciler maintains the table on the platform by conditional updates: it adds
// this host, removes dead members, and releases this host's slots on a planned
// stop.
//
// Safety argument: let E be the table in force on the platform one lease plus
// one longest deadline ago. Every host that sends now has a proof that its table
// was in force within the lease, so its table is E or newer. If it is newer, the
// host received it after E was replaced, hence within the handover delay, and is
// limited to the smallest of its shares under all tables within that delay,
// including E. All sends whose work may still run are therefore within the shares
// under E, whose sum is the number of the replica's slots. During an outage of
// the platform, answers of peers take the place of the proof; see
// LeaseHolder.ExtendInOutage.
package ownership

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Member is one process of a host that can own slots.
type Member struct {
	ID string `json:"id"`
	// Incarnation identifies the process among those of one host. The string of
	// a later process must sort after that of an earlier one, for example a start
	// time of fixed width.
	Incarnation string `json:"incarnation"`
	PeerAddress string `json:"peer_address"`
}

// sameProcess reports whether m and other are the same process.
func (m Member) sameProcess(other Member) bool {
	return m.ID == other.ID && m.Incarnation == other.Incarnation
}

// Table is the ownership table of a data centre. It is stored as the object
// ownership/<data centre>.
type Table struct {
	DataCentre string `json:"data_centre"`
	// Epoch is the version of the stored object. It is 0 in the stored value,
	// because the version is known only after the write.
	Epoch uint64 `json:"epoch,omitempty"`
	// Members are sorted by ID; each ID occurs once.
	Members []Member `json:"members"`
	// RecentChanges holds the latest changes, newest first. From them a host that
	// missed a few epochs reconstructs the tables in between.
	RecentChanges []Change `json:"past,omitempty"`
}

// Change is the difference between a table and its predecessor.
type Change struct {
	// Base is the epoch of the previous table, or 0 if there was none.
	Base uint64 `json:"base"`
	// Joined are the members that were added.
	Joined []Member `json:"joined,omitempty"`
	// Removed are the members that were found dead or were replaced by a new
	// incarnation. Their work may still be running.
	Removed []Member `json:"removed,omitempty"`
	// Released are the members that removed themselves after all of their work
	// had ended. A process that has released never becomes a member again.
	Released []Member `json:"released,omitempty"`
}

// maxRecentChanges is the maximum number of changes kept in a table. If a few
// hosts each write once a second, they cover several seconds.
const maxRecentChanges = 16

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
	return ok && found.sameProcess(m)
}

// apply returns the table that results from a change to t.
func (t Table) apply(c Change) Table {
	members := t.without(c.Removed)
	members = Table{Members: members}.without(c.Released)
	members = append(members, c.Joined...)
	slices.SortFunc(members, compareMembers)
	changes := append([]Change{c}, t.RecentChanges...)
	return Table{DataCentre: t.DataCentre, Members: members, RecentChanges: changes[:min(len(changes), maxRecentChanges)]}
}

// beforeLastChange returns the table to which the latest change of t was applied.
func (t Table) beforeLastChange() (Table, bool) {
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

// without returns a copy of the members without the given processes.
func (t Table) without(excluded []Member) []Member {
	kept := make([]Member, 0, len(t.Members))
	for _, m := range t.Members {
		if !slices.ContainsFunc(excluded, m.sameProcess) {
			kept = append(kept, m)
		}
	}
	return kept
}

// released reports whether m released its slots in one of the recent changes.
func (t Table) released(m Member) bool {
	return slices.ContainsFunc(t.RecentChanges, func(c Change) bool {
		return slices.ContainsFunc(c.Released, m.sameProcess)
	})
}

// MaxOwners is the maximum number of owners of one replica. A small number limits
// the connections to a replica and gives each owner a large share. With three
// owners, two remain when one host fails.
const MaxOwners = 3

// Share is the part of a replica's slots and connections that one owner may use.
type Share struct {
	Member      Member
	Rank        int // 0 is the first owner
	Slots       int
	Connections int
}

// Owners divides a replica's slots and connections among its owners. The owners
// are chosen by rendezvous hashing of member ID and replica; there are at most
// MaxOwners and at most as many as slots. Each owner gets an equal part, and
// rank 0 also gets the remainder. A replica needs at least as many connections as
// slots, because an owner without a connection cannot use its slots.
//
// Removing a member never lowers the slots of another member, and adding one
// never raises them. LeaseHolder relies on this.
func Owners(t Table, replica string, slots, connections int) []Share {
	owners := rendezvousTop(t.Members, replica, min(MaxOwners, slots))
	shares := make([]Share, len(owners))
	for rank, m := range owners {
		shares[rank] = Share{
			Member:      m,
			Rank:        rank,
			Slots:       rankPortion(slots, len(owners), rank),
			Connections: rankPortion(connections, len(owners), rank),
		}
	}
	return shares
}

// LimitedShares divides a limit below the replica's slots, for example for a cold
// replica, in the same way as Owners divides the slots. With a limit of 1, only
// rank 0 may send. No owner gets more slots than from Owners, so hosts that use
// different limits still stay within the replica's slots together.
func LimitedShares(t Table, replica string, slots, connections, limit int) []Share {
	shares := Owners(t, replica, slots, connections)
	owners := min(len(shares), limit)
	for rank := range shares {
		if rank >= owners {
			shares[rank].Slots = 0
			continue
		}
		shares[rank].Slots = min(shares[rank].Slots, rankPortion(limit, owners, rank))
	}
	return shares
}

// rankPortion returns the portion of a total that the owner of a rank gets.
func rankPortion(total, owners, rank int) int {
	each := total / owners
	if rank == 0 {
		return each + total%owners
	}
	return each
}

// rendezvousTop returns the first n members in rendezvous order for a key.
func rendezvousTop(members []Member, key string, n int) []Member {
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

// score returns the rendezvous hash of a key and a member ID. The zero byte
// separates them, so that "ab"+"c" and "a"+"bc" hash differently.
func score(key, id string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(id)
	return d.Sum64()
}
