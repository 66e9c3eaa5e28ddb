package query

import (
	"math/big"
	"math/bits"
	"slices"
	"sort"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// wholeSpace is the whole hash space, the meaning of the zero HashRange.
var wholeSpace upstream.HashRange

// coverage is the set of merged ranges of one group. Overlapping ranges are never
// added, so its measure is the sum of the range sizes.
type coverage struct {
	ranges []upstream.HashRange // sorted and disjoint; adjacent ranges are joined
	high   uint64               // upper word of the measure: 1 if the whole space is covered
	low    uint64               // lower word of the measure
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
	i := c.firstAfter(r.Start)
	if i > 0 && c.ranges[i-1].Overlaps(r) {
		return true
	}
	return i < len(c.ranges) && c.ranges[i].Overlaps(r)
}

// firstAfter returns the index of the first range that starts after start.
func (c *coverage) firstAfter(start uint64) int {
	return sort.Search(len(c.ranges), func(i int) bool { return c.ranges[i].Start > start })
}

// add adds r, which must not overlap any merged range.
func (c *coverage) add(r upstream.HashRange) {
	high, low := measure(r)
	var carry uint64
	c.low, carry = bits.Add64(c.low, low, 0)
	c.high += high + carry
	i := c.firstAfter(r.Start)
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

// count returns the number of covered hash values.
func (c *coverage) count() *big.Int {
	n := new(big.Int).SetUint64(c.high)
	n.Lsh(n, 64)
	return n.Add(n, new(big.Int).SetUint64(c.low))
}

// share returns the covered share of the whole hash space.
func (c *coverage) share() *big.Rat {
	return new(big.Rat).SetFrac(c.count(), new(big.Int).Lsh(big.NewInt(1), 64))
}

// clip returns the intersection of two overlapping ranges.
func clip(a, b upstream.HashRange) upstream.HashRange {
	r := upstream.HashRange{Start: max(a.Start, b.Start), End: a.End}
	if a.End == 0 || (b.End != 0 && b.End < a.End) {
		r.End = b.End
	}
	return r
}

// coverageReached returns the mean of the groups' coverage.
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

// minimumReached reports whether the merged parts reach the minimum coverage.
func (m *Machine) minimumReached() bool {
	return m.coverageReached().Cmp(m.minimum) >= 0
}

// cannotReachMinimum reports whether the minimum coverage can no longer be
// reached. Such a query ends at once to free the slots that its other
// sub-requests occupy.
func (m *Machine) cannotReachMinimum() bool {
	if !m.recheckMinimum || m.discovering || m.minimum.Sign() == 0 {
		return false
	}
	m.recheckMinimum = false
	sum := new(big.Rat)
	for g := range m.groups {
		ranges := slices.Clone(m.groups[g].merged.ranges)
		for i := range m.tasks {
			if t := &m.tasks[i]; t.group == g && (t.state == waiting || t.state == inFlight) {
				ranges = append(ranges, t.hashRange)
			}
		}
		sum.Add(sum, upstream.CoveredFraction(wholeSpace, ranges))
	}
	sum.Quo(sum, big.NewRat(int64(len(m.groups)), 1))
	m.abandoned = sum.Cmp(m.minimum) < 0
	return m.abandoned
}

// groupCoverage returns the coverage of a group, with a reason for each gap.
func (m *Machine) groupCoverage(g int) GroupCoverage {
	group := &m.groups[g]
	out := GroupCoverage{Name: group.name, Coverage: group.merged.share()}
	for _, gap := range upstream.Gaps(wholeSpace, group.merged.ranges) {
		out.Missing = append(out.Missing, m.missingParts(g, gap)...)
	}
	return out
}

// missingParts splits a gap by the sub-requests that asked for it.
func (m *Machine) missingParts(g int, gap upstream.HashRange) []Missing {
	var out []Missing
	var attributed []upstream.HashRange
	for i := range m.tasks {
		t := &m.tasks[i]
		if t.group != g || t.state == done || !t.hashRange.Overlaps(gap) {
			continue
		}
		for _, r := range upstream.Gaps(clip(t.hashRange, gap), attributed) {
			attributed = append(attributed, r)
			out = append(out, Missing{Service: m.services[t.service].name, Partition: r, Reason: m.missingReason(t)})
		}
	}
	for _, r := range upstream.Gaps(gap, attributed) {
		out = append(out, Missing{Partition: r, Reason: ReasonNoReplica})
	}
	return out
}

// missingReason returns why the range of a task is missing from the answer.
func (m *Machine) missingReason(t *task) Reason {
	switch {
	case m.abandoned && t.state != failed:
		return ReasonAbandoned
	case t.state == inFlight || t.reason == "":
		return ReasonTimedOut
	}
	return t.reason
}

// limitedBySnapshot reports whether the query would have reached the minimum
// coverage if every service held the snapshot of the answer.
func (m *Machine) limitedBySnapshot(a Answer) bool {
	sum := m.coverageReached()
	for _, g := range a.Groups {
		var otherSnapshots coverage
		for _, missing := range g.Missing {
			if missing.Reason == ReasonSnapshot {
				otherSnapshots.add(missing.Partition)
			}
		}
		share := otherSnapshots.share()
		sum.Add(sum, share.Quo(share, big.NewRat(int64(len(a.Groups)), 1)))
	}
	return sum.Cmp(m.minimum) >= 0
}
