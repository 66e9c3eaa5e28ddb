package daemon

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// Guards against an owner's refusal that permanently closes a restarted upstream. The
// owner refuses because it does not know yet that the upstream is back.
func TestOwnerRefusalIsNotDrainSignal(t *testing.T) {
	own := errors.Wrap(upstream.ErrDraining, "stated by the upstream")
	if !isDrainSignal(own) {
		t.Error("the refusal of the upstream itself does not count as a drain signal")
	}
	if isDrainSignal(&scatter.UnsentError{Cause: own}) {
		t.Error("the refusal of an owner counts as a drain signal of the upstream")
	}
}
