package query

import (
	"strconv"
	"strings"
)

// idDigits is the number of decimal digits of the attempt's number in its id.
// All ids of a query are of equal length, so that those of a batch can be cut
// from one string.
const idDigits = 6

// attemptNumber returns the number of an attempt of the query.
func attemptNumber(query, id string) (int, bool) {
	rest, ok := strings.CutPrefix(id, query)
	if !ok || len(rest) < 1+idDigits || rest[0] != '/' {
		return 0, false
	}
	n, err := strconv.Atoi(rest[1:])
	return n, err == nil && n >= 0
}

// appendID appends the id of the n-th attempt of a query.
func appendID(to []byte, query string, n int) []byte {
	to = append(to, query...)
	to = append(to, '/')
	for limit := 100_000; limit > max(n, 1); limit /= 10 {
		to = append(to, '0')
	}
	return strconv.AppendInt(to, int64(n), 10)
}

// idBatch holds ids of attempts to come in one string.
type idBatch struct {
	text string
	size int
}

// fill prepares the ids of n attempts from the given number on.
func (b *idBatch) fill(query string, from, n int) {
	b.size = len(query) + 1 + idDigits
	text := make([]byte, 0, n*b.size)
	for i := range n {
		text = appendID(text, query, from+i)
	}
	b.text = string(text)
}

// take returns the id of the n-th attempt of a query, which must be the next
// one of the batch if there is any left.
func (b *idBatch) take(query string, n int) string {
	if len(b.text) == 0 {
		return string(appendID(nil, query, n))
	}
	id := b.text[:b.size]
	b.text = b.text[b.size:]
	return id
}
