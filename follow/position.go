package follow

import "github.com/cockroachdb/errors"

// Position is a state of the store. A store that is restored from a copy goes back to an earlier
// revision and begins a new era, in which it gives out the same revisions again: those of two
// eras can't be compared.
type Position struct {
	// Era is 0 for a store that does not tell its era.
	Era      uint64
	Revision uint64
}

// Before reports whether p is an earlier state than other.
func (p Position) Before(other Position) bool {
	return p.Era < other.Era || p.Era == other.Era && p.Revision < other.Revision
}

var (
	// ErrNewEra reports that the store is in a later era than the position of a watch, so that
	// the changes since then can't be told. The list is read again.
	ErrNewEra = errors.New("the store is in a new era")
	// ErrOldEra reports that what could be read is of an earlier era than is known already. The
	// call is repeated. The store is not unavailable because of that.
	ErrOldEra = errors.New("the answer is of an earlier era of the store")
)
