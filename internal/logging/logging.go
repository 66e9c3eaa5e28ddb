// Package logging writes klog's lines to a stream without ever blocking the code
// that logs.
package logging

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// pendingLines is the number of lines that may wait to be written.
	pendingLines = 4096
	// closeWait is how long Close waits for lines that are still to be written.
	closeWait = 200 * time.Millisecond
)

// Writer hands lines to a goroutine that writes them. When too many wait, new ones
// are left out and counted in a later line.
type Writer struct {
	to    io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	leftOut int
	closed  bool
}

// NewWriter returns a writer to a stream.
func NewWriter(to io.Writer) *Writer {
	w := &Writer{to: to, lines: make(chan []byte, pendingLines), done: make(chan struct{})}
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
	if w.leftOut > 0 && len(w.lines) < cap(w.lines) {
		w.lines <- fmt.Appendf(nil, "W Log lines left out: %d\n", w.leftOut)
		w.leftOut = 0
	}
	select {
	case w.lines <- append([]byte(nil), p...):
	default:
		w.leftOut++
	}
	return len(p), nil
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// A stream that can't be written to leaves nowhere to report it.
		_, _ = w.to.Write(line)
	}
}

// Close writes the lines that wait, for a short time at most.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}
