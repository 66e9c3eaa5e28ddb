package entry_test

import "testing"

// BenchmarkScatter measures one request over 90 shards, including the work of the
// stand-ins.
func BenchmarkScatter(b *testing.B) {
	tr := startTier(b, 90)
	for range 50 {
		tr.mustAsk(b, "GET", "/scatter/x", "")
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		tr.mustAsk(b, "GET", "/scatter/x", "")
	}
}
