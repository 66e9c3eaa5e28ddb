package upstreamstandin

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/marigoldlever/marigoldlever/upstream/upstreamhttp"
)

// BenchmarkOverHTTP measures the cost of one request for the client and the stand-in
// together, which limits the load of a trial on one machine.
func BenchmarkOverHTTP(b *testing.B) {
	const replicas = 100
	cfg := Config{DataCentre: "bole", Snapshot: 1}
	for i := range replicas {
		cfg.Replicas = append(cfg.Replicas, Replica{ID: fmt.Sprint("r", i), Service: "s1", Slots: 1000})
	}
	d, err := New(cfg)
	if err != nil {
		b.Fatal(err)
	}
	defer d.Close()
	addresses, err := d.ListenEach("127.0.0.1")
	if err != nil {
		b.Fatal(err)
	}
	c := upstreamhttp.New(upstreamhttp.Config{Connections: 4})
	defer c.Close()
	var n atomic.Int64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			address := addresses[fmt.Sprint("r", n.Add(1)%replicas)]
			if _, err := c.Do(b.Context(), address, read("a1")); err != nil {
				b.Error(err)
			}
		}
	})
}
