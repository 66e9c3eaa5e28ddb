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

// The value of a whole version, in a checkpoint or from a peer, is a gzip stream of
// two members: a header with the number and the recent patches, and the document.
// A host that already holds a recent version decodes only the header and applies
// the patches that it does not have yet.

// valueFormat is the format of the value of a whole version.
const valueFormat = 1

// Bounds on the recent patches of a whole version.
const (
	// maxRecords is the largest number of records kept. At 7,500 patches a day
	// they cover more than three hours. Callers resend a patch much earlier.
	maxRecords = 1000
	// maxBodyBytes bounds the total size of the bodies kept, and maxBody the size
	// of each. If a record has no body, peers have to send whole versions.
	maxBodyBytes = 128 << 10
	maxBody      = 32 << 10
	// maxHeaderBytes bounds what is decompressed from a header.
	maxHeaderBytes = 4 << 20
)

// header is the first member of the value of a whole version.
type header struct {
	Format  int           `json:"format"`
	Number  uint64        `json:"number"`
	Digest  string        `json:"digest"`
	Patches []PatchRecord `json:"patches"`
}

// trimRecords drops the oldest records and bodies. It may modify records.
func trimRecords(records []PatchRecord) []PatchRecord {
	if drop := len(records) - maxRecords; drop > 0 {
		records = records[drop:]
	}
	total := 0
	for i := len(records) - 1; i >= 0; i-- {
		size := len(records[i].Body)
		if size > maxBody || total+size > maxBodyBytes {
			// Without this body, the older ones cannot be used either.
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

// encodeValue returns the value of a whole version. It drops old records if the
// value would otherwise be too large for the platform.
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

// checkSize returns an error if the value of a version would be too large. If the
// uncompressed document takes at most half of the largest value, the last record
// fits as well, and the check does not have to compress anything.
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

// compressor writes gzip members. It reuses its writer, because the tables of a new
// one are larger than most documents. At the target size, the default compression
// level makes the document 16 % smaller than the fastest level.
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

// newValueReader returns a reader positioned at the first member.
func newValueReader(value []byte) (*valueReader, error) {
	source := bytes.NewReader(value)
	z, err := gzip.NewReader(source)
	if err != nil {
		return nil, errors.Wrapf(ErrCorrupt, "stored value: %s", err)
	}
	z.Multistream(false)
	return &valueReader{source, z}, nil
}

// next decodes one member of at most limit bytes and advances to the next one.
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
		return nil, errors.Wrapf(ErrCorrupt, "stored value has unsupported format %d or number %d", o.Format, o.Number)
	}
	return o, nil
}

// snapshot returns the version in the value. It derives the version from held,
// which may be nil, if the recent patches allow it.
func (o *openedValue) snapshot(held *snapshot) (*snapshot, error) {
	if held != nil && held.Number == o.Number && held.Digest == o.Digest {
		return held, nil
	}
	if s := applyMissing(held, o.Number, o.Digest, o.Patches); s != nil {
		return s, nil
	}
	return o.readDocument(o.rest)
}

// applyMissing returns held with the later records applied, or nil if they are not
// all known or do not result in the version with that number and digest.
func applyMissing(held *snapshot, number uint64, digest string, records []PatchRecord) *snapshot {
	if held == nil || held.Number >= number {
		return nil
	}
	s, err := applyAll(held, recordsAfter(records, held.Number))
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
		return nil, errors.Wrapf(ErrCorrupt, "stored value has digest %s, but its document has digest %s", h.Digest, s.Digest)
	}
	s.Number, s.Patches = h.Number, h.Patches
	return s, nil
}

// recordsAfter returns the records of the versions after number, or nil if not all
// of them are known with their bodies.
func recordsAfter(records []PatchRecord, number uint64) []PatchRecord {
	for i, r := range records {
		if r.Number == number+1 && r.Body != nil {
			return records[i:]
		}
	}
	return nil
}

// applyAll applies accepted patches in order.
func applyAll(s *snapshot, records []PatchRecord) (*snapshot, error) {
	if len(records) == 0 {
		return s, nil
	}
	patches := trimRecords(slices.Concat(s.Patches, records))
	for _, r := range records {
		next, err := s.apply(r)
		if err != nil {
			return nil, err
		}
		s = next
	}
	s.Patches = patches
	return s, nil
}
