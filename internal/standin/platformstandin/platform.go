// Package platformstandin is an in-memory stand-in for the platform: the object
// API and the host list, with faults that can be switched while it runs.
//
// It serves the platform's protocol as an http.Handler, and gives tests the
// same behaviour in process through Direct. It keeps the history of the writes
// that it accepted, against which checkers compare what the system claims.
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

// Ways in which a call ends other than those of package objectstore. The handler
// and Direct convert them.
var (
	errOutage   = errors.New("outage")
	errOverRate = errors.New("over the call rate")
	errCut      = errors.New("connection cut")
)

// Platform is the stand-in. Its clock is time.Now, so it also runs in a
// testing/synctest bubble.
type Platform struct {
	mu      sync.Mutex
	objects map[string]objectstore.Object
	hosts   hostLog
	faults  Faults
	rng     *rand.Rand
	reads   window
	writes  window
	history history
	changed chan struct{} // closed and replaced at each change of objects or faults
}

// New returns an empty platform with the given faults. The seed decides which
// answers are lost.
func New(seed uint64, f Faults) *Platform {
	return &Platform{
		objects: make(map[string]objectstore.Object),
		faults:  f.clone(),
		rng:     rand.New(rand.NewPCG(seed, seed)),
		changed: make(chan struct{}),
	}
}

// notify wakes all that wait for a change. The caller holds the lock.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// origin says where a call comes from and what it is charged as.
type origin struct {
	dataCentre string
	write      bool
}

// enter charges a call and passes it through the faults that act before it
// takes effect.
func (p *Platform) enter(ctx context.Context, o origin) error {
	if err := p.charge(o); err != nil {
		return err
	}
	if err := p.pass(ctx, o); err != nil {
		return err
	}
	if err := sleep(ctx, p.Faults().delayBefore()); err != nil {
		return err
	}
	return p.pass(ctx, o)
}

// leave passes the answer through the faults that act after the call took
// effect.
func (p *Platform) leave(ctx context.Context, o origin) error {
	if err := sleep(ctx, p.Faults().delayAfter()); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.cuts(o.dataCentre) {
		return errCut
	}
	return nil
}

func (p *Platform) charge(o origin) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	w, limit := &p.reads, p.faults.ReadsPerSecond
	if o.write {
		w, limit = &p.writes, p.faults.WritesPerSecond
	}
	if w.take(time.Now(), limit) {
		return nil
	}
	return errOverRate
}

// pass returns once no fault holds the call back, or with the fault that ends
// it.
func (p *Platform) pass(ctx context.Context, o origin) error {
	for {
		p.mu.Lock()
		hold, err := p.faults.verdict(o.dataCentre)
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
	from := origin{dataCentre: dataCentre}
	if err := p.enter(ctx, from); err != nil {
		return objectstore.Object{}, err
	}
	o, _ := p.load(name)
	if err := p.leave(ctx, from); err != nil {
		return objectstore.Object{}, err
	}
	if o.Version == 0 {
		return o, objectstore.ErrNotFound
	}
	return o, nil
}

// load returns the object and the channel that is closed at the next change.
func (p *Platform) load(name string) (objectstore.Object, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[name]
	o.Name = name
	o.Value = slices.Clone(o.Value)
	return o, p.changed
}

// watch waits until the version is above after, the poll ends, or a fault ends
// it. A watch on an absent object waits for its creation.
func (p *Platform) watch(ctx context.Context, dataCentre, name string, after uint64, wait time.Duration) (objectstore.Object, error) {
	from := origin{dataCentre: dataCentre}
	if err := p.enter(ctx, from); err != nil {
		return objectstore.Object{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		if err := p.pass(ctx, from); err != nil {
			return objectstore.Object{}, err
		}
		o, changed := p.load(name)
		if o.Version > after {
			return o, p.leave(ctx, from)
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

// put makes a conditional update. With Faults.LateWrites it goes on when the
// caller gives up, so that the change may take effect after the call returned.
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
	from := origin{dataCentre: dataCentre, write: true}
	if err := p.enter(ctx, from); err != nil {
		return objectstore.Object{}, err
	}
	o, lost, err := p.apply(dataCentre, name, base, value)
	if err != nil {
		return o, err
	}
	if lost {
		return objectstore.Object{}, errCut
	}
	return o, p.leave(ctx, from)
}

// apply makes the conditional update and decides whether its answer is lost.
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
	return o, p.loses(name), nil
}

// loses decides whether the answer to a write of name is lost.
func (p *Platform) loses(name string) bool {
	if !p.faults.losesFor(name) {
		return false
	}
	if p.faults.LoseNextResponses > 0 {
		p.faults.LoseNextResponses--
		return true
	}
	return p.faults.LoseResponseShare > 0 && p.rng.Float64() < p.faults.LoseResponseShare
}

// sleep waits for d. A caller that gives up sees a cut connection.
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
