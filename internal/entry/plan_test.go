package entry

import (
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/routing"
)

// Guards against answers of a small host that leave it within the goal and reach the caller
// late: its request waited for the processor before its clock started.
func TestGoalReservesTimeToAcceptRequest(t *testing.T) {
	route := &routing.Route{TargetLatency: 100 * time.Millisecond}
	goal := func(cores float64) time.Duration {
		e := &Entry{settings: Settings{Cores: cores}}
		return e.latencyGoalFor(t.Context(), route, time.Second)
	}
	unknown, whole, fifth := goal(0), goal(1), goal(0.2)
	if unknown-whole != acceptTime || unknown-fifth != 5*acceptTime {
		t.Errorf("goals are %v for unknown cores, %v for one and %v for a fifth of one", unknown, whole, fifth)
	}
}
