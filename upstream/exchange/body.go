package exchange

import (
	"io"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
)

const (
	// maxHeadBytes bounds the header of a reply, with all interim responses before it.
	maxHeadBytes = 64 << 10
	// framingFactor bounds the bytes on the wire, with chunk headers and trailers, by a
	// multiple of the largest body.
	framingFactor = 2

	defaultMaxBodyBytes  = 64 << 20
	defaultMaxTotalBytes = 256 << 20
)

// ErrTooLarge reports a reply that exceeds its bound, or for which no memory is left.
var ErrTooLarge = errors.New("reply is too large")

// boundedReader reads at most left bytes and then fails with ErrTooLarge.
type boundedReader struct {
	io.Reader
	left int64
}

func (r *boundedReader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, errors.Wrap(ErrTooLarge, "more bytes than a reply may have")
	}
	n, err := r.Reader.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	return n, err
}

// replyMemory bounds the size of each reply and of all large replies that the process
// holds. When the total is used up, a reply that needs more is given up, so that replies
// that never end can't displace the others, which are small.
type replyMemory struct {
	maxBody int64
	total   *membudget.Budget
}

// readBody reads a whole body. held is the memory that the caller has to release.
func (m *replyMemory) readBody(response *http.Response) (body []byte, held int64, err error) {
	defer response.Body.Close()
	body, held, err = m.total.ReadAll(response.Body, response.ContentLength, m.maxBody)
	if errors.IsAny(err, membudget.ErrTooLarge, membudget.ErrExhausted) {
		err = errors.Mark(err, ErrTooLarge)
	}
	return body, held, err
}
