package exchange

import (
	"net"
	"sync"
	"time"
)

const (
	// maxCopiedBody is the size up to which a body is copied behind its head, which is cheaper
	// than to write both in one call from two places.
	maxCopiedBody = 2 << 10
	// maxKeptBuffer is the capacity up to which a buffer is kept for other requests.
	maxKeptBuffer = 16 << 10
)

// writeBuffers are buffers for heads and small bodies of requests.
var writeBuffers = sync.Pool{New: func() any { b := make([]byte, 0, maxCopiedBody); return &b }}

func putWriteBuffer(b *[]byte) {
	if cap(*b) <= maxKeptBuffer {
		writeBuffers.Put(b)
	}
}

// writeRequest writes a request. A large body is not copied: the sends of a request to many
// replicas share it, and keep nothing but the body while they await their replies.
func (c *conn) writeRequest(codec Codec, call Call, remaining time.Duration) error {
	buffer := writeBuffers.Get().(*[]byte)
	defer putWriteBuffer(buffer)
	*buffer = codec.AppendHead((*buffer)[:0], call.Request, call.Destination.ID, remaining)
	body := call.Request.Body
	if len(body) <= maxCopiedBody {
		*buffer = append(*buffer, body...)
		_, err := c.Write(*buffer)
		return err
	}
	message := net.Buffers{*buffer, body}
	_, err := message.WriteTo(c.Conn)
	return err
}
