package query_test

import (
	"fmt"
	"math/big"
	"math/rand/v2"
	"time"

	"github.com/marigoldlever/marigoldlever/query"
	"github.com/marigoldlever/marigoldlever/upstream"
)

func Example() {
	halves := upstream.Split(2)
	plan := query.Plan{
		ID: "q1", Contract: "licence", AnswerTime: 200 * time.Millisecond,
		MinimumCoverage: big.NewRat(1, 2), Prefer: query.PreferCoverage,
		Groups: []query.Group{{Name: "licence-desk", Services: []query.Service{
			{Name: "north", Partition: halves[0], Replicas: []query.Replica{{ID: "n1", Held: []uint64{6, 7}}}},
			{Name: "south", Partition: halves[1], Replicas: []query.Replica{{ID: "s1", UnusableReason: query.ReasonLeaving}}},
		}}},
	}
	m := query.New(plan, query.NewStats(), query.NewRatioBudget(0.03, 10), rand.New(rand.NewPCG(1, 2)))
	now := time.Unix(0, 0)
	for _, a := range m.Start(now) {
		send := a.(*query.Send)
		fmt.Println("send", send.Service, send.Replica, send.Snapshot)
		for _, a := range m.Reply(now.Add(time.Millisecond), send.Attempt, upstream.Reply{
			Attempt: send.Attempt, Service: send.Service, Snapshot: send.Snapshot, Partition: send.Partition,
		}) {
			answer := a.(*query.Finish).Answer
			missing := answer.Groups[0].Missing[0]
			fmt.Println("coverage", answer.Coverage, "missing", missing.Service, missing.Reason)
		}
	}
	// Output:
	// send north n1 7
	// coverage 1/2 missing south leaving
}
