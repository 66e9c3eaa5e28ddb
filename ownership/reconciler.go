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
func (r *Reconciler) Table(dataCentre string) Table {
	if dataCentre == r.table.DataCentre {
		return r.table
	}
	return r.others[dataCentre]
}

// Released reports whether Release was called and the newest table is known not
// to contain this process.
func (r *Reconciler) Released() bool {
	return r.releasing && !r.mustRead && !r.isBehind() && r.call != writing && !r.table.Contains(r.self)
}

// Release starts the removal of this process from the table for a planned stop.
// All work of this host must have ended, and its LeaseHolder must have been
// released.
func (r *Reconciler) Release(now time.Time) []Action {
	r.releasing = true
	return r.Tick(now)
}

// SetPeers sets the hosts of the data centre according to the membership. If the
// list has several processes of one host, the latest is used.
func (r *Reconciler) SetPeers(now time.Time, peers []Peer) []Action {
	r.peers = slices.Clone(peers)
	slices.SortStableFunc(r.peers, func(a, b Peer) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), -strings.Compare(a.Incarnation, b.Incarnation))
	})
	r.peers = slices.CompactFunc(r.peers, func(a, b Peer) bool { return a.ID == b.ID })
	return r.Tick(now)
}

// ObserveEpoch records that a table of the data centre with the epoch exists.
func (r *Reconciler) ObserveEpoch(now time.Time, dataCentre string, epoch uint64) []Action {
	if epoch <= r.knownEpochs[dataCentre] {
		return nil
	}
	r.knownEpochs[dataCentre] = epoch
	return r.Tick(now)
}

// isBehind reports whether a newer table of this data centre is known to exist.
func (r *Reconciler) isBehind() bool { return r.knownEpochs[r.table.DataCentre] > r.table.Epoch }

// ReceiveTable handles a table that was fetched or that a peer sent.
func (r *Reconciler) ReceiveTable(now time.Time, t Table) []Action {
	if t.DataCentre == r.table.DataCentre {
		return append(r.adoptNewer(t), r.Tick(now)...)
	}
	if t.Epoch > r.others[t.DataCentre].Epoch {
		r.others[t.DataCentre] = t
		r.knownEpochs[t.DataCentre] = max(r.knownEpochs[t.DataCentre], t.Epoch)
	}
	return nil
}

// adoptNewer replaces the table of this data centre if t is newer.
func (r *Reconciler) adoptNewer(t Table) []Action {
	if t.Epoch <= r.table.Epoch {
		return nil
	}
	r.table = t
	r.knownEpochs[t.DataCentre] = max(r.knownEpochs[t.DataCentre], t.Epoch)
	return []Action{AdoptTable{Table: t}}
}

// ReadDone handles the result of a ReadTable action whose request was sent at
// sentAt. If the object is absent, t is a table of epoch 0.
func (r *Reconciler) ReadDone(now, sentAt time.Time, t Table, result Result) []Action {
	if r.call == reading {
		r.call = idle
	}
	if result != Done {
		r.scheduleRetry(now)
		return r.Tick(now)
	}
	actions := r.adoptProven(t, sentAt)
	r.mustRead = false
	if r.isBehind() {
		r.scheduleRetry(now) // the platform returned a table older than a known write
	}
	return append(actions, r.Tick(now)...)
}

// adoptProven handles a table that was in force on the platform after sentAt.
func (r *Reconciler) adoptProven(t Table, sentAt time.Time) []Action {
	actions := r.adoptNewer(t)
	if t.Epoch > 0 && t.Epoch == r.table.Epoch {
		actions = append(actions, AddProof{Epoch: t.Epoch, SentAt: sentAt})
	}
	return actions
}

// WriteDone handles the result of a WriteTable action whose request was sent at
// sentAt. If it succeeded, version is the new version of the object.
func (r *Reconciler) WriteDone(now, sentAt time.Time, version uint64, result Result) []Action {
	r.call = idle
	written := r.pending
	r.pending = Table{}
	switch result {
	case Done:
		written.Epoch = version
		return append(r.adoptProven(written, sentAt), r.Tick(now)...)
	case Unavailable:
		r.scheduleRetry(now)
	case Conflict:
		r.mustRead = true
	case Unknown:
		// Reading the table shows whether the write took effect. If it takes
		// effect after that read, the next write conflicts.
		r.mustRead = true
	}
	return r.Tick(now)
}

func (r *Reconciler) scheduleRetry(now time.Time) {
	r.retryAt = now.Add(r.cfg.RetryInterval)
}

// Next returns the time at which Tick must be called, or zero if nothing is due
// before the next event.
func (r *Reconciler) Next(now time.Time) time.Time {
	var next time.Time
	if r.call == idle {
		next = r.due(now)
		if r.mustRead {
			next = now
		}
		if !next.IsZero() && next.Before(r.retryAt) {
			next = r.retryAt
		}
	}
	for _, t := range r.fetchAt {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	return next
}
