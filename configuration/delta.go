package configuration

import "slices"

// Delta is the response to a peer that is behind: either the patches since its
// version or the whole version.
type Delta struct {
	// Number is that of the version to which the response leads.
	Number uint64 `json:"number"`
	// Patches are the accepted patches since the version of the peer.
	Patches []PatchRecord `json:"patches,omitempty"`
	// Value is the stored value of the version. It is set if the patches are
	// not all kept or if the whole version was asked for.
	Value []byte `json:"value,omitempty"`
}

// Delta returns what a peer that holds version from lacks.
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
