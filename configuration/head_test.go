package configuration

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// everyPatch makes a checkpoint before each patch.
var everyPatch = EditorConfig{HeadBytes: 1}

// accept lets a new editor make versions up to n.
func (o objects) accept(t *testing.T, n int) {
	t.Helper()
	for h, _ := openHead(o[ObjectName]); h.Number < uint64(n); h, _ = openHead(o[ObjectName]) {
		if answer := o.edit(t, NewEditor(everyPatch), nextPatch("v", h.Number)); answer.Err != nil {
			t.Fatal(answer.Err)
		}
	}
}

// nextPatch returns a patch on a base.
func nextPatch(prefix string, base uint64) Patch {
	p := setOut(fmt.Sprint(prefix, base+1), int(base%9), false)
	if base == 0 {
		p = Patch{ID: prefix + "1", Type: MergePatch, Body: canonical(sampleDocument(1, 2))}
	}
	p.Base = base
	return p
}

// begin lets an editor run until it writes the checkpoint of a version.
func (o objects) begin(t *testing.T, e *Editor, base uint64) Write {
	t.Helper()
	w, ok := submitOn(t, e, o, nextPatch("late", base))[0].(Write)
	if !ok || w.Name == ObjectName {
		t.Fatalf("got a write of %s", w.Name)
	}
	return w
}

// Guards against a crash or a lost answer between checkpoint and head, and
// against a second editor with the same checkpoint, that stop later patches or
// write a head before its checkpoint is known to be there.
func TestEditorFindsCheckpoint(t *testing.T) {
	for _, err := range []error{nil, objectstore.ErrUnknownOutcome, objectstore.ErrConflict, objectstore.ErrUnavailable} {
		for _, landed := range []bool{false, true} {
			o := objects{}
			o.accept(t, 4)
			e := NewEditor(everyPatch)
			w := o.begin(t, e, 4)
			if landed {
				_, _ = o.put(w.Name, w.Base, w.Value)
			}
			if err != nil {
				e.WriteDone(start, w.Call, objectstore.Object{}, err)
			} // else the editor crashed
			o.accept(t, 6)
			if !landed {
				if _, err := o.put(w.Name, w.Base, w.Value); err == nil {
					t.Error("a delayed checkpoint replaced another one")
				}
			}
			if !o.complete(sameName) {
				t.Errorf("error %v, landed %v: the head names an absent checkpoint", err, landed)
			}
		}
	}
}

// sameName stores each object under its own name.
func sameName(name string) string { return name }

// Guards against an editor that was paused and overwrites the checkpoint that
// the head names by then. With a slot that seems to have a lower number the
// same steps must lose the checkpoint.
func TestEditorKeepsLaterCheckpoint(t *testing.T) {
	lower, err := testCompressor.encodeValue(Version{Number: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, checked := range []bool{true, false} {
		o := objects{}
		o.accept(t, 2)
		e := NewEditor(everyPatch)
		w := o.begin(t, e, 2)
		o.accept(t, 5) // the slot has version 2, then version 4
		probe := e.WriteDone(start, w.Call, objectstore.Object{}, objectstore.ErrConflict)[0].(Read)
		object := o[probe.Name]
		if !checked {
			object.Value = lower
		}
		actions := e.ReadDone(start, probe.Call, object, nil)
		if w, ok := actions[0].(Write); ok {
			_, _ = o.put(w.Name, w.Base, w.Value)
		}
		if o.complete(sameName) != checked {
			t.Errorf("number checked %v: the checkpoint is there: %v", checked, !checked)
		}
		if !checked {
			continue
		}
		if answer := answerOf(t, o.read(start, e, actions)); !errors.Is(answer.Err, ErrStale) {
			t.Errorf("got %v", answer.Err)
		}
	}
}

// Guards against a head that grows with the history, and against one that keeps
// no patch for hosts that are slightly behind. It measures what a host that
// watches receives.
func TestHeadIsSmall(t *testing.T) {
	const (
		changes      = 700
		sample       = 10             // one head in so many is encoded
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
			h = h.rebase(h.Checkpoint.next(s, i), DefaultHeadBytes)
			checkpoints++
			kept = len(h.Patches)
		}
	}
	each := total / (changes / sample)
	perSecond := float64(each) / interval
	t.Logf("%d changes: %d bytes each, at most %d, %.0f bytes/s; %d checkpoints, %d patches kept after one",
		changes, each, largest, perSecond, checkpoints, kept)
	if perSecond > maxPerSecond || largest > DefaultHeadBytes*11/10 || kept == 0 {
		t.Errorf("%.0f bytes/s, largest head %d bytes", perSecond, largest)
	}
}
