package entry

import (
	"net/http"

	"github.com/marigoldlever/marigoldlever/upstream/exchange"
)

const (
	methodGather = "entry.gather"
	methodAlive  = "entry.alive"
	// methodLeave reports that the caller of a request has disconnected; its parameter
	// is the request's id.
	methodLeave = "entry.leave"
)

// gatherRequest asks another host of the data centre for the merged answer to a
// request.
type gatherRequest struct {
	Request wireRequest `json:"request"`
	// Version is that of the sender's configuration. Another version may name other
	// parts, unless its route has the same fingerprint.
	Version uint64 `json:"version"`
	// Route is the fingerprint of the route; 0 if it is not known.
	Route uint64 `json:"route,omitempty"`
	// TimeoutUS and LatencyGoalUS are the remaining times, in microseconds, to answer
	// at all and to answer within the target latency.
	TimeoutUS     int64 `json:"wait_us"`
	LatencyGoalUS int64 `json:"goal_us"`
}

// wireRequest carries a caller's request between hosts. All texts are bytes, because JSON
// strings change what is not UTF-8.
type wireRequest struct {
	ID     []byte      `json:"id"`
	Method []byte      `json:"method"`
	Target []byte      `json:"target"`
	Host   []byte      `json:"host"`
	Header []wireField `json:"header,omitempty"`
	Body   []byte      `json:"body,omitempty"`
	// Account is the name of the account that the caller's host found; empty if there is none.
	Account []byte `json:"account,omitempty"`
}

// wireField is a header field.
type wireField struct {
	Name   []byte   `json:"name"`
	Values [][]byte `json:"values"`
}

func newWireRequest(r *exchange.Request) wireRequest {
	w := wireRequest{ID: []byte(r.ID), Method: []byte(r.Method), Target: []byte(r.Target), Host: []byte(r.Host), Body: r.Body, Account: []byte(r.Account)}
	for name, values := range r.Header {
		w.Header = append(w.Header, wireField{Name: []byte(name), Values: bytesOf(values)})
	}
	return w
}

func (w wireRequest) request() exchange.Request {
	r := exchange.Request{ID: string(w.ID), Method: string(w.Method), Target: string(w.Target), Host: string(w.Host), Header: http.Header{}, Body: w.Body, Account: string(w.Account)}
	for _, f := range w.Header {
		r.Header[string(f.Name)] = stringsOf(f.Values)
	}
	return r
}

// gatherReply is the result of a gatherRequest.
type gatherReply struct {
	// Refused is why the host did not handle the request; empty if it did.
	Refused string `json:"refused,omitempty"`
	// Tries is the number of replicas of a part that may have run a refused request. It is
	// not 0 only if the host stopped before the request ended.
	Tries int `json:"tries,omitempty"`
	// Failure is why there is no answer, and MayHaveRun whether a part may have run.
	Failure    string `json:"failure,omitempty"`
	MayHaveRun bool   `json:"may_have_run,omitempty"`
	// RetryAfterUS is when the caller should repeat a request that has not run, in
	// microseconds; 0 for the usual time.
	RetryAfterUS int64    `json:"retry_after_us,omitempty"`
	Body         []byte   `json:"body,omitempty"`
	Signatures   [][]byte `json:"signed,omitempty"`
	// TookUS is how long the host worked on the request, in microseconds.
	TookUS int64 `json:"took_us"`
}

// aliveReply is the reply to a liveness check.
type aliveReply struct {
	// Unreachable are the data centres that the host can't reach.
	Unreachable []string `json:"out_of_reach,omitempty"`
}

func bytesOf(texts []string) [][]byte {
	result := make([][]byte, len(texts))
	for i, t := range texts {
		result[i] = []byte(t)
	}
	return result
}

func stringsOf(texts [][]byte) []string {
	result := make([]string, len(texts))
	for i, t := range texts {
		result[i] = string(t)
	}
	return result
}
