package membership_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marigoldlever/marigoldlever/membership"
)

// The example runs three hosts that join each other and spread a configuration
// number.
func Example() {
	now := time.Unix(0, 0)
	hosts := make(map[string]*membership.StateMachine) // by address
	for i := range 3 {
		self := membership.Member{ID: fmt.Sprintf("bole-%d", i), DataCentre: "bole", Address: fmt.Sprintf("10.0.0.%d:7400", i),
			Incarnation: "1", Phase: membership.Serving}
		m := membership.New(membership.DefaultConfig(), self, rand.New(rand.NewPCG(1, uint64(i))))
		m.SetJoinAddresses([]string{"10.0.0.0:7400"})
		hosts[self.Address] = m
	}
	var deliver func(from string, list []membership.Message)
	deliver = func(from string, list []membership.Message) {
		for _, msg := range list {
			deliver(msg.To, hosts[msg.To].Receive(now, from, msg))
		}
	}
	for step := range 300 {
		if step == 200 {
			hosts["10.0.0.1:7400"].SetConfiguration(now, 7)
		}
		for i := range 3 {
			address := fmt.Sprintf("10.0.0.%d:7400", i)
			if m := hosts[address]; !now.Before(m.Next()) {
				deliver(address, m.Tick(now))
			}
		}
		now = now.Add(10 * time.Millisecond)
	}
	for _, s := range hosts["10.0.0.2:7400"].Members() {
		fmt.Println(s.ID, s.Status, s.Phase)
	}
	fmt.Println("configuration", hosts["10.0.0.2:7400"].Facts().Configuration)
	// Output:
	// bole-0 live serving
	// bole-1 live serving
	// configuration 7
}
