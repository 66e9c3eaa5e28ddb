package daemon

import (
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/capacity"
	"github.com/marigoldlever/marigoldlever/contract"
)

// Guards requirement R3: the ramp of the last contract must not replace a stricter one,
// since an upstream carries the load of all contracts that name its group.
func TestStrictestLimitsOfAllContracts(t *testing.T) {
	c := capacity.DefaultConfig(8)
	c.Floor, c.Step = 0, 0
	for _, l := range []contract.Limits{
		{UpstreamLoad: 6, ColdFloor: 2, ColdStep: 1, ColdStepTime: 5 * time.Second},
		{UpstreamLoad: 8, ColdFloor: 4, ColdStep: 3, ColdStepTime: time.Second},
	} {
		c = strictest(c, l)
	}
	if c.Slots != 6 || c.Floor != 2 || c.Step != 1 || c.StepTime != 5*time.Second {
		t.Errorf("combined limits are %+v, want the stricter value of each limit", c)
	}
}
