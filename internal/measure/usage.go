// Package measure runs systems of several sizes in one process and reports the cost
// of a daemon: processor time, memory, messages, platform calls and the time until a
// configuration is in force. The figures of docs/CAPACITY.md are derived from these
// measurements.
//
// All daemons and stand-ins of a run share the process. Processor time is that of
// the whole process: a host's figure includes its share of the stand-ins and is an
// upper bound.
package measure

import (
	"runtime"
	"syscall"
	"time"
)

// usage is the resource usage of the process at one time.
type usage struct {
	at         time.Time
	processor  time.Duration // user and system time
	allocated  uint64        // bytes allocated since the process started
	heap       uint64        // bytes of allocated heap objects
	goroutines int
}

// processUsage returns the usage of this process. The heap may hold garbage.
func processUsage() usage {
	var r syscall.Rusage
	// Getrusage fails only for an invalid argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return usage{
		at:        time.Now(),
		processor: time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		allocated: m.TotalAlloc, heap: m.HeapAlloc, goroutines: runtime.NumGoroutine(),
	}
}

// usageAfterGC returns the usage after a garbage collection, when the heap holds
// only live objects.
func usageAfterGC() usage {
	runtime.GC()
	runtime.GC() // frees the objects that finalizers released after the first collection
	return processUsage()
}
