package configuration

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// bodyScanner checks the body of a new patch for problems that the patch library
// does not report: repeated names, of which it uses the last one, and null inside
// the arrays of a merge patch. RFC 7386 keeps such a null, but the library removes
// it from objects in some cases. A document cannot contain null anyway.
type bodyScanner struct {
	merge  bool
	levels []bodyLevel
	arrays int // number of open arrays
}

// bodyLevel is an open object or array.
type bodyLevel struct {
	array bool
	names map[string]bool
	value bool // the next token in the object is a value
}

// checkBody scans a body, which must be valid JSON.
func checkBody(t PatchType, body []byte) error {
	s := &bodyScanner{merge: t == MergePatch}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	for {
		token, err := dec.Token()
		if err != nil {
			return nil // end of the body
		}
		if err := s.token(token); err != nil {
			return err
		}
	}
}

// token checks one token.
func (s *bodyScanner) token(token json.Token) error {
	switch token {
	case json.Delim('}'), json.Delim(']'):
		s.close()
		return nil
	}
	if n := len(s.levels); n > 0 && !s.levels[n-1].array && !s.levels[n-1].value {
		return s.levels[n-1].name(token)
	}
	if n := len(s.levels); n > 0 {
		s.levels[n-1].value = false
	}
	switch token {
	case json.Delim('{'):
		s.levels = append(s.levels, bodyLevel{names: map[string]bool{}})
	case json.Delim('['):
		s.levels = append(s.levels, bodyLevel{array: true})
		s.arrays++
	case nil:
		if s.merge && s.arrays > 0 {
			return errors.Wrap(ErrPatch, "null inside an array of a merge patch")
		}
	}
	return nil
}

// close closes the innermost level.
func (s *bodyScanner) close() {
	last := len(s.levels) - 1
	if s.levels[last].array {
		s.arrays--
	}
	s.levels = s.levels[:last]
}

// name checks the name of an object member.
func (l *bodyLevel) name(token json.Token) error {
	name, _ := token.(string)
	if l.names[name] {
		return errors.Wrapf(ErrPatch, "name %s occurs twice in one object", excerpt([]byte(name)))
	}
	l.names[name] = true
	l.value = true
	return nil
}
