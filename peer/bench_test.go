package peer

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"
)

// BenchmarkSmallCall measures a call of 100 bytes, alone and while messages of 1 MB are
// sent continuously in the same direction.
func BenchmarkSmallCall(b *testing.B) {
	for _, large := range []bool{false, true} {
		b.Run(fmt.Sprintf("beside-large=%v", large), func(b *testing.B) { benchSmallCall(b, large) })
	}
}

func benchSmallCall(b *testing.B, large bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	server, client := NewNode(Config{}), NewNode(Config{})
	server.Handle("echo", echo)
	if err := server.Listen("127.0.0.1:0"); err != nil {
		b.Fatal(err)
	}
	var document strings.Builder
	for i := 0; document.Len() < 1<<20; i++ {
		fmt.Fprintf(&document, "replica-%d at 10.%d.%d.%d;", i*7919, i%256, i%251, i%241)
	}
	sent := make(chan int)
	go func() {
		n := 0
		for large && client.Call(ctx, server.Address(), "echo", document.String(), nil) == nil {
			n++
		}
		sent <- n
	}()
	small := strings.Repeat("x", 100)
	var longest time.Duration
	for b.Loop() {
		start := time.Now()
		if err := client.Call(ctx, server.Address(), "echo", small, nil); err != nil {
			b.Fatal(err)
		}
		longest = max(longest, time.Since(start))
	}
	cancel()
	b.ReportMetric(float64(longest.Microseconds()), "longest-µs")
	b.ReportMetric(float64(<-sent), "large-calls")
	_ = client.Close(context.Background())
	_ = server.Close(context.Background())
}
