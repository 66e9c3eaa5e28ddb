package once_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/once"
)

// Records and dispatches a payout request, and answers a resend from the journal.
func Example() {
	now := time.UnixMilli(1764831527000)
	m, err := once.New(once.DefaultConfig(), "host-1/incarnation-1", rand.New(rand.NewPCG(1, 2)))
	if err != nil {
		fmt.Println(err)
		return
	}
	journals := map[int]objectstore.Object{}
	result := once.DispatchResult{Kind: once.DispatchRan, Body: json.RawMessage(`{"slip":7}`)}
	var run func(acts []once.Action)
	run = func(acts []once.Action) {
		for _, a := range acts {
			switch a := a.(type) {
			case once.Read:
				run(m.ReadDone(now, a.Journal, journals[a.Journal], nil))
			case once.Write:
				journals[a.Journal] = objectstore.Object{Version: a.Base + 1, Value: a.Value}
				run(m.WriteDone(now, a.Journal, journals[a.Journal], nil))
			case once.Dispatch:
				fmt.Println("dispatch to", a.Submission.Service)
				run(m.DispatchDone(now, a.Attempt, result))
			case once.Answer:
				fmt.Println(a.Submission.ID, a.Outcome.Run, a.Outcome.Reason, string(a.Outcome.Result))
			}
		}
	}
	s := once.Submission{
		ID: "a", Key: once.NewKey(now, "k3v9x0qd"), Number: 1, Service: "payout",
		Body: json.RawMessage(`{"kilograms":40}`), Deadline: now.Add(time.Second),
	}
	run(m.Submit(now, s))
	now = now.Add(time.Second)
	run(m.Tick(now)) // writes the outcome
	s.ID, s.Number, s.Deadline = "b", 2, now.Add(time.Second)
	run(m.Submit(now, s))
	// Output:
	// dispatch to payout
	// a ran done {"slip":7}
	// b ran recorded {"slip":7}
}

// Prints the capacity of the default settings.
func ExampleConfig_Capacity() {
	c := once.DefaultConfig().Capacity(104)
	fmt.Printf("%.0f requests/s, %.0f updates/s, %.0f MB/s\n", c.RequestsPerSecond, c.UpdatesPerSecond, c.BytesPerSecond/1e6)
	// Output: 2152 requests/s, 320 updates/s, 313 MB/s
}
