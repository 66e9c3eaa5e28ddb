package daemon

import (
	"context"
	"sync"
	"testing"

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
