package ownership

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Status is what the membership says of a host.
type Status int

// Statuses of a Peer.
const (
	Live Status = iota
	Suspect
	Leaving
	Dead
)

// Peer is a host of the data centre as this host's membership sees it.
type Peer struct {
	Member
	Status Status
}

// Action is what the caller of a Reconciler has to do.
type Action interface{ action() }

// ReadTable asks for a read of the data centre's table; answer with ReadDone.
type ReadTable struct{ DataCentre string }

// WriteTable asks for a conditional update of the own table; answer with WriteDone.
type WriteTable struct {
	Base  uint64
	Table Table // to be stored, with Base as the expected version
}

// AdoptTable hands a newer table of the own data centre to the LeaseHolder.
type AdoptTable struct{ Table Table }

// AddProof hands a proof to the LeaseHolder.
type AddProof struct {
	Epoch  uint64
	SentAt time.Time
}

// FetchTable asks for another data centre's table of at least the epoch, from a peer
// that knows it or from the platform; answer with ReceiveTable.
type FetchTable struct {
	DataCentre string
	Epoch      uint64
}

func (ReadTable) action()  {}
func (WriteTable) action() {}
func (AdoptTable) action() {}
func (AddProof) action()   {}
func (FetchTable) action() {}

// Result tells how a platform call ended.
type Result int

// Results of platform calls.
const (
	// Done: the call succeeded, or the object was read as absent.
	Done Result = iota
	// Conflict: the base was not the current version.
	Conflict
	// Unavailable: the call surely had no effect.
	Unavailable
	// Unknown: the answer was lost; a write may have taken effect.
	Unknown
)

// ReconcilerConfig holds the Reconciler's times.
type ReconcilerConfig struct {
	// Lease is the least time that a dead verdict must have stood.
	Lease time.Duration
	// WriteInterval is the least time between two writes of this host.
	WriteInterval time.Duration
	// RetryInterval is the pause after a failed call.
	RetryInterval time.Duration
	// TakeoverDelay is how much longer a host waits before it writes for
	// others, for each live host before it in rendezvous order.
	TakeoverDelay time.Duration
	// MissingAfter is when a member that the membership never saw is removed.
	MissingAfter time.Duration
}

// DefaultReconcilerConfig returns the times of the design.
func DefaultReconcilerConfig() ReconcilerConfig {
	return ReconcilerConfig{
		Lease:         DefaultLease,
		WriteInterval: time.Second,
		RetryInterval: time.Second,
		TakeoverDelay: 2 * time.Second,
		MissingAfter:  30 * time.Second,
	}
}

// maxTakeoverRank bounds the delay when many hosts come first in order.
const maxTakeoverRank = 5

type callState int

const (
	idle callState = iota
	reading
	writing
)

// Reconciler keeps the table of this host's data centre in step with the membership,
// and knows the newest tables of the other data centres.
//
// A new incarnation of a host replaces the old one in the table as a removal,
// not as a release. The old incarnation's shares count as ended when the wait of
// the LeaseHolder has passed, and at once only if that process itself wrote its
// release. That the new process could bind the old one's address is not taken as
// proof: a process may close its listener while its work still runs, and the
// upstream may still run what a killed process had sent.
type Reconciler struct {
	cfg  ReconcilerConfig
	self Member

	table     Table
	others    map[string]Table  // newest tables of other data centres
	heard     map[string]uint64 // newest epochs heard of, by data centre
	peers     []Peer
	adverse   map[Member]time.Time // since when a member is dead or missing
	wanted    map[Member]time.Time // since when a live host lacks in the table
	releasing bool

	call      callState
	mustRead  bool // the platform's table is unknown, or a write's outcome
	notBefore time.Time
	fetchAt   map[string]time.Time // next fetch, by data centre that is behind
	lastWrite time.Time
	wrote     bool
	pending   Table // the write in flight
}

// NewReconciler returns the Reconciler of a process in a data centre.
func NewReconciler(cfg ReconcilerConfig, dataCentre string, self Member) *Reconciler {
	return &Reconciler{
		cfg:     cfg,
		self:    self,
		table:   Table{DataCentre: dataCentre},
		others:  make(map[string]Table),
		heard:   make(map[string]uint64),
		adverse: make(map[Member]time.Time),
		wanted:  make(map[Member]time.Time),
		fetchAt: make(map[string]time.Time),

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

// Released reports whether the release asked for by Release is known to stand in
// the table, or nothing is left to release.
func (k *Reconciler) Released() bool {
	return k.releasing && !k.mustRead && !k.behind() && k.call != writing && !k.table.Contains(k.self)
}

// Release starts the planned stop. All work of this host must have ended, and
// its LeaseHolder must have been released.
func (k *Reconciler) Release(now time.Time) []Action {
	k.releasing = true
	return k.Tick(now)
}

// SetPeers takes the membership's view of the data centre's hosts. Of several
// processes of one host the latest counts.
func (k *Reconciler) SetPeers(now time.Time, peers []Peer) []Action {
	k.peers = slices.Clone(peers)
	slices.SortStableFunc(k.peers, func(a, b Peer) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), -strings.Compare(a.Incarnation, b.Incarnation))
	})
	k.peers = slices.CompactFunc(k.peers, func(a, b Peer) bool { return a.ID == b.ID })
	return k.Tick(now)
}

// ObserveEpoch notes that a peer knows an epoch of a data centre's table.
func (k *Reconciler) ObserveEpoch(now time.Time, dataCentre string, epoch uint64) []Action {
	if epoch <= k.heard[dataCentre] {
		return nil
	}
	k.heard[dataCentre] = epoch
	return k.Tick(now)
}

// behind reports whether a newer table of the own data centre is known to exist.
func (k *Reconciler) behind() bool { return k.heard[k.table.DataCentre] > k.table.Epoch }

// ReceiveTable takes a table that a peer sent.
func (k *Reconciler) ReceiveTable(now time.Time, t Table) []Action {
	if t.DataCentre == k.table.DataCentre {
		return append(k.take(t), k.Tick(now)...)
	}
	if t.Epoch > k.others[t.DataCentre].Epoch {
		k.others[t.DataCentre] = t
		k.heard[t.DataCentre] = max(k.heard[t.DataCentre], t.Epoch)
	}
	return nil
}

// take goes over to a newer table of the own data centre.
func (k *Reconciler) take(t Table) []Action {
	if t.Epoch <= k.table.Epoch {
		return nil
	}
	k.table = t
	k.heard[t.DataCentre] = max(k.heard[t.DataCentre], t.Epoch)
	return []Action{AdoptTable{Table: t}}
}

// ReadDone takes the result of a Read that was sent at sentAt. An absent object
// is a table of epoch 0.
func (k *Reconciler) ReadDone(now, sentAt time.Time, t Table, r Result) []Action {
	if k.call == reading {
		k.call = idle
	}
	if r != Done {
		k.pause(now)
		return k.Tick(now)
	}
	actions := k.proven(t, sentAt)
	k.mustRead = false
	if k.behind() {
		k.pause(now) // the platform answered from before a known write
	}
	return append(actions, k.Tick(now)...)
}

// proven takes a table that the platform had after sentAt.
func (k *Reconciler) proven(t Table, sentAt time.Time) []Action {
	actions := k.take(t)
	if t.Epoch > 0 && t.Epoch == k.table.Epoch {
		actions = append(actions, AddProof{Epoch: t.Epoch, SentAt: sentAt})
	}
	return actions
}

// WriteDone takes the result of a Write that was sent at sentAt; version is the
// object's new version if it succeeded.
func (k *Reconciler) WriteDone(now, sentAt time.Time, version uint64, r Result) []Action {
	k.call = idle
	written := k.pending
	k.pending = Table{}
	switch r {
	case Done:
		written.Epoch = version
		return append(k.proven(written, sentAt), k.Tick(now)...)
	case Unavailable:
		k.pause(now)
	case Conflict:
		k.mustRead = true
	case Unknown:
		// Whether the write took effect shows when the table is read. It may
		// even take effect after that read, but then the next write conflicts.
		k.mustRead = true
	}
	return k.Tick(now)
}

func (k *Reconciler) pause(now time.Time) {
	k.notBefore = now.Add(k.cfg.RetryInterval)
}

// Next returns the time at which Tick has to be called; zero if an event comes
// first.
func (k *Reconciler) Next(now time.Time) time.Time {
	var next time.Time
	if k.call == idle {
		next = k.due(now)
		if k.mustRead {
			next = now
		}
		if !next.IsZero() && next.Before(k.notBefore) {
			next = k.notBefore
		}
	}
	for _, t := range k.fetchAt {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	return next
}
