// Package tracing sets up OpenTelemetry and propagates the trace context between
// daemons.
package tracing

import (
	"context"
	"os"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// traceparent is the field name of the W3C trace context.
const traceparent = "traceparent"

// Config sets where spans are written. With neither a file nor an address, spans are not
// recorded, but the trace context of callers is still propagated. With both, spans are
// written only to the file.
type Config struct {
	File        string  // path of a file that receives one JSON span per line
	OTLPAddress string  // IP address and port of an OTLP/HTTP receiver
	Sample      float64 // share of traces recorded if the caller made no sampling decision
	Host        string
	DataCentre  string
}

// Start sets the global tracer provider. The returned function flushes buffered spans
// and closes the exporter.
func Start(ctx context.Context, cfg Config) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	exporter, closeFile, err := newExporter(ctx, cfg)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(cfg.Sample))),
		trace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "marigoldleverd"),
			attribute.String("host.id", cfg.Host),
			attribute.String("data_centre", cfg.DataCentre),
		)),
	)
	otel.SetTracerProvider(provider)
	stop := func(ctx context.Context) error {
		return errors.CombineErrors(provider.Shutdown(ctx), closeFile())
	}
	return stop, nil
}

func newExporter(ctx context.Context, cfg Config) (trace.SpanExporter, func() error, error) {
	noClose := func() error { return nil }
	switch {
	case cfg.File != "":
		f, err := os.OpenFile(cfg.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
		if err != nil {
			return nil, nil, errors.Wrap(err, "open trace file")
		}
		exporter, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return nil, nil, errors.CombineErrors(errors.Wrap(err, "create trace file exporter"), f.Close())
		}
		return exporter, f.Close, nil
	case cfg.OTLPAddress != "":
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(cfg.OTLPAddress), otlptracehttp.WithInsecure())
		return exporter, noClose, errors.Wrap(err, "create OTLP exporter")
	default:
		return nil, noClose, nil
	}
}

// Inject returns the trace context of ctx as one string that can be sent in a message.
func Inject(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	otel.GetTextMapPropagator().Inject(ctx, carrier)
	return carrier[traceparent]
}

// Extract returns ctx with the trace context that a message contains.
func Extract(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return otel.GetTextMapPropagator().Extract(ctx, propagation.MapCarrier{traceparent: parent})
}
