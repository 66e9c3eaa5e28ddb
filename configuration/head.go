package configuration

import (
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// The configuration is stored in three objects. ObjectName is the head: it
// holds the number, the patches since a checkpoint and the place of that
// checkpoint. Two slots hold the whole document of an earlier version each. A
// host that watches the head receives a few kilobytes for each change and reads
// a checkpoint only if it starts or missed too many changes.
//
// A slot is written only with a version that was accepted, before the head that
// names it, never while the head names it, and never with a lower number than
// it has. An editor knows the last two from the version of the slot's object:
// it writes the slot that the head does not name, on the version that the head
// remembers or on one whose number it read. So the named slot holds the named
// version for as long as the head names it, and a reader that finds a higher
// number reads the head again.

// headFormat is the format of the head. Format 1 was the whole version.
const headFormat = 2

const (
	// checkpointSlots is the number of objects that take turns. The platform
	// has no delete, so a checkpoint object for each number would stay.
	checkpointSlots = 2
	// checkpointPrefix is the name of a slot without its index.
	checkpointPrefix = "configuration/checkpoint/"
)

const (
	// DefaultHeadBytes is the size of a stored head from which the next patch
	// makes a checkpoint first. At 7,500 changes a day a watching host then
	// receives at most 1.5 KB/s.
	DefaultHeadBytes = 16 << 10
	// maxHeadBytes bounds what is read of a head: one patch of any size and
	// records that compress to DefaultHeadBytes.
	maxHeadBytes = MaxPatchBytes + 4<<20
)

// checkpointName returns the name of a slot.
func checkpointName(slot int) string { return checkpointPrefix + strconv.Itoa(slot) }

// checkpoint is what a head tells about the checkpoints.
type checkpoint struct {
	// Slot holds version Number, or nothing if Number is 0, which stands for
	// the empty document.
	Slot   int    `json:"slot"`
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
	// Versions are the object versions of the slots when they were last
	// written, 0 if absent.
	Versions [checkpointSlots]uint64 `json:"versions"`
}

// name returns the name of the object that holds the checkpoint.
func (c checkpoint) name() string { return checkpointName(c.Slot) }

// spare returns the slot that the next checkpoint goes to.
func (c checkpoint) spare() int { return (c.Slot + 1) % checkpointSlots }

// valid reports whether the slot exists.
func (c checkpoint) valid() bool { return c.Slot >= 0 && c.Slot < checkpointSlots }

// next returns the checkpoint that s makes in the spare slot.
func (c checkpoint) next(s *snapshot, version uint64) checkpoint {
	n := checkpoint{Slot: c.spare(), Number: s.Number, Digest: s.Digest, Versions: c.Versions}
	n.Versions[n.Slot] = version
	return n
}

// head is the content of ObjectName.
type head struct {
	Format     int        `json:"format"`
	Number     uint64     `json:"number"`
	Digest     string     `json:"digest"`
	Checkpoint checkpoint `json:"checkpoint"`
	// Patches are the records after the checkpoint and a few before, all with
	// their bodies. Older records are in the checkpoint.
	Patches []PatchRecord `json:"patches"`
}

// openHead decodes an object, which may be absent.
func openHead(object objectstore.Object) (*head, error) {
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
		return nil, errors.Wrapf(ErrCorrupt, "head has format %d, number %d and slot %d", h.Format, h.Number, h.Checkpoint.Slot)
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

// append returns the head that follows h by a patch.
func (h *head) append(r PatchRecord) *head {
	return &head{
		Format: headFormat, Number: r.Number, Digest: r.Digest, Checkpoint: h.Checkpoint,
		Patches: append(slices.Clip(h.Patches), r),
	}
}

// rebase returns h on a checkpoint of its own number. It keeps the newest
// patches of up to limit bytes, for hosts that are slightly behind.
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

// snapshot returns the version of the head. It makes it from held, which may be
// nil, or from the empty document. It returns nil if it needs the checkpoint.
func (h *head) snapshot(held *snapshot) (*snapshot, error) {
	if held != nil && held.Number == h.Number && held.Digest == h.Digest {
		return held, nil
	}
	if s := advance(held, h.Number, h.Digest, h.Patches); s != nil {
		return s, nil
	}
	if h.Checkpoint.Number > 0 {
		return nil, nil
	}
	return h.follow(emptySnapshot())
}

// follow applies the patches after the checkpoint to it.
func (h *head) follow(s *snapshot) (*snapshot, error) {
	s, err := followAll(s, recordsAfter(h.Patches, s.Number))
	if err != nil {
		return nil, err
	}
	if s.Number != h.Number || s.Digest != h.Digest {
		return nil, errors.Wrapf(ErrCorrupt, "head has version %d with digest %s, its patches lead to version %d with digest %s",
			h.Number, h.Digest, s.Number, s.Digest)
	}
	return s, nil
}

// fromCheckpoint returns the version of the head from an object that was read
// for its checkpoint. It returns nil if the slot holds a later version, which
// tells that the head has changed.
func (h *head) fromCheckpoint(o *openedValue) (*snapshot, error) {
	if o.Number > h.Checkpoint.Number {
		return nil, nil
	}
	if o.Number != h.Checkpoint.Number || o.Digest != h.Checkpoint.Digest {
		return nil, errors.Wrapf(ErrCorrupt, "%s has version %d with digest %s, the head names version %d with digest %s",
			h.Checkpoint.name(), o.Number, o.Digest, h.Checkpoint.Number, h.Checkpoint.Digest)
	}
	s, err := o.snapshot(nil)
	if err != nil {
		return nil, err
	}
	return h.follow(s)
}
