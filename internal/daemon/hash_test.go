package daemon

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// Guards against an owner's refusal that closes a restarted upstream for good: it
// came from an owner that had not heard yet that the upstream was back.
func TestOwnersRefusalIsNoDrainSignal(t *testing.T) {
	own := errors.Wrap(upstream.ErrDraining, "said by the upstream")
	if !isDraining(own) {
		t.Error("the upstream's own refusal is not taken as its signal")
	}
	if isDraining(&scatter.UnsentError{Cause: own}) {
		t.Error("an owner's refusal is taken as the upstream's signal")
	}
}
