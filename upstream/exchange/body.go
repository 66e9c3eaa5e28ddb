package exchange

import (
	"io"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

const (
	// maxHeadBytes bounds the header of a reply, with all interim responses before it.
	maxHeadBytes = 64 << 10
	// smallBodyBytes is the size up to which a body is always read. Larger ones draw on
	// the memory that all replies share.
	smallBodyBytes = 16 << 10
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
	maxBody, maxTotal int64
	total             atomic.Int64
}

// reserve takes bytes of the total. It reports whether they were left.
func (m *replyMemory) reserve(bytes int64) bool {
	if m.total.Add(bytes) <= m.maxTotal {
		return true
	}
	m.total.Add(-bytes)
	return false
}

func (m *replyMemory) release(bytes int64) { m.total.Add(-bytes) }

// readBody reads a whole body. It reserves memory as the bytes arrive, since a length
// that is only announced costs the replica nothing. held is the memory that the caller
// has to release.
func (m *replyMemory) readBody(response *http.Response) (body []byte, held int64, err error) {
	defer response.Body.Close()
	size := response.ContentLength
	if size > m.maxBody {
		return nil, 0, errors.Wrapf(ErrTooLarge, "body of %d bytes", size)
	}
	if size >= 0 && size <= smallBodyBytes {
		body = make([]byte, size)
		_, err = io.ReadFull(response.Body, body)
		return body, 0, err
	}
	defer func() {
		if err != nil {
			m.release(held)
			held = 0
		}
	}()
	body = make([]byte, 0, smallBodyBytes)
	for {
		n, err := response.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, held, nil
		case err != nil:
			return nil, held, err
		case len(body) < cap(body):
			continue
		case int64(len(body)) >= m.maxBody:
			return nil, held, errors.Wrapf(ErrTooLarge, "body of more than %d bytes", m.maxBody)
		}
		larger := min(2*int64(cap(body)), m.maxBody)
		if !m.reserve(larger - held) {
			return nil, held, errors.Wrap(ErrTooLarge, "the memory for replies is used up")
		}
		held = larger
		body = append(make([]byte, 0, larger), body...)
	}
}
