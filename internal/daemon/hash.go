package daemon

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/upstream"
)

func hashOf(text string) uint64 { return xxhash.Sum64String(text) }

// isDraining reports whether the upstream itself said that it drains. An owner's
// refusal is no signal: the owner may not have heard yet that the upstream is back,
// and a signal that names no incarnation would close the new one for good.
func isDraining(err error) bool {
	var unsent *scatter.UnsentError
	return errors.Is(err, upstream.ErrDraining) && !errors.As(err, &unsent)
}
