package once

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

const (
	// MaxKeyBytes is the largest length of a key. It keeps one entry from filling a
	// journal.
	MaxKeyBytes = 80
	// minRandomBytes is the shortest random part of a key. It prevents collisions
	// between callers that create a key in the same millisecond.
	minRandomBytes = 8
)

// ErrKey reports a key that is not of the form <Unix milliseconds>-<random>.
var ErrKey = errors.New("malformed idempotency key")

// Key is a parsed idempotency key.
type Key struct {
	Text string
	Time time.Time // creation time by the caller's clock
}

// NewKey returns a key for a creation time and a random text.
func NewKey(now time.Time, random string) string {
	return fmt.Sprintf("%d-%s", now.UnixMilli(), random)
}

// ParseKey parses a key of the form <Unix milliseconds>-<random>. The random part
// consists of at least 8 letters, digits or hyphens.
func ParseKey(text string) (Key, error) {
	if len(text) > MaxKeyBytes {
		return Key{}, errors.Wrapf(ErrKey, "key is longer than %d bytes", MaxKeyBytes)
	}
	digits, random, found := strings.Cut(text, "-")
	if !found || len(random) < minRandomBytes {
		return Key{}, errors.Wrapf(ErrKey, "random part is shorter than %d bytes", minRandomBytes)
	}
	for _, c := range random {
		if !allowedInKey(c) {
			return Key{}, errors.Wrapf(ErrKey, "character %q is not allowed", c)
		}
	}
	ms, err := strconv.ParseUint(digits, 10, 53)
	if err != nil || strconv.FormatUint(ms, 10) != digits {
		return Key{}, errors.Wrap(ErrKey, "no Unix time in milliseconds before the hyphen")
	}
	return Key{Text: text, Time: time.UnixMilli(int64(ms))}, nil
}

func allowedInKey(c rune) bool {
	return c >= '0' && c <= '9' || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '-'
}

// JournalOf returns the index of the journal that holds the key, given the number
// of journals.
func JournalOf(key string, n int) int {
	return int(xxhash.Sum64String(key) % uint64(n))
}

// JournalName returns the object name of a journal.
func JournalName(journal int) string {
	return fmt.Sprintf("journal/%02d", journal)
}

// WriterOf returns the host that should write a journal, chosen by rendezvous
// hashing over the live hosts, or "" if there are none. Hosts with different views
// of the live hosts may choose different writers. This causes update conflicts but
// does not affect correctness.
func WriterOf(journal int, hosts []string) string {
	var best string
	var bestScore uint64
	name := JournalName(journal)
	for _, h := range hosts {
		score := xxhash.Sum64String(name + "\x00" + h)
		if best == "" || score > bestScore || score == bestScore && h < best {
			best, bestScore = h, score
		}
	}
	return best
}
