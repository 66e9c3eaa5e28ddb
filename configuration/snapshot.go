package configuration

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// snapshot is a version with the digest of each of its services. After a patch of
// one service, the digests of the others are reused.
type snapshot struct {
	Version
	digests [][]uint64 // by group and service
}

// emptySnapshot returns version 0, the base of the first patch.
func emptySnapshot() *snapshot {
	s := newSnapshot(Document{})
	return s
}

// newSnapshot returns a snapshot of d without number and patches. The caller must
// not use d afterwards.
func newSnapshot(d Document) *snapshot {
	d.normalise()
	s := &snapshot{Version: Version{Document: d}, digests: make([][]uint64, len(d.Groups))}
	for i := range d.Groups {
		g := &d.Groups[i]
		s.digests[i] = make([]uint64, len(g.Services))
		for j := range g.Services {
			s.digests[i][j] = serviceDigest(&g.Services[j])
		}
	}
	s.computeDigest()
	return s
}

// computeDigest computes the digest of the document from those of its services.
func (s *snapshot) computeDigest() {
	header := struct{ Units, Contracts, DataCentres any }{
		s.Document.Units, s.Document.Contracts, s.Document.DataCentres,
	}
	h := xxhash.New()
	_, _ = h.Write(canonical(header)) // xxhash.Digest never returns an error
	for i := range s.Document.Groups {
		_, _ = h.Write(canonical(s.Document.Groups[i].Name))
		_, _ = h.Write(strconv.AppendInt(nil, int64(len(s.digests[i])), 10))
		for _, d := range s.digests[i] {
			_, _ = h.Write(strconv.AppendUint([]byte{'/'}, d, 16))
		}
	}
	s.Digest = formatDigest(h.Sum64())
}

// serviceDigest returns the digest of the canonical form of a service.
func serviceDigest(s *Service) uint64 { return xxhash.Sum64(canonical(s)) }

// canonical returns the canonical JSON form of a part of the document. Encoding
// cannot fail, because the types contain no maps, interfaces or floating-point
// numbers.
func canonical(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a configuration"))
	}
	return data
}

// formatDigest returns a digest as 16 hexadecimal digits.
func formatDigest(sum uint64) string {
	const digits = 16
	text := strconv.FormatUint(sum, 16)
	return "0000000000000000"[:digits-len(text)] + text
}

// decodeMode is how strictly the result of a patch is checked.
type decodeMode int

const (
	// accepted is for patches that were already validated when they were accepted.
	accepted decodeMode = iota
	// submitted is for new patches. Every problem is reported.
	submitted
)

// patched returns the snapshot that results from a patch, without number and
// patches.
func (s *snapshot) patched(p Patch, mode decodeMode) (*snapshot, error) {
	if touched, ok := s.touchedServices(p); ok {
		return s.patchedSparse(p, touched, mode)
	}
	if next, ok := s.patchedLists(p, mode); ok {
		return next, nil
	}
	document, err := applyBody(p.Type, canonical(s.Document), p.Body)
	if err != nil {
		return nil, err
	}
	if len(document) > MaxDocumentBytes {
		return nil, tooLarge("document", len(document), MaxDocumentBytes)
	}
	var d Document
	if err := mode.decode(document, &d); err != nil {
		return nil, err
	}
	return newSnapshot(d), nil
}

// decode decodes a patched document.
func (m decodeMode) decode(data []byte, target any) error {
	if m == submitted {
		return decodeStrict(data, target)
	}
	if err := json.Unmarshal(data, target); err != nil {
		return errors.Wrapf(ErrCorrupt, "accepted patch: %s", err)
	}
	return nil
}

// append sets the number and the patches of next, which results from applying p to
// s, and returns it.
func (s *snapshot) append(next *snapshot, p Patch) *snapshot {
	next.Number = s.Number + 1
	record := PatchRecord{Patch: p, Number: next.Number, Digest: next.Digest, Hash: p.hash()}
	next.Patches = trimRecords(append(slices.Clone(s.Patches), record))
	return next
}

// apply applies an accepted patch and verifies the resulting digest. The result has
// no patches; applyAll sets them.
func (s *snapshot) apply(r PatchRecord) (*snapshot, error) {
	if r.Number != s.Number+1 || r.Base != s.Number {
		return nil, errors.Wrapf(ErrCorrupt, "patch %d with base %d does not follow version %d", r.Number, r.Base, s.Number)
	}
	next, err := s.patched(r.Patch, accepted)
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "patch %d", r.Number), ErrCorrupt)
	}
	if next.Digest != r.Digest {
		return nil, errors.Wrapf(ErrCorrupt, "patch %d results in digest %s, want %s", r.Number, next.Digest, r.Digest)
	}
	next.Number = r.Number
	return next, nil
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
