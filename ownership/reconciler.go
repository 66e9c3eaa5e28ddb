package ownership

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Status is the state of a host according to the membership protocol.
type Status int

// Statuses of a Peer.
const (
	Live Status = iota
	Suspect
	Leaving
	Dead
)

// Peer is a host of the data centre with its status in this host's membership.
type Peer struct {
	Member
	Status Status
}

// Action is an action that the caller of a Reconciler must perform.
type Action interface{ action() }

// ReadTable requests a read of the data centre's table. The caller reports the
// result with ReadDone.
type ReadTable struct{ DataCentre string }

// WriteTable requests a conditional update of this data centre's table. The
// caller reports the result with WriteDone.
type WriteTable struct {
	Base  uint64
	Table Table // the table to store, with Base as the expected version
}

// AdoptTable passes a newer table of this data centre to the LeaseHolder.
type AdoptTable struct{ Table Table }

// AddProof passes a proof to the LeaseHolder.
type AddProof struct {
	Epoch  uint64
	SentAt time.Time
}

// FetchTable requests a data centre's table of at least the epoch, from a peer
// that has it or from the platform. The caller passes it to ReceiveTable.
type FetchTable struct {
	DataCentre string
	Epoch      uint64
}

func (ReadTable) action()  {}
func (WriteTable) action() {}
func (AdoptTable) action() {}
func (AddProof) action()   {}
func (FetchTable) action() {}

// Result is the outcome of a platform call.
type Result int

// Results of platform calls.
const (
	// Done means that the call succeeded. A read of an absent object succeeds.
	Done Result = iota
	// Conflict means that Base was not the current version.
	Conflict
	// Unavailable means that the call failed and certainly had no effect.
	Unavailable
	// Unknown means that the answer was lost. A write may have taken effect.
	Unknown
)

// ReconcilerConfig holds the durations that a Reconciler uses.
type ReconcilerConfig struct {
	// Lease is the minimum time for which a member must have been dead before it
	// is removed.
	Lease time.Duration
	// WriteInterval is the minimum time between two writes by this host.
	WriteInterval time.Duration
	// RetryInterval is the delay after a failed call or fetch.
	RetryInterval time.Duration
	// TakeoverDelay is the additional time that a host waits before it writes
	// changes for other hosts, per live host that precedes it in rendezvous order.
	TakeoverDelay time.Duration
	// MissingAfter is the time after which a member that is unknown to the
	// membership is removed.
	MissingAfter time.Duration
}

// DefaultReconcilerConfig returns the default durations.
func DefaultReconcilerConfig() ReconcilerConfig {
	return ReconcilerConfig{
		Lease:         DefaultLease,
		WriteInterval: time.Second,
		RetryInterval: time.Second,
		TakeoverDelay: 2 * time.Second,
		MissingAfter:  30 * time.Second,
	}
}

// maxTakeoverRank limits the takeover delay if many hosts precede this one.
const maxTakeoverRank = 5

type callState int

const (
	idle callState = iota
	reading
	writing
)

// Reconciler updates the table of this host's data centre to match the
// membership, and tracks the newest tables of the other data centres.
//
// If a host restarts, its new incarnation replaces the old one in the table as a
// removal, not as a release. The slots of the old incarnation become usable after
// the handover delay of the LeaseHolder; they become usable immediately only if
// the old process itself wrote its release. That the new process could bind the
// old one's address does not prove that the work has ended: a process may close
// its listener while its work is still running, and the upstream may still be
// running what a killed process had sent.
type Reconciler struct {
	cfg  ReconcilerConfig
	self Member

	table            Table
	others           map[string]Table  // newest known tables of other data centres
	knownEpochs      map[string]uint64 // newest epochs known to exist, by data centre
	peers            []Peer
	unavailableSince map[Member]time.Time // members that are dead or unknown to the membership
	unlistedSince    map[Member]time.Time // live hosts that are not in the table
	releasing        bool

	call       callState
	mustRead   bool // the stored table or the outcome of a write is unknown
	retryAt    time.Time
	fetchAt    map[string]time.Time // next fetch, by data centre with an outdated table
	lastWrite  time.Time
	hasWritten bool
	pending    Table // the table of the write in flight
}

// NewReconciler returns the Reconciler of a process in a data centre.
func NewReconciler(cfg ReconcilerConfig, dataCentre string, self Member) *Reconciler {
	return &Reconciler{
		cfg:              cfg,
		self:             self,
		table:            Table{DataCentre: dataCentre},
		others:           make(map[string]Table),
		knownEpochs:      make(map[string]uint64),
		unavailableSince: make(map[Member]time.Time),
		unlistedSince:    make(map[Member]time.Time),
		fetchAt:          make(map[string]time.Time),

		mustRead: true,
	}
}

// Table returns the newest known table of a data centre.
func (k *Reconciler) Table(dataCentre string) Table {
	if dataCentre == k.table.DataCentre {
		return k.table
	}
	return k.others[dataCentre]
}

// Released reports whether Release was called and the newest table is known not
// to contain this process.
func (k *Reconciler) Released() bool {
	return k.releasing && !k.mustRead && !k.isBehind() && k.call != writing && !k.table.Contains(k.self)
}

// Release starts the removal of this process from the table for a planned stop.
// All work of this host must have ended, and its LeaseHolder must have been
// released.
func (k *Reconciler) Release(now time.Time) []Action {
	k.releasing = true
	return k.Tick(now)
}

// SetPeers sets the hosts of the data centre according to the membership. If the
// list has several processes of one host, the latest is used.
func (k *Reconciler) SetPeers(now time.Time, peers []Peer) []Action {
	k.peers = slices.Clone(peers)
	slices.SortStableFunc(k.peers, func(a, b Peer) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), -strings.Compare(a.Incarnation, b.Incarnation))
	})
	k.peers = slices.CompactFunc(k.peers, func(a, b Peer) bool { return a.ID == b.ID })
	return k.Tick(now)
}

// ObserveEpoch records that a table of the data centre with the epoch exists.
func (k *Reconciler) ObserveEpoch(now time.Time, dataCentre string, epoch uint64) []Action {
	if epoch <= k.knownEpochs[dataCentre] {
		return nil
	}
	k.knownEpochs[dataCentre] = epoch
	return k.Tick(now)
}

// isBehind reports whether a newer table of this data centre is known to exist.
func (k *Reconciler) isBehind() bool { return k.knownEpochs[k.table.DataCentre] > k.table.Epoch }

// ReceiveTable handles a table that was fetched or that a peer sent.
func (k *Reconciler) ReceiveTable(now time.Time, t Table) []Action {
	if t.DataCentre == k.table.DataCentre {
		return append(k.adoptNewer(t), k.Tick(now)...)
	}
	if t.Epoch > k.others[t.DataCentre].Epoch {
		k.others[t.DataCentre] = t
		k.knownEpochs[t.DataCentre] = max(k.knownEpochs[t.DataCentre], t.Epoch)
	}
	return nil
}

// adoptNewer replaces the table of this data centre if t is newer.
func (k *Reconciler) adoptNewer(t Table) []Action {
	if t.Epoch <= k.table.Epoch {
		return nil
	}
	k.table = t
	k.knownEpochs[t.DataCentre] = max(k.knownEpochs[t.DataCentre], t.Epoch)
	return []Action{AdoptTable{Table: t}}
}

// ReadDone handles the result of a ReadTable action whose request was sent at
// sentAt. If the object is absent, t is a table of epoch 0.
func (k *Reconciler) ReadDone(now, sentAt time.Time, t Table, r Result) []Action {
	if k.call == reading {
		k.call = idle
	}
	if r != Done {
		k.scheduleRetry(now)
		return k.Tick(now)
	}
	actions := k.adoptProven(t, sentAt)
	k.mustRead = false
	if k.isBehind() {
		k.scheduleRetry(now) // the platform returned a table older than a known write
	}
	return append(actions, k.Tick(now)...)
}

// adoptProven handles a table that was in force on the platform after sentAt.
func (k *Reconciler) adoptProven(t Table, sentAt time.Time) []Action {
	actions := k.adoptNewer(t)
	if t.Epoch > 0 && t.Epoch == k.table.Epoch {
		actions = append(actions, AddProof{Epoch: t.Epoch, SentAt: sentAt})
	}
	return actions
}

// WriteDone handles the result of a WriteTable action whose request was sent at
// sentAt. If it succeeded, version is the new version of the object.
func (k *Reconciler) WriteDone(now, sentAt time.Time, version uint64, r Result) []Action {
	k.call = idle
	written := k.pending
	k.pending = Table{}
	switch r {
	case Done:
		written.Epoch = version
		return append(k.adoptProven(written, sentAt), k.Tick(now)...)
	case Unavailable:
		k.scheduleRetry(now)
	case Conflict:
		k.mustRead = true
	case Unknown:
		// Reading the table shows whether the write took effect. If it takes
		// effect after that read, the next write conflicts.
		k.mustRead = true
	}
	return k.Tick(now)
}

func (k *Reconciler) scheduleRetry(now time.Time) {
	k.retryAt = now.Add(k.cfg.RetryInterval)
}

// Next returns the time at which Tick must be called, or zero if nothing is due
// before the next event.
func (k *Reconciler) Next(now time.Time) time.Time {
	var next time.Time
	if k.call == idle {
		next = k.due(now)
		if k.mustRead {
			next = now
		}
		if !next.IsZero() && next.Before(k.retryAt) {
			next = k.retryAt
		}
	}
	for _, t := range k.fetchAt {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	return next
}
