package upstream

import (
	"fmt"
	"math/big"
	"slices"
)

// HashRange is a half-open range [Start, End) of the 64-bit hash space. End 0
// stands for 2^64, so that the zero value is the whole space.
type HashRange struct {
	Start uint64 `json:"start,string"`
	End   uint64 `json:"end,string"`
}

// Whole reports whether the range is the whole hash space.
func (h HashRange) Whole() bool { return h.Start == 0 && h.End == 0 }

// Valid reports whether the range is neither empty nor inverted.
func (h HashRange) Valid() bool { return h.End == 0 || h.Start < h.End }

// Contains reports whether o is a subrange of h.
func (h HashRange) Contains(o HashRange) bool {
	return h.Start <= o.Start && (h.End == 0 || (o.End != 0 && o.End <= h.End))
}

// Overlaps reports whether h and o have a hash value in common.
func (h HashRange) Overlaps(o HashRange) bool {
	return (o.End == 0 || h.Start < o.End) && (h.End == 0 || o.Start < h.End)
}

// String returns the range in hexadecimal.
func (h HashRange) String() string {
	if h.End == 0 {
		return fmt.Sprintf("[%016x, end)", h.Start)
	}
	return fmt.Sprintf("[%016x, %016x)", h.Start, h.End)
}

// Split divides the whole hash space into n ranges of nearly equal size.
func Split(n int) []HashRange {
	if n < 1 {
		return nil
	}
	ranges := make([]HashRange, n)
	for i := range ranges {
		ranges[i] = HashRange{Start: boundary(i, n), End: boundary(i+1, n)}
	}
	return ranges
}

// boundary returns i * 2^64 / n modulo 2^64, which is 0 for both ends of the space.
func boundary(i, n int) uint64 {
	b := new(big.Int).Lsh(big.NewInt(int64(i)), 64)
	return b.Div(b, big.NewInt(int64(n))).Uint64()
}

// Gaps returns the subranges of whole that none of the covered ranges contains, in
// ascending order.
func Gaps(whole HashRange, covered []HashRange) []HashRange {
	sorted := slices.Clone(covered)
	slices.SortFunc(sorted, func(a, b HashRange) int {
		if a.Start < b.Start {
			return -1
		}
		if a.Start > b.Start {
			return 1
		}
		return 0
	})
	var gaps []HashRange
	next := whole.Start
	for _, r := range sorted {
		if !r.Overlaps(HashRange{Start: next, End: whole.End}) {
			continue
		}
		if r.Start > next {
			gaps = append(gaps, HashRange{Start: next, End: r.Start})
		}
		if r.End == 0 || (whole.End != 0 && r.End >= whole.End) {
			return gaps
		}
		next = max(next, r.End)
	}
	return append(gaps, HashRange{Start: next, End: whole.End})
}

// CoveredFraction returns the size of the union of ranges as a fraction of whole.
func CoveredFraction(whole HashRange, ranges []HashRange) *big.Rat {
	missing := new(big.Int)
	for _, g := range Gaps(whole, ranges) {
		missing.Add(missing, g.size())
	}
	size := whole.size()
	return new(big.Rat).SetFrac(new(big.Int).Sub(size, missing), size)
}

// size returns the number of hash values in the range, which can need 65 bits.
func (h HashRange) size() *big.Int {
	end := new(big.Int).SetUint64(h.End)
	if h.End == 0 {
		end.Lsh(big.NewInt(1), 64)
	}
	return end.Sub(end, new(big.Int).SetUint64(h.Start))
}
