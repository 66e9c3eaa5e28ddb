package configuration

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerDataCentre is the number of hosts in each data centre that watch the
// platform. With two, the failure of one is tolerated; more would only add calls to
// the platform.
const WatchersPerDataCentre = 2

// Watchers returns the hosts that watch the platform: the live members of a data
// centre with the highest rendezvous hashes.
func Watchers(live []string) []string {
	members := slices.Clone(live)
	slices.SortFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(rendezvousHash(ObjectName, b), rendezvousHash(ObjectName, a)), cmp.Compare(a, b))
	})
	members = slices.Compact(members)
	return members[:min(len(members), WatchersPerDataCentre)]
}

// rendezvousHash returns the rendezvous hash of a key and a host.
func rendezvousHash(key, host string) uint64 {
	return xxhash.Sum64String(key + "\x00" + host)
}
