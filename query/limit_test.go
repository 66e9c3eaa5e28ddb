package query

import (
	"fmt"
	"testing"
	"time"
)

// Guards against statistics of services that come and go faster than unused ones are removed:
// those used longest ago go first.
func TestStatisticsAreBounded(t *testing.T) {
	const max, services = 10, 35
	s := NewStats()
	start := time.Unix(0, 0)
	for i := range services {
		name := fmt.Sprint(i)
		s.services[name] = &serviceStats{used: start.Add(time.Duration(i) * time.Second)}
		s.groups[name] = &serviceStats{used: start.Add(time.Duration(i) * time.Second)}
		s.Limit(max)
		if len(s.services) > max || len(s.groups) > max || s.services[name] == nil {
			t.Fatalf("after %d services %d are kept, the last one: %t", i+1, len(s.services), s.services[name] != nil)
		}
	}
	if s.services[fmt.Sprint(services-max)] == nil {
		t.Error("a service that was used later than others was removed")
	}
}
