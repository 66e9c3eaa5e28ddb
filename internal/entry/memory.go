package entry

import (
	"github.com/marigoldlever/marigoldlever/internal/membudget"
)

const (
	megabyte = 1 << 20
	// assumedMemoryMB is the memory limit of a host whose settings name none.
	assumedMemoryMB = 256
	// memoryLimitShare of the memory limit is the garbage collector's soft limit: above
	// it, the collector runs more often.
	memoryLimitShare = 0.7
)

// Shares of the memory limit that bound what a host keeps. The collector lets memory grow to
// a few times of what is held, and not all bounds are reached at a time.
const (
	// replyShare bounds the body of one reply, and repliesShare all large ones together.
	replyShare   = 1.0 / 32
	repliesShare = 1.0 / 8
	// bodiesShare bounds the large bodies of callers' requests together.
	bodiesShare = 1.0 / 16
	// partsShare bounds the requests at replicas, partBytes each: the stack and buffers of
	// one, the head of its reply and its state in the query.
	partsShare = 1.0 / 4
	partBytes  = 12 << 10
	// connectionsShare bounds the callers' connections, connectionBytes each: its stack,
	// buffers and a small body. Some are allowed on the smallest host.
	connectionsShare = 1.0 / 8
	connectionBytes  = 40 << 10
	minConnections   = 16
	// statisticsShare bounds the latencies of services, statisticsBytes each.
	statisticsShare = 1.0 / 16
	statisticsBytes = 8 << 10
	// historyShare bounds the recent changes of each list that are kept for other hosts. It
	// is at least minHistoryBytes, so that it holds some objects of the largest size.
	historyShare    = 1.0 / 64
	minHistoryBytes = 2 << 20
	// listsShare bounds the bytes of one list that is read from the store.
	listsShare = 1.0 / 8
	// registryShare bounds the registry of replicas.
	registryShare = 1.0 / 8
	// peersShare bounds the messages between hosts that wait to be written or are incomplete.
	peersShare = 1.0 / 16
)

// memoryShare returns a share of the memory limit in bytes.
func (s Settings) memoryShare(share float64) int64 {
	limit := s.MemoryMB
	if limit <= 0 {
		limit = assumedMemoryMB
	}
	return int64(share * float64(limit) * megabyte)
}

// ListBytes is the bound of one list that is read from the store.
func (s Settings) ListBytes() int64 { return s.memoryShare(listsShare) }

// registryBytes is the bound of the registry of replicas.
func (s Settings) registryBytes() int64 { return s.memoryShare(registryShare) }

// PeerBytes is the bound of the messages between hosts that this host holds.
func (s Settings) PeerBytes() int { return int(s.memoryShare(peersShare)) }

// maxConnections is the largest number of callers' connections.
func (s Settings) maxConnections() int {
	return max(int(s.memoryShare(connectionsShare)/connectionBytes), minConnections)
}

// maxStatistics is the largest number of services whose latencies are kept.
func (s Settings) maxStatistics() int {
	return int(s.memoryShare(statisticsShare) / statisticsBytes)
}

// memory holds the budgets that the requests of callers share.
type memory struct {
	bodies *membudget.Budget
	parts  *membudget.Budget
}

func newMemory(s Settings) memory {
	return memory{bodies: membudget.New(s.memoryShare(bodiesShare)), parts: membudget.New(s.memoryShare(partsShare))}
}

// reserveParts takes the memory of a request to a number of services until the returned
// function is called. It reports whether it was left.
func (m memory) reserveParts(services int) (release func(), ok bool) {
	bytes := int64(services) * partBytes
	if !m.parts.Reserve(bytes) {
		return nil, false
	}
	return func() { m.parts.Release(bytes) }, true
}
