package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// drawPatch draws a patch of a sample document with 3 services. The patch may be
// invalid.
func drawPatch(t *rapid.T, d Document) Patch {
	if rapid.IntRange(0, 3).Draw(t, "merge") == 0 {
		bodies := []string{
			`{"data_centres":[{"name":"region-0-a","region":"x"}]}`, `{"units":null}`, `{"units":[]}`,
			`{"contracts":null}`, `{}`, `[]`, `null`, `{"groups":[]}`, `{"groups":null}`, `{"Groups":[]}`, `{"extra":{"a":null}}`,
			`{"contracts":[{"name":"c","groups":["licence-desk"],"answer_time":"1 second","minimum_coverage":"1 whole","upstream_load":"1 slot"}]}`,
		}
		return Patch{Type: MergePatch, Body: json.RawMessage(rapid.SampledFrom(bodies).Draw(t, "body"))}
	}
	paths := []string{
		"", "/groups", "/groups/0", "/groups/0/name", "/groups/0/services", "/groups/0/services/0", "/groups/0/services/-",
		"/groups/0/services/1/replicas", "/groups/0/services/1/replicas/0", "/groups/0/services/2/replicas/-",
		"/groups/0/services/0/replicas/0/slots", "/groups/0/services/2/replicas/1/slots", "/groups/0/services/01/replicas/0/slots",
		"/groups/0/services/9/replicas/0/slots", "/groups/-1/services/0/name", "/groups/0/services/1/name", "/groups/0/services/2/partition",
		"/data_centres/0", "/data_centres/1/out", "/data_centres/-", "/units/0", "/contracts/0/prefer", "/contracts/0/colour", "bad",
	}
	kinds := []string{"add", "replace", "remove", "move", "copy", "test"}
	values := []json.RawMessage{
		[]byte(`3`), []byte(`true`), []byte(`null`), []byte(`"latency"`), []byte(`{}`), []byte(`[]`),
		[]byte(`{"name":"=0/1","partition":{"start":"0","end":"0"},"replicas":[]}`),
		canonical(d.Groups[0]), canonical(d.Groups[0].Services[1]), canonical(d.Groups), canonical(d.Groups[0].Services[1].Replicas[0]), canonical(d.DataCentres[1]),
	}
	if rapid.Bool().Draw(t, "lists") {
		paths = []string{"/groups/0/services/0", "/groups/0/services/1", "/groups/0/services/-", "/groups/0/services/2/replicas/0/slots", "/groups/-", "/data_centres/1/out"}
		kinds, values = kinds[:4], values[6:9]
	}
	var operations []map[string]any
	for range rapid.IntRange(1, 4).Draw(t, "operations") {
		o := map[string]any{
			"op":   rapid.SampledFrom(kinds).Draw(t, "op"),
			"path": rapid.SampledFrom(paths).Draw(t, "path"),
		}
		switch o["op"] {
		case "move", "copy":
			o["from"] = rapid.SampledFrom(paths).Draw(t, "from")
		case "add", "replace", "test":
			o["value"] = rapid.SampledFrom(values).Draw(t, "value")
		}
		if rapid.Bool().Draw(t, "misspelt") {
			o["Path"] = "/units"
		}
		operations = append(operations, o)
	}
	return Patch{Type: JSONPatch, Body: canonical(operations)}
}

// Guards against a patch whose application to a sparse document, or to a document
// with stubs, differs in its result or its acceptance from the application to the
// whole document.
func TestSparsePatchMatchesWhole(t *testing.T) {
	base := sampleSnapshot(t, 3, 6)
	sparse, accepted, listed := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		p := drawPatch(t, base.Document)
		touched, ok := base.touchedServices(p)
		var got *snapshot
		var gotErr error
		if ok {
			sparse++
			got, gotErr = base.patchedSparse(p, touched, submitted)
		} else if got, ok = base.patchedLists(p, submitted); ok {
			listed++
		} else {
			return
		}
		var want Document
		whole, wantErr := applyBody(p.Type, canonical(base.Document), p.Body)
		if wantErr == nil {
			wantErr = decodeStrict(whole, &want)
		}
		if (gotErr == nil) != (wantErr == nil) {
			t.Fatalf("patch %s: sparse: %v, whole: %v", p.Body, gotErr, wantErr)
		}
		if gotErr != nil {
			return
		}
		accepted++
		s := newSnapshot(want)
		if got.Digest != s.Digest || !reflect.DeepEqual(got.Document, s.Document) {
			t.Fatalf("patch %s: sparse: %s, whole: %s", p.Body, canonical(got.Document), canonical(s.Document))
		}
	})
	t.Logf("%d patches were sparse, %d changed lists, %d of both were valid", sparse, listed, accepted)
	if sparse < 20 || accepted < 5 || listed < 5 {
		t.Errorf("only %d patches were sparse, %d changed lists, %d of both were valid", sparse, listed, accepted)
	}
}

// Guards against a patch that modifies the version that it is applied to.
func TestVersionsAreImmutable(t *testing.T) {
	s := sampleSnapshot(t, 3, 6)
	before := string(canonical(s.Document))
	next := mustApply(t, s, setSlots("a", 1, 0, 7))
	next = mustApply(t, next, setOut("b", 1, true))
	if string(canonical(s.Document)) != before || s.Digest != newSnapshot(s.Document).Digest {
		t.Error("the base version changed")
	}
	if next.Document.Groups[0].Services[1].Replicas[0].Slots != 7 || !next.Document.DataCentres[1].Out {
		t.Error("the patches are missing")
	}
	if &next.Document.Groups[0].Services[0].Replicas[0] != &s.Document.Groups[0].Services[0].Replicas[0] {
		t.Error("an unchanged service was copied")
	}
}

// Guards against a stored value that decodes to another version, either on its own
// or based on a held version that needs all, some or none of its patches.
func TestStoredValueRoundTrip(t *testing.T) {
	s := sampleSnapshot(t, 3, 6)
	old := s
	for i := range 5 {
		s = mustApply(t, s, setSlots(fmt.Sprintf("p%d", i), i%3, 0, i+1))
	}
	value := wholeValue(t, s)
	for _, held := range []*snapshot{nil, old, s, emptySnapshot()} {
		o, err := openValue(value)
		if err != nil {
			t.Fatal(err)
		}
		got, err := o.snapshot(held)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got.Document, s.Document) || got.Number != s.Number || got.Digest != s.Digest || len(got.Patches) != 6 {
			t.Errorf("decoded version %d with digest %s, want the encoded version with 6 patches", got.Number, got.Digest)
		}
	}
}

// Guards against stored values that are accepted although they are damaged or
// decompress to more than the limit.
func TestStoredValueRejectsDamage(t *testing.T) {
	value := wholeValue(t, sampleSnapshot(t, 3, 6))
	for _, damage := range []int{0, 3, len(value) / 2, len(value) - 5} {
		for _, damaged := range [][]byte{value[:damage], append(append([]byte{}, value[:damage]...), 0xff, 1, 2)} {
			o, err := openValue(damaged)
			if err == nil {
				_, err = o.snapshot(nil)
			}
			if !errors.Is(err, ErrCorrupt) {
				t.Errorf("damage at byte %d: error %v, want ErrCorrupt", damage, err)
			}
		}
	}
	large, err := testCompressor.compress(append([]byte(`{"format":1,"number":1,"digest":"`), make([]byte, maxHeaderBytes)...))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := openValue(large); !errors.Is(err, ErrTooLarge) {
		t.Errorf("header above its size limit: error %v, want ErrTooLarge", err)
	}
}

// Guards against a history that grows without bound, and against bodies that are
// kept before a record without a body.
func TestHistoryIsBounded(t *testing.T) {
	s := sampleSnapshot(t, 1, 1)
	for i := range maxRecords + 50 {
		p := setSlots(fmt.Sprintf("p%d", i), 0, 0, 1+i%2)
		s = s.append(newSnapshot(s.Document), p)
	}
	if len(s.Patches) != maxRecords || s.Patches[maxRecords-1].Number != s.Number {
		t.Errorf("%d records, the newest of version %d, want maxRecords up to the current version", len(s.Patches), s.Patches[len(s.Patches)-1].Number)
	}
	s = s.append(newSnapshot(s.Document), Patch{ID: "large", Base: s.Number, Body: make([]byte, maxBody+1)})
	for _, r := range s.Patches {
		if r.Body != nil {
			t.Fatalf("record %d kept its body", r.Number)
		}
	}
}

// Guards against a stored value that is too large for the platform at the target
// size.
func TestStoredValueFitsTargetSize(t *testing.T) {
	d := sampleDocument(targetServices, targetReplicas)
	var records []PatchRecord
	for i := range uint64(maxRecords) {
		service, slots := int(i%targetServices), int(1+i%2)
		d.Groups[0].Services[service].Replicas[0].Slots = slots
		p := setSlots(fmt.Sprintf("patch-%016x", i*0x9e3779b97f4a7c15), service, 0, slots)
		p.Base, p.Time = i, start
		// Only the size of the digest matters, so the patches are not applied.
		digest := formatDigest(i * 0xc2b2ae3d27d4eb4f)
		records = append(records, PatchRecord{Patch: p, Number: i + 1, Digest: digest, Hash: p.hash()})
	}
	s := newSnapshot(d)
	s.Number, s.Patches = maxRecords, trimRecords(records)
	value := wholeValue(t, s)
	document, err := testCompressor.compress(canonical(s.Document))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d replicas: document %d bytes, stored value %d bytes, of these the document %d and the head with %d records %d",
		targetReplicas, len(canonical(s.Document)), len(value), len(document), len(s.Patches), len(value)-len(document))
	if len(value) > objectstore.MaxValueBytes*3/4 || len(s.Patches) != maxRecords {
		t.Errorf("stored value has %d bytes, want at most 3/4 of MaxValueBytes with maxRecords records", len(value))
	}
}
