// Package records merges the fixed-size records that shards answer with.
package records

import (
	"bytes"
	"slices"
)

// Size is the length of a record in bytes.
const Size = 16

// TopK returns the k greatest records of all parts, greatest first, compared
// byte by byte. Equal records all count. A rest shorter than a record at the end
// of a part is not a record.
func TopK(k int, parts [][]byte) []byte {
	n := 0
	for _, p := range parts {
		n += len(p) / Size
	}
	all := make([][]byte, 0, n)
	for _, p := range parts {
		for ; len(p) >= Size; p = p[Size:] {
			all = append(all, p[:Size])
		}
	}
	slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
	all = all[:min(max(k, 0), len(all))]
	return slices.Concat(all...)
}
