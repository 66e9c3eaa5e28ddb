package daemon

import (
	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

func hashOf(text string) uint64 { return xxhash.Sum64String(text) }

func isDraining(err error) bool { return errors.Is(err, upstream.ErrDraining) }
