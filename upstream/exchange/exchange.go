// Package exchange passes callers' requests on to replicas over HTTP/1.1 with
// connections of its own, one request at a time on each.
//
// A reply counts only if it is whole and echoes the id of the request. Whatever
// else a connection delivers belongs to no request, and ends the connection. The
// errors tell a request that surely never left this host (upstream.ErrConnect)
// from one that may have run (upstream.ErrReplyLost, upstream.ErrTimeout).
package exchange

import (
	"net/http"
	"time"

	"github.com/marigoldlever/marigoldlever/admission"
	"github.com/marigoldlever/marigoldlever/replicas"
)

// Request is a caller's request as it is passed on.
type Request struct {
	ID     string
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header // without those that concern one connection
	Body   []byte
}

// Reply is a replica's whole answer.
type Reply struct {
	Status int
	Header http.Header // without those that concern one connection
	Body   []byte
	// RequestID is the id that the replica echoed, empty if it sent none.
	RequestID string
	// Signature proves which replica worked on which request.
	Signature string
	// NotRun is set if the replica states that it did not run the request.
	NotRun bool
	// Misdirected is set if another replica has the address.
	Misdirected bool
	// ColdRemaining is how much longer the replica stays cold.
	ColdRemaining time.Duration
	// RetryAfter is the shortest time until the next request; 0 if not stated.
	RetryAfter time.Duration
	// Load is the replica's own report; its Slots are 0 if there is none.
	Load admission.Load
}

// Codec writes requests and reads replies with the header names of a protocol.
type Codec interface {
	// AppendRequest appends the request for one replica that has the given time.
	AppendRequest(to []byte, r *Request, replica string, left time.Duration) []byte
	// ReadReply interprets a whole reply.
	ReadReply(status int, header http.Header, body []byte) Reply
}

// Call is one request to one replica.
type Call struct {
	Request     *Request
	Destination replicas.Incarnation
	Deadline    time.Time
	// FreshConnection asks for a connection that was in use a moment ago or is new: the
	// loss of a request on a connection that the replica had closed can't be
	// told from one that ran.
	FreshConnection bool
}
