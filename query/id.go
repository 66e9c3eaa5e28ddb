package query

import (
	"strconv"
	"strings"
)

// idDigits is the number of decimal digits of the attempt number in an attempt ID.
// All IDs of a query have the same length, so a batch of IDs can share one string.
const idDigits = 6

// attemptNumber parses the attempt number from the ID of an attempt of the query.
func attemptNumber(query, id string) (int, bool) {
	rest, ok := strings.CutPrefix(id, query)
	if !ok || len(rest) < 1+idDigits || rest[0] != '/' {
		return 0, false
	}
	n, err := strconv.Atoi(rest[1:])
	return n, err == nil && n >= 0
}

// appendID appends the ID of the n-th attempt of a query.
func appendID(to []byte, query string, n int) []byte {
	to = append(to, query...)
	to = append(to, '/')
	for limit := 100_000; limit > max(n, 1); limit /= 10 {
		to = append(to, '0')
	}
	return strconv.AppendInt(to, int64(n), 10)
}

// idBatch holds the IDs of the next attempts in one string, to save allocations.
type idBatch struct {
	text     string
	idLength int
}

// fill prepares the IDs of n attempts, starting with the given number.
func (b *idBatch) fill(query string, from, n int) {
	b.idLength = len(query) + 1 + idDigits
	text := make([]byte, 0, n*b.idLength)
	for i := range n {
		text = appendID(text, query, from+i)
	}
	b.text = string(text)
}

// take returns the ID of the n-th attempt of a query. While the batch is not empty,
// n must be its next number.
func (b *idBatch) take(query string, n int) string {
	if len(b.text) == 0 {
		return string(appendID(nil, query, n))
	}
	id := b.text[:b.idLength]
	b.text = b.text[b.idLength:]
	return id
}
