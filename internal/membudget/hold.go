package membudget

import "sync"

// Hold is what one user takes of a budget bit by bit and gives back as a whole. A nil Hold
// bounds nothing. It is safe for concurrent use.
type Hold struct {
	budget *Budget

	mu       sync.Mutex
	bytes    int64
	released bool
}

// NewHold returns a hold of nothing yet.
func (b *Budget) NewHold() *Hold { return &Hold{budget: b} }

// Take takes bytes of the budget. It reports whether they were left and the hold was not
// released.
func (h *Hold) Take(bytes int64) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released || !h.budget.Reserve(bytes) {
		return false
	}
	h.bytes += bytes
	return true
}

// Adopt adds bytes that were reserved in the budget already.
func (h *Hold) Adopt(bytes int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bytes += bytes
}

// Release gives everything back.
func (h *Hold) Release() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.released = true
	h.budget.Release(h.bytes)
	h.bytes = 0
}
