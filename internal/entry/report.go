package entry

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/query"
)

// outcome is how a request ended, for the log.
type outcome struct {
	id      string
	route   string
	version uint64
	status  int
	reason  string
	parts   int
	missing int
	counts  query.Counts
	lost    []query.Missing
	sender  *sender // nil if another host did the request
	by      string  // the host that was asked to do it, empty if none
	// declined is why that host did not do it, empty if it did.
	declined string
	from     string // the address of the host that it was done for, empty if none
	started  time.Time
	goal     time.Duration // from started
}

// written notes that the answer could not be written, which means that the caller
// is gone.
func (o *outcome) written(err error) {
	if err != nil {
		o.reason = "answer not written: " + err.Error()
	}
}

// reportLeft logs that the caller of a request left before the answer.
func (e *Entry) reportLeft(o *outcome) {
	o.reason = "caller_left"
	e.report(o)
}

// report logs how a request ended.
func (e *Entry) report(o *outcome) {
	took := time.Since(o.started)
	e.metrics.answered(o, took)
	if !e.requestLog.allow(o.started, o.status != http.StatusOK || o.missing > 0 || o.reason != "") {
		return
	}
	fields := []any{
		"id", o.id, "route", o.route, "version", o.version, "status", o.status, "ms", float64(took.Microseconds()) / 1000, "goalMS", float64(o.goal.Microseconds()) / 1000,
		"parts", o.parts, "missing", o.missing, "hedges", o.counts.Hedges, "retries", o.counts.Retries, "unpaid", o.counts.BudgetExhausted,
		"redirected", o.counts.Redirected, "reason", o.reason,
	}
	if o.by != "" {
		fields = append(fields, "by", o.by, "declined", o.declined)
	}
	if o.from != "" {
		fields = append(fields, "for", o.from)
	}
	if o.sender != nil {
		o.sender.mu.Lock()
		fields = append(fields, "sent", o.sender.sent, "failed", fmt.Sprint(o.sender.causes),
			"slowest", o.sender.slowest, "slowestMS", o.sender.slowestTime.Milliseconds(), "lost", describe(o.lost))
		o.sender.mu.Unlock()
	}
	klog.InfoS("Request", fields...)
}

// describeMost is the number of missing parts that a log line names.
const describeMost = 4

// describe names missing parts with the reason of each.
func describe(lost []query.Missing) string {
	var names []string
	for i, m := range lost {
		if i == describeMost {
			names = append(names, fmt.Sprintf("and %d more", len(lost)-i))
			break
		}
		names = append(names, m.Service+":"+string(m.Reason))
	}
	return strings.Join(names, ",")
}
