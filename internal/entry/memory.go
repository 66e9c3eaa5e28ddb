package entry

import (
	"github.com/marigoldlever/marigoldlever/internal/callers"
	"github.com/marigoldlever/marigoldlever/internal/membudget"
)

const (
	// historyShare of the memory limit bounds the recent changes of each list that are kept
	// for other hosts. It is at least minHistoryBytes, so that it holds some objects of the
	// largest size.
	historyShare    = 1.0 / 64
	minHistoryBytes = 2 << 20
)

// memoryLimit returns the memory limit of this host.
func (s Settings) memoryLimit() membudget.Host { return membudget.Host(s.MemoryMB) }

// places returns the number of places for callers' connections.
func (s Settings) places() int { return callers.Places(s.memoryLimit().Connections(), s.Sockets) }

// ListBytes is the bound of one list that is read from the store.
func (s Settings) ListBytes() int64 { return s.memoryLimit().Share(membudget.ListsShare) }

// PeerBytes is the bound of the messages between hosts that this host holds.
func (s Settings) PeerBytes() int { return int(s.memoryLimit().Share(membudget.PeersShare)) }

// memory holds the budgets that the requests of callers share.
type memory struct {
	bodies *membudget.Budget
	parts  membudget.Parts
}

func newMemory(limit membudget.Host) memory {
	return memory{bodies: membudget.New(limit.Share(membudget.BodiesShare)), parts: limit.Parts()}
}
