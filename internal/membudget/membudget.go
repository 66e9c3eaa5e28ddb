// Package membudget bounds the memory that several users of a kind hold together.
package membudget

import (
	"io"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// Budget is a number of bytes that its users share. It is safe for concurrent use.
type Budget struct {
	size  int64
	used  atomic.Int64
	short func() // nil if nothing can be freed
}

// New returns a budget of size bytes.
func New(size int64) *Budget { return &Budget{size: size} }

// shortShare is the share of a budget above which it is short.
const shortShare = 0.75

// WhenShort sets a function that is called with each reservation while the budget is short,
// and that makes users give back what they hold without need. It must be called before the
// first reservation; the function must not call the budget.
func (b *Budget) WhenShort(free func()) { b.short = free }

// Reserve takes bytes of the budget. It reports whether they were left; if not, it takes
// nothing.
func (b *Budget) Reserve(bytes int64) bool {
	used := b.used.Add(bytes)
	if b.short != nil && used > int64(shortShare*float64(b.size)) {
		b.short()
	}
	if used <= b.size {
		return true
	}
	b.used.Add(-bytes)
	return false
}

// Has reports whether bytes are left. Another user may reserve them at any time.
func (b *Budget) Has(bytes int64) bool { return b.used.Load()+bytes <= b.size }

// Release gives reserved bytes back.
func (b *Budget) Release(bytes int64) { b.used.Add(-bytes) }

// SmallBytes is the size up to which ReadAll needs no reservation.
const SmallBytes = 16 << 10

var (
	// ErrTooLarge reports content that exceeds its own limit.
	ErrTooLarge = errors.New("content is too large")
	// ErrExhausted reports that no memory is left in a budget.
	ErrExhausted = errors.New("the memory for content is used up")
)

// ReadAll reads content of at most limit bytes. size is its announced size, negative if none
// is. The memory of content that is not small is reserved as the bytes arrive, since an
// announced size costs its sender nothing; the caller has to release held.
func (b *Budget) ReadAll(r io.Reader, size, limit int64) (content []byte, held int64, err error) {
	if size > limit {
		return nil, 0, errors.Wrapf(ErrTooLarge, "%d bytes", size)
	}
	if size >= 0 && size <= SmallBytes {
		content = make([]byte, size)
		_, err = io.ReadFull(r, content)
		return content, 0, err
	}
	defer func() {
		if err != nil {
			b.Release(held)
			content, held = nil, 0
		}
	}()
	content = make([]byte, 0, min(SmallBytes, limit+1))
	for {
		n, err := r.Read(content[len(content):cap(content)])
		content = content[:len(content)+n]
		switch {
		case int64(len(content)) > limit:
			return nil, held, errors.Wrapf(ErrTooLarge, "more than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return content, held, nil
		case err != nil:
			return nil, held, err
		case len(content) < cap(content):
			continue
		}
		larger := min(2*int64(cap(content)), limit+1) // one more byte shows that there are too many
		if !b.Reserve(larger - held) {
			return nil, held, ErrExhausted
		}
		held = larger
		content = append(make([]byte, 0, larger), content...)
	}
}
