package admission_test

import (
	"fmt"
	"time"

	"github.com/marigoldlever/marigoldlever/admission"
)

func Example() {
	controller := admission.New(admission.Config{Waiting: 1, ProportionalGain: 0.2, IntegralGain: 3, MaxShare: 0.8, MaxReportAge: 500 * time.Millisecond, TargetFraction: 0.1})
	now := time.Unix(1000, 0)
	// The only upstream has two slots and six waiting requests; a reply took 30 ms.
	controller.Report(now, "orders", "upstream-1", admission.Load{Waiting: 6, Slots: 2}, 30*time.Millisecond)
	fmt.Printf("%.1f\n", controller.RefusalShare(now, []string{"orders"}, 100*time.Millisecond))
	fmt.Printf("%.1f\n", controller.RefusalShare(now.Add(50*time.Millisecond), []string{"orders"}, 100*time.Millisecond))
	fmt.Printf("%.1f\n", controller.RefusalShare(now.Add(50*time.Millisecond), []string{"orders"}, time.Second))
	// Output:
	// 0.4
	// 0.7
	// 0.0
}
