// Package logging writes the lines of klog to a stream without blocking the code that
// logs.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingLines is the maximum number of lines that wait to be written.
	maxPendingLines = 4096
	// maxPendingBytes is their maximum size together.
	maxPendingBytes = 1 << 20
	// closeTimeout is how long Close waits for pending lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// Writer passes lines to a goroutine that writes them. If too many lines are pending,
// it drops new ones and reports their number in a later line.
type Writer struct {
	output io.Writer
	lines  chan []byte
	done   chan struct{}

	mu           sync.Mutex
	droppedLines int
	pending      int // bytes of the lines that are not written yet
	closed       bool
}

// NewWriter returns a Writer to output and starts its goroutine.
func NewWriter(output io.Writer) *Writer {
	w := &Writer{output: output, lines: make(chan []byte, maxPendingLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *Writer) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return len(p), nil
	}
	if w.droppedLines > 0 && w.add(fmt.Appendf(nil, "W Log lines left out: %d\n", w.droppedLines)) {
		w.droppedLines = 0
	}
	if !w.add(append([]byte(nil), p...)) {
		w.droppedLines++
	}
	return len(p), nil
}

// add queues a line. It reports whether there is room for it. The caller holds mu.
func (w *Writer) add(line []byte) bool {
	if w.pending+len(line) > maxPendingBytes || len(w.lines) == cap(w.lines) {
		return false
	}
	w.pending += len(line)
	w.lines <- line
	return true
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// An error can't be reported, because the log itself can't be written.
		_, _ = w.output.Write(line)
		w.mu.Lock()
		w.pending -= len(line)
		w.mu.Unlock()
	}
}

// Close waits until the pending lines are written, for at most closeTimeout.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
