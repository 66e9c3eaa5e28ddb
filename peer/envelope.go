package peer

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

// compressAboveBytes is the size from which a body is compressed. jsonrpc2 parses a message
// several times on the connection's read loop, and a short string is cheaper to scan there
// than a large document is to parse.
const compressAboveBytes = 32 << 10

// envelope wraps the parameters of a request and the result of an answer.
type envelope struct {
	Traceparent string `json:"traceparent,omitempty"`
	// DeadlineMS is the time to the caller's deadline; 0 if it has none.
	DeadlineMS int64 `json:"deadline_ms,omitempty"`
	// Either Body or Packed (gzip) holds the encoded content. Body is a JSON document
	// in a JSON string, because jsonrpc2 decodes the parameters of each message into
	// maps and encodes them again, at a cost that grows with the number of values.
	Body   string `json:"body,omitempty"`
	Packed []byte `json:"packed,omitempty"`
}

// newEnvelope encodes v into an envelope without trace context and deadline.
func newEnvelope(v any, maxBytes int) (envelope, error) {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false) // bodies of callers' requests stay as they are
	if err := encoder.Encode(v); err != nil {
		return envelope{}, errors.Wrap(err, "encode message")
	}
	body := bytes.TrimSuffix(out.Bytes(), []byte("\n"))
	if len(body) > maxBytes {
		return envelope{}, errors.Wrapf(ErrTooLarge, "%d bytes", len(body))
	}
	if len(body) < compressAboveBytes {
		return envelope{Body: string(body)}, nil
	}
	packed, err := compress(body)
	if err != nil {
		return envelope{}, errors.Wrap(err, "compress message")
	}
	return envelope{Packed: packed}, nil
}

// content returns the encoded content, decompressed if necessary.
func (e envelope) content(maxBytes int) (json.RawMessage, error) {
	if len(e.Packed) == 0 {
		return json.RawMessage(e.Body), nil
	}
	return decompress(e.Packed, maxBytes)
}

// size estimates the encoded size of the envelope.
func (e envelope) size() int {
	const overheadBytes = 256
	return overheadBytes + (len(e.Body)+len(e.Packed))*4/3
}

func compress(body []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := gzip.NewWriterLevel(&out, gzip.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func decompress(packed []byte, maxBytes int) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "decompress message")
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(maxBytes)+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress message")
	}
	if len(body) > maxBytes {
		return nil, errors.Wrap(ErrTooLarge, "decompressed message")
	}
	return body, nil
}

// setContext adds the trace context and the time to the deadline of ctx.
func (e *envelope) setContext(ctx context.Context) {
	e.Traceparent = Traceparent(ctx)
	if deadline, ok := ctx.Deadline(); ok {
		// At least 1 ms, since 0 means that there is no deadline.
		e.DeadlineMS = max(1, time.Until(deadline).Milliseconds())
	}
}

// context derives the handler's context from the connection's.
func (e envelope) context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx := parent
	if e.Traceparent != "" {
		ctx = WithTraceparent(ctx, e.Traceparent)
	}
	if e.DeadlineMS <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Duration(e.DeadlineMS)*time.Millisecond)
}
