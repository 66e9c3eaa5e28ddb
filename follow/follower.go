package follow

import (
	"context"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/wait"
)

// Source reads one list of the store.
type Source[T any] interface {
	List(ctx context.Context) (Response[T], error)
	// Watch waits for changes after a revision until the store ends the wait.
	Watch(ctx context.Context, from uint64) (Response[T], error)
}

// Sink takes what a Follower learns. Its methods are called one at a time.
type Sink[T any] interface {
	// Replace takes the whole list.
	Replace(now time.Time, items []Item[T], revision uint64)
	// Apply takes changes in their order.
	Apply(now time.Time, items []Item[T], revision uint64)
	// Available and Unavailable tell that the store came into reach or went out of it.
	Available(now time.Time)
	Unavailable(now time.Time, err error)
	// CallFailed tells of each call that failed.
	CallFailed(err error)
}

// Run follows the list until ctx ends.
func Run[T any](ctx context.Context, cfg Config, source Source[T], sink Sink[T]) {
	machine := NewMachine(cfg)
	for ctx.Err() == nil {
		step := machine.Next()
		if !wait.For(ctx, step.Delay) {
			return
		}
		answer, err := call(ctx, source, step)
		now := time.Now()
		if err != nil {
			if ctx.Err() != nil {
				return
			}
			sink.CallFailed(err)
			if machine.CallFailed(err) {
				sink.Unavailable(now, err)
			}
			continue
		}
		pause := time.Duration(0)
		if len(answer.Items) > 0 {
			pause = answer.Pause
		}
		if machine.CallSucceeded(step, answer.Revision, pause) {
			sink.Available(now)
		}
		if step.List {
			sink.Replace(now, answer.Items, answer.Revision)
		} else {
			sink.Apply(now, answer.Items, answer.Revision)
		}
	}
}

func call[T any](ctx context.Context, source Source[T], s Step) (Response[T], error) {
	if s.List {
		return source.List(ctx)
	}
	return source.Watch(ctx, s.From)
}
