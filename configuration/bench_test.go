package configuration

import (
	"fmt"
	"runtime"
	"testing"
)

// Target size of docs/design.md, section 1.6.
const (
	targetServices = 620
	targetReplicas = 14_000
)

// chain returns a version of the target size and the patches of n more.
func chain(b *testing.B, n int) (*snapshot, []PatchRecord) {
	s := sampleSnapshot(b, targetServices, targetReplicas)
	last := s
	for i := range n {
		p := setSlots(fmt.Sprintf("p%d", i), i%targetServices, 0, 1+i%2)
		if i%10 == 0 {
			p = setOut(fmt.Sprintf("p%d", i), i/10%9, i%20 == 0)
		}
		last = mustApply(b, last, p)
	}
	return s, last.Patches[len(last.Patches)-n:]
}

// BenchmarkFollow applies one accepted patch and verifies the digest.
func BenchmarkFollow(b *testing.B) {
	s, records := chain(b, 1)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.follow(records[0]); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkFollowWhole applies a patch that needs the whole document.
func BenchmarkFollowWhole(b *testing.B) {
	s, _ := chain(b, 1)
	p := Patch{ID: "move", Type: JSONPatch, Body: []byte(`[{"op":"move","from":"/groups/0/services/0","path":"/groups/0/services/1"}]`)}
	record := mustApply(b, s, p).Patches[1]
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.follow(record); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkCompile validates a version and makes its indexes.
func BenchmarkCompile(b *testing.B) {
	s, _ := chain(b, 0)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Compile(s.Version); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTrackerPatch takes one patch from a peer: apply, verify, compile.
func BenchmarkTrackerPatch(b *testing.B) {
	s, records := chain(b, 1)
	delta := Delta{Number: records[0].Number, Patches: records}
	b.ReportMetric(float64(len(canonical(delta))), "delta-bytes")
	b.ReportAllocs()
	for b.Loop() {
		t := NewTracker(TrackerConfig{Host: "h"})
		t.held = s
		if _, err := t.takeDelta(start, delta); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTrackerWatch takes one patch from the platform on a watching host
// that holds the version before, with a full history.
func BenchmarkTrackerWatch(b *testing.B) {
	held, _ := chain(b, 0)
	for i := range maxRecords {
		held = mustApply(b, held, setSlots(fmt.Sprintf("p%d", i), i%targetServices, 0, 1+i%2))
	}
	next := mustApply(b, held, setOut("out", 1, true))
	stored := object(b, next)
	b.ReportMetric(float64(len(stored.Value)), "value-bytes")
	b.ReportAllocs()
	for b.Loop() {
		t := NewTracker(TrackerConfig{Host: "h"})
		t.held = held
		if _, err := t.Platform(start, stored); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDecodeValue decodes a stored value from scratch, as a new host does.
func BenchmarkDecodeValue(b *testing.B) {
	s, _ := chain(b, 0)
	value := object(b, s).Value
	b.ReportAllocs()
	for b.Loop() {
		o, err := openValue(value)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := o.snapshot(nil); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkEditor prepares one patch: apply, validate, encode.
func BenchmarkEditor(b *testing.B) {
	s, _ := chain(b, 0)
	p := setOut("p", 1, true)
	p.Base = s.Number
	b.ReportAllocs()
	for b.Loop() {
		if _, _, err := prepare(s, p); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkMemory reports the live heap of one compiled version, and of each
// further version that a patch leads to.
func BenchmarkMemory(b *testing.B) {
	for b.Loop() {
		before := liveBytes()
		first, err := Compile(sampleSnapshot(b, targetServices, targetReplicas).Version)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(liveBytes()-before), "first-bytes")
		s := newSnapshot(first.Document)
		s.Number = first.Number
		before = liveBytes()
		const further = 10
		actives := make([]*Active, further)
		for i := range actives {
			s = mustApply(b, s, setSlots(fmt.Sprintf("p%d", i), i, 0, 1))
			if actives[i], err = Compile(s.Version); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(liveBytes()-before)/further, "further-bytes")
		runtime.KeepAlive(first)
		runtime.KeepAlive(actives)
	}
}

// liveBytes returns the number of live bytes.
func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
