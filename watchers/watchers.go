// Package watchers lets a few hosts of each data centre watch the store for the
// others. Calls to the store are dear and each host follows the same lists, so in a
// large data centre the other hosts ask one of the watchers, and the store itself
// only when no watcher is up to date.
//
// A watcher passes on the changes that the store told it, never what it concluded from
// them, and only while the store's last answer to it is recent. A host that has asked a
// watcher is therefore at most that age, and the time until a silent watcher is noticed,
// behind one that asks the store. Whole lists are read from the store.
package watchers

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/peer"
)

// StoreList reads one list of the store.
type StoreList interface {
	// List returns the whole list. One that may be seconds old costs less; its revision is
	// as old as its objects.
	List(ctx context.Context, stale bool) (follow.Response[json.RawMessage], error)
	// Watch waits for changes after a revision, for the given time at most.
	Watch(ctx context.Context, from uint64, longest time.Duration) (follow.Response[json.RawMessage], error)
}

// Config sets the times of a Relay.
type Config struct {
	// DirectPollTimeout and DirectBatchDelay are the wait for changes of a host that asks the store
	// for itself, and its pause after an answer with changes.
	DirectPollTimeout, DirectBatchDelay time.Duration
	// PollTimeout is how long a watcher's call to the store waits for changes, and also how
	// long a call to a watcher does.
	PollTimeout time.Duration
	// BatchDelay is a watcher's pause after an answer with changes.
	BatchDelay time.Duration
	// ReplyGrace is how much later than the end of its wait an answer may come.
	ReplyGrace time.Duration
}

// maxAge is the age of the store's last answer up to which a watcher passes on what
// it knows.
func (c Config) maxAge() time.Duration { return c.BatchDelay + c.PollTimeout + c.ReplyGrace }

const (
	methodChanges = "watchers.changes"
	// The codes that the errors of a call to a watcher have.
	codeBehind = 2
	codeOlder  = 3
)

// question asks for the changes after a revision.
type question struct {
	List string `json:"list"`
	From uint64 `json:"from"`
}

type reply struct {
	// AwayMS is the time since the store no longer answers the watcher, which then
	// tells nothing else.
	AwayMS   int64    `json:"away_ms,omitempty"`
	Objects  []Object `json:"objects,omitempty"`
	Revision uint64   `json:"revision"`
	// RegainedMS is the time since the watcher reached the store again after a
	// failure, negative if it never failed.
	RegainedMS int64 `json:"regained_ms"`
}

// Relay is this host's part in the watchers of its data centre: it asks them, and is
// one of them when its rank says so.
type Relay struct {
	cfg  Config
	node *peer.Node

	mu      sync.Mutex // guards the fields below
	chooser *Chooser
	lists   map[string]*list
	asks    string // whom the last call was for, for the log
}

// New returns a group that takes calls of other hosts once the node listens.
func New(cfg Config, self Host, node *peer.Node) *Relay {
	g := &Relay{cfg: cfg, node: node, chooser: NewChooser(self), lists: map[string]*list{}}
	node.Handle(methodChanges, g.handle)
	return g
}

// SetHosts takes the hosts of the tier.
func (g *Relay) SetHosts(hosts []Host) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.chooser.SetHosts(hosts)
}

// next returns whom to ask now.
func (g *Relay) next() (Host, Target) {
	g.mu.Lock()
	defer g.mu.Unlock()
	watcher, target := g.chooser.Next(time.Now())
	asks := watcher.ID
	switch target {
	case TargetStore:
		asks = "store"
	case TargetNone:
		return watcher, target
	}
	if g.asks != asks {
		klog.InfoS("Lists are read from", "source", asks, "before", g.asks, "hosts", len(g.chooser.ranked))
		g.asks = asks
	}
	return watcher, target
}

func (g *Relay) handle(ctx context.Context, r peer.Request) (any, error) {
	var q question
	if err := r.Decode(&q); err != nil {
		return nil, err
	}
	g.mu.Lock()
	l := g.lists[q.List]
	g.mu.Unlock()
	if l == nil {
		return nil, errors.Newf("no list %q", q.List)
	}
	s, err := l.wait(ctx, q.From, g.cfg.maxAge(), g.cfg.PollTimeout)
	switch {
	case errors.Is(err, errAway):
		return reply{AwayMS: max(s.away.Milliseconds(), 1)}, nil
	case errors.Is(err, errBehind):
		return nil, &peer.RemoteError{Code: codeBehind, Message: err.Error()}
	case errors.Is(err, errOlder):
		return nil, &peer.RemoteError{Code: codeOlder, Message: err.Error()}
	case err != nil:
		return nil, err
	}
	return reply{Objects: s.answer.Items, Revision: s.answer.Revision, RegainedMS: s.regained.Milliseconds()}, nil
}

// Source follows one list of the store, through the watchers if they can be asked.
type Source struct {
	group  *Relay
	name   string
	store  StoreList
	list   *list
	listed bool // the list was read once
	// answered is when a watcher or the store last answered.
	answered time.Time
	// toldAway is when the follower was last told of an outage that a watcher saw.
	toldAway time.Time
}

// Source returns the source of a list. It is for one follower.
func (g *Relay) Source(name string, store StoreList) *Source {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := &Source{group: g, name: name, store: store, list: newList()}
	g.lists[name] = s.list
	return s
}

// List implements follow.Source. It always asks the store. The first list may be old, as
// the changes since then follow at once; a later one is read as these are lost.
func (s *Source) List(ctx context.Context) (follow.Response[json.RawMessage], error) {
	if _, target := s.group.next(); target == TargetNone {
		return follow.Response[json.RawMessage]{}, s.nobody()
	}
	answer, err := s.store.List(ctx, !s.listed)
	if err := s.called(ctx, err); err != nil {
		return answer, err
	}
	s.listed = true
	_, answer.Pause = s.group.times()
	s.list.replace(answer.Revision)
	return answer, nil
}

// Watch implements follow.Source.
func (s *Source) Watch(ctx context.Context, from uint64) (follow.Response[json.RawMessage], error) {
	watcher, target := s.group.next()
	if target == TargetWatcher {
		answer, err := s.ask(ctx, watcher, from)
		if err == nil {
			s.list.apply(answer)
			return answer, nil
		}
		if errors.Is(err, errAway) || ctx.Err() != nil {
			return answer, err
		}
		// The store is asked before another watcher: it surely knows what is new.
		if _, target = s.group.next(); target == TargetWatcher {
			target = TargetStore
		}
	}
	if target == TargetNone {
		return follow.Response[json.RawMessage]{}, s.nobody()
	}
	longest, gather := s.group.times()
	answer, err := s.store.Watch(ctx, from, longest)
	if err := s.called(ctx, err); err != nil {
		return answer, err
	}
	answer.Pause = gather
	s.list.apply(answer)
	return answer, nil
}

func (s *Source) nobody() error {
	return errors.Wrapf(errBehind, "list %s: no watcher is up to date, and the store failed just now", s.name)
}

// called takes the outcome of a call to the store and returns its error. Lost history
// is an answer, too.
func (s *Source) called(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return err
	}
	now := time.Now()
	answered := err == nil || errors.Is(err, follow.ErrCompacted)
	s.list.called(now, answered)
	s.group.mu.Lock()
	s.group.chooser.RecordStoreCall(now, answered)
	s.group.mu.Unlock()
	if err == nil {
		s.answered = now
	}
	return err
}

// times returns how long a call of this host to the store waits for changes, and the
// pause after changes. A host that others can ask waits for a shorter time, so that
// they know that it is up to date.
func (g *Relay) times() (longest, gather time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.chooser.relays() {
		return g.cfg.PollTimeout, g.cfg.BatchDelay
	}
	return g.cfg.DirectPollTimeout, g.cfg.DirectBatchDelay
}

// ask asks a watcher.
func (s *Source) ask(ctx context.Context, watcher Host, from uint64) (follow.Response[json.RawMessage], error) {
	g := s.group
	ctx, cancel := context.WithTimeout(ctx, g.cfg.PollTimeout+g.cfg.ReplyGrace)
	defer cancel()
	var r reply
	err := g.node.Call(ctx, watcher.Address, methodChanges, question{List: s.name, From: from}, &r)
	now := time.Now()
	var remote *peer.RemoteError
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case err == nil && r.AwayMS > 0:
		if g.chooser.MarkStale(now, watcher.ID) {
			klog.InfoS("Watcher has lost the store", "list", s.name, "watcher", watcher.ID, "from", from, "awayMS", r.AwayMS)
		}
	case err == nil, errors.As(err, &remote) && remote.Code == codeOlder:
		if g.chooser.MarkCurrent(watcher.ID) {
			klog.InfoS("Watcher answers again", "list", s.name, "watcher", watcher.ID)
		}
	case errors.As(err, &remote) && remote.Code == codeBehind:
		if g.chooser.MarkStale(now, watcher.ID) {
			klog.InfoS("Watcher is behind", "list", s.name, "watcher", watcher.ID, "from", from, "err", err)
		}
	case g.chooser.MarkUnreachable(now, watcher.ID):
		klog.InfoS("Watcher does not answer", "list", s.name, "watcher", watcher.ID, "from", from, "err", err)
	}
	if err != nil {
		return follow.Response[json.RawMessage]{}, err
	}
	if r.AwayMS > 0 {
		return follow.Response[json.RawMessage]{}, s.away(now, watcher, time.Duration(r.AwayMS)*time.Millisecond)
	}
	before := s.answered
	s.answered = now
	if regained := now.Add(-time.Duration(r.RegainedMS) * time.Millisecond); r.RegainedMS >= 0 && !before.IsZero() && regained.After(before) {
		s.list.setRegained(regained)
		return follow.Response[json.RawMessage]{}, errors.Wrapf(errAway, "watcher %s reached it again %d ms ago", watcher.ID, r.RegainedMS)
	}
	return follow.Response[json.RawMessage]{Items: r.Objects, Revision: r.Revision}, nil
}

// away takes that the store does not answer a watcher, which may be the watcher's trouble
// alone. The follower is told of it once, and the store is asked after that.
func (s *Source) away(now time.Time, watcher Host, length time.Duration) error {
	if !now.Add(-length).After(s.toldAway) {
		return errors.Wrapf(errBehind, "watcher %s has lost the store", watcher.ID)
	}
	s.toldAway = now
	s.list.called(now, false)
	return errors.Wrapf(errAway, "it does not answer watcher %s since %v", watcher.ID, length)
}
