package capacity_test

import (
	"fmt"
	"time"

	"github.com/marigoldlever/marigoldlever/capacity"
)

func Example() {
	l, err := capacity.New(capacity.DefaultConfig(2))
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Unix(0, 0)
	deadline := now.Add(100 * time.Millisecond)
	l.SetRank(now, 0, 1)
	fmt.Println(l.Offer(now, capacity.Ticket{ID: "a", Deadline: deadline}).Reason)

	l.SetShare(now, 2)
	// The upstream is cold at first, so only one request is started.
	fmt.Println(l.Offer(now, capacity.Ticket{ID: "a", Deadline: deadline}).Verdict == capacity.Started)
	fmt.Println(l.Offer(now, capacity.Ticket{ID: "b", Deadline: deadline}).Verdict == capacity.Queued)

	now = now.Add(5 * time.Millisecond)
	l.Done(now, "a", capacity.Outcome{Result: capacity.Served, Incarnation: "i1"})
	// The next request starts after a pause.
	next, _ := l.Next()
	fmt.Println(next.Sub(now), l.Tick(next).Starts)
	// Output:
	// no_share
	// true
	// true
	// 5ms [{b}]
}
