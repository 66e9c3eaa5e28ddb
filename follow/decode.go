package follow

import (
	"context"
	"encoding/json"
)

// Decoded is a source whose values are decoded from the raw values of another source.
type Decoded[T any] struct {
	Source Source[json.RawMessage]
	Decode func(Item[json.RawMessage]) (T, error)
	// Skipped is called for each object that can't be decoded. Such an object counts as
	// removed, because it has no usable value.
	Skipped func(name string, err error)
}

// List implements Source.
func (d Decoded[T]) List(ctx context.Context) (Response[T], error) {
	response, err := d.Source.List(ctx)
	return d.response(response), err
}

// Watch implements Source.
func (d Decoded[T]) Watch(ctx context.Context, from Position) (Response[T], error) {
	response, err := d.Source.Watch(ctx, from)
	return d.response(response), err
}

func (d Decoded[T]) response(a Response[json.RawMessage]) Response[T] {
	decoded := Response[T]{Revision: a.Revision, Era: a.Era, Pause: a.Pause}
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
		decoded.Items = append(decoded.Items, item)
	}
	return decoded
}
