// Package records merges the fixed-size records in the answers of shards.
package records

import (
	"bytes"
	"container/heap"
	"slices"
)

// Size is the length of a record in bytes.
const Size = 16

// TopK returns the k greatest records of all parts in descending order, compared
// byte by byte. Equal records are all kept. An incomplete record at the end of a
// part is ignored. Besides the parts, it needs memory for k records only.
func TopK(k int, parts [][]byte) []byte {
	if k <= 0 {
		return nil
	}
	var greatest smallestFirst
	for _, p := range parts {
		for ; len(p) >= Size; p = p[Size:] {
			record := p[:Size]
			switch {
			case len(greatest) < k:
				heap.Push(&greatest, record)
			case bytes.Compare(record, greatest[0]) > 0:
				greatest[0] = record
				heap.Fix(&greatest, 0)
			}
		}
	}
	slices.SortFunc(greatest, func(a, b []byte) int { return bytes.Compare(b, a) })
	return slices.Concat(greatest...)
}

// smallestFirst is a heap of records whose first one is the smallest.
type smallestFirst [][]byte

func (h smallestFirst) Len() int           { return len(h) }
func (h smallestFirst) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h smallestFirst) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push adds a record; heap.Interface requires it.
func (h *smallestFirst) Push(x any) { *h = append(*h, x.([]byte)) }

// Pop removes the last record; heap.Interface requires it.
func (h *smallestFirst) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
