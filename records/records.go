// Package records merges the fixed-size records in the answers of shards.
package records

import (
	"bytes"
	"slices"
)

// Size is the length of a record in bytes.
const Size = 16

// TopK returns the k greatest records of all parts in descending order, compared
// byte by byte. Equal records are all kept. An incomplete record at the end of a
// part is ignored.
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
