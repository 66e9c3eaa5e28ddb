package once

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// State is the state of a key in its journal.
type State string

// States of an entry. The texts are short because each entry carries one.
const (
	// StateClaimed says that the attempt in the entry may dispatch the request.
	StateClaimed State = "c"
	// StateTombstone says that no submission up to the entry's number runs.
	StateTombstone State = "t"
	// StateRan says that the request ran; the entry holds its result.
	StateRan State = "r"
	// StateMayHaveRun says that the request was sent and its result is lost.
	StateMayHaveRun State = "m"
)

// Entry is the record of one key.
type Entry struct {
	Key          string          `json:"k"`
	State        State           `json:"s"`
	Attempt      string          `json:"a"`           // attempt that wrote the entry
	Digest       string          `json:"d,omitempty"` // digest of the request
	Number       uint32          `json:"n,omitempty"` // submission number; 0 is unknown
	Result       json.RawMessage `json:"r,omitempty"` // result up to the size kept
	ResultDigest string          `json:"h,omitempty"` // digest of a larger result
}

// ErrJournal reports a journal value that can't be decoded.
var ErrJournal = errors.New("malformed journal")

// journalHeader names the format, so that a later format is refused, not misread.
const journalHeader = `{"v":1}`

// stored is an entry with its encoded line, which is reused by every update.
type stored struct {
	Entry
	time time.Time
	line []byte
}

// contents holds the decoded entries of a journal in the order of recording.
type contents struct {
	order []*stored
	index map[string]*stored
	bytes int // size of all lines with their ends

	claimed int // entries in StateClaimed, whose outcome still needs room
}

func newContents() *contents {
	return &contents{index: make(map[string]*stored)}
}

// put adds or replaces the entry of a key.
func (c *contents) put(e Entry, at time.Time) error {
	line, err := json.Marshal(e)
	if err != nil {
		return errors.Wrapf(err, "encode entry %s", e.Key)
	}
	old := c.index[e.Key]
	if old == nil {
		old = &stored{}
		c.order = append(c.order, old)
		c.index[e.Key] = old
	} else {
		c.uncount(old)
	}
	*old = stored{Entry: e, time: at, line: line}
	c.count(old)
	return nil
}

func (c *contents) count(s *stored) {
	c.bytes += len(s.line) + 1
	if s.State == StateClaimed {
		c.claimed++
	}
}

func (c *contents) uncount(s *stored) {
	c.bytes -= len(s.line) + 1
	if s.State == StateClaimed {
		c.claimed--
	}
}

// expire removes the entries whose key time is before the limit.
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
	b := make([]byte, 0, c.bytes+len(journalHeader)+1)
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
	header, rest, _ := bytes.Cut(value, []byte{'\n'})
	if string(header) != journalHeader {
		return nil, errors.Wrapf(ErrJournal, "header %.20q", header)
	}
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte{'\n'})
		if err := c.add(line); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *contents) add(line []byte) error {
	s := &stored{line: bytes.Clone(line)}
	if err := json.Unmarshal(line, &s.Entry); err != nil {
		return errors.Wrapf(ErrJournal, "entry %d: %v", len(c.order), err)
	}
	key, err := ParseKey(s.Key)
	if err != nil {
		return errors.Wrapf(ErrJournal, "entry %d: %v", len(c.order), err)
	}
	if c.index[s.Key] != nil {
		return errors.Wrapf(ErrJournal, "key %s twice", s.Key)
	}
	s.time = key.Time
	c.order = append(c.order, s)
	c.index[s.Key] = s
	c.count(s)
	return nil
}

// DecodeJournal parses the value of a journal object, for status and tools.
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

// digest returns a short text digest of the parts, each with its length.
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
