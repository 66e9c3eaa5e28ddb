package daemon

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/configuration"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/peer"
)

// blockingWatchStore signals when a watch begins. A watch blocks until its context
// ends.
type blockingWatchStore struct {
	objectstore.Store
	began chan struct{}
}

func (s blockingWatchStore) Watch(ctx context.Context, _ string, _ uint64) (objectstore.Object, error) {
	s.began <- struct{}{}
	<-ctx.Done()
	return objectstore.Object{}, ctx.Err()
}

// Guards against an event that starts a watch while the daemon waits for the previous
// watch to end: the new watch would keep running after the daemon has stopped.
func TestNoWatchStartsAfterStop(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	node := peer.NewNode(peer.Config{})
	t.Cleanup(func() { _ = node.Close(context.Background()) })
	var running sync.WaitGroup
	store := blockingWatchStore{began: make(chan struct{}, 2)}
	r := newConfigurationRunner(ctx, &running, "host", store, node)
	r.setWatch(configuration.Watch{On: true})
	<-store.began
	r.stop()
	r.setWatch(configuration.Watch{On: true})
	running.Wait() // returns once the first watch has ended, if no second one runs
	select {
	case <-store.began:
		t.Error("a watch started after stop returned")
	default:
	}
}

// refusedHeadStore has one configuration object, which the tracker refuses. It records
// the version after which each watch asks for changes.
type refusedHeadStore struct {
	objectstore.Store
	asked chan uint64
}

func (s refusedHeadStore) Watch(ctx context.Context, name string, after uint64) (objectstore.Object, error) {
	select {
	case s.asked <- after:
	case <-ctx.Done():
		return objectstore.Object{}, ctx.Err()
	}
	if after >= 5 {
		<-ctx.Done()
		return objectstore.Object{}, ctx.Err()
	}
	return objectstore.Object{Name: name, Version: 5, Value: []byte("no configuration")}, nil
}

// Guards against a watch that continues after an object that the tracker refused: the
// object would not be looked at again until it changes.
func TestRefusedConfigurationIsReadAgain(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	node := peer.NewNode(peer.Config{})
	t.Cleanup(func() { _ = node.Close(context.Background()) })
	var running sync.WaitGroup
	store := refusedHeadStore{asked: make(chan uint64)}
	r := newConfigurationRunner(ctx, &running, "host", store, node)
	r.refusedRetry = time.Millisecond
	r.setWatch(configuration.Watch{On: true})
	for call := range 3 {
		if after := <-store.asked; after != 0 {
			t.Errorf("call %d asks for changes after version %d, which was refused", call, after)
		}
	}
	cancel()
	running.Wait()
}
