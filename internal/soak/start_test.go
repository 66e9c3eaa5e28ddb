package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// handlesSignal reports whether a process catches or ignores a signal, by the masks that the
// kernel shows.
func handlesSignal(pid int, s syscall.Signal) bool {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return false
	}
	for line := range strings.Lines(string(status)) {
		name, text, _ := strings.Cut(line, ":")
		if name != "SigIgn" && name != "SigCgt" {
			continue
		}
		mask, err := strconv.ParseUint(strings.TrimSpace(text), 16, 64)
		if err == nil && mask&(1<<(s-1)) != 0 {
			return true
		}
	}
	return false
}

// Guards against a host that ends when it gets SIGHUP before it asks for signals: it gets them
// in series, from the moment on at which the process has set up any of them.
func TestHostSurvivesSignalsAtItsStart(t *testing.T) {
	const (
		starts     = 10
		signalGap  = 300 * time.Microsecond
		signalTime = 100 * time.Millisecond
	)
	f := newFleet(t, buildHost(t), tierSize{hosts: 1}, grace)
	h := f.newHost(0)
	for range starts {
		f.start(h)
		process := h.command.Process
		for end := time.Now().Add(5 * time.Second); !handlesSignal(process.Pid, syscall.SIGHUP); {
			if time.Now().After(end) {
				t.Fatal("the process sets up no signal")
			}
		}
		for end := time.Now().Add(signalTime); time.Now().Before(end); time.Sleep(signalGap) {
			if err := process.Signal(syscall.SIGHUP); err != nil {
				t.Fatal(err)
			}
		}
		f.awaitListening(h)
		if err := process.Kill(); err != nil {
			t.Fatal(err)
		}
		_ = h.command.Wait() // reports the kill
	}
}
