package membership

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Topology selects the hosts to which a host sends messages. Its methods are
// passed the other hosts of the data centre in ring order, beginning after the
// host itself.
type Topology interface {
	// HeartbeatTargets returns the hosts that get a heartbeat in this period.
	HeartbeatTargets(others []string, rng *rand.Rand) []string
	// PushTargets returns the hosts that get news.
	PushTargets(others []string, rng *rand.Rand) []string
	// FixedTargets reports whether HeartbeatTargets returns the same hosts in each
	// period. If not, a host that has not answered gets further heartbeats until
	// it answers or is declared dead.
	FixedTargets() bool
}

// Ring sends heartbeats to the next hosts in ring order, and news to these and to
// some random hosts, which shorten the path around a large ring.
type Ring struct {
	Successors int
	Random     int
}

// HeartbeatTargets implements Topology.
func (r Ring) HeartbeatTargets(others []string, _ *rand.Rand) []string {
	return others[:min(r.Successors, len(others))]
}

// PushTargets implements Topology.
func (r Ring) PushTargets(others []string, rng *rand.Rand) []string {
	next := r.HeartbeatTargets(others, rng)
	return append(slices.Clone(next), sample(others[len(next):], r.Random, rng)...)
}

// FixedTargets implements Topology.
func (Ring) FixedTargets() bool { return true }

// AllToAll sends heartbeats to every host and news to random hosts.
type AllToAll struct{ Fanout int }

// HeartbeatTargets implements Topology.
func (AllToAll) HeartbeatTargets(others []string, _ *rand.Rand) []string { return others }

// PushTargets implements Topology.
func (a AllToAll) PushTargets(others []string, rng *rand.Rand) []string {
	return sample(others, a.Fanout, rng)
}

// FixedTargets implements Topology.
func (AllToAll) FixedTargets() bool { return true }

// RandomProbing sends heartbeats to random hosts, which change in each period,
// and news to random hosts.
type RandomProbing struct {
	Probes int
	Fanout int
}

// HeartbeatTargets implements Topology.
func (r RandomProbing) HeartbeatTargets(others []string, rng *rand.Rand) []string {
	return sample(others, r.Probes, rng)
}

// PushTargets implements Topology.
func (r RandomProbing) PushTargets(others []string, rng *rand.Rand) []string {
	return sample(others, r.Fanout, rng)
}

// FixedTargets implements Topology.
func (RandomProbing) FixedTargets() bool { return false }

// sample returns up to n distinct random elements.
func sample(from []string, n int, rng *rand.Rand) []string {
	if n >= len(from) {
		return slices.Clone(from)
	}
	sampled := make([]string, 0, n)
	for len(sampled) < n {
		if s := from[rng.IntN(len(from))]; !slices.Contains(sampled, s) {
			sampled = append(sampled, s)
		}
	}
	return sampled
}

// ring holds the host IDs of one data centre in the order of their hashes.
type ring struct {
	ids    []string
	others []string // cached result of after; nil if outdated
}

func ringOrder(a, b string) int {
	ha, hb := xxhash.Sum64String(a), xxhash.Sum64String(b)
	if ha != hb {
		if ha < hb {
			return -1
		}
		return 1
	}
	return strings.Compare(a, b)
}

func (r *ring) add(id string) {
	at, found := slices.BinarySearchFunc(r.ids, id, ringOrder)
	if !found {
		r.ids = slices.Insert(r.ids, at, id)
		r.others = nil
	}
}

func (r *ring) remove(id string) {
	at, found := slices.BinarySearchFunc(r.ids, id, ringOrder)
	if found {
		r.ids = slices.Delete(r.ids, at, at+1)
		r.others = nil
	}
}

// after returns the other IDs in ring order, beginning after self.
func (r *ring) after(self string) []string {
	if r.others == nil {
		at, found := slices.BinarySearchFunc(r.ids, self, ringOrder)
		r.others = append(r.others, r.ids[at:]...)
		r.others = append(r.others, r.ids[:at]...)
		if found {
			r.others = r.others[1:]
		}
	}
	return r.others
}
