package membudget

const (
	megabyte = 1 << 20
	// assumedHostMB is the memory limit of a host whose settings name none.
	assumedHostMB = 256
)

// Shares of a host's memory limit that bound what it keeps. The collector lets memory grow to
// a few times of what is held, and not all bounds are reached at a time.
const (
	// CollectorShare is the garbage collector's soft limit: above it, the collector runs more
	// often.
	CollectorShare = 0.7
	// programBytes are left for what the collector doesn't see: the program file, stacks of the
	// operating system's threads and its own state.
	programBytes = 32 << 20
	// ReplyShare bounds one reply, and RepliesShare all large ones together.
	ReplyShare   = 1.0 / 32
	RepliesShare = 1.0 / 8
	// BodiesShare bounds the large bodies of callers' requests together.
	BodiesShare = 1.0 / 16
	// PartsShare bounds the requests at replicas, PartBytes each: the stack and buffers of
	// one, the head of its reply and its state in the query.
	PartsShare = 1.0 / 4
	PartBytes  = 12 << 10
	// ConnectionsShare bounds the callers' connections, connectionBytes each: its stack,
	// buffers and a small body. Some are allowed on the smallest host.
	ConnectionsShare = 1.0 / 8
	connectionBytes  = 40 << 10
	minConnections   = 16
	// StatisticsShare bounds the latencies of services, statisticsBytes each.
	StatisticsShare = 1.0 / 16
	statisticsBytes = 8 << 10
	// ListsShare bounds the bytes of one list that is read from the store.
	ListsShare = 1.0 / 8
	// RegistryShare bounds the registry of replicas.
	RegistryShare = 1.0 / 16
	// PeersShare bounds the messages between hosts that wait to be written or are incomplete.
	PeersShare = 1.0 / 16
)

// Host is the memory limit of a host in MB; 0 if its settings name none.
type Host int

// Share returns a share of the limit in bytes.
func (h Host) Share(share float64) int64 {
	limit := int(h)
	if limit <= 0 {
		limit = assumedHostMB
	}
	return int64(share * float64(limit) * megabyte)
}

// CollectorLimit is the soft limit of the garbage collector in bytes. It is at least half of the
// host's memory.
func (h Host) CollectorLimit() int64 {
	whole := h.Share(1)
	return max(min(h.Share(CollectorShare), whole-programBytes), whole/2)
}

// Connections is the largest number of callers' connections.
func (h Host) Connections() int {
	return max(int(h.Share(ConnectionsShare)/connectionBytes), minConnections)
}

// Statistics is the largest number of services whose latencies are kept.
func (h Host) Statistics() int { return int(h.Share(StatisticsShare) / statisticsBytes) }

// Parts is the memory of the requests at replicas.
type Parts struct{ budget *Budget }

// Parts returns the host's memory for requests at replicas.
func (h Host) Parts() Parts { return Parts{New(h.Share(PartsShare))} }

// Reserve takes the memory of a request to a number of services until the returned function
// is called. It reports whether it was left.
func (p Parts) Reserve(services int) (release func(), ok bool) {
	bytes := int64(services) * PartBytes
	if !p.budget.Reserve(bytes) {
		return nil, false
	}
	return func() { p.budget.Release(bytes) }, true
}
