package rollout_test

import (
	"fmt"
	"time"

	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/rollout"
)

func ExampleHost() {
	now := time.Now()
	host := rollout.NewHost(rollout.Config{Share: 0.1, Slack: 50}, "host-1", 1)
	host.SeeReplica(now, "search", "v1")
	host.SetListed()
	host.SeeReplica(now, "search", "v2")
	order := rollout.Order{OrderID: rollout.OrderID{Name: "search", Service: "search", Version: "v2", Duration: time.Minute, Created: 1}}
	host.PutOrder(now, order)
	candidates := []replicas.Candidate{
		{Replica: replicas.Replica{ID: "a", Service: "search", Version: "v1"}},
		{Replica: replicas.Replica{ID: "b", Service: "search", Version: "v2"}},
	}
	print := func(text string) {
		chosen, _ := host.Choose(now, "search", candidates)
		fmt.Print(text, ":")
		for _, c := range chosen {
			fmt.Print(" ", c.ID)
		}
		fmt.Println()
	}
	print("ordered")
	host.HandleReply(now, now, rollout.Reply{Order: order.OrderID, Fence: 1, Phase: rollout.PhaseTrial, Granted: 1})
	print("granted")
	order.Status = rollout.Status{State: rollout.Completed, Version: "v2"}
	host.PutOrder(now, order)
	print("completed")
	// Output:
	// ordered: a
	// granted: b a
	// completed: b
}
