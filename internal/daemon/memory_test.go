package daemon

import (
	"testing"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
)

// Guards against work for other hosts that takes the memory of an owner: what finds none left
// is declined, which tells that it did not run, and nothing of it stays reserved.
func TestWorkForOtherHostsIsBounded(t *testing.T) {
	const memoryMB = 16
	limit := membudget.Host(memoryMB)
	m := newMemory(limit)
	requests := int(limit.Share(membudget.PartsShare) / membudget.PartBytes)
	bytes := int(limit.Share(contentShare))
	release, ok := m.reserveWork(requests, bytes)
	if !ok {
		t.Fatal("the whole memory can't be reserved")
	}
	for _, more := range []struct{ requests, bytes int }{{1, 0}, {0, 1}} {
		if _, ok := m.reserveWork(more.requests, more.bytes); ok {
			t.Errorf("%+v more were reserved", more)
		}
	}
	release()
	if _, ok := m.reserveWork(requests, bytes+1); ok {
		t.Error("more bytes than there are were reserved")
	}
	if _, ok := m.reserveWork(requests, bytes); !ok {
		t.Error("what was given back, or declined, is still reserved")
	}
	if !isDeclined(errNoMemory) {
		t.Error("a host without memory counts as one that may have run the request")
	}
}
