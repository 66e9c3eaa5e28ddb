package query

// budgetUnit is the price of one extra send. Shares are counted in millionths
// so that no rounding error accumulates.
const budgetUnit = 1_000_000

// Budget limits hedges and retries to a share of the primary requests. It is
// shared by the queries of an event loop and not safe for concurrent use.
type Budget struct {
	perRequest int64
	limit      int64
	credit     int64
}

// NewBudget returns a budget of share extra sends per primary request. It
// starts full, and never saves up more than burst extra sends.
func NewBudget(share float64, burst int) *Budget {
	limit := int64(burst) * budgetUnit
	return &Budget{perRequest: int64(share * budgetUnit), limit: limit, credit: limit}
}

// Earn adds the share of n primary requests.
func (b *Budget) Earn(n int) { b.credit = min(b.limit, b.credit+int64(n)*b.perRequest) }

// Take pays for one extra send and reports whether the credit was enough.
func (b *Budget) Take() bool {
	if b.credit < budgetUnit {
		return false
	}
	b.credit -= budgetUnit
	return true
}
