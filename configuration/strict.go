package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// ParseDocument decodes and validates a document. Unlike encoding/json it rejects
// unknown and repeated fields, null, and field names that differ in case. The error
// is an *InvalidError that lists every problem, or wraps ErrTooLarge.
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

// decodeStrict checks data against the type that target points to, and decodes it.
func decodeStrict(data []byte, target any) error {
	ps := &problems{}
	var raw json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			ps.add("", ErrSyntax, "%s at byte %d", err, syntax.Offset)
		} else {
			ps.add("", ErrSyntax, "%s", err)
		}
		return ps.err()
	}
	checkShape(data, reflect.TypeOf(target).Elem(), ps)
	if err := ps.err(); err != nil {
		return err
	}
	if err := json.Unmarshal(data, target); err != nil {
		ps.add("", ErrType, "%s", err)
	}
	return ps.err()
}

// shapeChecker reports where a JSON value differs from a Go type. It reads the value
// once. The depth of its recursion is bounded by that of the type.
type shapeChecker struct {
	*problems
	tokens *json.Decoder
	path   []byte // JSON pointer to the current value
	types  map[reflect.Type]map[string]jsonField
}

// checkShape checks data, which must be valid JSON, against the type t.
func checkShape(data []byte, t reflect.Type, ps *problems) {
	tokens := json.NewDecoder(bytes.NewReader(data))
	tokens.UseNumber()
	c := &shapeChecker{problems: ps, tokens: tokens, types: map[reflect.Type]map[string]jsonField{}}
	c.value(t, c.next())
}

// next returns the next token. It always exists, because the JSON is valid.
func (c *shapeChecker) next() json.Token {
	token, _ := c.tokens.Token()
	return token
}

// value checks the value that starts with token.
func (c *shapeChecker) value(t reflect.Type, token json.Token) {
	switch t.Kind() {
	case reflect.Pointer:
		if token != nil {
			c.value(t.Elem(), token)
		}
	case reflect.Struct:
		c.object(t, token)
	case reflect.Slice:
		c.array(t, token)
	default:
		c.leaf(t, token)
	}
}

// object checks the members of an object against the fields of a struct.
func (c *shapeChecker) object(t reflect.Type, token json.Token) {
	if token != json.Delim('{') {
		c.mismatch(token, "an object")
		return
	}
	fields := c.fieldsOf(t)
	var seen uint64 // bit set of fields
	for c.tokens.More() {
		name, _ := c.next().(string)
		length := c.enter(escapePointer(name))
		f, known := fields[name]
		switch {
		case !known:
			c.report(ErrUnknownField, "%s", excerpt([]byte(strconv.Quote(name))))
			c.skip(c.next())
		case seen&f.bit != 0:
			c.report(ErrDuplicateField, "%q", name)
			c.skip(c.next())
		case f.quoted:
			c.quoted(c.next())
		default:
			c.value(f.kind, c.next())
		}
		seen |= f.bit
		c.path = c.path[:length]
	}
	c.next() // the closing brace
}

// array checks the elements of an array.
func (c *shapeChecker) array(t reflect.Type, token json.Token) {
	if token != json.Delim('[') {
		c.mismatch(token, "an array")
		return
	}
	for i := 0; c.tokens.More(); i++ {
		length := c.enter(strconv.Itoa(i))
		c.value(t.Elem(), c.next())
		c.path = c.path[:length]
	}
	c.next() // the closing bracket
}

// leaf checks a string, an integer or a boolean.
func (c *shapeChecker) leaf(t reflect.Type, token json.Token) {
	ok := false
	switch v := token.(type) {
	case string:
		ok = t.Kind() == reflect.String
	case bool:
		ok = t.Kind() == reflect.Bool
	case json.Number:
		if t.Kind() == reflect.Int {
			_, err := strconv.Atoi(v.String())
			ok = err == nil
		}
	}
	if !ok {
		c.mismatch(token, "a value of type "+t.Kind().String())
	}
}

// quoted checks an integer that is encoded as a decimal number in a string.
func (c *shapeChecker) quoted(token json.Token) {
	text, ok := token.(string)
	if ok {
		_, err := strconv.ParseUint(text, 10, 64)
		ok = err == nil
	}
	if !ok {
		c.mismatch(token, "a string with a decimal number below 2^64")
	}
}

// mismatch records a value of the wrong type and skips it.
func (c *shapeChecker) mismatch(token json.Token, want string) {
	got := "null"
	switch token {
	case json.Delim('{'):
		got = "an object"
	case json.Delim('['):
		got = "an array"
	case nil:
	default:
		got = excerpt([]byte(fmt.Sprintf("%#v", token)))
	}
	c.report(ErrType, "got %s, want %s", got, want)
	c.skip(token)
}

// skip reads the rest of the value that starts with token.
func (c *shapeChecker) skip(token json.Token) {
	depth := 0
	for {
		switch token {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return
		}
		token = c.next()
	}
}

// enter appends a segment to the path and returns the previous length.
func (c *shapeChecker) enter(segment string) int {
	length := len(c.path)
	c.path = append(append(c.path, '/'), segment...)
	return length
}

// report records a problem at the current path.
func (c *shapeChecker) report(kind error, format string, args ...any) {
	c.add(string(c.path), kind, format, args...)
}

// jsonField is a field of a struct as encoding/json sees it.
type jsonField struct {
	kind   reflect.Type
	quoted bool   // the number is encoded as a string
	bit    uint64 // bit of the field in a bit set of all fields
}

// fieldsOf returns the fields of t by JSON name.
func (c *shapeChecker) fieldsOf(t reflect.Type) map[string]jsonField {
	if fields, ok := c.types[t]; ok {
		return fields
	}
	fields := make(map[string]jsonField, t.NumField())
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields[name] = jsonField{kind: f.Type, quoted: options == "string", bit: 1 << i}
	}
	c.types[t] = fields
	return fields
}

// firstByte returns the first byte of a JSON value after white space, or 0.
func firstByte(data []byte) byte {
	trimmed := bytes.TrimLeft(data, " \t\r\n")
	if len(trimmed) == 0 {
		return 0
	}
	return trimmed[0]
}

// excerpt returns the start of a value, for an error message.
func excerpt(data []byte) string {
	const length = 80
	if len(data) <= length {
		return string(data)
	}
	return string(data[:length]) + "..."
}

// escapePointer escapes a field name for a JSON pointer.
func escapePointer(name string) string {
	if !strings.ContainsAny(name, "~/") {
		return name
	}
	return strings.NewReplacer("~", "~0", "/", "~1").Replace(name)
}
