package membudget_test

import (
	"sync"
	"testing"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
)

// Guards against users that together hold more than the budget, and against bytes that are
// lost when a reservation fails.
func TestBudgetIsNeverExceeded(t *testing.T) {
	const size, users, bytes = 100, 50, 7
	b := membudget.New(size)
	var group sync.WaitGroup
	granted := make(chan struct{}, users)
	for range users {
		group.Go(func() {
			if b.Reserve(bytes) {
				granted <- struct{}{}
			}
		})
	}
	group.Wait()
	if n := len(granted); n*bytes > size {
		t.Errorf("%d reservations of %d bytes were granted", n, bytes)
	}
	b.Release(int64(len(granted) * bytes))
	if !b.Reserve(size) || b.Reserve(1) {
		t.Error("the whole budget is not available after all bytes were given back")
	}
}
