package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
)

const (
	// frameBytes is the largest size of a frame. It limits the time for which a frame of
	// a large message delays a small message: 0.13 ms at 1 Gbit/s.
	frameBytes = 16 << 10
	// smallBurstBytes is the number of bytes of small messages that are written before the
	// next frame of a large one. It prevents the starvation of large messages.
	smallBurstBytes = 64 << 10
	// maxInterleaved limits the number of large messages whose frames are interleaved, and
	// so the number of incomplete messages that the receiver has to keep.
	maxInterleaved = 8
	// headerBytes is the size of a frame header: flags (1 byte), message number (4),
	// length (4).
	headerBytes = 9
	flagLast    = 1
)

var (
	errStreamClosed = errors.New("peer stream closed")
	errOverflow     = errors.New("peer does not read: write queue overflow")
	errFrame        = errors.New("peer sent an invalid frame")
)

// outgoing is a message, or the rest of one, that waits to be written.
type outgoing struct {
	number    uint32
	remaining []byte
	size      int
}

// stream sends JSON messages in frames over a connection. It implements
// jsonrpc2.ObjectStream. WriteObject only queues a message, so that jsonrpc2's sending lock
// is not held while a large message is written.
type stream struct {
	conn         net.Conn
	reader       *bufio.Reader
	maxBytes     int
	queueBytes   int
	writeTimeout time.Duration
	total        *membudget.Budget // of the node
	sent         *atomic.Int64
	received     *atomic.Int64

	wake       chan struct{}
	writerDone chan struct{} // closed when the writer has ended

	mu               sync.Mutex
	closing          bool
	number           uint32
	queued           int
	small            []outgoing
	interleaved      []outgoing // large messages of which frames are being sent
	waitingLarge     []outgoing // large messages that are not started yet
	interleavedBytes int        // full size of the messages in interleaved

	parts      map[uint32][]byte // incomplete messages by number; used only by the read loop
	partsBytes int
}

func newStream(conn net.Conn, cfg Config, sent, received *atomic.Int64) *stream {
	s := &stream{
		conn:         conn,
		reader:       bufio.NewReaderSize(conn, frameBytes),
		maxBytes:     cfg.MaxMessageBytes,
		queueBytes:   cfg.MaxQueuedBytes,
		writeTimeout: cfg.WriteTimeout,
		total:        cfg.total,
		sent:         sent,
		received:     received,
		wake:         make(chan struct{}, 1),
		writerDone:   make(chan struct{}),
		parts:        make(map[uint32][]byte),
	}
	go s.writeLoop()
	return s
}

// fits reports whether a request of the given size fits into the queue. Answers are queued
// without this check: the connection is closed only when the queue exceeds twice the limit.
func (s *stream) fits(size int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queued+size <= s.queueBytes && s.total.Has(int64(size))
}

// WriteObject queues a message.
func (s *stream) WriteObject(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if len(data) > s.maxBytes {
		return errors.Wrapf(ErrTooLarge, "%d bytes encoded", len(data))
	}
	if err := s.enqueue(data); err != nil {
		return err
	}
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return nil
}

func (s *stream) enqueue(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return errStreamClosed
	}
	if s.queued+len(data) > 2*s.queueBytes || !s.total.Reserve(int64(len(data))) {
		_ = s.conn.Close()
		return errOverflow
	}
	s.number++
	s.queued += len(data)
	m := outgoing{number: s.number, remaining: data, size: len(data)}
	if len(data) <= frameBytes {
		s.small = append(s.small, m)
	} else {
		s.waitingLarge = append(s.waitingLarge, m)
	}
	return nil
}

func (s *stream) writeLoop() {
	defer close(s.writerDone)
	w := bufio.NewWriterSize(s.conn, frameBytes+headerBytes)
	for range s.wake {
		for {
			frames, bytes := s.nextFrames()
			if len(frames) == 0 {
				break
			}
			if err := s.write(w, frames); err != nil {
				_ = s.conn.Close() // makes the read loop fail, which ends the link
				return
			}
			s.dequeued(bytes)
		}
		s.mu.Lock()
		end := s.closing && s.queued == 0
		s.mu.Unlock()
		if end {
			return
		}
	}
}

// frame is a piece of a message.
type frame struct {
	number uint32
	last   bool
	data   []byte
}

// nextFrames takes a burst of small messages and one frame of a large message from the
// queues.
func (s *stream) nextFrames() (frames []frame, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.small) && bytes < smallBurstBytes {
		m := s.small[n]
		frames = append(frames, frame{m.number, true, m.remaining})
		bytes += len(m.remaining)
		n++
	}
	s.small = s.small[n:]
	if len(s.small) == 0 {
		s.small = nil
	}
	s.startWaiting()
	if f, ok := s.nextLargeFrame(); ok {
		frames = append(frames, f)
		bytes += len(f.data)
	}
	return frames, bytes
}

// startWaiting moves waiting large messages to the interleaved ones while the receiver's
// limits on the number and total size of incomplete messages allow it.
func (s *stream) startWaiting() {
	for len(s.waitingLarge) > 0 && len(s.interleaved) < maxInterleaved {
		m := s.waitingLarge[0]
		if s.interleavedBytes+m.size > 2*s.maxBytes {
			return
		}
		s.interleavedBytes += m.size
		s.interleaved = append(s.interleaved, m)
		s.waitingLarge = s.waitingLarge[1:]
	}
}

// nextLargeFrame takes a frame of the first interleaved message and moves the rest of the
// message to the end of the list.
func (s *stream) nextLargeFrame() (frame, bool) {
	if len(s.interleaved) == 0 {
		return frame{}, false
	}
	m := s.interleaved[0]
	s.interleaved = s.interleaved[1:]
	n := min(frameBytes, len(m.remaining))
	f := frame{m.number, n == len(m.remaining), m.remaining[:n]}
	m.remaining = m.remaining[n:]
	if f.last {
		s.interleavedBytes -= m.size
	} else {
		s.interleaved = append(s.interleaved, m)
	}
	return f, true
}

// dequeued subtracts written bytes from the size of the queue.
func (s *stream) dequeued(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := min(bytes, s.queued) // release may have come before
	s.queued -= n
	s.total.Release(int64(n))
}

// release gives up the messages that are still queued. It is called when the connection has
// ended.
func (s *stream) release() {
	s.mu.Lock()
	s.closing = true
	bytes := s.queued
	s.mu.Unlock()
	s.dequeued(bytes)
}

func (s *stream) write(w *bufio.Writer, frames []frame) error {
	if err := s.conn.SetWriteDeadline(time.Now().Add(s.writeTimeout)); err != nil {
		return err
	}
	var header [headerBytes]byte
	for _, f := range frames {
		header[0] = 0
		if f.last {
			header[0] = flagLast
		}
		binary.BigEndian.PutUint32(header[1:], f.number)
		binary.BigEndian.PutUint32(header[5:], uint32(len(f.data)))
		if _, err := w.Write(header[:]); err != nil {
			return err
		}
		if _, err := w.Write(f.data); err != nil {
			return err
		}
		s.sent.Add(int64(headerBytes + len(f.data)))
	}
	return w.Flush()
}

// ReadObject reads frames until a message is complete and decodes it.
func (s *stream) ReadObject(v any) error {
	for {
		data, complete, err := s.readFrame()
		if err != nil { // nothing is read any more
			s.total.Release(int64(s.partsBytes))
			s.partsBytes = 0
			return err
		}
		if complete {
			return json.Unmarshal(data, v)
		}
	}
}

// readFrame reads one frame. It returns the message if that is complete.
func (s *stream) readFrame() (data []byte, complete bool, err error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(s.reader, header[:]); err != nil {
		return nil, false, err
	}
	last := header[0]&flagLast != 0
	number := binary.BigEndian.Uint32(header[1:])
	length := int(binary.BigEndian.Uint32(header[5:]))
	if length > frameBytes {
		return nil, false, errors.Wrapf(errFrame, "%d bytes", length)
	}
	part, started := s.parts[number]
	if !started && !last && len(s.parts) >= maxInterleaved {
		return nil, false, errors.Wrap(errFrame, "too many incomplete messages")
	}
	if len(part)+length > s.maxBytes || s.partsBytes+length > 2*s.maxBytes {
		return nil, false, errors.Wrap(errFrame, "message too large")
	}
	data = append(part, make([]byte, length)...)
	if _, err := io.ReadFull(s.reader, data[len(part):]); err != nil {
		return nil, false, err
	}
	s.received.Add(int64(headerBytes + length))
	if last {
		s.partsBytes -= len(part)
		s.total.Release(int64(len(part)))
		delete(s.parts, number)
		return data, true, nil
	}
	if !s.total.Reserve(int64(length)) {
		return nil, false, errors.Wrap(errFrame, "too many incomplete messages of all peers")
	}
	s.partsBytes += length
	s.parts[number] = data
	return nil, false, nil
}

// Close writes the queued messages, for at most the write time-out, and closes the
// connection.
func (s *stream) Close() error {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
	timer := time.NewTimer(s.writeTimeout)
	defer timer.Stop()
	select {
	case <-s.writerDone:
	case <-timer.C:
	}
	return s.conn.Close()
}

// abort closes the connection without writing the queued messages.
func (s *stream) abort() { _ = s.conn.Close() }

// pending returns the bytes that wait to be written.
func (s *stream) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queued
}
