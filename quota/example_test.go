package quota_test

import (
	"fmt"
	"time"

	"github.com/marigoldlever/marigoldlever/quota"
)

// A single host lends tokens to itself: the burst, and then what the rate allows.
func Example() {
	bounds := quota.Bounds{Window: 5 * time.Second, Overage: 0.1}
	limit := quota.Quota{RequestsPerSecond: 10, Burst: 2}
	now := time.Unix(1000, 0)
	lender := quota.NewLender(now, "10.1.0.9:7395", 1, bounds)
	lender.SetHosts([]quota.Host{{Address: "10.1.0.9:7395"}})
	for range 12 { // it waits for another lender, and then until its bucket has filled
		now = now.Add(100 * time.Millisecond)
		lender.Tick(now, func(string) quota.Quota { return limit })
	}

	borrower := quota.NewBorrower(bounds)
	for request := range uint64(3) {
		_, ask, _ := borrower.Request(now, "acme", request)
		loan, _ := lender.Lend(now, ask.Account, limit, ask.Waiting, ask.Expected)
		outcomes, _, _ := borrower.Answer(now, ask, loan)
		fmt.Println(outcomes[0].Verdict == quota.Admitted, outcomes[0].RoomIn.Round(10*time.Millisecond))
	}
	// Output:
	// true 0s
	// true 0s
	// false 90ms
}
