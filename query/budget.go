package query

import "time"

// RetryBudget limits the sends beyond the first of each sub-request, that is hedges
// and retries. It is shared by several queries and is not safe for concurrent use.
type RetryBudget interface {
	// Deposit adds the credit for n first sends to a service.
	Deposit(now time.Time, service string, n int)
	// TryWithdraw withdraws the credit for one extra send to a service. It reports
	// false and withdraws nothing if the credit is too low. A send that can still be
	// postponed is not urgent and leaves a reserve for urgent sends.
	TryWithdraw(now time.Time, service string, urgent bool) bool
}

// budgetUnit is the credit for one extra send. Credit is counted in integer
// millionths of a send so that no rounding error accumulates.
const budgetUnit = 1_000_000

// RatioBudget is a RetryBudget that limits hedges and retries to a share of the
// primary requests to all services together.
type RatioBudget struct {
	perRequest int64
	limit      int64
	credit     int64
}

// NewRatioBudget returns a budget of share extra sends per primary request. It
// starts full and accumulates at most burst extra sends.
func NewRatioBudget(share float64, burst int) *RatioBudget {
	limit := int64(burst) * budgetUnit
	return &RatioBudget{perRequest: int64(share * budgetUnit), limit: limit, credit: limit}
}

// Deposit adds the credit for n primary requests.
func (b *RatioBudget) Deposit(_ time.Time, _ string, n int) {
	b.credit = min(b.limit, b.credit+int64(n)*b.perRequest)
}

// TryWithdraw withdraws the credit for one extra send and reports whether there was
// enough.
func (b *RatioBudget) TryWithdraw(time.Time, string, bool) bool {
	if b.credit < budgetUnit {
		return false
	}
	b.credit -= budgetUnit
	return true
}
