package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// checkpointEveryPatch writes a checkpoint before each patch.
var checkpointEveryPatch = EditorConfig{HeadBytes: 1}

// acceptVersions creates versions up to n, each with a new editor.
func (o objects) acceptVersions(t *testing.T, n int) {
	t.Helper()
	for h, _ := decodeHead(o[ObjectName]); h.Number < uint64(n); h, _ = decodeHead(o[ObjectName]) {
		if answer := o.edit(t, NewEditor(checkpointEveryPatch), nextPatch("v", h.Number)); answer.Err != nil {
			t.Fatal(answer.Err)
		}
	}
}

// nextPatch returns a patch of version base.
func nextPatch(prefix string, base uint64) Patch {
	p := setOut(fmt.Sprint(prefix, base+1), int(base%9), false)
	if base == 0 {
		p = Patch{ID: prefix + "1", Type: MergePatch, Body: canonical(sampleDocument(1, 2))}
	}
	p.Base = base
	return p
}

// startCheckpoint submits a patch to an editor and returns its write of the
// checkpoint of version base.
func (o objects) startCheckpoint(t *testing.T, e *Editor, base uint64) Write {
	t.Helper()
	w, ok := submitOn(t, e, o, nextPatch("late", base))[0].(Write)
	if !ok || w.Name == ObjectName {
		t.Fatalf("got a write of %s", w.Name)
	}
	return w
}

// Guards against an editor that writes a head before its checkpoint is known to be
// stored, and against later patches that are blocked, when an editor crashes or
// loses a response between checkpoint and head, or when two editors write the same
// checkpoint.
func TestEditorRecoversCheckpointWrite(t *testing.T) {
	for _, err := range []error{nil, objectstore.ErrUnknownOutcome, objectstore.ErrConflict, objectstore.ErrUnavailable} {
		for _, applied := range []bool{false, true} {
			o := objects{}
			o.acceptVersions(t, 4)
			e := NewEditor(checkpointEveryPatch)
			w := o.startCheckpoint(t, e, 4)
			if applied {
				_, _ = o.put(w.Name, w.Base, w.Value)
			}
			if err != nil {
				e.WriteDone(start, w.Call, objectstore.Object{}, err)
			} // else the editor crashed
			o.acceptVersions(t, 6)
			if !applied {
				if _, err := o.put(w.Name, w.Base, w.Value); err == nil {
					t.Error("a delayed checkpoint replaced another one")
				}
			}
			if !o.hasCheckpoint(identity) {
				t.Errorf("error %v, checkpoint applied %v: the head names an absent checkpoint", err, applied)
			}
		}
	}
}

// identity returns the name under which a store keeps an object: its own name.
func identity(name string) string { return name }

// Guards against an editor that was paused and then overwrites the checkpoint that
// the head names in the meantime. Without the check of the number in the slot, which
// the test bypasses with a lower number, the same steps must lose the checkpoint.
func TestEditorKeepsLaterCheckpoint(t *testing.T) {
	lower, err := testCompressor.encodeValue(Version{Number: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, checked := range []bool{true, false} {
		o := objects{}
		o.acceptVersions(t, 2)
		e := NewEditor(checkpointEveryPatch)
		w := o.startCheckpoint(t, e, 2)
		o.acceptVersions(t, 5) // the slot has version 2, then version 4
		slotRead := e.WriteDone(start, w.Call, objectstore.Object{}, objectstore.ErrConflict)[0].(Read)
		object := o[slotRead.Name]
		if !checked {
			object.Value = lower
		}
		actions := e.ReadDone(start, slotRead.Call, object, nil)
		if w, ok := actions[0].(Write); ok {
			_, _ = o.put(w.Name, w.Base, w.Value)
		}
		if o.hasCheckpoint(identity) != checked {
			t.Errorf("number checked %v: checkpoint stored %v", checked, !checked)
		}
		if !checked {
			continue
		}
		if answer := answerOf(t, o.read(start, e, actions)); !errors.Is(answer.Err, ErrStale) {
			t.Errorf("error %v after the checkpoint was read, want ErrStale", answer.Err)
		}
	}
}

// Guards against a head that grows with the history, and against one that keeps no
// patches for hosts that are a few versions behind. It measures the bytes that a
// watching host receives.
func TestHeadSizeIsBounded(t *testing.T) {
	const (
		changes      = 700
		sample       = 10             // one in this many heads is encoded
		interval     = 86400.0 / 7500 // seconds between changes at the target size
		maxPerSecond = 3000           // bytes
	)
	rng := rand.New(rand.NewPCG(1, 1))
	digest := func() string { return formatDigest(rng.Uint64()) }
	h, total, largest, checkpoints, kept := &head{}, 0, 0, 0, 0
	for i := range uint64(changes) {
		p := setSlots("patch-"+digest(), rng.IntN(targetServices), rng.IntN(22), 1+rng.IntN(4))
		p.Base, p.Time = i, start.Add(time.Duration(i)*11521*time.Millisecond)
		h = h.append(PatchRecord{Patch: p, Number: i + 1, Digest: digest(), Hash: digest()})
		if i%sample != 0 {
			continue
		}
		value, err := h.encode(&testCompressor)
		if err != nil {
			t.Fatal(err)
		}
		total, largest = total+len(value), max(largest, len(value))
		if len(value) >= DefaultHeadBytes {
			s := &snapshot{Version: Version{Number: h.Number, Digest: h.Digest}}
			h = h.rebase(h.Checkpoint.afterWriting(s, i), DefaultHeadBytes)
			checkpoints++
			kept = len(h.Patches)
		}
	}
	meanBytes := total / (changes / sample)
	perSecond := float64(meanBytes) / interval
	t.Logf("%d changes: %d bytes each, at most %d, %.0f bytes/s; %d checkpoints, %d patches kept after one",
		changes, meanBytes, largest, perSecond, checkpoints, kept)
	if perSecond > maxPerSecond || largest > DefaultHeadBytes*11/10 || kept == 0 {
		t.Errorf("%.0f bytes/s, largest head %d bytes", perSecond, largest)
	}
}
