// Package peer carries messages between daemons: JSON-RPC 2.0 over TCP with one
// long-lived connection per pair of daemons in use.
//
// Either side of a connection can call and notify. A Node dials on first use,
// closes idle connections and reconnects with back-off. Every message carries
// the caller's trace context and the time left to its deadline.
//
// The errors tell a call that surely never left this host (ErrConnect,
// ErrTooLarge) or that the peer surely did not run (ErrRefused) from one whose
// answer was lost (ErrAnswerLost). Only the latter may have had an effect.
//
// A large message does not hold up small ones: messages are written in frames
// of at most 16 KB, small messages go ahead of large ones, large ones take
// turns, and large bodies are compressed so that they are cheap to scan on the
// receiver's read loop. Messages on one connection may therefore overtake each
// other.
package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of this package; test with errors.Is.
var (
	// ErrConnect reports that there was no connection to send on: the message
	// surely was never sent.
	ErrConnect = errors.New("peer not connected")
	// ErrAnswerLost reports that the message was sent, or partly sent, and the
	// answer was lost: the peer may have run it.
	ErrAnswerLost = errors.New("peer answer lost")
	// ErrRefused reports that a limit was reached here or at the peer, or that
	// the peer is closing: the message was surely not run.
	ErrRefused = errors.New("peer refused the message")
	// ErrTooLarge reports a message above the size limit; it was not sent.
	ErrTooLarge = errors.New("peer message too large")
)

// Codes of RemoteError that this package sets; all others are the handlers'.
const (
	// CodeFailed is the code of a handler's error that has no code of its own.
	CodeFailed = 1
	// CodeRefused marks a request that the peer did not run.
	CodeRefused = -32001
	// CodeTooLarge marks a result above the size limit; the request was run.
	CodeTooLarge = -32002
	// CodeUnknownMethod marks a request that no handler takes.
	CodeUnknownMethod = -32601
	// CodeInvalid marks a request whose envelope could not be decoded.
	CodeInvalid = -32602
)

// RemoteError is the error that the peer's handler returned. A handler that
// returns one chooses the code that the caller sees.
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
	// Method is the name that the handler was registered under.
	Method string
	// From is the peer's own listening address, as it stated it.
	From string
	// Notification is set if no answer is sent.
	Notification bool

	body json.RawMessage
}

// Decode stores the parameters in v.
func (r Request) Decode(v any) error {
	if err := json.Unmarshal(r.body, v); err != nil {
		return errors.Wrapf(err, "parameters of %s", r.Method)
	}
	return nil
}

// Handler runs one request. Its context ends at the caller's deadline and when
// the connection breaks; that of a notification ends only at the deadline and
// when the node has closed. The result of a notification is dropped.
type Handler func(ctx context.Context, r Request) (any, error)

// Config holds the limits of a Node. Zero values take the defaults.
type Config struct {
	// Advertise is the address that peers reach this node at; by default the
	// listener's address.
	Advertise string
	// MaxMessageBytes bounds one message, encoded and decoded.
	MaxMessageBytes int
	// MaxQueuedBytes bounds what waits to be written to one connection.
	MaxQueuedBytes int
	// MaxCalls bounds the calls in flight on one connection.
	MaxCalls int
	// MaxHandlers bounds the handlers that run for one connection.
	MaxHandlers int
	// DialTimeout bounds connecting.
	DialTimeout time.Duration
	// WriteTimeout is how long a connection may accept no bytes before it is
	// treated as broken.
	WriteTimeout time.Duration
	// IdleTimeout is how long an unused connection is kept.
	IdleTimeout time.Duration
	// BackoffMin and BackoffMax bound the pause after a failed dial, during
	// which calls fail at once with ErrConnect.
	BackoffMin, BackoffMax time.Duration
	// Dial opens a connection; by default TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Defaults of Config.
const (
	// defaultMaxMessageBytes holds a configuration of the largest size that the
	// platform stores (1 MB), even if it does not compress and grows by a third.
	defaultMaxMessageBytes = 2 << 20
	defaultMaxQueuedBytes  = 8 << 20
	defaultMaxCalls        = 1024
	defaultMaxHandlers     = 1024
	defaultDialTimeout     = time.Second
	defaultWriteTimeout    = 5 * time.Second
	defaultIdleTimeout     = 2 * time.Minute
	defaultBackoffMin      = 50 * time.Millisecond
	defaultBackoffMax      = time.Second
)

func (c Config) withDefaults() Config {
	orInt := func(v *int, d int) {
		if *v == 0 {
			*v = d
		}
	}
	orTime := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	orInt(&c.MaxMessageBytes, defaultMaxMessageBytes)
	orInt(&c.MaxQueuedBytes, defaultMaxQueuedBytes)
	orInt(&c.MaxCalls, defaultMaxCalls)
	orInt(&c.MaxHandlers, defaultMaxHandlers)
	orTime(&c.DialTimeout, defaultDialTimeout)
	orTime(&c.WriteTimeout, defaultWriteTimeout)
	orTime(&c.IdleTimeout, defaultIdleTimeout)
	orTime(&c.BackoffMin, defaultBackoffMin)
	orTime(&c.BackoffMax, defaultBackoffMax)
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	return c
}

// tcpBufferBytes bounds what the kernel queues ahead of a small message. Small
// enough to be sent within a few milliseconds, large enough for 85 MB/s at a
// round trip of 3 ms.
const tcpBufferBytes = 256 << 10

// keepAlive finds a peer that vanished without closing its connections.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 5 * time.Second, Count: 3}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	tune(conn)
	return conn, nil
}

func tune(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// Only latency suffers if the kernel refuses the size.
		_ = tcp.SetWriteBuffer(tcpBufferBytes)
	}
}

type traceKey struct{}

// WithTraceparent returns a context whose calls carry the trace context, in the
// form of the W3C traceparent header.
func WithTraceparent(ctx context.Context, traceparent string) context.Context {
	return context.WithValue(ctx, traceKey{}, traceparent)
}

// Traceparent returns the trace context that a handler's caller sent, or that
// WithTraceparent set; empty if there is none.
func Traceparent(ctx context.Context) string {
	s, _ := ctx.Value(traceKey{}).(string)
	return s
}
