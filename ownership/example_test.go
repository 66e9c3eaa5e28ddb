package ownership_test

import (
	"fmt"
	"time"

	"github.com/marigoldlever/marigoldlever/ownership"
)

func Example() {
	self := ownership.Member{ID: "bole-1", Incarnation: "1"}
	table := ownership.Table{DataCentre: "bole", Epoch: 1, Members: []ownership.Member{self, {ID: "bole-2", Incarnation: "1"}}}
	for _, s := range ownership.Owners(table, "gate-desk-7a", 2, 25) {
		fmt.Println(s.Member.ID, s.Slots, s.Connections)
	}

	cfg := ownership.Config{Lease: ownership.DefaultLease, LongestDeadline: 2 * time.Second}
	holder := ownership.NewLeaseHolder(cfg, self)
	now := time.Unix(0, 0)
	holder.AdoptTable(now, table)
	holder.AddProof(now, table.Epoch, now)
	fmt.Println("at once:", holder.AllowedSlots(now, "gate-desk-7a", 2))
	for range 6 {
		now = now.Add(time.Second)
		holder.AddProof(now, table.Epoch, now)
	}
	fmt.Println("after the handover delay:", holder.AllowedSlots(now, "gate-desk-7a", 2))
	now = now.Add(4 * time.Second)
	fmt.Println("without new proof:", holder.AllowedSlots(now, "gate-desk-7a", 2))
	// Output:
	// bole-1 1 13
	// bole-2 1 12
	// at once: 0
	// after the handover delay: 1
	// without new proof: 0
}
