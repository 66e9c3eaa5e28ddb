package configuration

import "slices"

// Delta is the response to a peer with an older version. It holds either the
// patches since that version or the whole version.
type Delta struct {
	// Number is the number of the version that the response leads to.
	Number uint64 `json:"number"`
	// Patches are the accepted patches since the version of the peer.
	Patches []PatchRecord `json:"patches,omitempty"`
	// Value is the stored value of the version. It is set if not all of the
	// patches are still kept, or if the peer asked for the whole version.
	Value []byte `json:"value,omitempty"`
}

// Delta returns the changes since version from. If whole is set, it returns the
// whole version instead of patches.
func (t *Tracker) Delta(from uint64, whole bool) (Delta, error) {
	d := Delta{Number: t.held.Number}
	if from >= t.held.Number {
		return d, nil
	}
	if !whole {
		d.Patches = recordsAfter(t.held.Patches, from)
	}
	if d.Patches != nil {
		d.Patches = slices.Clip(d.Patches)
		return d, nil
	}
	value, err := t.storedValue()
	if err != nil {
		return Delta{}, err
	}
	d.Value = value
	return d, nil
}

// storedValue returns the stored value of the version in force. It is encoded
// once per version, when the first peer needs it.
func (t *Tracker) storedValue() ([]byte, error) {
	if t.value == nil {
		value, err := new(compressor).encodeValue(t.held.Version)
		if err != nil {
			return nil, err
		}
		t.value = value
	}
	return t.value, nil
}
