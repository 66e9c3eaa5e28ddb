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
	if w.droppedLines > 0 && len(w.lines) < cap(w.lines) {
		w.lines <- fmt.Appendf(nil, "W Log lines left out: %d\n", w.droppedLines)
		w.droppedLines = 0
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.droppedLines++
	}
	return len(p), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// An error can't be reported, because the log itself can't be written.
		_, _ = w.output.Write(line)
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
