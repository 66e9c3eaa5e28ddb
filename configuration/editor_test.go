package configuration

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

const testTimeout = time.Second

// submitOn submits a patch and serves the reads of the editor from a store.
func submitOn(t *testing.T, e *Editor, o objects, p Patch) []EditorAction {
	t.Helper()
	return o.read(start, e, e.Submit(start, Submission{Token: "t", Patch: p, Deadline: start.Add(testTimeout)}))
}

// answerOf returns the Answer among actions.
func answerOf(t *testing.T, actions []EditorAction) Answer {
	t.Helper()
	for _, a := range actions {
		if answer, ok := a.(Answer); ok {
			return answer
		}
	}
	t.Fatalf("no answer in %v", actions)
	return Answer{}
}

// Guards against a stale patch that is applied, and against a refusal without the
// changes since the base.
func TestEditorRefusesStaleBase(t *testing.T) {
	s := sampleSnapshot(t, 2, 2)
	s = mustApply(t, s, setOut("a", 3, true))
	s = mustApply(t, s, Patch{ID: "b", Type: MergePatch, Body: []byte(`{"units":[],"contracts":[]}`)})
	p := setOut("late", 1, true)
	p.Base = 1
	answer := answerOf(t, submitOn(t, NewEditor(EditorConfig{}), stored(t, s), p))
	var stale *StaleError
	if !errors.As(answer.Err, &stale) || !errors.Is(answer.Err, ErrStale) {
		t.Fatalf("error %v, want a StaleError", answer.Err)
	}
	var paths [][]string
	for _, d := range stale.Differences {
		paths = append(paths, d.Paths)
	}
	want := [][]string{{"/data_centres/3/out"}, {"/contracts", "/units"}}
	if stale.Current != 3 || !stale.Complete || stale.HistoryTruncated || !reflect.DeepEqual(paths, want) {
		t.Errorf("error %+v, want two complete differences up to version 3", stale)
	}
	s.Patches = s.Patches[2:]
	answer = answerOf(t, submitOn(t, NewEditor(EditorConfig{}), stored(t, s), p))
	if !errors.As(answer.Err, &stale) || !stale.HistoryTruncated || stale.Complete {
		t.Errorf("history does not reach back to the base: got %+v", stale)
	}
	p.Base = 7
	answer = answerOf(t, submitOn(t, NewEditor(EditorConfig{}), stored(t, s), p))
	if !errors.As(answer.Err, &stale) || stale.HistoryTruncated || len(stale.Differences) != 0 {
		t.Errorf("base does not exist: got %+v", stale)
	}
}

// Guards against a resent patch that is applied twice or refused as stale, and
// against an id that is used for two patches.
func TestEditorRecognisesResend(t *testing.T) {
	s := sampleSnapshot(t, 2, 2)
	first := setOut("a", 3, true)
	first.Base = s.Number
	s = mustApply(t, s, first)
	s = mustApply(t, s, setOut("b", 4, true))
	spaced := first
	spaced.Body = json.RawMessage(strings.ReplaceAll(string(first.Body), ":", " : "))
	spaced.Author = "somebody else"
	for _, p := range []Patch{first, spaced} {
		answer := answerOf(t, submitOn(t, NewEditor(EditorConfig{}), stored(t, s), p))
		if answer.Err != nil || answer.Result.Number != 2 || !answer.Result.Resent {
			t.Errorf("version %d, resent %v, error %v, want a resent patch of version 2", answer.Result.Number, answer.Result.Resent, answer.Err)
		}
	}
	other, rebased := setOut("a", 3, false), first
	other.Base, rebased.Base = 1, 3
	for _, p := range []Patch{other, rebased} {
		answer := answerOf(t, submitOn(t, NewEditor(EditorConfig{}), stored(t, s), p))
		if !errors.Is(answer.Err, ErrIDReused) {
			t.Errorf("error %v, want ErrIDReused", answer.Err)
		}
	}
}

// Guards against an invalid patch that is written, and against a refusal that wraps
// the wrong error.
func TestEditorRefusesInvalidPatch(t *testing.T) {
	s := sampleSnapshot(t, 2, 2)
	for _, tt := range []struct {
		patchType PatchType
		body      string
		want      error
	}{
		{JSONPatch, `[{"op":"test","path":"/data_centres/0/out","value":true}]`, ErrPatch},
		{JSONPatch, `[{"op":"replace","path":"/nowhere/0","value":true}]`, ErrPatch},
		{JSONPatch, `[{"op":"replace","path":"/units","path":"/contracts","value":[]}]`, ErrPatch},
		{JSONPatch, `{"units":[]}`, ErrPatch},
		{JSONPatch, `null`, ErrPatch},
		{JSONPatch, `[{"op":"add","path":"","value":[]},{"op":"test","path":"","value":null}]`, ErrPatch},
		{JSONPatch, `[{"op":"replace"`, ErrPatch},
		{JSONPatch, `[{"op":"replace","path":"/groups/0/services/0/replicas/0/slots","value":0}]`, ErrRange},
		{JSONPatch, `[{"op":"remove","path":"/groups/0"}]`, ErrUnknownName},
		{JSONPatch, `[{"op":"remove","path":"/groups/0/services/1"}]`, ErrPartition},
		{MergePatch, `{"units":1,"units":[]}`, ErrPatch},
		{MergePatch, `{"units":[{"name":"a","dimension":"time","factor":"1","x":null}]}`, ErrPatch},
		{MergePatch, `{"colour":1}`, ErrUnknownField},
		{MergePatch, `[]`, ErrType},
		{"text/plain", `{}`, ErrPatch},
	} {
		p := Patch{ID: "p", Base: s.Number, Type: tt.patchType, Body: []byte(tt.body)}
		actions := submitOn(t, NewEditor(EditorConfig{}), stored(t, s), p)
		answer := answerOf(t, actions)
		if len(actions) != 1 || !errors.Is(answer.Err, tt.want) {
			t.Errorf("%s: got %v, want %v", tt.body, answer.Err, tt.want)
		}
	}
}

// Guards against an answer at the deadline that reports an unconfirmed write as
// refused, and against late results that are attributed to the next patch.
func TestEditorDeadlines(t *testing.T) {
	s := sampleSnapshot(t, 2, 2)
	e := NewEditor(EditorConfig{MaxWaiting: 2})
	submit := func(id string) []EditorAction {
		p := setOut(id, 1, true)
		p.Base = s.Number
		return e.Submit(start, Submission{Token: id, Patch: p, Deadline: start.Add(testTimeout)})
	}
	first := submit("a")
	submit("b")
	if answer := answerOf(t, submit("c")); !errors.Is(answer.Err, ErrBusy) {
		t.Errorf("submission to a full queue: error %v, want ErrBusy", answer.Err)
	}
	write := stored(t, s).read(start, e, first)[0].(Write)
	if next, ok := e.Next(); !ok || !next.Equal(start.Add(testTimeout)) {
		t.Errorf("next tick is at %v, want the deadline", next)
	}
	got := map[string]error{}
	for _, a := range e.Tick(start.Add(testTimeout)) {
		got[a.(Answer).Token] = a.(Answer).Err
	}
	if !errors.Is(got["a"], ErrUnknownOutcome) || !errors.Is(got["b"], ErrUnavailable) {
		t.Errorf("errors %v, want ErrUnknownOutcome for a and ErrUnavailable for b", got)
	}
	if late := e.WriteDone(start, write.Call, objectstore.Object{Version: 2}, nil); len(late) != 0 {
		t.Errorf("a late result caused actions %v", late)
	}
}

// Guards against failed platform calls that end a submission early or are not
// retried.
func TestEditorRetriesDuringOutage(t *testing.T) {
	s := sampleSnapshot(t, 2, 2)
	e := NewEditor(EditorConfig{})
	p := setOut("a", 1, true)
	p.Base = s.Number
	call := e.Submit(start, Submission{Token: "a", Patch: p, Deadline: start.Add(testTimeout)})[0].(Read).Call
	now := start
	for range 3 {
		if actions := e.ReadDone(now, call, objectstore.Object{}, objectstore.ErrUnavailable); len(actions) != 0 {
			t.Fatalf("actions %v after a failed read, want none before the retry", actions)
		}
		now, _ = e.Next()
		call = e.Tick(now)[0].(Read).Call
	}
	if want := start.Add(3 * DefaultRetryDelay); !now.Equal(want) {
		t.Errorf("third retry at %v, want %v", now, want)
	}
	o := stored(t, s)
	write := o.read(now, e, e.ReadDone(now, call, o[ObjectName], nil))[0].(Write)
	answer := answerOf(t, e.WriteDone(now, write.Call, objectstore.Object{Version: 2}, nil))
	if answer.Err != nil || answer.Result.Number != 2 || answer.Result.Object.Version != 2 || answer.Result.Resent {
		t.Errorf("answer %+v, want version 2 accepted by this submission", answer)
	}
}
