package ownership

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// ErrInvalidTable reports stored or received bytes that are no table of the data
// centre.
var ErrInvalidTable = errors.New("invalid ownership table")

// Encode returns the value to store for a table of a Write, or to send to a peer
// for a table with an epoch.
func Encode(t Table) ([]byte, error) {
	value, err := json.Marshal(t)
	return value, errors.Wrap(err, "encode ownership table")
}

// Decode reads a table that Encode wrote. For a stored object, version is the
// object's version; for a table from a peer it is 0 and the epoch is the one that
// the peer sent.
func Decode(dataCentre string, version uint64, value []byte) (Table, error) {
	var t Table
	if err := json.Unmarshal(value, &t); err != nil {
		return Table{}, errors.Mark(errors.Wrap(err, "decode ownership table"), ErrInvalidTable)
	}
	if version != 0 {
		t.Epoch = version
	}
	if t.DataCentre != dataCentre || t.Epoch == 0 {
		return Table{}, errors.Wrapf(ErrInvalidTable, "data centre %q, epoch %d", t.DataCentre, t.Epoch)
	}
	// Lookup searches by ID, and two members with one ID would share its slots.
	for i := 1; i < len(t.Members); i++ {
		if t.Members[i-1].ID >= t.Members[i].ID {
			return Table{}, errors.Wrap(ErrInvalidTable, "members not sorted by distinct IDs")
		}
	}
	newest := t.Epoch
	for _, c := range t.RecentChanges {
		if c.Base >= newest {
			return Table{}, errors.Wrap(ErrInvalidTable, "changes not in falling order")
		}
		newest = c.Base
	}
	t.Members = slices.Clip(t.Members)
	t.RecentChanges = slices.Clip(t.RecentChanges)
	return t, nil
}

// compareMembers orders members by ID.
func compareMembers(a, b Member) int { return strings.Compare(a.ID, b.ID) }

// Delta is what a host that holds an older table needs to get a newer one. One
// restarted host of 200 is 266 bytes, against 20,643 of the whole table.
type Delta struct {
	DataCentre string   `json:"data_centre"`
	From       uint64   `json:"from"` // epoch of the table to apply it to
	Epoch      uint64   `json:"epoch"`
	Changes    []Change `json:"changes"` // newest first
}

// DeltaSince returns the changes from the table of an epoch to t, if t still has all
// of them.
func (t Table) DeltaSince(epoch uint64) (Delta, bool) {
	for i, c := range t.RecentChanges {
		if c.Base == epoch {
			return Delta{DataCentre: t.DataCentre, From: epoch, Epoch: t.Epoch, Changes: t.RecentChanges[:i+1]}, true
		}
	}
	return Delta{}, false
}

// ApplyDelta returns the table that d leads to from t.
func (t Table) ApplyDelta(d Delta) (Table, bool) {
	if t.DataCentre != d.DataCentre || t.Epoch != d.From || len(d.Changes) == 0 {
		return Table{}, false
	}
	for i, c := range slices.Backward(d.Changes) {
		if c.Base != t.Epoch {
			return Table{}, false
		}
		t = t.apply(c)
		t.Epoch = d.Epoch
		if i > 0 {
			t.Epoch = d.Changes[i-1].Base
		}
	}
	return t, true
}
