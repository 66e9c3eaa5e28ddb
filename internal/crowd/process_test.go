package crowd

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/loopback"
)

// process is a daemon under test.
type process struct {
	command *exec.Cmd
	output  lockedBuffer
	ended   chan struct{} // closed when the process has ended
}

// lockedBuffer is a buffer that a process writes to while a test reads it.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// tail returns the end of what was written.
func (b *lockedBuffer) tail() string {
	const tailBytes = 3000
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.data.String()
	return text[max(0, len(text)-tailBytes):]
}

// binary is the path of the program of both kinds of daemons.
var binary string

// TestMain builds the program once for all tests.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	directory, err := os.MkdirTemp("", "crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(directory)
	binary = filepath.Join(directory, "marigoldleverd")
	if out, err := exec.Command("go", "build", "-o", binary, "../../cmd/marigoldleverd").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// startProcess starts a command, which is killed at the end of the test.
func startProcess(t *testing.T, command *exec.Cmd) *process {
	t.Helper()
	p := &process{command: command, ended: make(chan struct{})}
	command.Stdout, command.Stderr = &p.output, &p.output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = command.Wait() // the test checks whether the process has ended
		close(p.ended)
	}()
	t.Cleanup(func() {
		_ = command.Process.Kill() // the process may have ended
		<-p.ended
		if t.Failed() {
			t.Logf("end of the output:\n%s", p.output.tail())
		}
	})
	return p
}

// lives reports whether the process has not ended.
func (p *process) lives() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// peakMemoryMB returns the largest resident memory since the start of the process.
func (p *process) peakMemoryMB(t *testing.T) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 64)
			if err != nil {
				t.Fatal(err)
			}
			return kilobytes / 1024
		}
	}
	t.Fatal("the process has no VmHWM")
	return 0
}

// descriptors are the numbers of a process's open descriptors.
type descriptors struct{ all, sockets int }

// descriptors counts what is open at present; sockets includes pipes.
func (p *process) descriptors() (descriptors, error) {
	directory := fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)
	entries, err := os.ReadDir(directory)
	if err != nil {
		return descriptors{}, err
	}
	d := descriptors{all: len(entries)}
	for _, e := range entries {
		link, err := os.Readlink(filepath.Join(directory, e.Name()))
		if err == nil && (strings.HasPrefix(link, "socket:") || strings.HasPrefix(link, "pipe:")) {
			d.sockets++
		}
	}
	return d, nil
}

// watchDescriptors samples the open descriptors until the returned function is called, which
// returns the largest numbers.
func (p *process) watchDescriptors() (most func() descriptors) {
	const sampleInterval = 20 * time.Millisecond
	stop, result := make(chan struct{}), make(chan descriptors)
	go func() {
		var largest descriptors
		for {
			if d, err := p.descriptors(); err == nil {
				largest = descriptors{max(largest.all, d.all), max(largest.sockets, d.sockets)}
			}
			select {
			case <-stop:
				result <- largest
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return func() descriptors {
		close(stop)
		return <-result
	}
}

func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	addresses, err := loopback.FreeAddresses(n)
	if err != nil {
		t.Fatal(err)
	}
	return addresses
}

// bounds are what a process must stay within.
type bounds struct {
	memoryMB    float64
	descriptors descriptors
}

// playCrowd holds a crowd at a process. While it is open, each of the ordinary requests must be
// answered, and the process must live and stay within its bounds.
func (p *process) playCrowd(t *testing.T, target target, kind bodyKind, limit bounds, ordinary func(t *testing.T)) *crowd {
	t.Helper()
	most := p.watchDescriptors()
	c := startCrowd(target, kind)
	c.pause(joinTime + settleTime)
	ordinary(t)
	c.end()
	open := most()
	if !p.lives() {
		t.Fatal("the process has ended")
	}
	memory := p.peakMemoryMB(t)
	t.Logf("at most %.1f MB, %d descriptors, %d of them sockets; the crowd opened %d connections and got %d refusals", memory, open.all, open.sockets, c.opened, len(c.refused))
	if memory > limit.memoryMB {
		t.Errorf("the process took %.1f MB of %.0f", memory, limit.memoryMB)
	}
	if open.all > limit.descriptors.all || open.sockets > limit.descriptors.sockets {
		t.Errorf("the process had %+v open, allowed are %+v", open, limit.descriptors)
	}
	return c
}
