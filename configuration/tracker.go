package configuration

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// Defaults of TrackerConfig. An accepted version must be in force on all hosts
// within 4 s. These values leave time for a few peers that do not respond.
const (
	// DefaultFetchTimeout is the time after which the next peer is asked.
	DefaultFetchTimeout = 500 * time.Millisecond
	// DefaultFetchRetry is the delay after all peers with a newer version have
	// failed.
	DefaultFetchRetry = 200 * time.Millisecond
)

// TrackerConfig configures a Tracker. Zero durations select the defaults.
type TrackerConfig struct {
	// Host is the id of this host.
	Host         string
	FetchTimeout time.Duration
	FetchRetry   time.Duration
}

// TrackerAction is one of Fetch, ReadCheckpoint, InForce and Watch.
type TrackerAction interface{ trackerAction() }

// Fetch asks a peer for the versions after Have. The result goes to
// Tracker.FetchDone. A new Fetch supersedes earlier ones: the shell may cancel
// them, and their results are ignored.
type Fetch struct {
	Call uint64
	Peer string
	Have uint64
	// Whole asks for the whole version, because the patches did not result in
	// the peer's version.
	Whole bool
}

// ReadCheckpoint asks for a read of an object of the platform. The result goes to
// Tracker.ReadCheckpointDone.
type ReadCheckpoint struct {
	Call uint64
	Name string
}

// InForce reports that a new version is in force on this host.
type InForce struct{ Active *Active }

// Watch starts or stops the watch of ObjectName on the platform.
type Watch struct {
	On bool
	// After is the object version after which the watch starts, 0 for none.
	After uint64
}

func (Fetch) trackerAction()          {}
func (ReadCheckpoint) trackerAction() {}
func (InForce) trackerAction()        {}
func (Watch) trackerAction()          {}

// Tracker keeps the newest version that this host knows of. Its number never
// decreases.
type Tracker struct {
	cfg    TrackerConfig
	held   *snapshot
	active *Active
	value  []byte // stored value of held, nil until a peer asks for it
	object uint64 // version of the newest object taken from the platform
	watch  bool
	load   *checkpointLoad

	peersAhead map[string]*aheadPeer
	fetch      *fetchCall
	calls      uint64
	retryAt    time.Time // time of the next round after all peers have failed, or zero
}

// aheadPeer is a peer that reports a higher number than the one held.
type aheadPeer struct {
	number uint64
	failed bool // a call failed in this round
}

// fetchCall is the Fetch in flight.
type fetchCall struct {
	Fetch
	expires time.Time
}

// NewTracker returns a Tracker without a version.
func NewTracker(cfg TrackerConfig) *Tracker {
	if cfg.FetchTimeout <= 0 {
		cfg.FetchTimeout = DefaultFetchTimeout
	}
	if cfg.FetchRetry <= 0 {
		cfg.FetchRetry = DefaultFetchRetry
	}
	return &Tracker{cfg: cfg, held: emptySnapshot(), peersAhead: map[string]*aheadPeer{}}
}

// Active returns the version in force, or nil.
func (t *Tracker) Active() *Active { return t.active }

// Number returns the number of the version in force, or 0.
func (t *Tracker) Number() uint64 { return t.held.Number }

// Ready reports whether this host has a version.
func (t *Tracker) Ready() bool { return t.active != nil }

// Watches reports whether this host should watch the platform.
func (t *Tracker) Watches() bool { return t.watch }

// History returns the recent accepted patches, oldest first.
func (t *Tracker) History() []PatchRecord { return t.held.Patches }

// SetMembers sets the live members of this host's data centre. It starts or stops
// the watch if that changes whether this host is a watcher.
func (t *Tracker) SetMembers(live []string) []TrackerAction {
	members := append(slices.Clone(live), t.cfg.Host)
	watch := slices.Contains(Watchers(members), t.cfg.Host)
	if watch == t.watch {
		return nil
	}
	t.watch = watch
	return []TrackerAction{Watch{On: watch, After: t.object}}
}

// ObjectVersion returns the object version of the newest head that was handled. A
// watch continues after it.
func (t *Tracker) ObjectVersion() uint64 { return t.object }

// HeadReceived handles the head object after it was read, watched or written.
// After an error ObjectVersion is unchanged, so a watch returns the same object
// again. The shell must wait before it restarts the watch.
func (t *Tracker) HeadReceived(now time.Time, object objectstore.Object) ([]TrackerAction, error) {
	if object.Version == 0 {
		return nil, nil
	}
	h, err := decodeHead(object)
	if err != nil {
		return nil, err
	}
	actions, err := t.adoptHead(now, h)
	if err == nil {
		t.object = max(t.object, object.Version)
	}
	return actions, err
}

// adoptHead adopts the version of a head if its number is higher than the one held.
// It asks for the checkpoint if the version cannot be derived from the patches.
func (t *Tracker) adoptHead(now time.Time, h *head) ([]TrackerAction, error) {
	if h.Number <= t.held.Number {
		return nil, t.checkDivergence(h.Number, h.Digest)
	}
	next, err := h.snapshot(t.held)
	if err != nil {
		return nil, err
	}
	if next == nil {
		return t.loadCheckpoint(h), nil
	}
	return t.adopt(now, next, nil)
}

// adoptWhole adopts a whole version if its number is higher than the one held.
func (t *Tracker) adoptWhole(now time.Time, opened *openedValue, value []byte) ([]TrackerAction, error) {
	if opened.Number <= t.held.Number {
		return nil, t.checkDivergence(opened.Number, opened.Digest)
	}
	next, err := opened.snapshot(t.held)
	if err != nil {
		return nil, err
	}
	return t.adopt(now, next, value)
}

// checkDivergence returns an error if another document has the number that is held.
func (t *Tracker) checkDivergence(number uint64, digest string) error {
	if number == t.held.Number && digest != t.held.Digest {
		return errors.Wrapf(ErrDiverged, "version %d has digest %s here and %s elsewhere", number, t.held.Digest, digest)
	}
	return nil
}

// adopt puts next in force, whose number must be higher than the one held.
func (t *Tracker) adopt(now time.Time, next *snapshot, value []byte) ([]TrackerAction, error) {
	active, err := t.active.Successor(next.Version)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "version %d", next.Number), ErrCorrupt)
	}
	t.held, t.active, t.value = next, active, value
	if t.load != nil && t.load.head.Number <= next.Number {
		t.load = nil
	}
	for name, p := range t.peersAhead {
		p.failed = false
		if p.number <= next.Number {
			delete(t.peersAhead, name)
		}
	}
	t.retryAt = time.Time{}
	actions := []TrackerAction{InForce{Active: active}}
	if t.fetch != nil && t.peersAhead[t.fetch.Peer] == nil {
		t.fetch = nil // the peer no longer has a newer version
	}
	return t.startFetch(now, actions), nil
}

// SetPeer records the version number that a peer in any data centre holds, as
// learned from gossip.
func (t *Tracker) SetPeer(now time.Time, peer string, number uint64) []TrackerAction {
	if number <= t.held.Number || peer == t.cfg.Host {
		return nil
	}
	p := t.peersAhead[peer]
	if p == nil {
		p = &aheadPeer{}
		t.peersAhead[peer] = p
	}
	if number > p.number {
		*p = aheadPeer{number: number}
	}
	return t.startFetch(now, nil)
}

// RemovePeer removes a peer that is dead or has left.
func (t *Tracker) RemovePeer(now time.Time, peer string) []TrackerAction {
	delete(t.peersAhead, peer)
	if t.fetch != nil && t.fetch.Peer == peer {
		t.fetch = nil
	}
	return t.startFetch(now, nil)
}

// startFetch asks the best peer with a newer version, unless a call is in flight. It
// appends the actions to the given ones.
func (t *Tracker) startFetch(now time.Time, actions []TrackerAction) []TrackerAction {
	if t.fetch != nil || len(t.peersAhead) == 0 {
		return actions
	}
	peer := t.choosePeer()
	if peer == "" {
		if t.retryAt.IsZero() {
			t.retryAt = now.Add(t.cfg.FetchRetry)
		}
		return actions
	}
	t.retryAt = time.Time{}
	return append(actions, t.fetchFrom(now, peer, false))
}

// choosePeer returns the peer with the highest number that has not failed in this
// round, or "". Among peers with equal numbers, the rendezvous hash spreads the
// hosts over the peers.
func (t *Tracker) choosePeer() string {
	best := ""
	for name, p := range t.peersAhead {
		if p.failed {
			continue
		}
		if best == "" || t.preferred(name, best) {
			best = name
		}
	}
	return best
}

// preferred reports whether peer a should be asked before peer b.
func (t *Tracker) preferred(a, b string) bool {
	order := cmp.Or(
		cmp.Compare(t.peersAhead[a].number, t.peersAhead[b].number),
		cmp.Compare(rendezvousHash(t.cfg.Host, a), rendezvousHash(t.cfg.Host, b)),
		cmp.Compare(a, b),
	)
	return order > 0
}

// fetchFrom starts a call to a peer.
func (t *Tracker) fetchFrom(now time.Time, peer string, whole bool) TrackerAction {
	t.calls++
	f := Fetch{Call: t.calls, Peer: peer, Have: t.held.Number, Whole: whole}
	t.fetch = &fetchCall{Fetch: f, expires: now.Add(t.cfg.FetchTimeout)}
	return f
}

// FetchDone handles a peer's response or the error of the call. The returned error
// describes what was wrong with the response. The actions are valid in any case.
func (t *Tracker) FetchDone(now time.Time, call uint64, delta Delta, err error) ([]TrackerAction, error) {
	if t.fetch == nil || t.fetch.Call != call {
		return nil, nil
	}
	f := t.fetch
	t.fetch = nil
	if err != nil {
		return t.failed(now, f.Peer), nil
	}
	if delta.Number <= t.held.Number {
		delete(t.peersAhead, f.Peer) // the peer no longer has the version that it reported
		return t.startFetch(now, nil), nil
	}
	actions, err := t.adoptDelta(now, delta)
	switch {
	case err == nil && len(actions) > 0:
		return actions, nil
	case err != nil && !f.Whole && delta.Value == nil:
		return []TrackerAction{t.fetchFrom(now, f.Peer, true)}, err
	}
	return t.failed(now, f.Peer), err
}

// adoptDelta adopts the version that a peer sent.
func (t *Tracker) adoptDelta(now time.Time, d Delta) ([]TrackerAction, error) {
	if d.Value != nil {
		opened, err := openValue(d.Value)
		if err != nil {
			return nil, err
		}
		return t.adoptWhole(now, opened, d.Value)
	}
	next, err := applyAll(t.held, recordsAfter(d.Patches, t.held.Number))
	if err != nil {
		return nil, err
	}
	if next.Number != d.Number {
		return nil, errors.Wrapf(ErrCorrupt, "patches lead to version %d, expected %d", next.Number, d.Number)
	}
	return t.adopt(now, next, nil)
}

// failed marks a peer as failed in this round and asks the next one.
func (t *Tracker) failed(now time.Time, peer string) []TrackerAction {
	if p := t.peersAhead[peer]; p != nil {
		p.failed = true
	}
	return t.startFetch(now, nil)
}

// Tick handles timeouts and retries that are due. The shell calls it at the time
// that Next returns.
func (t *Tracker) Tick(now time.Time) []TrackerAction {
	return append(t.retryLoad(now), t.tickFetch(now)...)
}

// tickFetch handles a timeout, or starts the next round if it is due.
func (t *Tracker) tickFetch(now time.Time) []TrackerAction {
	if t.fetch != nil && !now.Before(t.fetch.expires) {
		peer := t.fetch.Peer
		t.fetch = nil
		return t.failed(now, peer)
	}
	if t.fetch == nil && !t.retryAt.IsZero() && !now.Before(t.retryAt) {
		t.retryAt = time.Time{}
		for _, p := range t.peersAhead {
			p.failed = false
		}
		return t.startFetch(now, nil)
	}
	return nil
}

// Next returns the time of the next Tick, and false if none is needed.
func (t *Tracker) Next() (time.Time, bool) {
	next := t.retryAt
	if t.fetch != nil {
		next = t.fetch.expires
	}
	if l := t.load; l != nil && !l.retryAt.IsZero() && (next.IsZero() || l.retryAt.Before(next)) {
		next = l.retryAt
	}
	return next, !next.IsZero()
}
