// Package jsonlist decodes JSON lists whose elements come from several writers, so that
// an element that can't be decoded costs only itself. encoding/json rejects a whole text
// if any part of it is nested too deeply.
package jsonlist

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/tidwall/gjson"
)

// maxDepth is the number of levels to which an element may be nested. It leaves room for
// the levels that an enclosing message adds.
const maxDepth = 64

// ErrTooDeep reports an element that is nested too deeply.
var ErrTooDeep = errors.Newf("nested more than %d levels", maxDepth)

// Elements returns the elements of the array under a key of an object, or of the whole
// text if the key is empty. The elements are not checked.
func Elements(text []byte, key string) ([]json.RawMessage, error) {
	array := gjson.ParseBytes(text)
	if key != "" {
		array = array.Get(key)
	}
	if !array.IsArray() {
		return nil, errors.Newf("no array under %q", key)
	}
	var elements []json.RawMessage
	array.ForEach(func(_, element gjson.Result) bool {
		elements = append(elements, json.RawMessage(element.Raw))
		return true
	})
	return elements, nil
}

// Decode decodes an element. It returns ErrTooDeep for one that could not be part of
// another message.
func Decode(element []byte, into any) error {
	if depth(element) > maxDepth {
		return ErrTooDeep
	}
	return json.Unmarshal(element, into)
}

// String returns the string at a path of an element that can't be decoded as a whole, or
// an empty one if there is none.
func String(element []byte, path string) string {
	if s := gjson.GetBytes(element, path); s.Type == gjson.String {
		return s.Str
	}
	return ""
}

// Raw returns the value under a key of an object as it is, empty if there is none.
func Raw(element []byte, key string) json.RawMessage {
	return json.RawMessage(gjson.GetBytes(element, key).Raw)
}

// Uint returns the non-negative integer under a key of an object.
func Uint(text []byte, key string) (uint64, error) {
	var n uint64
	number := gjson.GetBytes(text, key)
	return n, json.Unmarshal([]byte(number.Raw), &n)
}

// Bool reports whether the value under a key of an object is true.
func Bool(text []byte, key string) bool { return gjson.GetBytes(text, key).Type == gjson.True }

// depth returns to how many levels arrays and objects are nested.
func depth(text []byte) int {
	level, deepest, inString := 0, 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case inString && c == '\\':
			i++
		case c == '"':
			inString = !inString
		case inString:
		case c == '[' || c == '{':
			level++
			deepest = max(deepest, level)
		case c == ']' || c == '}':
			level--
		}
	}
	return deepest
}
