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

// reserveBody takes the memory of a large body that came from another host, until release is
// called. It reports whether it was left.
func (m *memory) reserveBody(out *outcome, body []byte) bool {
	if len(body) <= membudget.SmallBytes {
		return true
	}
	if !m.bodies.Reserve(int64(len(body))) {
		return false
	}
	out.bodyHeld = int64(len(body))
	return true
}

// release gives back the memory of a request and of the replies to it. It must be called after
// the answer was written. The body is in use until the last send of it has ended.
func (m *memory) release(out *outcome) {
	releaseBody := func() { m.bodies.Release(out.bodyHeld) }
	if out.sender == nil {
		releaseBody()
		return
	}
	out.sender.close()
	out.sender.afterSends(releaseBody)
}
