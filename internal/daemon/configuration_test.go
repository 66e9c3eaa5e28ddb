package daemon

import (
	"context"
	"sync"
	"testing"

	"github.com/marigoldlever/marigoldlever/configuration"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/peer"
)

// watchedStore tells when a watch begins; the watch waits until its context ends.
type watchedStore struct {
	objectstore.Store
	began chan struct{}
}

func (s watchedStore) Watch(ctx context.Context, _ string, _ uint64) (objectstore.Object, error) {
	s.began <- struct{}{}
	<-ctx.Done()
	return objectstore.Object{}, ctx.Err()
}

// Guards against an event that starts a watch while the daemon waits for the last
// one to end: it would go on in a daemon that counts as stopped.
func TestNoWatchStartsAfterStop(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	node := peer.NewNode(peer.Config{})
	t.Cleanup(func() { _ = node.Close(context.Background()) })
	var running sync.WaitGroup
	store := watchedStore{began: make(chan struct{}, 2)}
	r := newConfigurationRunner(ctx, &running, "host", store, node)
	r.setWatch(configuration.Watch{On: true})
	<-store.began
	r.stop()
	r.setWatch(configuration.Watch{On: true})
	running.Wait() // the first watch was stopped, and no second one runs
	select {
	case <-store.began:
		t.Error("a watch began after the stop")
	default:
	}
}
