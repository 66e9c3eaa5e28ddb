package upstream

import (
	"math/big"
	"testing"

	"pgregory.net/rapid"
)

// Guards against counting an overlap twice and against mishandling End 0, which stands for
// 2^64: the covered fraction must equal that of a bitmap of the same ranges.
func TestCoveredFractionMatchesBitmap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const cells = 16
		parts := Split(cells)
		var covered [cells]bool
		var ranges []HashRange
		for range rapid.IntRange(0, 6).Draw(t, "ranges") {
			from := rapid.IntRange(0, cells-1).Draw(t, "from")
			to := rapid.IntRange(from, cells-1).Draw(t, "to")
			ranges = append(ranges, HashRange{Start: parts[from].Start, End: parts[to].End})
			for i := from; i <= to; i++ {
				covered[i] = true
			}
		}
		count := int64(0)
		for _, c := range covered {
			if c {
				count++
			}
		}
		if got, want := CoveredFraction(HashRange{}, ranges), big.NewRat(count, cells); got.Cmp(want) != 0 {
			t.Fatalf("covered fraction of %v is %s, want %s", ranges, got, want)
		}
	})
}
