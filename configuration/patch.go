package configuration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/marigoldlever/marigoldlever/contract"
)

// PatchType is the media type of a patch.
type PatchType string

const (
	// MergePatch is a JSON merge patch (RFC 7386).
	MergePatch PatchType = "application/merge-patch+json"
	// JSONPatch is a JSON Patch (RFC 6902).
	JSONPatch PatchType = "application/json-patch+json"
)

// maxCopyBytes bounds the bytes that the copy operations of one JSON Patch add.
const maxCopyBytes = 1 << 20

// maxAuthorLength is the largest length in bytes of the author, which is stored
// with each recent patch.
const maxAuthorLength = 128

// Patch is a change to a numbered version of the document.
type Patch struct {
	// ID identifies the patch if it is sent again. The caller chooses it.
	ID string `json:"id"`
	// Base is the number of the version that the patch changes. An accepted
	// patch results in version Base + 1. Version 0 is the empty document {}.
	Base   uint64    `json:"base"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	Type   PatchType `json:"type"`
	// Body is the patch document. It is absent in a record whose body is no
	// longer kept.
	Body json.RawMessage `json:"patch,omitempty"`
}

// PatchRecord is an accepted patch.
type PatchRecord struct {
	Patch
	// Number is the number of the resulting version.
	Number uint64 `json:"number"`
	// Digest is the digest of the resulting document.
	Digest string `json:"digest"`
	// Hash identifies type, base and body of the patch. It allows a reused id to
	// be recognised after the body was dropped.
	Hash string `json:"hash"`
}

// check returns an error if the patch is malformed.
func (p Patch) check() error {
	if !validID(p.ID) {
		return errors.Wrapf(ErrPatch, "id %q is malformed, 1 to %d printable ASCII characters are allowed",
			excerpt([]byte(p.ID)), contract.MaxNameLength)
	}
	if len(p.Author) > maxAuthorLength {
		return errors.Wrapf(ErrPatch, "author has %d bytes, at most %d are allowed", len(p.Author), maxAuthorLength)
	}
	if p.Type != MergePatch && p.Type != JSONPatch {
		return errors.Wrapf(ErrPatch, "type %q is none of %s, %s", excerpt([]byte(p.Type)), MergePatch, JSONPatch)
	}
	if len(p.Body) > MaxPatchBytes {
		return tooLarge("patch", len(p.Body), MaxPatchBytes)
	}
	if !json.Valid(p.Body) {
		return errors.Wrap(ErrPatch, "the body is not JSON")
	}
	return checkBody(p.Type, p.Body)
}

// hash returns a hash of type, base and body that does not depend on white space.
func (p Patch) hash() string {
	var body bytes.Buffer
	fmt.Fprintf(&body, "%s\x00%d\x00", p.Type, p.Base)
	if json.Compact(&body, p.Body) != nil {
		body.Write(p.Body)
	}
	return formatDigest(xxhash.Sum64(body.Bytes()))
}

// applyBody applies a patch to a JSON document. The patch library panics on some
// patches, for example on a test of an array against null. applyBody returns such a
// panic as an error, so that it does not end the process.
func applyBody(t PatchType, document, body []byte) (patched []byte, err error) {
	defer func() {
		if r := recover(); r != nil {
			patched, err = nil, errors.Wrapf(ErrPatch, "the patch library panicked: %v", r)
		}
	}()
	if t == MergePatch {
		patched, err = jsonpatch.MergePatch(document, body)
		return patched, patchError(err)
	}
	if firstByte(body) != '[' {
		return nil, errors.Wrap(ErrPatch, "a JSON Patch is an array of operations")
	}
	patch, err := jsonpatch.DecodePatch(body)
	if err != nil {
		return nil, patchError(err)
	}
	options := jsonpatch.NewApplyOptions()
	options.SupportNegativeIndices = false // not in RFC 6902
	options.AccumulatedCopySizeLimit = maxCopyBytes
	patched, err = patch.ApplyWithOptions(document, options)
	return patched, patchError(err)
}

// patchError converts an error of the patch library.
func patchError(err error) error {
	if err == nil {
		return nil
	}
	return errors.Wrapf(ErrPatch, "%s", err)
}

// tooLarge reports a size above its bound.
func tooLarge(what string, size, limit int) error {
	return errors.Wrapf(ErrTooLarge, "%s of %d bytes, at most %d are allowed", what, size, limit)
}

// Paths returns the locations that a patch changes as JSON pointers, at most
// maxPaths.
func (p Patch) Paths() []string {
	if p.Type == JSONPatch {
		return changedPaths(p.Body)
	}
	var paths []string
	mergePaths("", p.Body, &paths)
	return paths
}

// maxPaths is the largest number of paths listed for one patch.
const maxPaths = 20

// changedPaths returns the paths of the operations of a JSON Patch that can change
// the document.
func changedPaths(body []byte) []string {
	operations, err := jsonpatch.DecodePatch(body)
	if err != nil {
		return nil
	}
	var paths []string
	for _, o := range operations {
		path, err := o.Path()
		if err == nil && o.Kind() != "test" && len(paths) < maxPaths {
			paths = append(paths, path)
		}
	}
	return paths
}

// mergePaths appends the locations that a merge patch sets or removes.
func mergePaths(path string, body []byte, paths *[]string) {
	if len(*paths) >= maxPaths || strings.Count(path, "/") > maxMergeDepth {
		return
	}
	var fields map[string]json.RawMessage
	if firstByte(body) != '{' || json.Unmarshal(body, &fields) != nil {
		*paths = append(*paths, path)
		return
	}
	for _, name := range sortedKeys(fields) {
		mergePaths(path+"/"+escapePointer(name), fields[name], paths)
	}
}

// maxMergeDepth is the depth to which mergePaths follows nested objects. Documents
// have no deeper objects that a merge patch can change, because it replaces whole
// arrays.
const maxMergeDepth = 4
