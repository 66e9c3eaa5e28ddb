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

// target returns a version of the target size and the patches of n more, each
// tenth of which takes a data centre out or in.
func target(b *testing.B, n int) (*snapshot, []PatchRecord) {
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

// BenchmarkPatch measures the work for one patch. follow applies an accepted
// one and verifies its digest; whole does so for a patch that needs the whole
// document; compile makes the indexes; editor applies, validates and encodes a
// new one; peer and watch bring a Tracker from one version to the next, from a
// peer and from the platform with a full history; decode starts a Tracker; parse
// decodes and validates a document in a file.
func BenchmarkPatch(b *testing.B) {
	s, records := target(b, 1)
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
	content, head := stored(b, ahead), headOf(b, ahead)
	document := canonical(s.Document)
	for _, bb := range []struct {
		name  string
		bytes int // transferred
		run   func() error
	}{
		{"parse", 0, func() error { _, err := ParseDocument(document); return err }},
		{"follow", 0, func() error { _, err := s.follow(records[0]); return err }},
		{"whole", 0, func() error { _, err := s.follow(whole); return err }},
		{"compile", 0, func() error { _, err := Compile(s.Version); return err }},
		{"editor", 0, func() error { _, err := prepare(&testCompressor, s, out); return err }},
		{"peer", len(canonical(delta)), trackerRun(b, s, func(t *Tracker) error { _, err := t.takeDelta(start, delta); return err })},
		{"watch", len(head.Value), trackerRun(b, held, func(t *Tracker) error { _, err := t.HeadReceived(start, head); return err })},
		{"decode", content.bytes(), trackerRun(b, nil, func(t *Tracker) error { _, err := content.show(t); return err })},
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

// headOf returns a head of DefaultHeadBytes or a little more.
func headOf(b *testing.B, s *snapshot) objectstore.Object {
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

// bytes returns the size of all values.
func (o objects) bytes() int {
	n := 0
	for _, object := range o {
		n += len(object.Value)
	}
	return n
}

// trackerRun returns a function that runs with a Tracker that holds a version.
func trackerRun(b *testing.B, s *snapshot, run func(*Tracker) error) func() error {
	if s == nil {
		return func() error { return run(NewTracker(TrackerConfig{Host: "h"})) }
	}
	active, err := Compile(s.Version)
	if err != nil {
		b.Fatal(err)
	}
	return func() error {
		t := holding(s)
		t.active = active
		return run(t)
	}
}

// BenchmarkMemory reports the live heap of the first version of a Tracker, and
// of each further version that is kept besides.
func BenchmarkMemory(b *testing.B) {
	s, _ := target(b, 0)
	content := stored(b, s)
	const further = 10
	_, records := target(b, further)
	var first, more uint64
	for b.Loop() {
		before := liveBytes()
		t := NewTracker(TrackerConfig{Host: "h"})
		if _, err := content.show(t); err != nil {
			b.Fatal(err)
		}
		first = liveBytes() - before
		before = liveBytes()
		kept := []*Active{t.Active()}
		for _, r := range records {
			if _, err := t.takeDelta(start, Delta{Number: r.Number, Patches: []PatchRecord{r}}); err != nil {
				b.Fatal(err)
			}
			kept = append(kept, t.Active())
		}
		more = liveBytes() - before
		runtime.KeepAlive(kept)
	}
	b.ReportMetric(float64(first), "first-bytes")
	b.ReportMetric(float64(more)/further, "further-bytes")
}

// liveBytes returns the number of live bytes.
func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
