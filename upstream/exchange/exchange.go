// Package exchange forwards callers' requests to replicas over HTTP/1.1. It manages its own
// connections and sends one request at a time on each.
//
// A reply is accepted only if it is complete and echoes the id of the request. A connection
// that delivers anything else is closed. The errors distinguish a request that was not sent
// (upstream.ErrConnect) from one that may have run (upstream.ErrReplyLost,
// upstream.ErrTimeout).
package exchange

import (
	"net/http"
	"time"

	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// Request is a caller's request as it is forwarded.
type Request struct {
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header // without hop-by-hop headers
	// Body is shared by all sends of the request, which may go on for a while after Pool.Do's
	// context has ended.
	Body []byte
	// Identity is what the caller sent about its account. It is passed on only if the
	// configuration has no accounts.
	Identity Identity
	// Account is the name of the account that the request counts for; empty if there is none.
	Account string
}

// Identity is what a caller sent about its account.
type Identity struct {
	// Key is the API key; empty if there is none, or more than one.
	Key string
	// Header holds the header fields about the caller's identity, which may be forged.
	Header http.Header
}

// Reply is a replica's complete answer.
type Reply struct {
	Status int
	Header http.Header // without hop-by-hop headers
	Body   []byte
	// Held is the memory of Body that Pool.Release returns; 0 for a small one.
	Held int64
	// RequestID is the request id that the replica echoed, or "" if it sent none.
	RequestID string
	// Signature proves which replica processed which request.
	Signature string
	// NotRun is set if the replica states that it did not run the request.
	NotRun bool
	// Refusal is set if the status tells callers that the request has not run and never
	// will. Without NotRun it may have.
	Refusal bool
	// Misdirected is set if another replica answers at the address.
	Misdirected bool
	// Leaving is set if the replica states that it is leaving.
	Leaving bool
	// ColdRemaining is the time for which the replica will stay cold.
	ColdRemaining time.Duration
	// Pause is how long the replica wants no requests from this host; 0 if it does not
	// ask for a pause.
	Pause time.Duration
	// MalformedPause is the text of a request for a pause that can't be decoded.
	MalformedPause string
	// Load is the replica's own load report. Load.Slots is 0 if there is none.
	Load upstream.Load
	// Elapsed is the time from sending the request on its connection to the reply.
	Elapsed time.Duration
}

// Codec encodes requests and decodes replies with the header names of a protocol.
type Codec interface {
	// AppendHead appends the encoded head of the request for a replica to dst, with the length
	// of the body, which follows. The request's deadline is the remaining time from now.
	AppendHead(dst []byte, r *Request, replica string, remaining time.Duration) []byte
	// ReadReply converts a complete HTTP response.
	ReadReply(status int, header http.Header, body []byte) Reply
}

// Call is one request to one replica.
type Call struct {
	Request     *Request
	Destination replicas.Incarnation
	Deadline    time.Time
	// AtMostOnce is set if the request must not run twice. It then gets a connection that
	// was used very recently or is new: if the replica has closed an idle connection, a
	// request lost on it can't be distinguished from one that ran.
	AtMostOnce bool
	// Permitted is asked again after a connection was opened, which takes time. If it
	// returns an error, the request is not sent, and Do returns the error.
	Permitted func() error
}
