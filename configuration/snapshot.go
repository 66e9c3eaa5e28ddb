package configuration

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// snapshot is a version with the digest of each of its services, so that a
// patch of one service costs no hash of the others.
type snapshot struct {
	Version
	digests [][]uint64 // by group and service
}

// emptySnapshot is version 0, on which the first patch is based.
func emptySnapshot() *snapshot {
	s := newSnapshot(Document{})
	return s
}

// newSnapshot returns a snapshot of d without number and patches. It takes
// over d.
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
	s.seal()
	return s
}

// seal computes the digest of the document from those of its services.
func (s *snapshot) seal() {
	header := struct{ Units, Contracts, DataCentres any }{
		s.Document.Units, s.Document.Contracts, s.Document.DataCentres,
	}
	h := xxhash.New()
	_, _ = h.Write(canonical(header)) // a Digest returns no error
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

// canonical returns the JSON form of a part of the document. Encoding cannot
// fail, because the types hold neither maps, interfaces nor floating point.
func canonical(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encoding a configuration"))
	}
	return data
}

// formatDigest returns a digest in hexadecimal.
func formatDigest(sum uint64) string {
	const digits = 16
	text := strconv.FormatUint(sum, 16)
	return "0000000000000000"[:digits-len(text)] + text
}

// decodeMode tells how much is checked when a patch is applied.
type decodeMode int

const (
	// accepted is for patches that were validated when they were accepted.
	accepted decodeMode = iota
	// submitted is for new patches; every problem is listed.
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

// append returns next as the version that follows s with the record of p.
func (s *snapshot) append(next *snapshot, p Patch) *snapshot {
	next.Number = s.Number + 1
	record := PatchRecord{Patch: p, Number: next.Number, Digest: next.Digest, Hash: p.hash()}
	next.Patches = trimRecords(append(slices.Clone(s.Patches), record))
	return next
}

// follow applies an accepted patch and verifies the resulting digest. The
// result has no patches; followAll sets them.
func (s *snapshot) follow(r PatchRecord) (*snapshot, error) {
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

// sortedKeys returns the keys of m in order.
func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}
