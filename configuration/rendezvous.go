package configuration

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// WatchersPerDataCentre is the number of hosts of a data centre that watch the
// platform. Two survive the loss of one; more would cost calls to the platform.
const WatchersPerDataCentre = 2

// Watchers returns the hosts that watch the platform: those with the highest
// rendezvous hash among the live members of a data centre.
func Watchers(live []string) []string {
	members := slices.Clone(live)
	slices.SortFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(ObjectName, b), score(ObjectName, a)), cmp.Compare(a, b))
	})
	members = slices.Compact(members)
	return members[:min(len(members), WatchersPerDataCentre)]
}

// score is the rendezvous hash of a key and a host.
func score(key, host string) uint64 {
	return xxhash.Sum64String(key + "\x00" + host)
}
