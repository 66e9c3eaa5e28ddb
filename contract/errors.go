package contract

import (
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// Kinds of problems. An InvalidError wraps them, so compare with errors.Is.
var (
	// ErrSyntax reports a malformed name, number or quantity.
	ErrSyntax = errors.New("malformed")
	// ErrMissing reports a required field that is empty.
	ErrMissing = errors.New("missing")
	// ErrDuplicate reports a name that is used twice.
	ErrDuplicate = errors.New("duplicate name")
	// ErrUndefinedUnit reports a unit that is neither built in nor defined.
	ErrUndefinedUnit = errors.New("undefined unit")
	// ErrCircularUnit reports a unit that is defined in terms of itself.
	ErrCircularUnit = errors.New("circular unit")
	// ErrDimension reports a unit of the wrong dimension.
	ErrDimension = errors.New("wrong dimension")
	// ErrNotPositive reports a factor or a quantity that is zero or negative,
	// or that is zero after rounding to the safe side.
	ErrNotPositive = errors.New("not positive")
	// ErrOverflow reports a value above its limit.
	ErrOverflow = errors.New("overflow")
	// ErrShareAboveOne reports a share above 1.
	ErrShareAboveOne = errors.New("share above 1")
	// ErrImpossible reports limits that contradict each other.
	ErrImpossible = errors.New("impossible")
	// ErrUnknownValue reports a value that is not one of the allowed ones.
	ErrUnknownValue = errors.New("unknown value")
)

// Problem is one reason why Compile rejects its input.
type Problem struct {
	// Contract is the name of the contract, or its position such as "#1" if it has
	// no name. It is empty if the problem is not in a contract.
	Contract string
	// Unit is the name of the unit, or its position. It is empty if the problem
	// does not concern a unit.
	Unit string
	// Field is the JSON name of the field.
	Field string
	// Kind is one of the errors of this package.
	Kind error
	// Detail describes the value that was found.
	Detail string
}

// Error returns the place, the kind and the detail.
func (p Problem) Error() string {
	var place []string
	if p.Contract != "" {
		place = append(place, fmt.Sprintf("contract %.140q", p.Contract))
	}
	if p.Unit != "" {
		place = append(place, fmt.Sprintf("unit %.140q", p.Unit))
	}
	if p.Field != "" {
		place = append(place, "field "+p.Field)
	}
	return fmt.Sprintf("%s: %s: %s", strings.Join(place, ", "), p.Kind, p.Detail)
}

// Unwrap returns the kind.
func (p Problem) Unwrap() error { return p.Kind }

// label returns the name, or the position such as "#1" of an entry without a name.
func label(name string, index int) string {
	if name == "" {
		return fmt.Sprintf("#%d", index+1)
	}
	return name
}

// InvalidError lists all problems of units and contracts.
type InvalidError struct {
	Problems []Problem
}

// Error returns one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems.
func (e *InvalidError) Unwrap() []error {
	errs := make([]error, len(e.Problems))
	for i, p := range e.Problems {
		errs[i] = p
	}
	return errs
}

// problems collects the problems found so far.
type problems struct {
	list []Problem
}

// add appends p with a formatted detail.
func (ps *problems) add(p Problem, format string, args ...any) {
	p.Detail = fmt.Sprintf(format, args...)
	ps.list = append(ps.list, p)
}

// err returns all problems as one error, or nil.
func (ps *problems) err() error {
	if len(ps.list) == 0 {
		return nil
	}
	return &InvalidError{Problems: ps.list}
}
