package contract

import (
	"math/big"
	"regexp"
	"strings"
)

// numberPattern accepts decimals and ratios. It does not accept exponents, because
// with them a short text can describe a number of any size.
var numberPattern = regexp.MustCompile(`^[+-]?[0-9]+(\.[0-9]+|/[0-9]+)?$`)

// namePattern accepts names that need no quoting in paths and quantities.
var namePattern = regexp.MustCompile(`^[\pL_][\pL\pM\pN_.-]*$`)

// ValidName reports whether a name is well formed: a letter or underscore, then
// letters, marks, digits, underscores, dots and hyphens, at most MaxNameLength
// bytes.
func ValidName(name string) bool {
	return len(name) <= MaxNameLength && namePattern.MatchString(name)
}

// resolvedUnit is a unit in terms of the base unit of its dimension. The factor is
// nil if the definition of the unit has a problem, which is already reported.
type resolvedUnit struct {
	dimension Dimension
	factor    *big.Rat
}

// unitTable maps unit names to resolved units.
type unitTable map[string]resolvedUnit

// definition is a unit with its parsed factor.
type definition struct {
	Unit
	number *big.Rat // nil if the definition has a problem
	parent string   // the unit that the number is a multiple of
	done   bool     // the unit is in the table
}

// baseUnit returns the base unit of a dimension, or "" for an unknown one.
func baseUnit(d Dimension) string {
	switch d {
	case Time:
		return BaseTime
	case Share:
		return BaseShare
	case Load:
		return BaseLoad
	}
	return ""
}

// resolveUnits returns a table of the base units and all defined units.
func resolveUnits(units []Unit, ps *problems) unitTable {
	one := big.NewRat(1, 1)
	table := unitTable{BaseTime: {Time, one}, BaseShare: {Share, one}, BaseLoad: {Load, one}}
	if len(units) > MaxUnits {
		ps.add(Problem{Field: "units", Kind: ErrOverflow}, "%d units, at most %d are allowed", len(units), MaxUnits)
		return table
	}
	defs := parseUnits(units, ps)
	for _, u := range units {
		if d := defs[u.Name]; d != nil && !d.done {
			resolveUnit(d, defs, table, ps)
		}
	}
	return table
}

// parseUnits returns the definitions by name.
func parseUnits(units []Unit, ps *problems) map[string]*definition {
	defs := make(map[string]*definition, len(units))
	for i, u := range units {
		if !ValidName(u.Name) {
			ps.add(Problem{Unit: label(u.Name, i), Field: "name", Kind: ErrSyntax}, "%.140q is not a name", u.Name)
			continue
		}
		if u.Name == BaseTime || u.Name == BaseShare || u.Name == BaseLoad {
			ps.add(Problem{Unit: u.Name, Field: "name", Kind: ErrDuplicate}, "%q is a built-in unit", u.Name)
			continue
		}
		if defs[u.Name] != nil {
			ps.add(Problem{Unit: u.Name, Field: "name", Kind: ErrDuplicate}, "%q is defined twice", u.Name)
			continue
		}
		defs[u.Name] = parseUnit(u, ps)
	}
	return defs
}

// parseUnit parses the factor of u.
func parseUnit(u Unit, ps *problems) *definition {
	d := &definition{Unit: u, parent: baseUnit(u.Dimension)}
	if d.parent == "" {
		ps.add(Problem{Unit: u.Name, Field: "dimension", Kind: ErrUnknownValue},
			"%q is none of %s, %s, %s", u.Dimension, Time, Share, Load)
	}
	place := Problem{Unit: u.Name, Field: "factor"}
	text, parent, relative := strings.Cut(u.Factor, " ")
	if relative {
		d.parent = parent
	}
	d.number = parseNumber(text, place, ps)
	return d
}

// resolveUnit adds d, and the units that it is defined in terms of, to the table.
func resolveUnit(d *definition, defs map[string]*definition, table unitTable, ps *problems) {
	chain := []*definition{}
	position := map[string]int{}
	for ; d != nil && !d.done; d = defs[d.parent] {
		if start, circular := position[d.Name]; circular {
			reportCycle(chain[start:], ps)
			break
		}
		position[d.Name] = len(chain)
		chain = append(chain, d)
	}
	for i := len(chain) - 1; i >= 0; i-- {
		chain[i].done = true
		table[chain[i].Name] = chain[i].resolve(table, ps)
	}
}

// reportCycle adds a problem for each unit of a cycle.
func reportCycle(cycle []*definition, ps *problems) {
	names := make([]string, len(cycle)+1)
	for i, d := range cycle {
		names[i] = d.Name
	}
	names[len(cycle)] = cycle[0].Name
	for _, d := range cycle {
		d.number = nil
		ps.add(Problem{Unit: d.Name, Field: "factor", Kind: ErrCircularUnit}, "%s", strings.Join(names, " -> "))
	}
}

// resolve multiplies the number with the factor of the parent, which is already in
// the table.
func (d *definition) resolve(table unitTable, ps *problems) resolvedUnit {
	unresolved := resolvedUnit{dimension: d.Dimension}
	if d.number == nil || baseUnit(d.Dimension) == "" {
		return unresolved
	}
	place := Problem{Unit: d.Name, Field: "factor"}
	parent, ok := lookUp(table, d.parent, d.Dimension, place, ps)
	if !ok {
		return unresolved
	}
	factor := new(big.Rat).Mul(d.number, parent)
	if factor.Num().BitLen() > MaxFactorBits || factor.Denom().BitLen() > MaxFactorBits {
		place.Kind = ErrOverflow
		ps.add(place, "the factor of %s needs more than %d bits", baseUnit(d.Dimension), MaxFactorBits)
		return unresolved
	}
	return resolvedUnit{d.Dimension, factor}
}

// lookUp returns the factor of a unit that must be of dimension want. It adds no
// problem for a unit whose own definition has one.
func lookUp(table unitTable, name string, want Dimension, place Problem, ps *problems) (*big.Rat, bool) {
	u, ok := table[name]
	if !ok {
		place.Kind = ErrUndefinedUnit
		ps.add(place, "%.140q is not defined", name)
		return nil, false
	}
	if baseUnit(u.dimension) == "" {
		return nil, false
	}
	if u.dimension != want {
		place.Kind = ErrDimension
		ps.add(place, "%q is a unit of %s, %s is needed", name, u.dimension, want)
		return nil, false
	}
	return u.factor, u.factor != nil
}

// parseNumber parses a positive decimal or ratio. It returns nil if it adds a
// problem.
func parseNumber(text string, place Problem, ps *problems) *big.Rat {
	if len(text) > MaxNumberLength {
		place.Kind = ErrOverflow
		ps.add(place, "a number of %d characters, at most %d are allowed", len(text), MaxNumberLength)
		return nil
	}
	if !numberPattern.MatchString(text) {
		place.Kind = ErrSyntax
		ps.add(place, "%q is not a decimal or ratio", text)
		return nil
	}
	r, ok := new(big.Rat).SetString(text)
	if !ok { // the pattern also accepts a denominator of zero
		place.Kind = ErrSyntax
		ps.add(place, "%q has a denominator of zero", text)
		return nil
	}
	if r.Sign() <= 0 {
		place.Kind = ErrNotPositive
		ps.add(place, "%s is not above zero", text)
		return nil
	}
	return r
}
