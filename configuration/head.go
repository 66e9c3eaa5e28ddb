package configuration

import (
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// The configuration is stored in three objects. ObjectName is the head: it holds
// the current number, the patches since a checkpoint and the name of that
// checkpoint. The other two objects are checkpoint slots; each holds the whole
// document of an earlier version. A host that watches the head receives a few
// kilobytes for each change. It reads a checkpoint only when it starts or has
// missed too many changes.
//
// A checkpoint is written to a slot under these rules: its version was accepted; it
// is written before the head that names it; the current head does not name the
// slot; the number in the slot never decreases. The conditional update of the slot
// enforces the last two: an editor writes the slot that the head does not name, and
// only on the object version that the head lists or on one whose number it has
// read. So a slot holds the named version as long as the head names it. A reader
// that finds a higher number in the slot reads the head again.

// headFormat is the format of the head. In format 1 the head was a whole version.
const headFormat = 2

const (
	// checkpointSlots is the number of objects that checkpoints are written to in
	// turn. The platform cannot delete objects, so one object for each checkpoint
	// would accumulate.
	checkpointSlots = 2
	// checkpointPrefix is the name of a slot without its index.
	checkpointPrefix = "configuration/checkpoint/"
)

const (
	// DefaultHeadBytes is the size of a stored head from which a checkpoint is
	// written before the next patch. At 7,500 changes a day, a watching host then
	// receives at most 1.5 KB/s.
	DefaultHeadBytes = 16 << 10
	// maxHeadBytes bounds what is decompressed from a head: one patch of any size
	// and records that compress to DefaultHeadBytes.
	maxHeadBytes = MaxPatchBytes + 4<<20
)

// checkpointName returns the name of a slot.
func checkpointName(slot int) string { return checkpointPrefix + strconv.Itoa(slot) }

// checkpoint is the reference of a head to its checkpoint.
type checkpoint struct {
	// Slot is the index of the slot that holds version Number. If Number is 0,
	// there is no checkpoint, and the patches are based on the empty document.
	Slot   int    `json:"slot"`
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	// Versions are the object versions that the slots had when a checkpoint was
	// last written to them, or 0 if they are absent.
	Versions [checkpointSlots]uint64 `json:"versions"`
}

// name returns the name of the object that holds the checkpoint.
func (c checkpoint) name() string { return checkpointName(c.Slot) }

// spareSlot returns the slot that the next checkpoint is written to.
func (c checkpoint) spareSlot() int { return (c.Slot + 1) % checkpointSlots }

// valid reports whether the slot exists.
func (c checkpoint) valid() bool { return c.Slot >= 0 && c.Slot < checkpointSlots }

// afterWriting returns the reference after s was written to the spare slot, which
// gave the slot this object version.
func (c checkpoint) afterWriting(s *snapshot, version uint64) checkpoint {
	n := checkpoint{Slot: c.spareSlot(), Number: s.Number, Digest: s.Digest, Versions: c.Versions}
	n.Versions[n.Slot] = version
	return n
}

// head is the content of ObjectName.
type head struct {
	Format     int        `json:"format"`
	Number     uint64     `json:"number"`
	Digest     string     `json:"digest"`
	Checkpoint checkpoint `json:"checkpoint"`
	// Patches are the records after the checkpoint and a few before it, all with
	// their bodies. Older records are in the checkpoint.
	Patches []PatchRecord `json:"patches"`
}

// decodeHead decodes the head object. For an absent object it returns the head of
// version 0.
func decodeHead(object objectstore.Object) (*head, error) {
	if object.Version == 0 {
		return &head{Format: headFormat, Digest: emptySnapshot().Digest}, nil
	}
	r, err := newValueReader(object.Value)
	if err != nil {
		return nil, err
	}
	h := &head{}
	if err := r.next(maxHeadBytes, h); err != nil {
		return nil, err
	}
	if h.Format != headFormat || h.Number == 0 || !h.Checkpoint.valid() {
		return nil, errors.Wrapf(ErrCorrupt, "head has unsupported format %d, number %d or slot %d", h.Format, h.Number, h.Checkpoint.Slot)
	}
	return h, nil
}

// encode returns the stored value of the head.
func (h *head) encode(c *compressor) ([]byte, error) {
	value, err := c.compress(canonical(h))
	if err == nil && len(value) > objectstore.MaxValueBytes {
		return nil, tooLarge("stored head", len(value), objectstore.MaxValueBytes)
	}
	return value, err
}

// append returns the head after h with a further patch.
func (h *head) append(r PatchRecord) *head {
	return &head{
		Format: headFormat, Number: r.Number, Digest: r.Digest, Checkpoint: h.Checkpoint,
		Patches: append(slices.Clip(h.Patches), r),
	}
}

// rebase returns h based on a checkpoint of its own version. It keeps the newest
// patches up to limit bytes for hosts that are a few versions behind.
func (h *head) rebase(c checkpoint, limit int) *head {
	first := len(h.Patches)
	for total := 0; first > 0; first-- {
		total += len(canonical(h.Patches[first-1]))
		if total > limit {
			break
		}
	}
	return &head{Format: headFormat, Number: h.Number, Digest: h.Digest, Checkpoint: c, Patches: h.Patches[first:]}
}

// snapshot returns the version of the head, derived from held, which may be nil, or
// from the empty document. It returns nil if the checkpoint is needed.
func (h *head) snapshot(held *snapshot) (*snapshot, error) {
	if held != nil && held.Number == h.Number && held.Digest == h.Digest {
		return held, nil
	}
	if s := applyMissing(held, h.Number, h.Digest, h.Patches); s != nil {
		return s, nil
	}
	if h.Checkpoint.Number > 0 {
		return nil, nil
	}
	return h.applyPatches(emptySnapshot())
}

// applyPatches applies to s, the version of the checkpoint, the patches after it.
func (h *head) applyPatches(s *snapshot) (*snapshot, error) {
	s, err := applyAll(s, recordsAfter(h.Patches, s.Number))
	if err != nil {
		return nil, err
	}
	if s.Number != h.Number || s.Digest != h.Digest {
		return nil, errors.Wrapf(ErrCorrupt, "head has version %d with digest %s, but its patches lead to version %d with digest %s",
			h.Number, h.Digest, s.Number, s.Digest)
	}
	return s, nil
}

// fromCheckpoint returns the version of the head, derived from the content of its
// checkpoint slot. It returns nil if the slot holds a later version, which means
// that the head has changed since it was read.
func (h *head) fromCheckpoint(o *openedValue) (*snapshot, error) {
	if o.Number > h.Checkpoint.Number {
		return nil, nil
	}
	if o.Number != h.Checkpoint.Number || o.Digest != h.Checkpoint.Digest {
		return nil, errors.Wrapf(ErrCorrupt, "%s has version %d with digest %s, but the head names version %d with digest %s",
			h.Checkpoint.name(), o.Number, o.Digest, h.Checkpoint.Number, h.Checkpoint.Digest)
	}
	s, err := o.snapshot(nil)
	if err != nil {
		return nil, err
	}
	return h.applyPatches(s)
}
