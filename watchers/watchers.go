// Package watchers lets a few hosts of each data centre watch the store on behalf of
// the others. Calls to the store are expensive and all hosts follow the same lists. In
// a large data centre, the other hosts therefore call one of the watchers, and the
// store itself only if no watcher is up to date.
//
// A watcher passes on only changes received from the store, nothing derived from them,
// and only while the store's last answer is recent. A host that calls a watcher
// therefore lags behind one that calls the store by at most that age plus the time
// until a silent watcher is noticed. Whole lists are always read from the store.
//
// When the store begins a new era, the watchers read the lists anew and pass on the
// differences, each of which is a step from the last state of the earlier era. The hosts
// behind them wait a while for the step before they read lists themselves.
package watchers

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/peer"
)

// StoreList reads one list of the store.
type StoreList interface {
	// List returns the whole list. A stale list may be seconds old and costs less; its
	// revision is as old as its objects.
	List(ctx context.Context, stale bool) (follow.Response[json.RawMessage], error)
	// Watch waits for changes after a position, at most for pollTimeout. Once the store is in
	// a later era it returns follow.ErrNewEra.
	Watch(ctx context.Context, from follow.Position, pollTimeout time.Duration) (follow.Response[json.RawMessage], error)
}

// Config sets the timeouts and delays of a Relay.
type Config struct {
	// DirectPollTimeout is how long a call of a host that uses no watchers waits for
	// changes in the store, and DirectBatchDelay its pause after a response with
	// changes.
	DirectPollTimeout, DirectBatchDelay time.Duration
	// PollTimeout is how long a watcher's call to the store, or a call to a watcher,
	// waits for changes.
	PollTimeout time.Duration
	// BatchDelay is a watcher's pause after a response with changes.
	BatchDelay time.Duration
	// HistoryBytes bounds the recent changes that are kept of each list for other hosts. A
	// host that lags behind them reads the list from the store.
	HistoryBytes int
	// ReplyGrace is how much later than the poll timeout a response may arrive.
	ReplyGrace time.Duration
}

// maxAge is the age of the store's last answer up to which a watcher passes on changes.
func (c Config) maxAge() time.Duration { return c.BatchDelay + c.PollTimeout + c.ReplyGrace }

const (
	methodChanges = "watchers.changes"
	// Error codes of calls to a watcher.
	codeStale          = 2
	codeRevisionTooOld = 3
)

// changesRequest asks for the changes after a position. The era is missing from messages of
// hosts that do not know of eras, which counts as era 0.
type changesRequest struct {
	List string `json:"list"`
	From uint64 `json:"from"`
	Era  uint64 `json:"era,omitempty"`
}

type changesReply struct {
	// UnavailableMS is how long the store has not answered the watcher. If it is set,
	// the other fields are not.
	UnavailableMS int64    `json:"away_ms,omitempty"`
	Objects       []Object `json:"objects,omitempty"`
	// Collapsed is set if the objects are not all changes since the request's revision,
	// but only lead from the state then to that at Revision.
	Collapsed bool   `json:"collapsed,omitempty"`
	Revision  uint64 `json:"revision"`
	// Era is the era of Revision. If it is later than that of the request, the objects lead
	// to it.
	Era uint64 `json:"era,omitempty"`
	// RecoveredMS is the time since the watcher reached the store again after a
	// failure, negative if it never failed.
	RecoveredMS int64 `json:"regained_ms"`
}

// Relay reads the lists of the store for this host, through watchers or directly, and
// serves them to other hosts if this host is a watcher.
type Relay struct {
	cfg  Config
	node *peer.Node

	mu      sync.Mutex // guards the fields below
	chooser *Chooser
	lists   map[string]*list
	source  string // destination of the last call, for the log
	onEra   func(era uint64)
}

// New returns a relay that serves calls from other hosts once the node listens.
func New(cfg Config, self Host, node *peer.Node) *Relay {
	rl := &Relay{cfg: cfg, node: node, chooser: NewChooser(self), lists: map[string]*list{}, onEra: func(uint64) {}}
	node.Handle(methodChanges, rl.handleChanges)
	return rl
}

// OnEra sets the function that is called with each era that a watcher's answer leads to. It must
// be called before the first call of a Source.
func (rl *Relay) OnEra(observer func(era uint64)) { rl.onEra = observer }

// SetHosts sets the hosts of the tier.
func (rl *Relay) SetHosts(hosts []Host) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.chooser.SetHosts(hosts)
}

// next returns where to send the next call, and logs a change.
func (rl *Relay) next() (Host, Target) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	watcher, target := rl.chooser.Next(time.Now())
	source := watcher.ID
	switch target {
	case TargetStore:
		source = "store"
	case TargetNone:
		return watcher, target
	}
	if rl.source != source {
		klog.InfoS("Lists are read from", "source", source, "before", rl.source, "hosts", len(rl.chooser.ranked))
		rl.source = source
	}
	return watcher, target
}

func (rl *Relay) handleChanges(ctx context.Context, r peer.Request) (any, error) {
	var request changesRequest
	if err := r.Decode(&request); err != nil {
		return nil, err
	}
	rl.mu.Lock()
	l := rl.lists[request.List]
	rl.mu.Unlock()
	if l == nil {
		return nil, errors.Newf("unknown list %q", request.List)
	}
	s, err := l.waitForChanges(ctx, follow.Position{Era: request.Era, Revision: request.From}, rl.cfg.maxAge(), rl.cfg.PollTimeout)
	switch {
	case errors.Is(err, errStoreUnavailable):
		return changesReply{UnavailableMS: max(s.unavailableFor.Milliseconds(), 1)}, nil
	case errors.Is(err, errStale):
		return nil, &peer.RemoteError{Code: codeStale, Message: err.Error()}
	case errors.Is(err, errRevisionTooOld):
		return nil, &peer.RemoteError{Code: codeRevisionTooOld, Message: err.Error()}
	case err != nil:
		return nil, err
	}
	return changesReply{Objects: s.response.Items, Collapsed: s.collapsed, Revision: s.response.Revision, Era: s.response.Era, RecoveredMS: s.recovered.Milliseconds()}, nil
}

// Source follows one list of the store, through a watcher if one is available.
type Source struct {
	relay  *Relay
	name   string
	store  StoreList
	list   *list
	listed bool // whether the list was read once
	// answered is when a watcher or the store last answered.
	answered time.Time
	// outageReported is when the follower was last told of an outage that a watcher
	// reported.
	outageReported time.Time
	// stepUntil is until when this host waits for a watcher's step to the new era of the
	// store; zero if it has seen no new era since its last list or answer of a watcher.
	stepUntil time.Time
}

// stepTime is how long a host waits for a watcher that reads the list of a new era. It covers
// the time over which the watchers spread their lists.
const stepTime = 2 * time.Second

// Source returns the source of a list, for one follower.
func (rl *Relay) Source(name string, store StoreList) *Source {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	s := &Source{relay: rl, name: name, store: store, list: newList(rl.cfg.HistoryBytes)}
	rl.lists[name] = s.list
	return s
}

// List implements follow.Source. It always calls the store. The first list may be
// stale, because the changes since then follow at once; a later one must not be, because
// the store no longer has the changes in between.
func (s *Source) List(ctx context.Context) (follow.Response[json.RawMessage], error) {
	if _, target := s.relay.next(); target == TargetNone {
		return follow.Response[json.RawMessage]{}, s.noTarget()
	}
	stale := !s.listed
	answer, err := s.store.List(ctx, stale)
	if err := s.recordCall(ctx, err); err != nil {
		return answer, err
	}
	if era := s.list.era(); answer.Era < era {
		return answer, errors.Wrapf(follow.ErrOldEra, "list %s: era %d, known is %d", s.name, answer.Era, era)
	}
	s.stepUntil = time.Time{}
	s.listed = true
	if !stale { // the changes that a stale list lacks are asked for at once
		_, answer.Pause = s.relay.pollTimes()
	}
	s.list.replace(answer)
	return answer, nil
}

// Watch implements follow.Source.
func (s *Source) Watch(ctx context.Context, from follow.Position) (follow.Response[json.RawMessage], error) {
	watcher, target := s.relay.next()
	canStep := true // whether a watcher's step to a new era may still come
	if target == TargetWatcher {
		answer, collapsed, err := s.askWatcher(ctx, watcher, from)
		if err == nil {
			s.stepUntil = time.Time{}
			s.list.apply(answer, from, collapsed)
			return answer, nil
		}
		if errors.Is(err, errStoreUnavailable) || ctx.Err() != nil {
			return answer, err
		}
		canStep = !isTooOld(err)
		// Call the store before another watcher: the store has all changes.
		if _, target = s.relay.next(); target == TargetWatcher {
			target = TargetStore
		}
	}
	if canStep && time.Now().Before(s.stepUntil) {
		return follow.Response[json.RawMessage]{}, s.awaitStep()
	}
	if target == TargetNone {
		return follow.Response[json.RawMessage]{}, s.noTarget()
	}
	pollTimeout, batchDelay := s.relay.pollTimes()
	answer, err := s.store.Watch(ctx, from, pollTimeout)
	if err := s.recordCall(ctx, err); err != nil {
		if errors.Is(err, follow.ErrNewEra) && canStep && s.stepUntil.IsZero() && s.relay.hasWatcher() {
			s.stepUntil = time.Now().Add(stepTime)
			return answer, s.awaitStep()
		}
		return answer, err
	}
	answer.Pause = batchDelay
	s.list.apply(answer, from, false)
	return answer, nil
}

// awaitStep returns the error of a watch that has to wait for a watcher's step. The follower
// repeats the watch after a backoff, without reporting an outage.
func (s *Source) awaitStep() error {
	return errors.Wrapf(follow.ErrOldEra, "list %s: no watcher has read it in the new era yet", s.name)
}

// isTooOld reports whether a watcher does not have the changes that were asked for.
func isTooOld(err error) bool {
	var remote *peer.RemoteError
	return errors.As(err, &remote) && remote.Code == codeRevisionTooOld
}

// hasWatcher reports whether another host reads the lists for this one.
func (rl *Relay) hasWatcher() bool {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	return rl.chooser.hasWatcher(time.Now())
}

func (s *Source) noTarget() error {
	return errors.Wrapf(errStale, "list %s: no watcher is up to date, and the last call to the store failed", s.name)
}

// recordCall records the result of a call to the store and returns its error. Compacted
// history, a new era and changes that are too large count as answers. An answer of an earlier
// era says nothing about the store of now.
func (s *Source) recordCall(ctx context.Context, err error) error {
	if err != nil && (ctx.Err() != nil || errors.Is(err, follow.ErrOldEra)) {
		return err
	}
	now := time.Now()
	answered := err == nil || errors.IsAny(err, follow.ErrCompacted, follow.ErrNewEra, follow.ErrTooLarge)
	s.list.recordCall(now, answered)
	s.relay.mu.Lock()
	s.relay.chooser.RecordStoreCall(now, answered)
	s.relay.mu.Unlock()
	if err == nil {
		s.answered = now
	}
	return err
}

// pollTimes returns the poll timeout and the batch delay of this host's calls to the
// store. A host that serves others polls with a shorter timeout, so that its last
// answer stays recent.
func (rl *Relay) pollTimes() (pollTimeout, batchDelay time.Duration) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	if rl.chooser.relays() {
		return rl.cfg.PollTimeout, rl.cfg.BatchDelay
	}
	return rl.cfg.DirectPollTimeout, rl.cfg.DirectBatchDelay
}

// askWatcher calls a watcher for changes, and reports whether they are collapsed.
func (s *Source) askWatcher(ctx context.Context, watcher Host, from follow.Position) (_ follow.Response[json.RawMessage], collapsed bool, _ error) {
	rl := s.relay
	ctx, cancel := context.WithTimeout(ctx, rl.cfg.PollTimeout+rl.cfg.ReplyGrace)
	defer cancel()
	var r changesReply
	err := rl.node.Call(ctx, watcher.Address, methodChanges, changesRequest{List: s.name, From: from.Revision, Era: from.Era}, &r)
	now := time.Now()
	var remote *peer.RemoteError
	if err == nil && r.UnavailableMS == 0 && r.Era != from.Era {
		if r.Era < from.Era { // a watcher that does not know of eras
			err = &peer.RemoteError{Code: codeStale, Message: fmt.Sprintf("era %d, asked for %d", r.Era, from.Era)}
		} else {
			rl.onEra(r.Era)
		}
	}
	rl.mu.Lock()
	defer rl.mu.Unlock()
	switch {
	case err == nil && r.UnavailableMS > 0:
		if rl.chooser.MarkStale(now, watcher.ID) {
			klog.InfoS("Watcher has lost the store", "list", s.name, "watcher", watcher.ID, "from", from.Revision, "awayMS", r.UnavailableMS)
		}
	case err == nil, errors.As(err, &remote) && remote.Code == codeRevisionTooOld:
		if rl.chooser.MarkCurrent(watcher.ID) {
			klog.InfoS("Watcher answers again", "list", s.name, "watcher", watcher.ID)
		}
	case errors.As(err, &remote) && remote.Code == codeStale:
		if rl.chooser.MarkStale(now, watcher.ID) {
			klog.InfoS("Watcher is behind", "list", s.name, "watcher", watcher.ID, "from", from.Revision, "err", err)
		}
	case rl.chooser.MarkUnreachable(now, watcher.ID):
		klog.InfoS("Watcher does not answer", "list", s.name, "watcher", watcher.ID, "from", from.Revision, "err", err)
	}
	if err != nil {
		return follow.Response[json.RawMessage]{}, false, err
	}
	if r.UnavailableMS > 0 {
		return follow.Response[json.RawMessage]{}, false, s.storeUnavailable(now, watcher, time.Duration(r.UnavailableMS)*time.Millisecond)
	}
	before := s.answered
	s.answered = now
	if recovered := now.Add(-time.Duration(r.RecoveredMS) * time.Millisecond); r.RecoveredMS >= 0 && !before.IsZero() && recovered.After(before) {
		s.list.setRecovered(recovered)
		return follow.Response[json.RawMessage]{}, false, errors.Wrapf(errStoreUnavailable, "watcher %s reached the store again %d ms ago", watcher.ID, r.RecoveredMS)
	}
	return follow.Response[json.RawMessage]{Items: r.Objects, Revision: r.Revision, Era: r.Era}, r.Collapsed, nil
}

// storeUnavailable handles a watcher's report that the store does not answer it, which
// may be a problem of that watcher alone. The follower is told of the outage once;
// after that, this host calls the store itself.
func (s *Source) storeUnavailable(now time.Time, watcher Host, outage time.Duration) error {
	if !now.Add(-outage).After(s.outageReported) {
		return errors.Wrapf(errStale, "watcher %s gets no answer from the store", watcher.ID)
	}
	s.outageReported = now
	s.list.recordCall(now, false)
	return errors.Wrapf(errStoreUnavailable, "watcher %s has had no answer from the store for %v", watcher.ID, outage)
}
