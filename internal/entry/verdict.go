package entry

import "net/http"

// facts are what is known of a request that was routed when it ends.
type facts struct {
	kind kindSet
	sent sentSet
	came cameSet
	cut  cutSet
}

// kindSet is a set of kinds of requests.
type kindSet uint8

const (
	// repeatable requests to one service may run more than once.
	repeatable kindSet = 1 << iota
	// atMostOnce requests must not run twice.
	atMostOnce
	// overShards requests are answered with merged parts, and may run more than once.
	overShards

	anyKind = repeatable | atMostOnce | overShards
)

// sentSet is a set of what was sent to replicas.
type sentSet uint8

const (
	// notRun: nothing was sent, or each replica stated that it did not run the request.
	notRun sentSet = 1 << iota
	// mayHaveRun: at least one replica has run the request or may have.
	mayHaveRun

	anySent = notRun | mayHaveRun
)

// cameSet is a set of what came back.
type cameSet uint8

const (
	// nothing that is an answer.
	nothing cameSet = 1 << iota
	// wholeAnswer: a replica's complete reply or, over shards, enough parts.
	wholeAnswer
	// ownFailure: a replica's complete reply with a failure of its own, after which the
	// request was tried elsewhere. The failures of parts are no answers.
	ownFailure

	anyCame = nothing | wholeAnswer | ownFailure
)

// cutSet is a set of what ended the request.
type cutSet uint8

const (
	// ended by itself.
	ended cutSet = 1 << iota
	// atDeadline: the caller or the route does not wait any longer.
	atDeadline
	// hostStops: the end of a planned stop.
	hostStops
	// callerLeft: the caller has ended its side of the connection.
	callerLeft

	callerWaits = ended | atDeadline | hostStops
	anyCut      = callerWaits | callerLeft
)

// verdict is what the caller of a request gets.
type verdict struct {
	// name is the name in the log.
	name string
	// status is that of the answer; statusOfReply passes on a replica's reply, noStatus cuts
	// the connection.
	status int
	// rule is what the answer promises.
	rule string
}

const (
	statusOfReply = -1
	noStatus      = 0
)

// promisesNotRun reports whether the answer promises that the request has not run and never
// will. Only such an answer tells the caller when to come back.
func (v *verdict) promisesNotRun() bool {
	return v.status == http.StatusServiceUnavailable || v.status == http.StatusTooManyRequests
}

// Verdicts of requests that were not routed. They are never sent to a replica.
var (
	verdictMalformed   = &verdict{"malformed", http.StatusBadRequest, "a request that can't be read is the caller's fault"}
	verdictNoRoute     = &verdict{"no_route", http.StatusNotFound, "no version of the configuration in force has a route"}
	verdictNoAccount   = &verdict{"no_account", http.StatusUnauthorized, "no account of the version in force has the caller's key"}
	verdictOverQuota   = &verdict{"over_quota", http.StatusTooManyRequests, "a request beyond the quota of its account is not sent"}
	verdictHeader      = &verdict{"header_too_large", http.StatusRequestHeaderFieldsTooLarge, "the header exceeds the limit of the configuration"}
	verdictBodyTimeout = &verdict{"body_timeout", http.StatusRequestTimeout, "a request whose body is not whole at its deadline has not been sent"}
	verdictTooLarge    = &verdict{"too_large", http.StatusRequestEntityTooLarge, "the body exceeds the limit of the configuration"}
	verdictNotReady    = &verdict{"not_ready", http.StatusServiceUnavailable, "a host that knows no configuration has sent nothing"}
	verdictLeaving     = &verdict{"leaving", http.StatusServiceUnavailable, "a host that may not outlast the request has sent nothing"}
)

// Verdicts of requests that were routed.
var (
	verdictReply      = &verdict{"reply", statusOfReply, "a replica's status, body and signature are passed on unchanged"}
	verdictMerged     = &verdict{"merged", http.StatusOK, "a success names the signature of every part, and has enough of them"}
	verdictFailure    = &verdict{"replica_failure", statusOfReply, "a failure with a replica's signature has that replica's status"}
	verdictRefused    = &verdict{"refused", http.StatusServiceUnavailable, "a refusal promises that the request has not run and never will"}
	verdictUnknown    = &verdict{"unknown", http.StatusBadGateway, "502 promises nothing: the request may have run"}
	verdictTimeout    = &verdict{"timeout", http.StatusGatewayTimeout, "504 promises nothing, and comes when the route's time is over"}
	verdictStopped    = &verdict{"stopped", http.StatusBadGateway, "a host that stops answers what it has read; 502 promises nothing"}
	verdictCallerLeft = &verdict{"caller_left", noStatus, "an answer that is not complete must not look complete"}
)

// verdicts maps the facts of every request to its verdict. Each combination that can occur
// is in exactly one row.
var verdicts = []struct {
	facts   facts
	verdict *verdict
}{
	{facts{anyKind, anySent, anyCame, callerLeft}, verdictCallerLeft},
	{facts{repeatable | atMostOnce, mayHaveRun, wholeAnswer, callerWaits}, verdictReply},
	{facts{overShards, mayHaveRun, wholeAnswer, callerWaits}, verdictMerged},
	{facts{repeatable, mayHaveRun, ownFailure, callerWaits}, verdictFailure},
	{facts{anyKind, notRun, nothing, callerWaits}, verdictRefused},
	{facts{anyKind, mayHaveRun, nothing, ended}, verdictUnknown},
	{facts{anyKind, mayHaveRun, nothing, atDeadline}, verdictTimeout},
	{facts{anyKind, mayHaveRun, nothing, hostStops}, verdictStopped},
}

// contains reports whether single facts are in a row of the table.
func (row facts) contains(f facts) bool {
	return row.kind&f.kind != 0 && row.sent&f.sent != 0 && row.came&f.came != 0 && row.cut&f.cut != 0
}

// verdict returns what the caller gets. Combinations that can't occur promise nothing.
func (f facts) verdict() *verdict {
	for _, row := range verdicts {
		if row.facts.contains(f) {
			return row.verdict
		}
	}
	return verdictUnknown
}
