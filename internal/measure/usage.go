// Package measure runs embedded systems of several sizes and reports what a daemon
// costs: processor time, memory, messages, platform calls and the time until a
// configuration is in force. docs/CAPACITY.md derives its figures from them.
//
// All daemons and stand-ins of a run share one process. Processor time is that of
// the whole process, so a host's figure includes its part of the stand-ins and is
// an upper bound.
package measure

import (
	"runtime"
	"syscall"
	"time"
)

// usage is what the process has used up to a moment.
type usage struct {
	at         time.Time
	processor  time.Duration // user and system time
	allocated  uint64        // bytes allocated since the start
	heap       uint64        // bytes in use after a collection
	goroutines int
}

// processUsage reads the usage of this process without a collection.
func processUsage() usage {
	var r syscall.Rusage
	// The only fault that the call can report is a wrong argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		at:        time.Now(),
		processor: time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		allocated: m.TotalAlloc, heap: m.HeapAlloc, goroutines: runtime.NumGoroutine(),
	}
}

// settledUsage reads the usage after a collection, so that the heap has live
// objects only.
func settledUsage() usage {
	runtime.GC()
	runtime.GC() // the second one frees what the finalisers of the first released
	return processUsage()
}
