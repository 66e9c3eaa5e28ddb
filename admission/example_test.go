package admission_test

import (
	"fmt"
	"time"

	"github.com/marigoldlever/marigoldlever/admission"
)

func Example() {
	gate := admission.New(admission.Config{Waiting: 1, Step: 0.2, Gain: 3, Most: 0.8, Age: 500 * time.Millisecond, TargetPart: 0.1})
	now := time.Unix(1000, 0)
	// The only upstream has two slots and six waiting requests; a reply took 30 ms.
	gate.Report(now, "orders", "upstream-1", admission.Load{Waiting: 6, Slots: 2}, 30*time.Millisecond)
	fmt.Printf("%.1f\n", gate.Share(now, []string{"orders"}, 100*time.Millisecond))
	fmt.Printf("%.1f\n", gate.Share(now.Add(50*time.Millisecond), []string{"orders"}, 100*time.Millisecond))
	fmt.Printf("%.1f\n", gate.Share(now.Add(50*time.Millisecond), []string{"orders"}, time.Second))
	// Output:
	// 0.4
	// 0.7
	// 0.0
}
