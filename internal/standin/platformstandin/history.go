package platformstandin

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"time"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// historyValueBytes limits the total size of the values that the history keeps. Without
// the limit, a journal that is rewritten a hundred times a second would fill the memory
// within minutes.
const historyValueBytes = 256 << 20

// Write is one accepted write of an object.
type Write struct {
	Object     string    `json:"object"`
	Version    uint64    `json:"version"`
	Time       time.Time `json:"time"`
	DataCentre string    `json:"data_centre"`
	Size       int       `json:"size"`
	Digest     string    `json:"digest"` // SHA-256 of the value, hexadecimal
	// Lost is set once the platform was restored to a state before the write.
	Lost bool `json:"lost,omitempty"`
	// Value is nil after it was dropped to keep within historyValueBytes.
	Value []byte `json:"value,omitempty"`
}

type history struct {
	writes    []Write
	bytes     int
	firstKept int // index of the oldest write whose value is kept
}

func (h *history) add(o objectstore.Object, dataCentre string, at time.Time) {
	digest := sha256.Sum256(o.Value)
	h.writes = append(h.writes, Write{
		Object: o.Name, Version: o.Version, Time: at, DataCentre: dataCentre,
		Size: len(o.Value), Digest: hex.EncodeToString(digest[:]), Value: o.Value,
	})
	h.bytes += len(o.Value)
	for h.bytes > historyValueBytes {
		h.bytes -= len(h.writes[h.firstKept].Value)
		h.writes[h.firstKept].Value = nil
		h.firstKept++
	}
}

// History returns the accepted writes of all objects in the order of acceptance.
func (p *Platform) History() []Write {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.history.writes)
}

// HistoryOf returns the accepted writes of one object in the order of acceptance.
func (p *Platform) HistoryOf(name string) []Write {
	return slices.DeleteFunc(p.History(), func(w Write) bool { return w.Object != name })
}

// Counts are the numbers of calls since the start. A watch counts as one read.
type Counts struct {
	Reads           int64 `json:"reads"`
	Writes          int64 `json:"writes"`
	ReadsOverRate   int64 `json:"reads_over_rate"`
	WritesOverRate  int64 `json:"writes_over_rate"`
	PeakReads       int   `json:"peak_reads_per_second"`
	PeakWrites      int   `json:"peak_writes_per_second"`
	AcceptedUpdates int   `json:"accepted_updates"`
}

// Counts returns the numbers of calls since the start.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Counts{
		Reads: p.reads.allowed, ReadsOverRate: p.reads.denied, PeakReads: p.reads.peak,
		Writes: p.writes.allowed, WritesOverRate: p.writes.denied, PeakWrites: p.writes.peak,
		AcceptedUpdates: len(p.history.writes),
	}
}
