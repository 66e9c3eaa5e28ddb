package follow

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/wait"
)

// Source reads one list of the store.
type Source[T any] interface {
	List(ctx context.Context) (Response[T], error)
	// Watch waits for changes after a position until there are some or the poll times
	// out. A response of a later era leads to a position in that era; without one, a new era
	// is ErrNewEra.
	Watch(ctx context.Context, from Position) (Response[T], error)
}

// Sink receives the list and its changes. Its methods are not called concurrently.
type Sink[T any] interface {
	// Replace sets the whole list.
	Replace(now time.Time, items []Item[T], revision uint64)
	// Apply applies changes in order.
	Apply(now time.Time, items []Item[T], revision uint64)
	// EraChanged reports that the store was restored from a copy. The next Replace or Apply
	// leads to the first state of the new era, which lacks the last changes of the earlier one
	// until their writers repeat them. Revisions of the two eras can't be compared.
	EraChanged(now time.Time, era uint64)
	// NeedsList reports whether the copy lacks objects that a whole list would bring.
	NeedsList() bool
	// Available and Unavailable report that the store has become available or
	// unavailable.
	Available(now time.Time)
	Unavailable(now time.Time, err error)
	// CallFailed reports each failed call.
	CallFailed(err error)
}

// Run follows the list until ctx ends.
func Run[T any](ctx context.Context, cfg Config, source Source[T], sink Sink[T]) {
	machine := NewMachine(cfg)
	known := false // whether a list was read
	for ctx.Err() == nil {
		step := machine.Next()
		if !wait.For(ctx, step.Delay) {
			return
		}
		response, err := call(ctx, source, step)
		now := time.Now()
		if err == nil && response.Era < step.From.Era {
			err = errors.Wrapf(ErrOldEra, "era %d, known is %d", response.Era, step.From.Era)
		}
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
		if len(response.Items) > 0 {
			pause = response.Pause
		}
		if machine.CallSucceeded(step, response.Position(), pause) {
			sink.Available(now)
		}
		if known && response.Era > step.From.Era {
			sink.EraChanged(now, response.Era)
		}
		known = true
		if step.List {
			sink.Replace(now, response.Items, response.Revision)
			continue
		}
		sink.Apply(now, response.Items, response.Revision)
		if sink.NeedsList() {
			machine.ListAgain()
		}
	}
}

func call[T any](ctx context.Context, source Source[T], s Step) (Response[T], error) {
	if s.List {
		return source.List(ctx)
	}
	return source.Watch(ctx, s.From)
}
