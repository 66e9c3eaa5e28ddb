package jsonlist_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/jsonlist"
)

func nested(levels int) string { return strings.Repeat("[", levels) + strings.Repeat("]", levels) }

// Guards against a list that is lost because one element is nested too deeply for
// encoding/json.
func TestElementsBesideDeeplyNestedOne(t *testing.T) {
	text := `{"n":7,"more":true,"items":[{"a":1},` + nested(20000) + `,{"a":"]}\"["}]}`
	elements, err := jsonlist.Elements([]byte(text), "items")
	if err != nil || len(elements) != 3 {
		t.Fatalf("%d elements, %v, want 3", len(elements), err)
	}
	for i, want := range map[int]string{0: `{"a":1}`, 2: `{"a":"]}\"["}`} {
		var v map[string]any
		if err := jsonlist.Decode(elements[i], &v); err != nil || string(elements[i]) != want {
			t.Errorf("element %d is %s, %v, want %s", i, elements[i], err, want)
		}
	}
	var v any
	if err := jsonlist.Decode(elements[1], &v); !errors.Is(err, jsonlist.ErrTooDeep) {
		t.Errorf("error is %v, want ErrTooDeep", err)
	}
	if n, err := jsonlist.Uint([]byte(text), "n"); n != 7 || err != nil || !jsonlist.Bool([]byte(text), "more") {
		t.Errorf("the fields beside the list are %d, %v", n, err)
	}
}

// Guards against a text that is no list and counts as an empty one.
func TestNoList(t *testing.T) {
	for _, text := range []string{"", "{}", "null", `{"items":{}}`, `{"items":null}`, "<html>", "[1,2]"} {
		if elements, err := jsonlist.Elements([]byte(text), "items"); err == nil {
			t.Errorf("%q has the elements %s", text, elements)
		}
	}
	if elements, err := jsonlist.Elements([]byte("[1,2]"), ""); err != nil || len(elements) != 2 {
		t.Errorf("elements are %s, %v, want 2", elements, err)
	}
	for _, text := range []string{"{}", `{"n":-1}`, `{"n":1.5}`, `{"n":"1"}`, `{"n":1e30}`} {
		if n, err := jsonlist.Uint([]byte(text), "n"); err == nil {
			t.Errorf("%s has the number %d", text, n)
		}
	}
}

// Guards against an element that is accepted alone and makes the message that encloses it
// impossible to encode.
func TestDecodedElementFitsIntoMessage(t *testing.T) {
	for _, levels := range []int{1, 60, 64, 65, 5000, 9990, 9999} {
		var raw json.RawMessage
		if err := jsonlist.Decode([]byte(nested(levels)), &raw); err != nil {
			continue
		}
		if _, err := json.Marshal(map[string]any{"objects": []any{map[string]any{"value": raw}}}); err != nil {
			t.Errorf("%d levels were accepted, but can't be passed on: %v", levels, err)
		}
	}
}

// FuzzElements guards against a panic, and against elements that are not part of the text.
func FuzzElements(f *testing.F) {
	for _, text := range []string{`{"items":[1,{"a":[2]}]}`, `{"items":[`, `{"items":[{]}`, "\x00", `{"items":["\ud800",1e999]}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		elements, err := jsonlist.Elements(text, "items")
		if err != nil {
			return
		}
		for _, e := range elements {
			if !strings.Contains(string(text), string(e)) {
				t.Errorf("element %q is not part of the text", e)
			}
			var v any
			_ = jsonlist.Decode(e, &v)
			_ = jsonlist.String(e, "meta.name")
		}
	})
}
