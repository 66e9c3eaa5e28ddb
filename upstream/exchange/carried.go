package exchange

import (
	"hash/maphash"
	"slices"
)

// carriedIDs are the hashes of the ids of all requests that a connection has carried. Two ids
// with the same hash only cost another connection.
type carriedIDs []uint64

var idSeed = maphash.MakeSeed()

func hashID(id string) uint64 { return maphash.String(idSeed, id) }

func (c carriedIDs) has(id uint64) bool { return slices.Contains(c, id) }

func (c carriedIDs) empty() bool { return len(c) == 0 }

func (c *carriedIDs) add(id uint64) { *c = append(*c, id) }
