package watchers

import (
	linked "container/list"
	"math"
	"slices"

	"github.com/cockroachdb/errors"
)

const (
	// changeOverhead is the approximate memory of a change besides its name and value.
	changeOverhead = 256
	// maxGaps limits the gaps kept in a history.
	maxGaps = 64
)

// errRevisionTooOld reports that another host asked for changes after a revision for which
// not all are kept.
var errRevisionTooOld = errors.New("not all changes after the revision are kept")

// history holds the changes of a list since a revision, for hosts that know an earlier
// state. Of each object it keeps the last change only, so that a host that applies the
// changes after its revision reaches the present state, but does not see the states in
// between. The size is bounded in bytes: the changes that are longest ago are dropped first.
//
// Invariants: changes holds the last change of every object that changed after oldest,
// ordered by the revision of the response that brought it; byName points into changes; bytes
// is the sum of the sizes of changes, and at most maxBytes unless one change alone is larger.
type history struct {
	maxBytes int
	oldest   uint64
	changes  *linked.List // of change
	byName   map[string]*linked.Element
	bytes    int
	gaps     []gap
}

// change is the last change of an object.
type change struct {
	object   Object
	revision uint64 // of the response that brought it
}

func (c change) size() int { return changeOverhead + len(c.object.Name) + len(c.object.Value) }

// gap is a difference between two whole lists. An object that came and went between the
// revisions is not in the history, so that it does not serve hosts that know a revision
// in between.
type gap struct{ after, until uint64 }

func newHistory(maxBytes int) *history {
	return &history{maxBytes: maxBytes, changes: linked.New(), byName: map[string]*linked.Element{}}
}

// restart drops everything. The history then begins at a revision.
func (h *history) restart(revision uint64) {
	h.changes.Init()
	clear(h.byName)
	h.bytes, h.gaps, h.oldest = 0, nil, revision
}

// add adds the changes of a response with the given revision.
func (h *history) add(objects []Object, revision uint64) {
	for _, o := range objects {
		if earlier := h.byName[o.Name]; earlier != nil {
			h.remove(earlier)
		}
		c := change{o, revision}
		h.byName[o.Name] = h.changes.PushBack(c)
		h.bytes += c.size()
	}
	for h.bytes > h.maxBytes && h.changes.Len() > 1 {
		h.oldest = h.remove(h.changes.Front()).revision
	}
}

func (h *history) remove(e *linked.Element) change {
	c := h.changes.Remove(e).(change)
	delete(h.byName, c.object.Name)
	h.bytes -= c.size()
	return c
}

// addGap records that the changes between two revisions are a difference.
func (h *history) addGap(after, until uint64) {
	if len(h.gaps) == maxGaps {
		h.oldest = max(h.oldest, h.gaps[0].until)
		h.gaps = slices.Delete(h.gaps, 0, 1)
	}
	h.gaps = append(h.gaps, gap{after, until})
}

// lastRevision is above all revisions that an era gives out.
const lastRevision = math.MaxUint64

// end adds the difference from the state at a revision to the first state of the next era. The
// history then leads hosts that know a state up to that revision into the next era.
func (h *history) end(difference []Object, revision uint64) {
	h.addGap(revision, lastRevision)
	h.add(difference, lastRevision)
}

// since returns the changes after a revision, whether any were found, and whether a
// difference is among them. There may be changes without objects.
func (h *history) since(from uint64) (objects []Object, found, collapsed bool, _ error) {
	if from < h.oldest {
		return nil, false, false, errors.Wrapf(errRevisionTooOld, "revision %d, kept since %d", from, h.oldest)
	}
	for _, g := range h.gaps {
		if g.after < from && from < g.until {
			return nil, false, false, errors.Wrapf(errRevisionTooOld, "revision %d, between lists of %d and %d", from, g.after, g.until)
		}
		collapsed = collapsed || from < g.until
	}
	for e := h.changes.Back(); e != nil && e.Value.(change).revision > from; e = e.Prev() {
		objects = append(objects, e.Value.(change).object)
	}
	slices.Reverse(objects)
	return objects, collapsed || len(objects) > 0, collapsed, nil
}
