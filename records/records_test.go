package records_test

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/records"
)

// Guards against lost records, equal records that are merged into one, and records that
// are read from the incomplete end of a part.
func TestTopKMatchesSort(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 2), 0, 80), 0, 6).Draw(t, "parts")
		k := rapid.IntRange(0, 12).Draw(t, "k")
		var all []string
		for _, p := range parts {
			for i := 0; i+records.Size <= len(p); i += records.Size {
				all = append(all, string(p[i:i+records.Size]))
			}
		}
		slices.Sort(all)
		slices.Reverse(all)
		var want bytes.Buffer
		for _, r := range all[:min(k, len(all))] {
			want.WriteString(r)
		}
		if got := records.TopK(k, parts); !bytes.Equal(got, want.Bytes()) {
			t.Fatalf("got %x, want %x", got, want.Bytes())
		}
	})
}

// Guards against memory that grows with the records of large parts instead of with those that
// are returned: a few large replies at a time could take the memory of a host.
func TestTopKNeedsMemoryForItsResultOnly(t *testing.T) {
	const k, recordsOfPart, allowedBytes = 5, 1 << 16, 4 << 10
	part := make([]byte, recordsOfPart*records.Size)
	for i := range part {
		part[i] = byte(i * 31 >> 3)
	}
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			records.TopK(k, [][]byte{part, part})
		}
	})
	if n := result.AllocedBytesPerOp(); n > allowedBytes {
		t.Errorf("%d bytes for %d of %d records", n, k, 2*recordsOfPart)
	}
}
