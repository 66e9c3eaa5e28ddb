package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// signals are what a replica says in its answers alone, and the requests that came
// nevertheless.
type signals struct {
	mu          sync.Mutex
	leaving     bool
	pausedUntil time.Time
	lateAfter   time.Time // requests after this time are late; zero if none is
	late        int
}

// arrived records a request. It returns the header lines to answer with, and whether the
// replica is paused.
func (s *signals) arrived(now time.Time) (lines string, paused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.lateAfter.IsZero() && now.After(s.lateAfter) {
		s.late++
	}
	if s.leaving {
		lines = "Server-Leaving: 1\r\n"
	}
	if pause := s.pausedUntil.Sub(now); pause > 0 {
		return lines + fmt.Sprintf("Retry-After: %.3f\r\n", pause.Seconds()), true
	}
	return lines, false
}

func (s *signals) begin(leaving bool, pausedUntil, lateAfter time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving, s.pausedUntil, s.lateAfter, s.late = leaving, pausedUntil, lateAfter, 0
}

// end returns the number of late requests and counts no more.
func (s *signals) end() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lateAfter = time.Time{}
	return s.late
}

const (
	// firstContactTime is how long hosts usually take to hear of a replica's signal.
	firstContactTime = time.Second
	// concurrentCallers is the number of requests that are in progress at a time. A host
	// may have that many in flight when it hears of a signal for the first time.
	concurrentCallers = 6
)

// leaveInAnswers makes a replica say only in its answers that it is leaving, and starts
// another one.
func (f *fleet) leaveInAnswers(r *replica, step int) {
	f.exchangeReplica(r, step)
	starts := f.starts.Load()
	now := time.Now()
	r.signals.begin(true, time.Time{}, now.Add(firstContactTime))
	time.Sleep(drainTime)
	f.checkLate(r, "leaving", starts)
	f.store.put("servers", r.id, nil)
}

// pauseInAnswers makes a replica refuse all requests and ask for a pause of a duration.
func (f *fleet) pauseInAnswers(r *replica, duration time.Duration) {
	starts := f.starts.Load()
	now := time.Now()
	r.signals.begin(false, now.Add(firstContactTime+duration), now.Add(firstContactTime))
	time.Sleep(firstContactTime + duration)
	f.checkLate(r, "paused", starts)
}

// checkLate checks that each host has sent a replica no more requests than were in flight
// when it heard of the replica's signal. A host that has started since forgets signals.
func (f *fleet) checkLate(r *replica, signal string, starts int64) {
	limit := concurrentCallers * (len(f.hosts) + int(f.starts.Load()-starts))
	if late := r.signals.end(); late > limit {
		f.t.Errorf("SIGNAL: %s got %d requests while it was %s, want at most %d", r.id, late, signal, limit)
	}
}

// checkMemory checks that a host never took more than half of its memory.
func (f *fleet) checkMemory(h *host) {
	if most := peakMemoryMB(f.t, h.command.Process.Pid); most > hostMemoryMB/2 {
		f.t.Errorf("MEMORY: %s took %.0f of %d MB", h.name, most, hostMemoryMB)
	}
}

// peakMemoryMB returns the most memory that a process took, in MB.
func peakMemoryMB(t *testing.T, pid int) float64 { return statusMB(t, pid, "VmHWM:") }

// anonymousMB returns the memory of a process without its program file, in MB.
func anonymousMB(t *testing.T, pid int) float64 { return statusMB(t, pid, "RssAnon:") }

// statusMB returns a size in the status of a process, in MB.
func statusMB(t *testing.T, pid int, field string) float64 {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(status)) {
		if text, ok := strings.CutPrefix(line, field); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(text)[0])
			if err != nil {
				t.Fatal(err)
			}
			return float64(kilobytes) / 1024
		}
	}
	t.Fatalf("the status of the process has no %s", field)
	return 0
}
