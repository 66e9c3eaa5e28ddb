package query

import (
	"math/big"
	"math/bits"
	"slices"
	"sort"

	"github.com/marigoldlever/marigoldlever/upstream"
)

var wholeSpace upstream.HashRange

// coverage is the set of merged ranges of one group. Because no overlapping
// range is added, its measure is the sum of their sizes.
type coverage struct {
	ranges []upstream.HashRange // sorted, disjoint, adjacent ones joined
	high   uint64               // measure, upper word: 1 if all is covered
	low    uint64               // measure, lower word
}

// measure returns the number of hash values in r as a 128-bit number.
func measure(r upstream.HashRange) (high, low uint64) {
	if r.Whole() {
		return 1, 0
	}
	return 0, r.End - r.Start
}

// overlaps reports whether any merged range shares a hash value with r.
func (c *coverage) overlaps(r upstream.HashRange) bool {
	i := c.after(r.Start)
	if i > 0 && c.ranges[i-1].Overlaps(r) {
		return true
	}
	return i < len(c.ranges) && c.ranges[i].Overlaps(r)
}

// after returns the index of the first range that starts after start.
func (c *coverage) after(start uint64) int {
	return sort.Search(len(c.ranges), func(i int) bool { return c.ranges[i].Start > start })
}

// add merges r, which must not overlap a merged range.
func (c *coverage) add(r upstream.HashRange) {
	high, low := measure(r)
	var carry uint64
	c.low, carry = bits.Add64(c.low, low, 0)
	c.high += high + carry
	i := c.after(r.Start)
	joinsLeft := i > 0 && c.ranges[i-1].End == r.Start
	joinsRight := i < len(c.ranges) && r.End == c.ranges[i].Start
	switch {
	case joinsLeft && joinsRight:
		c.ranges[i-1].End = c.ranges[i].End
		c.ranges = append(c.ranges[:i], c.ranges[i+1:]...)
	case joinsLeft:
		c.ranges[i-1].End = r.End
	case joinsRight:
		c.ranges[i].Start = r.Start
	default:
		c.ranges = append(c.ranges, upstream.HashRange{})
		copy(c.ranges[i+1:], c.ranges[i:])
		c.ranges[i] = r
	}
}

// count returns the number of hash values covered.
func (c *coverage) count() *big.Int {
	n := new(big.Int).SetUint64(c.high)
	n.Lsh(n, 64)
	return n.Add(n, new(big.Int).SetUint64(c.low))
}

// share returns the covered share of the whole space.
func (c *coverage) share() *big.Rat {
	return new(big.Rat).SetFrac(c.count(), new(big.Int).Lsh(big.NewInt(1), 64))
}

// clip returns the common part of two ranges that overlap.
func clip(a, b upstream.HashRange) upstream.HashRange {
	r := upstream.HashRange{Start: max(a.Start, b.Start), End: a.End}
	if a.End == 0 || (b.End != 0 && b.End < a.End) {
		r.End = b.End
	}
	return r
}

// coverageReached returns the mean coverage of all groups.
func (m *Machine) coverageReached() *big.Rat {
	sum := new(big.Int)
	for i := range m.groups {
		sum.Add(sum, m.groups[i].merged.count())
	}
	if len(m.groups) == 0 {
		return new(big.Rat)
	}
	all := new(big.Int).Lsh(big.NewInt(int64(len(m.groups))), 64)
	return new(big.Rat).SetFrac(sum, all)
}

// minimumReached reports whether the merged parts may be answered.
func (m *Machine) minimumReached() bool {
	return m.coverageReached().Cmp(m.minimum) >= 0
}

// hopeless reports whether the minimum can no longer be reached. Such a query
// ends at once, so that its other sub-requests do not take slots in vain.
func (m *Machine) hopeless() bool {
	if !m.lost || m.discovering || m.minimum.Sign() == 0 {
		return false
	}
	m.lost = false
	sum := new(big.Rat)
	for g := range m.groups {
		ranges := slices.Clone(m.groups[g].merged.ranges)
		for i := range m.tasks {
			if t := &m.tasks[i]; t.group == g && (t.state == waiting || t.state == inFlight) {
				ranges = append(ranges, t.rng)
			}
		}
		sum.Add(sum, upstream.CoveredFraction(wholeSpace, ranges))
	}
	sum.Quo(sum, big.NewRat(int64(len(m.groups)), 1))
	m.abandoned = sum.Cmp(m.minimum) < 0
	return m.abandoned
}

// groupCoverage states the coverage of a group and a reason for each gap.
func (m *Machine) groupCoverage(g int) GroupCoverage {
	group := &m.groups[g]
	out := GroupCoverage{Name: group.name, Coverage: group.merged.share()}
	for _, gap := range upstream.Gaps(wholeSpace, group.merged.ranges) {
		out.Missing = append(out.Missing, m.explain(g, gap)...)
	}
	return out
}

// explain divides a gap by the sub-requests that were meant to fill it.
func (m *Machine) explain(g int, gap upstream.HashRange) []Missing {
	var out []Missing
	var known []upstream.HashRange
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.group != g || t.state == done || !t.rng.Overlaps(gap) {
			continue
		}
		for _, r := range upstream.Gaps(clip(t.rng, gap), known) {
			known = append(known, r)
			out = append(out, Missing{Service: m.services[t.service].name, Partition: r, Reason: m.missingReason(t)})
		}
	}
	for _, r := range upstream.Gaps(gap, known) {
		out = append(out, Missing{Partition: r, Reason: ReasonNoReplica})
	}
	return out
}

func (m *Machine) missingReason(t *task) Reason {
	switch {
	case m.abandoned && t.state != failed:
		return ReasonAbandoned
	case t.state == inFlight || t.reason == "":
		return ReasonTimedOut
	}
	return t.reason
}

// snapshotDecides reports whether the minimum would have been reached if every
// service held the snapshot of the answer.
func (m *Machine) snapshotDecides(a Answer) bool {
	sum := m.coverageReached()
	for _, g := range a.Groups {
		var other coverage
		for _, missing := range g.Missing {
			if missing.Reason == ReasonSnapshot {
				other.add(missing.Partition)
			}
		}
		share := other.share()
		sum.Add(sum, share.Quo(share, big.NewRat(int64(len(a.Groups)), 1)))
	}
	return sum.Cmp(m.minimum) >= 0
}
