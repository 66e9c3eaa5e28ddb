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
)

const (
	// frameBytes is the largest frame. It bounds how long a started frame of a
	// large message holds up a small one: 0.13 ms at 1 Gbit/s.
	frameBytes = 16 << 10
	// smallBurstBytes of small messages may pass before the next frame of a
	// large one, so that many small messages cannot starve a large one.
	smallBurstBytes = 64 << 10
	// maxInterleaved bounds the large messages that are sent in turns, and with
	// it the parts that the receiver has to keep.
	maxInterleaved = 8
	// headerBytes: flags (1), message number (4), length (4).
	headerBytes = 9
	flagLast    = 1
)

var (
	errStreamClosed = errors.New("peer stream closed")
	errOverflow     = errors.New("peer does not read: write queue overflow")
	errFrame        = errors.New("peer sent an invalid frame")
)

// outgoing is a message that waits to be written, or the rest of one.
type outgoing struct {
	number uint32
	rest   []byte
	size   int
}

// stream frames JSON messages on a connection. It implements
// jsonrpc2.ObjectStream. WriteObject only queues, so that jsonrpc2's sending
// lock is never held while a large message is written.
type stream struct {
	conn         net.Conn
	reader       *bufio.Reader
	maxBytes     int
	queueBytes   int
	writeTimeout time.Duration
	sent         *atomic.Int64
	received     *atomic.Int64

	wake    chan struct{}
	drained chan struct{} // closed when the writer has ended

	mu      sync.Mutex
	closing bool
	number  uint32
	queued  int
	small   []outgoing
	turns   []outgoing // large messages that are sent in turns
	waiting []outgoing // large messages that wait for a turn
	turnSum int        // bytes of the messages in turns

	parts    map[uint32][]byte // read loop only
	partsSum int
}

func newStream(conn net.Conn, cfg Config, sent, received *atomic.Int64) *stream {
	s := &stream{
		conn:         conn,
		reader:       bufio.NewReaderSize(conn, frameBytes),
		maxBytes:     cfg.MaxMessageBytes,
		queueBytes:   cfg.MaxQueuedBytes,
		writeTimeout: cfg.WriteTimeout,
		sent:         sent,
		received:     received,
		wake:         make(chan struct{}, 1),
		drained:      make(chan struct{}),
		parts:        make(map[uint32][]byte),
	}
	go s.writeLoop()
	return s
}

// room reports whether a request of the given size fits into the queue. Answers
// do not ask: they may use as much again before the connection is given up.
func (s *stream) room(size int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queued+size <= s.queueBytes
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
	if s.queued+len(data) > 2*s.queueBytes {
		_ = s.conn.Close()
		return errOverflow
	}
	s.number++
	s.queued += len(data)
	m := outgoing{number: s.number, rest: data, size: len(data)}
	if len(data) <= frameBytes {
		s.small = append(s.small, m)
	} else {
		s.waiting = append(s.waiting, m)
	}
	return nil
}

func (s *stream) writeLoop() {
	defer close(s.drained)
	w := bufio.NewWriterSize(s.conn, frameBytes+headerBytes)
	for range s.wake {
		for {
			frames, bytes := s.next()
			if len(frames) == 0 {
				break
			}
			if err := s.write(w, frames); err != nil {
				_ = s.conn.Close() // the read loop sees it and ends the connection
				return
			}
			s.done(bytes)
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

// next takes a burst of small messages and one frame of a large message.
func (s *stream) next() (frames []frame, bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for n < len(s.small) && bytes < smallBurstBytes {
		m := s.small[n]
		frames = append(frames, frame{m.number, true, m.rest})
		bytes += len(m.rest)
		n++
	}
	s.small = s.small[n:]
	if len(s.small) == 0 {
		s.small = nil
	}
	s.admit()
	if f, ok := s.turn(); ok {
		frames = append(frames, f)
		bytes += len(f.data)
	}
	return frames, bytes
}

// admit moves waiting large messages into the turns while the receiver's bounds
// (count and sum of parts) allow it.
func (s *stream) admit() {
	for len(s.waiting) > 0 && len(s.turns) < maxInterleaved {
		m := s.waiting[0]
		if s.turnSum+m.size > 2*s.maxBytes {
			return
		}
		s.turnSum += m.size
		s.turns = append(s.turns, m)
		s.waiting = s.waiting[1:]
	}
}

// turn takes a frame of the first large message and moves its rest to the end.
func (s *stream) turn() (frame, bool) {
	if len(s.turns) == 0 {
		return frame{}, false
	}
	m := s.turns[0]
	s.turns = s.turns[1:]
	n := min(frameBytes, len(m.rest))
	f := frame{m.number, n == len(m.rest), m.rest[:n]}
	m.rest = m.rest[n:]
	if f.last {
		s.turnSum -= m.size
	} else {
		s.turns = append(s.turns, m)
	}
	return f, true
}

func (s *stream) done(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queued -= bytes
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
		if err != nil {
			return err
		}
		if complete {
			return json.Unmarshal(data, v)
		}
	}
}

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
		return nil, false, errors.Wrap(errFrame, "too many messages in parts")
	}
	if len(part)+length > s.maxBytes || s.partsSum+length > 2*s.maxBytes {
		return nil, false, errors.Wrap(errFrame, "message too large")
	}
	data = append(part, make([]byte, length)...)
	if _, err := io.ReadFull(s.reader, data[len(part):]); err != nil {
		return nil, false, err
	}
	s.received.Add(int64(headerBytes + length))
	if last {
		s.partsSum -= len(part)
		delete(s.parts, number)
		return data, true, nil
	}
	s.partsSum += length
	s.parts[number] = data
	return nil, false, nil
}

// Close writes what is queued, for at most the write time-out, and closes the
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
	case <-s.drained:
	case <-timer.C:
	}
	return s.conn.Close()
}

// pending returns the bytes that wait to be written.
func (s *stream) pending() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queued
}
