package configuration

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// Target size of docs/design.md, section 1.6.
const (
	targetServices = 620
	targetReplicas = 14_000
)

// targetVersion returns a version of the target size and n patches that follow it.
// Every tenth patch takes a data centre out of service or back into service.
func targetVersion(b *testing.B, n int) (*snapshot, []PatchRecord) {
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

// BenchmarkPatch measures the steps of processing one patch:
//
//   - parse decodes and validates a document from a file;
//   - follow applies an accepted patch and verifies its digest;
//   - whole does the same for a patch that needs the whole document;
//   - compile builds the indexes;
//   - editor applies, validates and encodes a new patch;
//   - peer and watch bring a Tracker to the next version, with patches from a peer
//     or with a head from the platform and a full history;
//   - decode starts a Tracker from a stored version.
func BenchmarkPatch(b *testing.B) {
	s, records := targetVersion(b, 1)
	move := Patch{ID: "move", Type: JSONPatch, Body: []byte(`[{"op":"move","from":"/groups/0/services/0","path":"/groups/0/services/1"}]`)}
	whole := mustApply(b, s, move).Patches[1]
	out := setOut("p", 1, true)
	out.Base = s.Number
	delta := Delta{Number: records[0].Number, Patches: records}
	held := s
	for i := range maxRecords {
		held = mustApply(b, held, setSlots(fmt.Sprintf("p%d", i), i%targetServices, 0, 1+i%2))
	}
	ahead := mustApply(b, held, out)
	content, head := stored(b, ahead), headOfDefaultSize(b, ahead)
	document := canonical(s.Document)
	for _, bb := range []struct {
		name  string
		bytes int // transferred
		run   func() error
	}{
		{"parse", 0, func() error { _, err := ParseDocument(document); return err }},
		{"follow", 0, func() error { _, err := s.apply(records[0]); return err }},
		{"whole", 0, func() error { _, err := s.apply(whole); return err }},
		{"compile", 0, func() error { _, err := Compile(s.Version); return err }},
		{"editor", 0, func() error { _, err := prepare(&testCompressor, s, out); return err }},
		{"peer", len(canonical(delta)), withTracker(b, s, func(t *Tracker) error { _, err := t.adoptDelta(start, delta); return err })},
		{"watch", len(head.Value), withTracker(b, held, func(t *Tracker) error { _, err := t.HeadReceived(start, head); return err })},
		{"decode", content.bytes(), withTracker(b, nil, func(t *Tracker) error { _, err := content.deliverTo(t); return err })},
	} {
		b.Run(bb.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := bb.run(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bb.bytes), "transferred-bytes")
		})
	}
}

// headOfDefaultSize returns a head of DefaultHeadBytes or slightly more.
func headOfDefaultSize(b *testing.B, s *snapshot) objectstore.Object {
	for n := 1; ; n++ {
		h := &head{Format: headFormat, Number: s.Number, Digest: s.Digest, Patches: s.Patches[len(s.Patches)-n:]}
		h.Checkpoint = checkpoint{Number: s.Number - uint64(n)}
		value, err := h.encode(&testCompressor)
		if err != nil {
			b.Fatal(err)
		}
		if len(value) >= DefaultHeadBytes {
			return objectstore.Object{Name: ObjectName, Version: s.Number, Value: value}
		}
	}
}

// bytes returns the total size of all values.
func (o objects) bytes() int {
	n := 0
	for _, object := range o {
		n += len(object.Value)
	}
	return n
}

// withTracker returns a function that calls run with a new Tracker that holds a
// version, or none if s is nil.
func withTracker(b *testing.B, s *snapshot, run func(*Tracker) error) func() error {
	if s == nil {
		return func() error { return run(NewTracker(TrackerConfig{Host: "h"})) }
	}
	active, err := Compile(s.Version)
	if err != nil {
		b.Fatal(err)
	}
	return func() error {
		t := trackerAt(s)
		t.active = active
		return run(t)
	}
}

// BenchmarkMemory reports the live heap of the first version of a Tracker, and that
// of each further version kept in addition.
func BenchmarkMemory(b *testing.B) {
	s, _ := targetVersion(b, 0)
	content := stored(b, s)
	const further = 10
	_, records := targetVersion(b, further)
	var first, added uint64
	for b.Loop() {
		before := liveBytes()
		t := NewTracker(TrackerConfig{Host: "h"})
		if _, err := content.deliverTo(t); err != nil {
			b.Fatal(err)
		}
		first = liveBytes() - before
		before = liveBytes()
		kept := []*Active{t.Active()}
		for _, r := range records {
			if _, err := t.adoptDelta(start, Delta{Number: r.Number, Patches: []PatchRecord{r}}); err != nil {
				b.Fatal(err)
			}
			kept = append(kept, t.Active())
		}
		added = liveBytes() - before
		runtime.KeepAlive(kept)
	}
	b.ReportMetric(float64(first), "first-bytes")
	b.ReportMetric(float64(added)/further, "further-bytes")
}

// liveBytes returns the number of live bytes on the heap.
func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
