// Package peer carries messages between daemons: JSON-RPC 2.0 over TCP, with one
// long-lived connection per pair of daemons that communicate.
//
// Both sides of a connection can send calls and notifications. A Node dials on first
// use, closes idle connections and reconnects with back-off. Every message carries the
// caller's trace context and the time to its deadline.
//
// The errors distinguish a call that was not sent (ErrConnect, ErrTooLarge) or that the
// peer did not run (ErrRefused) from one whose answer was lost (ErrAnswerLost). Only the
// latter may have had an effect.
//
// A large message does not block small ones: messages are written in frames of at most
// 16 KB, small messages are written before large ones, the frames of large messages are
// interleaved, and large bodies are compressed, which makes them cheap to scan on the
// receiver's read loop. Messages on one connection may therefore be reordered.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
)

// Errors of this package; test with errors.Is.
var (
	// ErrConnect reports that there was no connection to send on. The message was not
	// sent.
	ErrConnect = errors.New("peer not connected")
	// ErrAnswerLost reports that the message was sent, at least in part, and that no
	// answer was received. The peer may have run it.
	ErrAnswerLost = errors.New("peer answer lost")
	// ErrRefused reports that a limit was reached at this node or at the peer, or that
	// the peer is closing. The peer did not run the message.
	ErrRefused = errors.New("peer refused the message")
	// ErrTooLarge reports a message above the size limit. It was not sent.
	ErrTooLarge = errors.New("peer message too large")
)

// Codes of RemoteError that this package sets. All other codes come from handlers.
const (
	// CodeFailed is the code of a handler's error that has no code of its own.
	CodeFailed = 1
	// CodeRefused marks a request that the peer did not run.
	CodeRefused = -32001
	// CodeTooLarge marks a request that was run and whose result exceeds the size
	// limit.
	CodeTooLarge = -32002
	// CodeUnknownMethod marks a request to a method without a handler.
	CodeUnknownMethod = -32601
	// CodeInvalid marks a request whose envelope could not be decoded.
	CodeInvalid = -32602
)

// RemoteError is an error that the peer sent as its answer. A handler returns a
// RemoteError to set the code that the caller receives.
type RemoteError struct {
	Code    int64
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string {
	return fmt.Sprintf("peer error %d: %s", e.Code, e.Message)
}

// Request is an incoming call or notification.
type Request struct {
	// Method is the name under which the handler is registered.
	Method string
	// From is the listening address that the peer stated for itself.
	From string
	// Notification is set if the peer expects no answer.
	Notification bool

	body json.RawMessage
}

// Size returns the size of the encoded parameters in bytes.
func (r Request) Size() int { return len(r.body) }

// Decode stores the parameters in v.
func (r Request) Decode(v any) error {
	if err := json.Unmarshal(r.body, v); err != nil {
		return errors.Wrapf(err, "parameters of %s", r.Method)
	}
	return nil
}

// Handler runs one request. The context of a call ends at the caller's deadline or when
// the connection breaks; that of a notification ends at the deadline or when the node has
// closed. The result of a notification is discarded.
type Handler func(ctx context.Context, r Request) (any, error)

// Config holds the limits of a Node. Zero values stand for the defaults.
type Config struct {
	// Advertise is the address at which peers reach this node. The default is the
	// listener's address.
	Advertise string
	// MaxMessageBytes limits the size of a message, both encoded and decoded.
	MaxMessageBytes int
	// MaxQueuedBytes limits the bytes that wait to be written to one connection.
	MaxQueuedBytes int
	// MaxTotalBytes limits the messages of all connections together that wait to be
	// written, or of which only a part has arrived. A request beyond it is refused; an
	// answer, or a part, beyond it ends its connection.
	MaxTotalBytes int
	// MaxCalls limits the calls in flight on one connection.
	MaxCalls int
	// MaxHandlers limits the handlers that run concurrently for one connection.
	MaxHandlers int
	// DialTimeout limits the time to open a connection.
	DialTimeout time.Duration
	// WriteTimeout is the time after which a connection that accepts no bytes is
	// closed.
	WriteTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout time.Duration
	// BackoffMin and BackoffMax limit the back-off after a failed dial, during which
	// calls fail immediately with ErrConnect.
	BackoffMin, BackoffMax time.Duration
	// Dial opens a connection. The default uses TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)

	total *membudget.Budget // of MaxTotalBytes
}

// Defaults of Config.
const (
	// defaultMaxMessageBytes is enough for the largest configuration that the platform
	// stores (1 MB), even if it is incompressible and base64 adds a third.
	defaultMaxMessageBytes = 2 << 20
	defaultMaxQueuedBytes  = 8 << 20
	defaultMaxTotalBytes   = 256 << 20
	defaultMaxCalls        = 1024
	defaultMaxHandlers     = 1024
	defaultDialTimeout     = time.Second
	defaultWriteTimeout    = 5 * time.Second
	defaultIdleTimeout     = 2 * time.Minute
	defaultBackoffMin      = 50 * time.Millisecond
	defaultBackoffMax      = time.Second
)

func (c Config) withDefaults() Config {
	setInt := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	setDuration := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	setInt(&c.MaxMessageBytes, defaultMaxMessageBytes)
	setInt(&c.MaxQueuedBytes, defaultMaxQueuedBytes)
	setInt(&c.MaxTotalBytes, defaultMaxTotalBytes)
	c.total = membudget.New(int64(c.MaxTotalBytes))
	setInt(&c.MaxCalls, defaultMaxCalls)
	setInt(&c.MaxHandlers, defaultMaxHandlers)
	setDuration(&c.DialTimeout, defaultDialTimeout)
	setDuration(&c.WriteTimeout, defaultWriteTimeout)
	setDuration(&c.IdleTimeout, defaultIdleTimeout)
	setDuration(&c.BackoffMin, defaultBackoffMin)
	setDuration(&c.BackoffMax, defaultBackoffMax)
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return c
}

// tcpBufferBytes limits the bytes that the kernel queues ahead of a small message. They
// are sent within a few milliseconds, and suffice for 85 MB/s at a round trip of 3 ms.
const tcpBufferBytes = 256 << 10

// keepAlive detects a peer that has failed without closing its connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 3}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	limitWriteBuffer(conn)
	return conn, nil
}

// limitWriteBuffer sets the size of the kernel's write buffer.
func limitWriteBuffer(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// If the kernel refuses the size, only the latency increases.
		_ = tcp.SetWriteBuffer(tcpBufferBytes)
	}
}

type traceKey struct{}

// WithTraceparent returns a context whose calls carry the trace context, given in the
// format of the W3C traceparent header.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	return context.WithValue(ctx, traceKey{}, traceparent)
}

// Traceparent returns the trace context that the caller of a handler sent or that
// WithTraceparent set, or "" if there is none.
func Traceparent(ctx context.Context) string {
	s, _ := ctx.Value(traceKey{}).(string)
	return s
}
