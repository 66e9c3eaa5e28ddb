package query

import "time"

// RetryBudget pays for sends beyond the first of each sub-request. It is shared by
// the queries of an event loop and not safe for concurrent use.
type RetryBudget interface {
	// Deposit credits n first sends to a service.
	Deposit(now time.Time, service string, n int)
	// TryWithdraw pays for one extra send to a service and reports whether the credit
	// was enough. A send that could as well be made later is not urgent: it
	// leaves a reserve to those that are.
	TryWithdraw(now time.Time, service string, urgent bool) bool
}

// budgetUnit is the price of one extra send. Shares are counted in millionths
// so that no rounding error accumulates.
const budgetUnit = 1_000_000

// RatioBudget is a RetryBudget that limits hedges and retries to a share of the primary
// requests, whatever their service.
type RatioBudget struct {
	perRequest int64
	limit      int64
	credit     int64
}

// NewRatioBudget returns a budget of share extra sends per primary request. It
// starts full, and never saves up more than burst extra sends.
func NewRatioBudget(share float64, burst int) *RatioBudget {
	limit := int64(burst) * budgetUnit
	return &RatioBudget{perRequest: int64(share * budgetUnit), limit: limit, credit: limit}
}

// Deposit adds the share of n primary requests.
func (b *RatioBudget) Deposit(_ time.Time, _ string, n int) {
	b.credit = min(b.limit, b.credit+int64(n)*b.perRequest)
}

// TryWithdraw pays for one extra send and reports whether the credit was enough.
func (b *RatioBudget) TryWithdraw(time.Time, string, bool) bool {
	if b.credit < budgetUnit {
		return false
	}
	b.credit -= budgetUnit
	return true
}
