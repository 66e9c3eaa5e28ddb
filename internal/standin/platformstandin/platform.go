// Package platformstandin is an in-memory stand-in for the platform: the object API and
// the host list, with faults that can be changed while it runs.
//
// It serves the platform's protocol as an http.Handler, and offers tests the same
// behaviour in process through Direct. It keeps a history of the accepted writes, which
// tests compare with the results that the system returned.
package platformstandin

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// Errors that end a call, in addition to those of package objectstore. For errOutage and
// errOverRate the HTTP handler responds with a status, and for errCut it closes the
// connection. Direct converts all three to errors of package objectstore.
var (
	errOutage   = errors.New("outage")
	errOverRate = errors.New("call rate limit exceeded")
	errCut      = errors.New("connection cut")
)

// Platform is the stand-in. It uses the clock of package time, so it also runs in a
// testing/synctest bubble.
type Platform struct {
	mu      sync.Mutex
	objects map[string]objectstore.Object
	hosts   hostListHistory
	faults  Faults
	rng     *rand.Rand
	reads   rateWindow
	writes  rateWindow
	history history
	era     uint64
	changed chan struct{} // closed and replaced when objects or faults change
}

// New returns an empty platform with the given faults. The seed determines which
// responses are lost.
func New(seed uint64, f Faults) *Platform {
	return &Platform{
		objects: make(map[string]objectstore.Object),
		faults:  f.clone(),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		era:     1,
		changed: make(chan struct{}),
	}
}

// notify wakes all calls that wait for a change. The caller holds p.mu.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// callOrigin is the data centre of the caller, and whether the call is limited as a write
// or as a read.
type callOrigin struct {
	dataCentre string
	write      bool
}

// beginCall counts a call and applies the faults that act before the call takes effect.
func (p *Platform) beginCall(ctx context.Context, o callOrigin) error {
	if err := p.countCall(o); err != nil {
		return err
	}
	if err := p.awaitFaults(ctx, o); err != nil {
		return err
	}
	if err := sleep(ctx, p.Faults().delayBefore()); err != nil {
		return err
	}
	return p.awaitFaults(ctx, o)
}

// endCall applies the faults that act on the response, after the call took effect.
func (p *Platform) endCall(ctx context.Context, o callOrigin) error {
	if err := sleep(ctx, p.Faults().delayAfter()); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.isCut(o.dataCentre) {
		return errCut
	}
	return nil
}

// countCall counts the call, or returns errOverRate if it exceeds the rate limit.
func (p *Platform) countCall(o callOrigin) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, limit := &p.reads, p.faults.ReadsPerSecond
	if o.write {
		w, limit = &p.writes, p.faults.WritesPerSecond
	}
	if w.allow(time.Now(), limit) {
		return nil
	}
	return errOverRate
}

// awaitFaults waits while a fault holds the call. It returns the error of the fault that
// ends the call, if any.
func (p *Platform) awaitFaults(ctx context.Context, o callOrigin) error {
	for {
		p.mu.Lock()
		hold, err := p.faults.effectOnCall(o.dataCentre)
		changed := p.changed
		p.mu.Unlock()
		if !hold {
			return err
		}
		select {
		case <-ctx.Done():
			return errCut
		case <-changed:
		}
	}
}

func (p *Platform) get(ctx context.Context, dataCentre, name string) (objectstore.Object, error) {
	from := callOrigin{dataCentre: dataCentre}
	if err := p.beginCall(ctx, from); err != nil {
		return objectstore.Object{}, err
	}
	o, _ := p.load(name)
	if err := p.endCall(ctx, from); err != nil {
		return objectstore.Object{}, err
	}
	if o.Version == 0 {
		return o, objectstore.ErrNotFound
	}
	return o, nil
}

// load returns the object and a channel that is closed at the next change.
func (p *Platform) load(name string) (objectstore.Object, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[name]
	o.Name = name
	o.Value = slices.Clone(o.Value)
	return o, p.changed
}

// watch waits until the version is above after, wait has passed, or a fault ends the
// call. A watch on an absent object waits for its creation.
func (p *Platform) watch(ctx context.Context, dataCentre, name string, after uint64, wait time.Duration) (objectstore.Object, error) {
	from := callOrigin{dataCentre: dataCentre}
	if err := p.beginCall(ctx, from); err != nil {
		return objectstore.Object{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := p.awaitFaults(ctx, from); err != nil {
			return objectstore.Object{}, err
		}
		o, changed := p.load(name)
		if o.Version > after {
			return o, p.endCall(ctx, from)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return objectstore.Object{}, errCut
		case <-timer.C:
			return o, objectstore.ErrTimeout
		}
	}
}

// put makes a conditional update. With Faults.LateWrites, the update continues after the
// caller has given up and can take effect after put has returned.
func (p *Platform) put(ctx context.Context, dataCentre, name string, base uint64, value []byte) (objectstore.Object, error) {
	if !p.Faults().LateWrites {
		return p.update(ctx, dataCentre, name, base, value)
	}
	type result struct {
		object objectstore.Object
		err    error
	}
	done := make(chan result, 1)
	go func() {
		o, err := p.update(context.WithoutCancel(ctx), dataCentre, name, base, value)
		done <- result{o, err}
	}()
	select {
	case r := <-done:
		return r.object, r.err
	case <-ctx.Done():
		return objectstore.Object{}, errCut
	}
}

func (p *Platform) update(ctx context.Context, dataCentre, name string, base uint64, value []byte) (objectstore.Object, error) {
	from := callOrigin{dataCentre: dataCentre, write: true}
	if err := p.beginCall(ctx, from); err != nil {
		return objectstore.Object{}, err
	}
	o, lost, err := p.apply(dataCentre, name, base, value)
	if err != nil {
		return o, err
	}
	if lost {
		return objectstore.Object{}, errCut
	}
	return o, p.endCall(ctx, from)
}

// apply makes the conditional update and reports whether its response is to be lost.
func (p *Platform) apply(dataCentre, name string, base uint64, value []byte) (objectstore.Object, bool, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(value) > objectstore.MaxValueBytes {
		return objectstore.Object{}, false, objectstore.ErrTooLarge
	}
	current := p.objects[name]
	if current.Version != base {
		return objectstore.Object{Name: name, Version: current.Version}, false, objectstore.ErrConflict
	}
	o := objectstore.Object{Name: name, Version: base + 1, Value: slices.Clone(value)}
	p.objects[name] = o
	p.history.add(o, dataCentre, time.Now())
	p.notify()
	return o, p.losesResponse(name), nil
}

// losesResponse decides whether the response to a write of name is lost.
func (p *Platform) losesResponse(name string) bool {
	if !p.faults.mayLose(name) {
		return false
	}
	if p.faults.LoseNextResponses > 0 {
		p.faults.LoseNextResponses--
		return true
	}
	return p.faults.LoseResponseShare > 0 && p.rng.Float64() < p.faults.LoseResponseShare
}

// sleep waits for d. It returns errCut if the caller gives up before that.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return errCut
	case <-timer.C:
		return nil
	}
}
