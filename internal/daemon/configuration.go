package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/configuration"
	"github.com/marigoldlever/marigoldlever/internal/stepper"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/peer"
)

const (
	// watchRetry is the pause after a failed watch.
	watchRetry = 200 * time.Millisecond
	// readTimeout bounds a read of the platform.
	readTimeout = 2 * time.Second
	// pollInterval is the time between reads of the object while this host does
	// not watch and has no version yet.
	pollInterval = 500 * time.Millisecond
)

// configurationRunner keeps the newest configuration on this host and carries
// out patches.
type configurationRunner struct {
	store   objectstore.Store
	node    *peer.Node
	tracker *configuration.Tracker
	editor  *configuration.Editor
	// inForce is called for each version that is put in force, in order.
	inForce func(*configuration.Active)

	follow  stepper.Stepper[configuration.TrackerAction]
	edit    stepper.Stepper[configuration.EditorAction]
	answers sync.Map // token to chan configuration.Answer
	apply   sync.Mutex
	applied uint64

	ctx  context.Context
	wait *sync.WaitGroup

	watchMu   sync.Mutex
	stopWatch context.CancelFunc // guarded by watchMu
	stopped   bool               // guarded by watchMu
}

func newConfigurationRunner(ctx context.Context, wait *sync.WaitGroup, host string, store objectstore.Store, node *peer.Node) *configurationRunner {
	r := &configurationRunner{
		store: store, node: node, ctx: ctx, wait: wait,
		tracker: configuration.NewTracker(configuration.TrackerConfig{Host: host}),
		editor:  configuration.NewEditor(configuration.EditorConfig{}),
		inForce: func(*configuration.Active) {},
	}
	r.follow.Tick, r.follow.Next, r.follow.Perform = r.tracker.Tick, r.tracker.Next, r.performTracker
	r.edit.Tick, r.edit.Next, r.edit.Perform = r.editor.Tick, r.editor.Next, r.performEditor
	node.Handle(methodConfigFetch, r.handleFetch)
	return r
}

func (r *configurationRunner) performTracker(_ time.Time, actions []configuration.TrackerAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case configuration.Fetch:
			go r.fetch(a)
		case configuration.ReadCheckpoint:
			go r.readCheckpoint(a)
		case configuration.Watch:
			r.setWatch(a)
		case configuration.InForce:
			r.announce()
		}
	}
}

// announce puts the newest version in force. Actions of concurrent steps may run
// in any order, so the version is taken from the tracker and not from the action.
func (r *configurationRunner) announce() {
	r.apply.Lock()
	defer r.apply.Unlock()
	var active *configuration.Active
	r.follow.View(func(time.Time) { active = r.tracker.Active() })
	if active == nil || active.Number <= r.applied {
		return
	}
	r.applied = active.Number
	klog.InfoS("Configuration in force", "number", active.Number, "digest", active.Digest)
	r.inForce(active)
}

// active returns the version in force, or nil.
func (r *configurationRunner) active() *configuration.Active {
	var active *configuration.Active
	r.follow.View(func(time.Time) { active = r.tracker.Active() })
	return active
}

func (r *configurationRunner) number() uint64 {
	if a := r.active(); a != nil {
		return a.Number
	}
	return 0
}

// peerAt takes the number that a peer holds, as heard by gossip. peer is its peer
// address.
func (r *configurationRunner) peerAt(address string, number uint64) {
	r.follow.Step(func(now time.Time) []configuration.TrackerAction { return r.tracker.SetPeer(now, address, number) })
}

func (r *configurationRunner) peerGone(address string) {
	r.follow.Step(func(now time.Time) []configuration.TrackerAction { return r.tracker.RemovePeer(now, address) })
}

func (r *configurationRunner) setMembers(live []string) {
	r.follow.Step(func(time.Time) []configuration.TrackerAction { return r.tracker.SetMembers(live) })
}

func (r *configurationRunner) fetch(f configuration.Fetch) {
	ctx, cancel := context.WithTimeout(r.ctx, 2*configuration.DefaultFetchTimeout)
	defer cancel()
	var delta configuration.Delta
	err := r.node.Call(ctx, f.Peer, methodConfigFetch, fetchConfigRequest{Have: f.Have, Whole: f.Whole}, &delta)
	var refused error
	r.follow.Step(func(now time.Time) []configuration.TrackerAction {
		var actions []configuration.TrackerAction
		actions, refused = r.tracker.FetchDone(now, f.Call, delta, err)
		return actions
	})
	if refused != nil {
		klog.ErrorS(refused, "Configuration from peer not taken", "peer", f.Peer, "have", f.Have)
	}
}

func (r *configurationRunner) handleFetch(_ context.Context, request peer.Request) (any, error) {
	var f fetchConfigRequest
	if err := request.Decode(&f); err != nil {
		return nil, err
	}
	var delta configuration.Delta
	var err error
	r.follow.View(func(time.Time) { delta, err = r.tracker.Delta(f.Have, f.Whole) })
	return delta, err
}

// setWatch starts or stops this host's watch of the platform.
func (r *configurationRunner) setWatch(w configuration.Watch) {
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	if r.stopWatch != nil {
		r.stopWatch()
		r.stopWatch = nil
	}
	if !w.On || r.stopped {
		return
	}
	ctx, stop := context.WithCancel(r.ctx)
	r.stopWatch = stop
	r.wait.Add(1)
	go func() {
		defer r.wait.Done()
		r.watch(ctx, w.After)
	}()
}

// stop ignores later events. An event that is being handled starts no watch after
// stop has returned, so that nothing is added to the wait group while it is waited
// for.
func (r *configurationRunner) stop() {
	r.follow.Stop()
	r.edit.Stop()
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	r.stopped = true
}

func (r *configurationRunner) watch(ctx context.Context, after uint64) {
	klog.V(1).InfoS("Watching the configuration on the platform", "after", after)
	for ctx.Err() == nil {
		object, err := r.store.Watch(ctx, configuration.ObjectName, after)
		switch {
		case err == nil:
			after = object.Version
			r.take(object)
		case errors.Is(err, objectstore.ErrTimeout):
		default:
			sleep(ctx, watchRetry)
		}
	}
}

// take passes an object that was read, watched or written to the tracker.
func (r *configurationRunner) take(object objectstore.Object) {
	var refused error
	r.follow.Step(func(now time.Time) []configuration.TrackerAction {
		var actions []configuration.TrackerAction
		actions, refused = r.tracker.HeadReceived(now, object)
		return actions
	})
	if refused != nil {
		klog.ErrorS(refused, "Configuration from platform not taken", "version", object.Version)
	}
}

// get reads an object within readTimeout.
func (r *configurationRunner) get(name string) (objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
	defer cancel()
	return r.store.Get(ctx, name)
}

// readCheckpoint reads a checkpoint for the tracker.
func (r *configurationRunner) readCheckpoint(a configuration.ReadCheckpoint) {
	object, err := r.get(a.Name)
	var refused error
	r.follow.Step(func(now time.Time) []configuration.TrackerAction {
		var actions []configuration.TrackerAction
		actions, refused = r.tracker.ReadCheckpointDone(now, a.Call, object, err)
		return actions
	})
	if refused != nil {
		klog.ErrorS(refused, "Configuration checkpoint not taken", "name", a.Name, "version", object.Version)
	}
}

// pollUntilReady reads the object until this host has a version. A new host is
// not among the members that watch yet.
func (r *configurationRunner) pollUntilReady() {
	for r.ctx.Err() == nil && r.number() == 0 {
		if object, err := r.get(configuration.ObjectName); err == nil {
			r.take(object) // may have to read a checkpoint as well
		}
		if r.number() == 0 {
			sleep(r.ctx, pollInterval)
		}
	}
}

// patch carries out one patch and returns its result or an error of package
// configuration.
func (r *configurationRunner) patch(ctx context.Context, p configuration.Patch, deadline time.Time) (configuration.Result, error) {
	token := uuid.NewString()
	answer := make(chan configuration.Answer, 1)
	r.answers.Store(token, answer)
	defer r.answers.Delete(token)
	r.edit.Step(func(now time.Time) []configuration.EditorAction {
		return r.editor.Submit(now, configuration.Submission{Token: token, Patch: p, Deadline: deadline})
	})
	select {
	case a := <-answer:
		if a.Err != nil {
			return configuration.Result{}, a.Err
		}
		r.take(a.Result.Object)
		return a.Result, nil
	case <-ctx.Done():
		return configuration.Result{}, errors.Mark(ctx.Err(), configuration.ErrUnknownOutcome)
	}
}

func (r *configurationRunner) performEditor(_ time.Time, actions []configuration.EditorAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case configuration.Read:
			go r.readForEdit(a)
		case configuration.Write:
			go r.writeForEdit(a)
		case configuration.Answer:
			if waiting, ok := r.answers.LoadAndDelete(a.Token); ok {
				waiting.(chan configuration.Answer) <- a
			}
		}
	}
}

func (r *configurationRunner) readForEdit(a configuration.Read) {
	object, err := r.store.Get(r.ctx, a.Name)
	r.edit.Step(func(now time.Time) []configuration.EditorAction { return r.editor.ReadDone(now, a.Call, object, err) })
}

func (r *configurationRunner) writeForEdit(a configuration.Write) {
	object, err := r.store.Put(r.ctx, a.Name, a.Base, a.Value)
	r.edit.Step(func(now time.Time) []configuration.EditorAction { return r.editor.WriteDone(now, a.Call, object, err) })
}

// history returns the recent accepted patches.
func (r *configurationRunner) history() []configuration.PatchRecord {
	var records []configuration.PatchRecord
	r.follow.View(func(time.Time) { records = r.tracker.History() })
	return records
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
