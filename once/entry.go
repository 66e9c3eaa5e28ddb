package once

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// State is the state of a key in its journal, and its encoded form.
type State string

// States of an entry. The strings are short because every entry contains one.
const (
	// StateClaimed means that the attempt in the entry may dispatch the request.
	StateClaimed State = "c"
	// StateTombstone means that no submission up to the entry's number has run or
	// will run; with number 0, no submission of the key.
	StateTombstone State = "t"
	// StateRan means that the request ran. The entry holds its result or a digest
	// of it.
	StateRan State = "r"
	// StateMayHaveRun means that the request was sent and its result is unknown.
	StateMayHaveRun State = "m"
)

// Entry is the record of one key in a journal.
type Entry struct {
	Key          string
	State        State
	Attempt      string          // attempt that wrote the entry
	Digest       string          // digest of the request
	Number       uint32          // submission number, or 0 if unknown
	Result       json.RawMessage // result, if it is small enough to be stored; without line breaks
	ResultDigest string          // digest of a result that is not stored
}

// ErrJournal reports a journal value that cannot be decoded.
var ErrJournal = errors.New("malformed journal")

// journalHeader identifies the format, so that values in a later format are
// rejected instead of misread.
const journalHeader = "journal 1"

// An entry is encoded as one line of fields separated by spaces: key, state,
// attempt, digest and number, then optionally the result or its digest, which
// starts with one of these prefixes. This is a quarter smaller than JSON and is
// decoded several times faster.
const (
	resultPrefix = '='
	digestPrefix = '#'
)

// line returns the encoded entry without the line break.
func (e Entry) line() string {
	b := make([]byte, 0, entryOverhead+len(e.Key)+len(e.Attempt)+len(e.Digest)+len(e.Result)+len(e.ResultDigest))
	for _, field := range []string{e.Key, string(e.State), e.Attempt, e.Digest} {
		b = append(b, field...)
		b = append(b, ' ')
	}
	b = strconv.AppendUint(b, uint64(e.Number), 10)
	if len(e.Result) > 0 {
		b = append(b, ' ', resultPrefix)
		b = append(b, e.Result...)
	} else if e.ResultDigest != "" {
		b = append(b, ' ', digestPrefix)
		b = append(b, e.ResultDigest...)
	}
	return string(b)
}

// parseEntry decodes a line without its line break.
func parseEntry(line string) (Entry, error) {
	var e Entry
	var state, number, result string
	rest := line
	for _, field := range []*string{&e.Key, &state, &e.Attempt, &e.Digest} {
		var found bool
		if *field, rest, found = strings.Cut(rest, " "); !found {
			return Entry{}, errors.Wrap(ErrJournal, "entry has too few fields")
		}
	}
	e.State = State(state)
	number, result, _ = strings.Cut(rest, " ")
	n, err := strconv.ParseUint(number, 10, 32)
	if err != nil {
		return Entry{}, errors.Wrapf(ErrJournal, "submission number %.20q is not a 32-bit number", number)
	}
	e.Number = uint32(n)
	switch {
	case result == "":
	case result[0] == resultPrefix:
		e.Result = json.RawMessage(result[1:])
	case result[0] == digestPrefix:
		e.ResultDigest = result[1:]
	default:
		return Entry{}, errors.Wrapf(ErrJournal, "result %.20q has an unknown prefix", result)
	}
	return e, e.check()
}

// check returns an error for a state that this version does not know. A journal
// with an unknown state must not be written back, because this version could not
// preserve the meaning of that state.
func (e Entry) check() error {
	switch e.State {
	case StateClaimed, StateTombstone, StateRan, StateMayHaveRun:
		return nil
	}
	return errors.Wrapf(ErrJournal, "unknown state %.20q", string(e.State))
}

// storedEntry is an entry with its key time and its encoded line, which every
// update reuses.
type storedEntry struct {
	Entry
	time time.Time
	line string
}

// contents holds the decoded entries of a journal in the order in which they were
// recorded.
type contents struct {
	order []*storedEntry
	index map[string]*storedEntry
	bytes int // size of all lines with their line breaks

	claimed int // entries in StateClaimed; space is reserved for their outcomes
}

// size returns the size of the encoded value.
func (c *contents) size() int { return len(journalHeader) + 1 + c.bytes }

func newContents() *contents {
	return &contents{index: make(map[string]*storedEntry)}
}

// put adds or replaces the entry of a key.
func (c *contents) put(e Entry, at time.Time) {
	old := c.index[e.Key]
	if old == nil {
		old = &storedEntry{}
		c.order = append(c.order, old)
		c.index[e.Key] = old
	} else {
		c.uncount(old)
	}
	*old = storedEntry{Entry: e, time: at, line: e.line()}
	c.count(old)
}

func (c *contents) count(s *storedEntry) {
	c.bytes += len(s.line) + 1
	if s.State == StateClaimed {
		c.claimed++
	}
}

func (c *contents) uncount(s *storedEntry) {
	c.bytes -= len(s.line) + 1
	if s.State == StateClaimed {
		c.claimed--
	}
}

// expire removes the entries whose key time is before limit.
func (c *contents) expire(limit time.Time) {
	kept := c.order[:0]
	for _, s := range c.order {
		if s.time.Before(limit) {
			delete(c.index, s.Key)
			c.uncount(s)
			continue
		}
		kept = append(kept, s)
	}
	clear(c.order[len(kept):])
	c.order = kept
}

// encode returns the value of the journal object.
func (c *contents) encode() []byte {
	b := make([]byte, 0, c.size())
	b = append(b, journalHeader...)
	b = append(b, '\n')
	for _, s := range c.order {
		b = append(b, s.line...)
		b = append(b, '\n')
	}
	return b
}

// decode parses the value of a journal object. An empty value is an empty journal.
func decode(value []byte) (*contents, error) {
	c := newContents()
	if len(value) == 0 {
		return c, nil
	}
	header, rest, _ := strings.Cut(string(value), "\n")
	if header != journalHeader {
		return nil, errors.Wrapf(ErrJournal, "unknown header %.20q", header)
	}
	for rest != "" {
		var line string
		var found bool
		if line, rest, found = strings.Cut(rest, "\n"); !found {
			return nil, errors.Wrap(ErrJournal, "last line is truncated")
		}
		if err := c.addLine(line); err != nil {
			return nil, errors.Wrapf(err, "entry %d", len(c.order))
		}
	}
	return c, nil
}

func (c *contents) addLine(line string) error {
	e, err := parseEntry(line)
	if err != nil {
		return err
	}
	key, err := ParseKey(e.Key)
	if err != nil {
		return errors.Wrapf(ErrJournal, "key: %v", err)
	}
	if c.index[e.Key] != nil {
		return errors.Wrapf(ErrJournal, "key %s occurs twice", e.Key)
	}
	s := &storedEntry{Entry: e, time: key.Time, line: line}
	c.order = append(c.order, s)
	c.index[e.Key] = s
	c.count(s)
	return nil
}

// DecodeJournal parses the value of a journal object, for status output and tools.
func DecodeJournal(value []byte) ([]Entry, error) {
	c, err := decode(value)
	if err != nil {
		return nil, err
	}
	entries := make([]Entry, 0, len(c.order))
	for _, s := range c.order {
		entries = append(entries, s.Entry)
	}
	return entries, nil
}

// digest returns a short text digest of the parts. Each part is hashed with its
// length, so that different lists of parts do not have the same encoding.
func digest(parts ...string) string {
	h := xxhash.New()
	var size [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		_, _ = h.Write(size[:])
		_, _ = h.WriteString(p)
	}
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil))
}
