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

// maxCopyBytes bounds what the copy operations of one JSON Patch may add.
const maxCopyBytes = 1 << 20

// maxAuthorLength bounds the author, who is stored with each recent patch.
const maxAuthorLength = 128

// Patch is a change of the document, based on a numbered version.
type Patch struct {
	// ID identifies the patch when it is sent again. The caller chooses it.
	ID string `json:"id"`
	// Base is the number of the version that the patch changes. An accepted
	// patch leads to Base + 1. Base 0 is the empty document {}.
	Base   uint64    `json:"base"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	Type   PatchType `json:"type"`
	// Body is the patch itself. It is absent in a record whose body is no
	// longer kept.
	Body json.RawMessage `json:"patch,omitempty"`
}

// PatchRecord is an accepted patch.
type PatchRecord struct {
	Patch
	// Number is that of the resulting version.
	Number uint64 `json:"number"`
	// Digest is that of the resulting document.
	Digest string `json:"digest"`
	// Hash identifies type, base and body of the patch, so that a reused id
	// is recognised when the body is no longer kept.
	Hash string `json:"hash"`
}

// check returns an error unless the patch is well formed.
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

// hash identifies type, base and body without regard to white space.
func (p Patch) hash() string {
	var body bytes.Buffer
	fmt.Fprintf(&body, "%s\x00%d\x00", p.Type, p.Base)
	if json.Compact(&body, p.Body) != nil {
		body.Write(p.Body)
	}
	return formatDigest(xxhash.Sum64(body.Bytes()))
}

// applyBody applies a patch to a JSON document. The patch library panics on
// some patches, such as a test of an array against null, which must not end the
// process.
func applyBody(t PatchType, document, body []byte) (patched []byte, err error) {
	defer func() {
		if r := recover(); r != nil {
			patched, err = nil, errors.Wrapf(ErrPatch, "the patch library failed: %v", r)
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

// Paths returns the places that a patch changes as JSON pointers, maxPaths at
// most.
func (p Patch) Paths() []string {
	if p.Type == JSONPatch {
		return changedPaths(p.Body)
	}
	var paths []string
	mergePaths("", p.Body, &paths)
	return paths
}

// maxPaths bounds the paths listed for one patch.
const maxPaths = 20

// changedPaths returns the paths of the operations of a JSON Patch.
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

// mergePaths appends the places that a merge patch sets or removes.
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

// maxMergeDepth is the deepest object in a document, below which a merge patch
// replaces whole arrays.
const maxMergeDepth = 4
