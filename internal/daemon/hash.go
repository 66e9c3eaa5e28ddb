package daemon

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/upstream"
)

func hashOf(text string) uint64 { return xxhash.Sum64String(text) }

// isDrainSignal reports whether the error is the upstream's own statement that it is
// draining. An owner's refusal is not: the owner may not know yet that the upstream is
// back, and a signal without an incarnation would close the new one permanently.
func isDrainSignal(err error) bool {
	var unsent *scatter.UnsentError
	return errors.Is(err, upstream.ErrDraining) && !errors.As(err, &unsent)
}
