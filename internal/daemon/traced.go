package daemon

import (
	"context"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/trace"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// tracedStore adds a span for each call to the platform's object API.
type tracedStore struct {
	store  objectstore.Store
	tracer trace.Tracer
}

func newTracedStore(s objectstore.Store) *tracedStore {
	return &tracedStore{store: s, tracer: otel.Tracer("marigoldlever/objectstore")}
}

func (t *tracedStore) Get(ctx context.Context, name string) (objectstore.Object, error) {
	ctx, span := t.span(ctx, "platform.get", name)
	defer span.End()
	object, err := t.store.Get(ctx, name)
	return object, record(span, err)
}

func (t *tracedStore) Put(ctx context.Context, name string, base uint64, value []byte) (objectstore.Object, error) {
	ctx, span := t.span(ctx, "platform.put", name)
	defer span.End()
	object, err := t.store.Put(ctx, name, base, value)
	return object, record(span, err)
}

func (t *tracedStore) Watch(ctx context.Context, name string, after uint64) (objectstore.Object, error) {
	ctx, span := t.span(ctx, "platform.watch", name)
	defer span.End()
	object, err := t.store.Watch(ctx, name, after)
	return object, record(span, err)
}

func (t *tracedStore) span(ctx context.Context, operation, name string) (context.Context, trace.Span) {
	return t.tracer.Start(ctx, operation, trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("object", name)))
}

// record records a failed call in its span and returns the error. An absent object and a
// watch that ends without a change are not failures.
func record(span trace.Span, err error) error {
	if err != nil && !errors.IsAny(err, objectstore.ErrNotFound, objectstore.ErrTimeout) {
		span.RecordError(err)
	}
	return err
}
