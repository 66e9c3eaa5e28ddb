package entry

import (
	"net/http"
	"time"

	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
)

// answer is how a request ends. Every way of a request returns one, and respond is the only
// place that writes to the caller.
type answer struct {
	verdict *verdict
	// reply is the replica's with verdictReply and verdictFailure.
	reply exchange.Reply
	// body, signatures and missing are the merged records with verdictMerged, the signatures
	// of their parts, and the number of parts left out.
	body       []byte
	signatures []string
	missing    int
	// retryAfter is when the caller may come back, with a verdict that promises that the
	// request has not run.
	retryAfter time.Duration
	// text explains the other verdicts.
	text string
	// closes is set if the caller should use another connection from now on.
	closes bool
}

// refusal returns the answer to a request that was not sent to replicas.
func refusal(v *verdict, retryAfter time.Duration, text string) answer {
	return answer{verdict: v, retryAfter: retryAfter, text: text}
}

// respond writes the answer and logs it. A caller that has left, or an answer without a
// verdict, ends the connection: net/http would otherwise write an empty success.
func (e *Entry) respond(w http.ResponseWriter, out *outcome, a answer) {
	if a.verdict == nil {
		a.verdict = verdictCallerLeft
	}
	out.verdict, out.status, out.reason = a.verdict.name, a.verdict.status, a.text
	out.notRun = a.verdict.promisesNotRun()
	if a.closes || e.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	var err error
	switch a.verdict.status {
	case noStatus:
		out.reason = a.verdict.name
		e.report(out)
		panic(http.ErrAbortHandler) // net/http closes the connection
	case statusOfReply:
		out.status, out.parts = a.reply.Status, 1
		err = e.callers.WriteReply(w, out.id, a.reply)
	case http.StatusOK:
		err = e.callers.WriteMerged(w, out.id, a.body, a.signatures, a.missing)
	default:
		if !a.verdict.promisesNotRun() {
			a.retryAfter = 0
		}
		err = e.callers.WriteRefusal(w, out.id, a.verdict.status, a.retryAfter, a.text)
	}
	out.recordWriteError(err)
	e.report(out)
}

// isLeaving reports whether this host is about to end.
func (e *Entry) isLeaving() bool {
	phase := e.lifecycle.Phase()
	return phase == drain.Leaving || phase == drain.Stopped
}

// kindOf returns the kind of the requests of a route.
func kindOf(route *routing.Route) kindSet {
	switch {
	case len(route.Shards) > 0:
		return overShards
	case route.Idempotent:
		return repeatable
	}
	return atMostOnce
}
