package ownership

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"
)

func drawTable(t *rapid.T) Table {
	ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 40), 0, 12, rapid.ID).Draw(t, "ids")
	slices.Sort(ids)
	table := Table{DataCentre: "bole", Epoch: 7}
	for _, id := range ids {
		table.Members = append(table.Members, Member{ID: fmt.Sprintf("h%02d", id), Incarnation: "1"})
	}
	return table
}

func byMember(shares []Share) map[string]int {
	slots := make(map[string]int)
	for _, s := range shares {
		slots[s.Member.ID] = s.Slots
	}
	return slots
}

// Guards against shares that exceed the replica's limits, leave slots unassigned,
// or let hosts that use different limits exceed the slots together.
func TestSharesStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t)
		slots := rapid.IntRange(0, 12).Draw(t, "slots")
		connections := slots + rapid.IntRange(0, 30).Draw(t, "spare connections")
		full := Owners(table, "r", slots, connections)
		if len(full) > min(MaxOwners, slots, len(table.Members)) {
			t.Fatalf("%d owners, more than MaxOwners, the slots or the members", len(full))
		}
		sums := [2]int{}
		for _, s := range full {
			sums[0] += s.Slots
			sums[1] += s.Connections
		}
		if len(full) > 0 && sums != [2]int{slots, connections} {
			t.Fatalf("owners have %v slots and connections, want %d and %d", sums, slots, connections)
		}
		limit := rapid.IntRange(0, slots).Draw(t, "limit")
		limited, sum := LimitedShares(table, "r", slots, connections, limit), 0
		for rank, s := range limited {
			sum += s.Slots
			if s.Slots > full[rank].Slots || limit == 1 && (s.Slots == 1) != (rank == 0) {
				t.Fatalf("limit %d: rank %d gets %d slots, of %d without the limit", limit, rank, s.Slots, full[rank].Slots)
			}
		}
		if sum > limit {
			t.Fatalf("limit %d: owners have %d slots in total", limit, sum)
		}
	})
}

// Guards the assumption that allows LeaseHolder to use released slots immediately:
// removing a member does not lower the share of any other.
func TestRemovalLowersNoShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t)
		if len(table.Members) == 0 {
			return
		}
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		limit := rapid.IntRange(1, slots).Draw(t, "limit")
		gone := table.Members[rapid.IntRange(0, len(table.Members)-1).Draw(t, "gone")]
		after := byMember(LimitedShares(table.apply(Change{Base: 7, Released: []Member{gone}}), "r", slots, slots, limit))
		for id, n := range byMember(LimitedShares(table, "r", slots, slots, limit)) {
			if id != gone.ID && after[id] < n {
				t.Fatalf("%s had %d slots, has %d after the removal of %s", id, n, after[id], gone.ID)
			}
		}
	})
}

// Guards against recent changes from which older tables are reconstructed wrongly,
// so that a holder would assume it had other slots under them.
func TestChangesAreReversible(t *testing.T) {
	first := Table{DataCentre: "bole", Epoch: 3, Members: []Member{{ID: "a", Incarnation: "1"}, {ID: "b", Incarnation: "1"}}}
	second := first.apply(Change{Base: 3, Joined: []Member{{ID: "a", Incarnation: "2"}}, Removed: first.Members[:1]})
	second.Epoch = 5
	third := second.apply(Change{Base: 5, Joined: []Member{{ID: "c", Incarnation: "1"}}, Released: first.Members[1:]})
	third.Epoch = 6
	chain, complete := tablesSince(third, 3)
	if !complete || len(chain) != 2 || !slices.Equal(chain[0].Members, second.Members) || chain[0].Epoch != 5 {
		t.Errorf("tables since epoch 3 are %v, complete %v, want the second and the third", chain, complete)
	}
	if back, _ := chain[0].beforeLastChange(); !slices.Equal(back.Members, first.Members) {
		t.Errorf("members before the last change are %v, want those of the first table", back.Members)
	}
	if _, complete := tablesSince(third, 4); complete {
		t.Error("tables returned for an epoch that does not exist")
	}
	delta, ok := third.DeltaSince(3)
	if got, extended := first.ApplyDelta(delta); !ok || !extended || !reflect.DeepEqual(got, third) {
		t.Errorf("delta %v results in %v, want %v", delta, got, third)
	}
	if _, extended := second.ApplyDelta(delta); extended {
		t.Error("delta applied to another table")
	}
}

// Guards against a decoded table whose epoch is not the object version, and
// against invalid tables that are accepted.
func TestDecode(t *testing.T) {
	good := Table{DataCentre: "bole", Members: []Member{{ID: "a"}, {ID: "b"}}}.apply(Change{Base: 3, Joined: []Member{{ID: "c"}}})
	value, err := Encode(good)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode("bole", 9, value)
	if err != nil || got.Epoch != 9 || !slices.Equal(got.Members, good.Members) {
		t.Errorf("decoded %v with error %v, want epoch 9 and the encoded members", got, err)
	}
	for name, bad := range map[string]string{
		"not JSON":    "{",
		"other":       `{"data_centre":"kality","members":[]}`,
		"duplicate":   `{"data_centre":"bole","members":[{"id":"a"},{"id":"a"}]}`,
		"wrong order": `{"data_centre":"bole","members":[{"id":"b"},{"id":"a"}]}`,
		"later base":  `{"data_centre":"bole","members":[],"past":[{"base":9}]}`,
	} {
		if _, err := Decode("bole", 9, []byte(bad)); !errors.Is(err, ErrInvalidTable) {
			t.Errorf("%s: error %v, want ErrInvalidTable", name, err)
		}
	}
	if _, err := Decode("bole", 0, value); !errors.Is(err, ErrInvalidTable) {
		t.Errorf("without epoch: error %v, want ErrInvalidTable", err)
	}
}
