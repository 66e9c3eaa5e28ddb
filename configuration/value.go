package configuration

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// The value of a whole version, in a checkpoint or from a peer, is a gzip stream
// of two members: a header, which holds the number and the recent patches, and
// the document. A host that already holds a recent version reads the header
// alone and applies the patches that it lacks.

// valueFormat is the format of the value of a whole version.
const valueFormat = 1

// Bounds on the recent patches of a whole version.
const (
	// maxRecords is the largest number of records kept. At 7,500 patches a
	// day it covers more than three hours, which is far beyond the time in
	// which a caller sends a patch again.
	maxRecords = 1000
	// maxBodyBytes bounds the sum of the bodies that are kept, and maxBody
	// each of them; a record without a body makes peers send whole versions.
	maxBodyBytes = 128 << 10
	maxBody      = 32 << 10
	// maxHeaderBytes bounds what is read of a header.
	maxHeaderBytes = 4 << 20
)

// header is the first part of the value of a whole version.
type header struct {
	Format  int           `json:"format"`
	Number  uint64        `json:"number"`
	Digest  string        `json:"digest"`
	Patches []PatchRecord `json:"patches"`
}

// trimRecords drops the oldest records and bodies. It may change records.
func trimRecords(records []PatchRecord) []PatchRecord {
	if drop := len(records) - maxRecords; drop > 0 {
		records = records[drop:]
	}
	total := 0
	for i := len(records) - 1; i >= 0; i-- {
		size := len(records[i].Body)
		if size > maxBody || total+size > maxBodyBytes {
			// Without this body the older ones lead to no newer version.
			dropBodies(records[:i+1])
			return records
		}
		total += size
	}
	return records
}

// dropBodies removes the bodies of records.
func dropBodies(records []PatchRecord) {
	for i := range records {
		records[i].Body = nil
	}
}

// encodeValue returns the value of a whole version. It drops old records if
// the value would otherwise be too large for the platform.
func (c *compressor) encodeValue(v Version) ([]byte, error) {
	document, err := c.compress(canonical(v.Document))
	if err != nil {
		return nil, err
	}
	for records := v.Patches; ; records = records[(len(records)+1)/2:] {
		data, err := c.compress(canonical(header{valueFormat, v.Number, v.Digest, records}))
		if err != nil {
			return nil, err
		}
		size := len(data) + len(document)
		if size <= objectstore.MaxValueBytes {
			return append(data, document...), nil
		}
		if len(records) <= 1 {
			return nil, tooLarge("stored value", size, objectstore.MaxValueBytes)
		}
	}
}

// checkSize returns an error if the value of a version would be too large. A
// document that fits without compression leaves room for the last record, so
// that nothing has to be compressed.
func (c *compressor) checkSize(v Version) error {
	size := len(canonical(v.Document))
	if size > MaxDocumentBytes {
		return tooLarge("document", size, MaxDocumentBytes)
	}
	if size <= objectstore.MaxValueBytes/2 {
		return nil
	}
	_, err := c.encodeValue(v)
	return err
}

// compressor makes gzip members. It keeps the writer, because the tables of a
// new one are larger than most documents. At the target size the default level
// makes the document 16 % smaller than the fastest level.
type compressor struct {
	writer *gzip.Writer
}

// compress returns data as one gzip member.
func (c *compressor) compress(data []byte) ([]byte, error) {
	var b bytes.Buffer
	if c.writer == nil {
		c.writer = gzip.NewWriter(&b)
	}
	c.writer.Reset(&b)
	if _, err := c.writer.Write(data); err != nil {
		return nil, errors.Wrap(err, "compressing a configuration")
	}
	if err := c.writer.Close(); err != nil {
		return nil, errors.Wrap(err, "compressing a configuration")
	}
	return b.Bytes(), nil
}

// valueReader reads the members of a stored value.
type valueReader struct {
	source *bytes.Reader
	gzip   *gzip.Reader
}

// newValueReader returns a reader at the first member.
func newValueReader(value []byte) (*valueReader, error) {
	source := bytes.NewReader(value)
	z, err := gzip.NewReader(source)
	if err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "stored value: %s", err)
	}
	z.Multistream(false)
	return &valueReader{source, z}, nil
}

// next decodes one member of at most limit bytes and moves to the next one.
func (r *valueReader) next(limit int, target any) error {
	data, err := io.ReadAll(io.LimitReader(r.gzip, int64(limit)+1))
	if err != nil {
		return errors.Wrapf(ErrCorrupt, "stored value: %s", err)
	}
	if len(data) > limit {
		return tooLarge("part of the stored value", len(data), limit)
	}
	if err := json.Unmarshal(data, target); err != nil {
		return errors.Wrapf(ErrCorrupt, "stored value: %s", err)
	}
	if err := r.gzip.Reset(r.source); err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrapf(ErrCorrupt, "stored value: %s", err)
	}
	r.gzip.Multistream(false)
	return nil
}

// openedValue is the value of a whole version whose header is decoded.
type openedValue struct {
	header
	rest *valueReader
}

// openValue decodes the header of the value of a whole version.
func openValue(value []byte) (*openedValue, error) {
	r, err := newValueReader(value)
	if err != nil {
		return nil, err
	}
	o := &openedValue{rest: r}
	if err := r.next(maxHeaderBytes, &o.header); err != nil {
		return nil, err
	}
	if o.Format != valueFormat || o.Number == 0 {
		return nil, errors.Wrapf(ErrCorrupt, "stored value has format %d and number %d", o.Format, o.Number)
	}
	return o, nil
}

// snapshot returns the version in the value. It makes it from held, which may
// be nil, if the recent patches lead there.
func (o *openedValue) snapshot(held *snapshot) (*snapshot, error) {
	if held != nil && held.Number == o.Number && held.Digest == o.Digest {
		return held, nil
	}
	if s := advance(held, o.Number, o.Digest, o.Patches); s != nil {
		return s, nil
	}
	return o.readDocument(o.rest)
}

// advance returns held with the patches that it lacks, or nil if they are not
// all known or do not lead to the version with that number and digest.
func advance(held *snapshot, number uint64, digest string, records []PatchRecord) *snapshot {
	if held == nil || held.Number >= number {
		return nil
	}
	s, err := followAll(held, recordsAfter(records, held.Number))
	if err != nil || s.Number != number || s.Digest != digest {
		return nil
	}
	return s
}

// readDocument decodes the document, which is the next member.
func (h *header) readDocument(r *valueReader) (*snapshot, error) {
	var d Document
	if err := r.next(MaxDocumentBytes, &d); err != nil {
		return nil, err
	}
	s := newSnapshot(d)
	if s.Digest != h.Digest {
		return nil, errors.Wrapf(ErrCorrupt, "stored value has digest %s, its document %s", h.Digest, s.Digest)
	}
	s.Number, s.Patches = h.Number, h.Patches
	return s, nil
}

// recordsAfter returns the records of the versions after number, or nil if
// they are not all known with their bodies.
func recordsAfter(records []PatchRecord, number uint64) []PatchRecord {
	for i, r := range records {
		if r.Number == number+1 && r.Body != nil {
			return records[i:]
		}
	}
	return nil
}

// followAll applies accepted patches one after the other.
func followAll(s *snapshot, records []PatchRecord) (*snapshot, error) {
	if len(records) == 0 {
		return s, nil
	}
	patches := trimRecords(slices.Concat(s.Patches, records))
	for _, r := range records {
		next, err := s.follow(r)
		if err != nil {
			return nil, err
		}
		s = next
	}
	s.Patches = patches
	return s, nil
}
