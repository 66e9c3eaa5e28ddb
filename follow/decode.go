package follow

import (
	"context"
	"encoding/json"
)

// Decoded is a source of values that are decoded from those of another source.
type Decoded[T any] struct {
	Source Source[json.RawMessage]
	Decode func(Item[json.RawMessage]) (T, error)
	// Skipped is called for each object that can't be used. It counts as removed:
	// it names nothing to use.
	Skipped func(name string, err error)
}

// List implements Source.
func (d Decoded[T]) List(ctx context.Context) (Response[T], error) {
	answer, err := d.Source.List(ctx)
	return d.answer(answer), err
}

// Watch implements Source.
func (d Decoded[T]) Watch(ctx context.Context, from uint64) (Response[T], error) {
	answer, err := d.Source.Watch(ctx, from)
	return d.answer(answer), err
}

func (d Decoded[T]) answer(a Response[json.RawMessage]) Response[T] {
	out := Response[T]{Revision: a.Revision, Pause: a.Pause}
	for _, raw := range a.Items {
		item := Item[T]{Name: raw.Name, Revision: raw.Revision, Removed: raw.Removed}
		if !raw.Removed {
			value, err := d.Decode(raw)
			if err != nil {
				d.Skipped(raw.Name, err)
				item.Removed = true
			} else {
				item.Value = value
			}
		}
		out.Items = append(out.Items, item)
	}
	return out
}
