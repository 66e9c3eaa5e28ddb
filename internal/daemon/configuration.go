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
	// watchRetry is the delay before a failed watch is repeated.
	watchRetry = 200 * time.Millisecond
	// refusedRetry is the delay before a refused configuration object is read again.
	refusedRetry = 5 * time.Second
	// readTimeout limits one read of an object from the platform.
	readTimeout = 2 * time.Second
	// pollInterval is the time between reads of the configuration object while
	// this host has no version and does not watch the object.
	pollInterval = 500 * time.Millisecond
)

// configurationRunner runs the configuration tracker, which follows the newest
// version, and the configuration editor, which applies patches.
type configurationRunner struct {
	store   objectstore.Store
	node    *peer.Node
	tracker *configuration.Tracker
	editor  *configuration.Editor
	// onInForce is called with each version that comes into force, in ascending
	// order of version numbers.
	onInForce func(*configuration.Active)

	trackerStep    stepper.Stepper[configuration.TrackerAction]
	editorStep     stepper.Stepper[configuration.EditorAction]
	answerChannels sync.Map // token to chan configuration.Answer
	applyMu        sync.Mutex
	appliedNumber  uint64

	refusedRetry time.Duration

	ctx  context.Context
	wait *sync.WaitGroup // counts the running watches

	watchMu   sync.Mutex
	stopWatch context.CancelFunc // guarded by watchMu
	stopped   bool               // guarded by watchMu
}

func newConfigurationRunner(ctx context.Context, wait *sync.WaitGroup, host string, store objectstore.Store, node *peer.Node) *configurationRunner {
	r := &configurationRunner{
		store: store, node: node, ctx: ctx, wait: wait, refusedRetry: refusedRetry,
		tracker:   configuration.NewTracker(configuration.TrackerConfig{Host: host}),
		editor:    configuration.NewEditor(configuration.EditorConfig{}),
		onInForce: func(*configuration.Active) {},
	}
	r.trackerStep.Tick, r.trackerStep.Next, r.trackerStep.Perform = r.tracker.Tick, r.tracker.Next, r.performTracker
	r.editorStep.Tick, r.editorStep.Next, r.editorStep.Perform = r.editor.Tick, r.editor.Next, r.performEditor
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
			r.activateNewest()
		}
	}
}

// activateNewest puts the newest version in force. Actions of concurrent steps may
// run in any order, so the version is read from the tracker and not from the action.
func (r *configurationRunner) activateNewest() {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	var active *configuration.Active
	r.trackerStep.View(func(time.Time) { active = r.tracker.Active() })
	if active == nil || active.Number <= r.appliedNumber {
		return
	}
	r.appliedNumber = active.Number
	klog.InfoS("Configuration in force", "number", active.Number, "digest", active.Digest)
	r.onInForce(active)
}

// active returns the version in force, or nil.
func (r *configurationRunner) active() *configuration.Active {
	var active *configuration.Active
	r.trackerStep.View(func(time.Time) { active = r.tracker.Active() })
	return active
}

// number returns the number of the version in force, or 0 if there is none.
func (r *configurationRunner) number() uint64 {
	if a := r.active(); a != nil {
		return a.Number
	}
	return 0
}

// setPeer records the version number that the peer at address holds, as
// received by gossip.
func (r *configurationRunner) setPeer(address string, number uint64) {
	r.trackerStep.Step(func(now time.Time) []configuration.TrackerAction { return r.tracker.SetPeer(now, address, number) })
}

func (r *configurationRunner) removePeer(address string) {
	r.trackerStep.Step(func(now time.Time) []configuration.TrackerAction { return r.tracker.RemovePeer(now, address) })
}

func (r *configurationRunner) setMembers(live []string) {
	r.trackerStep.Step(func(time.Time) []configuration.TrackerAction { return r.tracker.SetMembers(live) })
}

// fetch requests a newer version from a peer.
func (r *configurationRunner) fetch(f configuration.Fetch) {
	ctx, cancel := context.WithTimeout(r.ctx, 2*configuration.DefaultFetchTimeout)
	defer cancel()
	var delta configuration.Delta
	err := r.node.Call(ctx, f.Peer, methodConfigFetch, fetchConfigRequest{Have: f.Have, Whole: f.Whole}, &delta)
	var refused error
	r.trackerStep.Step(func(now time.Time) []configuration.TrackerAction {
		var actions []configuration.TrackerAction
		actions, refused = r.tracker.FetchDone(now, f.Call, delta, err)
		return actions
	})
	if refused != nil {
		klog.ErrorS(refused, "Configuration from peer rejected", "peer", f.Peer, "have", f.Have)
	}
}

// handleFetch is the other side of fetch.
func (r *configurationRunner) handleFetch(_ context.Context, request peer.Request) (any, error) {
	var f fetchConfigRequest
	if err := request.Decode(&f); err != nil {
		return nil, err
	}
	var delta configuration.Delta
	var err error
	r.trackerStep.View(func(time.Time) { delta, err = r.tracker.Delta(f.Have, f.Whole) })
	return delta, err
}

// setWatch starts or stops the watch of the configuration object on the platform.
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

// stop makes the runner ignore all later events. No watch starts after stop has
// returned, even for an event that is still being handled: Add must not be called on
// the wait group during its Wait.
func (r *configurationRunner) stop() {
	r.trackerStep.Stop()
	r.editorStep.Stop()
	r.watchMu.Lock()
	defer r.watchMu.Unlock()
	r.stopped = true
}

// watch passes each newer version of the configuration object to the tracker until
// ctx ends. It continues after the last version that the tracker accepted, so that a
// refused one is looked at again.
func (r *configurationRunner) watch(ctx context.Context, after uint64) {
	klog.V(1).InfoS("Watching the configuration on the platform", "after", after)
	for ctx.Err() == nil {
		object, err := r.store.Watch(ctx, configuration.ObjectName, after)
		switch {
		case err == nil && r.passToTracker(object):
			after = object.Version
		case err == nil:
			sleep(ctx, r.refusedRetry)
		case errors.Is(err, objectstore.ErrTimeout):
		default:
			sleep(ctx, watchRetry)
		}
	}
}

// passToTracker passes the configuration object to the tracker after a read, a watch
// or a write. It reports whether the tracker accepted it.
func (r *configurationRunner) passToTracker(object objectstore.Object) bool {
	var refused error
	r.trackerStep.Step(func(now time.Time) []configuration.TrackerAction {
		var actions []configuration.TrackerAction
		actions, refused = r.tracker.HeadReceived(now, object)
		return actions
	})
	if refused != nil {
		klog.ErrorS(refused, "Configuration from platform rejected", "version", object.Version)
	}
	return refused == nil
}

// get reads an object from the platform within readTimeout.
func (r *configurationRunner) get(name string) (objectstore.Object, error) {
	ctx, cancel := context.WithTimeout(r.ctx, readTimeout)
	defer cancel()
	return r.store.Get(ctx, name)
}

// readCheckpoint reads a checkpoint object and passes it to the tracker.
func (r *configurationRunner) readCheckpoint(a configuration.ReadCheckpoint) {
	object, err := r.get(a.Name)
	var refused error
	r.trackerStep.Step(func(now time.Time) []configuration.TrackerAction {
		var actions []configuration.TrackerAction
		actions, refused = r.tracker.ReadCheckpointDone(now, a.Call, object, err)
		return actions
	})
	if refused != nil {
		klog.ErrorS(refused, "Configuration checkpoint rejected", "name", a.Name, "version", object.Version)
	}
}

// pollUntilReady reads the configuration object repeatedly until this host has a
// version. A new host needs this, as it is not yet among the members that watch.
func (r *configurationRunner) pollUntilReady() {
	for r.ctx.Err() == nil && r.number() == 0 {
		if object, err := r.get(configuration.ObjectName); err == nil {
			r.passToTracker(object) // the tracker may have to read a checkpoint as well
		}
		if r.number() == 0 {
			sleep(r.ctx, pollInterval)
		}
	}
}

// patch applies one patch and returns its result or an error of package
// configuration.
func (r *configurationRunner) patch(ctx context.Context, p configuration.Patch, deadline time.Time) (configuration.Result, error) {
	token := uuid.NewString()
	answer := make(chan configuration.Answer, 1)
	r.answerChannels.Store(token, answer)
	defer r.answerChannels.Delete(token)
	r.editorStep.Step(func(now time.Time) []configuration.EditorAction {
		return r.editor.Submit(now, configuration.Submission{Token: token, Patch: p, Deadline: deadline})
	})
	select {
	case a := <-answer:
		if a.Err != nil {
			return configuration.Result{}, a.Err
		}
		r.passToTracker(a.Result.Object)
		return a.Result, nil
	case <-ctx.Done():
		return configuration.Result{}, errors.Mark(ctx.Err(), configuration.ErrUnknownOutcome)
	}
}

func (r *configurationRunner) performEditor(_ time.Time, actions []configuration.EditorAction) {
	for _, a := range actions {
		switch a := a.(type) {
		case configuration.Read:
			go r.readForEditor(a)
		case configuration.Write:
			go r.writeForEditor(a)
		case configuration.Answer:
			if waiting, ok := r.answerChannels.LoadAndDelete(a.Token); ok {
				waiting.(chan configuration.Answer) <- a
			}
		}
	}
}

func (r *configurationRunner) readForEditor(a configuration.Read) {
	object, err := r.store.Get(r.ctx, a.Name)
	r.editorStep.Step(func(now time.Time) []configuration.EditorAction { return r.editor.ReadDone(now, a.Call, object, err) })
}

func (r *configurationRunner) writeForEditor(a configuration.Write) {
	object, err := r.store.Put(r.ctx, a.Name, a.Base, a.Value)
	r.editorStep.Step(func(now time.Time) []configuration.EditorAction { return r.editor.WriteDone(now, a.Call, object, err) })
}

// history returns the recent accepted patches.
func (r *configurationRunner) history() []configuration.PatchRecord {
	var records []configuration.PatchRecord
	r.trackerStep.View(func(time.Time) { records = r.tracker.History() })
	return records
}

// sleep returns after d or when ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
