package entry

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/routing"
)

// outcome is the result of a request, for the log.
type outcome struct {
	id           string
	route        string
	version      uint64
	status       int
	reason       string
	parts        int
	missing      int
	counts       query.Counts
	missingParts []query.Missing
	sender       *sender // nil if another host handled the request
	forwardedTo  string  // id of the host that was asked to handle the request; empty if none
	// declineReason is why that host did not handle it; empty if it did.
	declineReason string
	tries         int    // replicas of a part that got the request from that host, if it stopped
	forwardedFrom string // address of the host that forwarded the request; empty if none
	started       time.Time
	timeout       time.Duration // counted from started
	bodyHeld      int64         // memory of the body
	accepted      bool          // counts as in progress
	verdict       string
	latencyGoal   time.Duration    // counted from started
	account       *routing.Account // nil if the request needs none
	// tokenUntil is until when the token of the account's quota may be given back; zero if the
	// request took none.
	tokenUntil time.Time
	notRun     bool // whether the answer promises that the request has not run
}

// recordWriteError records that the answer could not be written because the caller has
// disconnected.
func (o *outcome) recordWriteError(err error) {
	if err != nil {
		o.reason = "write answer: " + err.Error()
	}
}

// report logs the result of a request and updates the metrics.
func (e *Entry) report(o *outcome) {
	took := time.Since(o.started)
	e.metrics.recordOutcome(o, took)
	if !e.requestLog.allow(o.started, o.status != http.StatusOK || o.missing > 0 || o.reason != "") {
		return
	}
	fields := []any{
		"id", o.id, "route", o.route, "version", o.version, "status", o.status, "verdict", o.verdict, "ms", float64(took.Microseconds()) / 1000, "goalMS", float64(o.latencyGoal.Microseconds()) / 1000,
		"parts", o.parts, "missing", o.missing, "hedges", o.counts.Hedges, "retries", o.counts.Retries, "unpaid", o.counts.BudgetExhausted,
		"redirected", o.counts.Redirected, "reason", o.reason,
	}
	if o.account != nil {
		fields = append(fields, "account", o.account.Name)
	}
	if o.forwardedTo != "" {
		fields = append(fields, "by", o.forwardedTo, "declined", o.declineReason)
	}
	if o.forwardedFrom != "" {
		fields = append(fields, "for", o.forwardedFrom)
	}
	if o.sender != nil {
		o.sender.mu.Lock()
		fields = append(fields, "sent", o.sender.sent, "failed", fmt.Sprint(o.sender.causes),
			"slowest", o.sender.slowest, "slowestMS", o.sender.slowestTime.Milliseconds(), "lost", describeMissing(o.missingParts))
		o.sender.mu.Unlock()
	}
	klog.InfoS("Request", fields...)
}

// maxDescribed is the number of missing parts that a log line names.
const maxDescribed = 4

// describeMissing names missing parts with the reason of each.
func describeMissing(missing []query.Missing) string {
	var names []string
	for i, m := range missing {
		if i == maxDescribed {
			names = append(names, fmt.Sprintf("and %d more", len(missing)-i))
			break
		}
		names = append(names, m.Service+":"+string(m.Reason))
	}
	return strings.Join(names, ",")
}
