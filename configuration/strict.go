package configuration

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strconv"
	"strings"
)

// ParseDocument decodes and validates a document. Unlike encoding/json it
// refuses unknown and repeated fields, null and names in another case. The
// error is an *InvalidError that lists every problem, or wraps ErrTooLarge.
func ParseDocument(data []byte) (Document, error) {
	if len(data) > MaxDocumentBytes {
		return Document{}, tooLarge("document", len(data), MaxDocumentBytes)
	}
	var d Document
	if err := decodeStrict(data, &d); err != nil {
		return Document{}, err
	}
	d.normalise()
	if _, err := Compile(Version{Document: d}); err != nil {
		return Document{}, err
	}
	return d, nil
}

// decodeStrict checks the shape of data against the type of target, which is a
// pointer, and decodes it.
func decodeStrict(data []byte, target any) error {
	ps := &problems{}
	var syntax *json.SyntaxError
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		offset := int64(0)
		if s, ok := err.(*json.SyntaxError); ok {
			syntax = s
			offset = syntax.Offset
		}
		ps.add("", ErrSyntax, "%s at byte %d", err, offset)
		return ps.err()
	}
	checkShape(data, reflect.TypeOf(target).Elem(), "", ps)
	if err := ps.err(); err != nil {
		return err
	}
	if err := json.Unmarshal(data, target); err != nil {
		ps.add("", ErrType, "%s", err)
	}
	return ps.err()
}

// checkShape records where valid JSON differs from the type t. The depth of
// the recursion is that of t.
func checkShape(data []byte, t reflect.Type, path string, ps *problems) {
	switch t.Kind() {
	case reflect.Pointer:
		if !isNull(data) {
			checkShape(data, t.Elem(), path, ps)
		}
	case reflect.Struct:
		checkObject(data, t, path, ps)
	case reflect.Slice:
		checkArray(data, t, path, ps)
	default:
		checkLeaf(data, t, path, ps)
	}
}

// checkObject checks each field of an object against a struct type.
func checkObject(data []byte, t reflect.Type, path string, ps *problems) {
	if firstByte(data) != '{' {
		ps.add(path, ErrType, "%s is not an object", excerpt(data))
		return
	}
	fields := jsonFields(t)
	seen := map[string]bool{}
	dec := json.NewDecoder(bytes.NewReader(data))
	_, _ = dec.Token() // the opening brace
	for dec.More() {
		key, _ := dec.Token()
		name, _ := key.(string)
		var raw json.RawMessage
		if dec.Decode(&raw) != nil {
			return // cannot happen with valid JSON
		}
		place := path + "/" + escapePointer(name)
		f, known := fields[name]
		switch {
		case !known:
			ps.add(place, ErrUnknownField, "%s", excerpt([]byte(strconv.Quote(name))))
		case seen[name]:
			ps.add(place, ErrDuplicateField, "%q", name)
		case f.quoted:
			checkQuoted(raw, place, ps)
		default:
			checkShape(raw, f.kind, place, ps)
		}
		seen[name] = true
	}
}

// checkArray checks each element of an array.
func checkArray(data []byte, t reflect.Type, path string, ps *problems) {
	var elements []json.RawMessage
	if isNull(data) || json.Unmarshal(data, &elements) != nil {
		ps.add(path, ErrType, "%s is not an array", excerpt(data))
		return
	}
	for i, e := range elements {
		checkShape(e, t.Elem(), path+"/"+strconv.Itoa(i), ps)
	}
}

// checkLeaf checks a string, number or boolean.
func checkLeaf(data []byte, t reflect.Type, path string, ps *problems) {
	if isNull(data) || json.Unmarshal(data, reflect.New(t).Interface()) != nil {
		ps.add(path, ErrType, "%s is not a value of type %s", excerpt(data), t.Kind())
	}
}

// checkQuoted checks a hash value, which is a decimal number in a string.
func checkQuoted(data []byte, path string, ps *problems) {
	var text string
	err := json.Unmarshal(data, &text)
	if err == nil {
		_, err = strconv.ParseUint(text, 10, 64)
	}
	if err != nil || isNull(data) {
		ps.add(path, ErrType, "%s is not a string with a decimal number below 2^64", excerpt(data))
	}
}

// jsonField is a field of a struct as encoding/json sees it.
type jsonField struct {
	kind   reflect.Type
	quoted bool // the number is encoded as a string
}

// jsonFields returns the fields of t by JSON name.
func jsonFields(t reflect.Type) map[string]jsonField {
	fields := make(map[string]jsonField, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields[name] = jsonField{kind: f.Type, quoted: options == "string"}
	}
	return fields
}

// firstByte returns the first byte of a JSON value after white space.
func firstByte(data []byte) byte {
	trimmed := bytes.TrimLeft(data, " \t\r\n")
	if len(trimmed) == 0 {
		return 0
	}
	return trimmed[0]
}

// isNull reports whether data is null.
func isNull(data []byte) bool { return firstByte(data) == 'n' }

// excerpt returns the start of a value for an error message.
func excerpt(data []byte) string {
	const length = 80
	if len(data) <= length {
		return string(data)
	}
	return string(data[:length]) + "..."
}

// escapePointer escapes a field name for a JSON pointer.
func escapePointer(name string) string {
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
