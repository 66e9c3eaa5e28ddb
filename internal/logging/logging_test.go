package logging

import (
	"bytes"
	"strings"
	"sync"
	"testing"
)

// blockedOutput takes lines only after it is released.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (o *blockedOutput) Write(p []byte) (int, error) {
	<-o.release
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

// Guards against lines that take the memory of the process while nobody reads them, and
// against lines that are left out without a word.
func TestPendingLinesAreBounded(t *testing.T) {
	out := &blockedOutput{release: make(chan struct{})}
	w := NewWriter(out)
	line := []byte(strings.Repeat("x", 10<<10) + "\n")
	const lines = 3 * maxPendingBytes / (10 << 10)
	for range lines {
		if _, err := w.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	w.mu.Lock()
	pending := w.pending
	w.mu.Unlock()
	if pending > maxPendingBytes || pending < maxPendingBytes/2 {
		t.Errorf("%d bytes are pending, the bound is %d", pending, maxPendingBytes)
	}
	close(out.release)
	w.Close()
	out.mu.Lock()
	defer out.mu.Unlock()
	if out.text.Len() == 0 {
		t.Error("nothing was written")
	}
}
