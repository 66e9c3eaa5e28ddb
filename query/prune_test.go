package query

import (
	"testing"
	"time"
)

// Guards against statistics that stay for routes that are gone.
func TestPruneRemovesUnusedGroups(t *testing.T) {
	start := time.Unix(1000, 0)
	s := NewStats()
	s.group("gone").used = start
	s.group("in use").used = start.Add(time.Minute)
	s.Prune(start.Add(30 * time.Second))
	if len(s.groups) != 1 || s.groups["in use"] == nil {
		t.Errorf("%d groups are left, want the one in use", len(s.groups))
	}
}
