package contract

import (
	"math/big"
	"slices"
	"strings"
	"time"
)

// Compile converts the limits of all contracts and returns them by contract name.
// If any unit or contract is invalid, it returns an *InvalidError that lists every
// problem.
func Compile(units []Unit, contracts []Contract) (map[string]Limits, error) {
	ps := &problems{}
	table := resolveUnits(units, ps)
	if len(contracts) > MaxContracts {
		ps.add(Problem{Field: "contracts", Kind: ErrOverflow},
			"%d contracts, at most %d are allowed", len(contracts), MaxContracts)
		return nil, ps.err()
	}
	limits := make(map[string]Limits, len(contracts))
	for i, c := range contracts {
		if _, twice := limits[c.Name]; twice {
			ps.add(Problem{Contract: c.Name, Field: "name", Kind: ErrDuplicate}, "%q is defined twice", c.Name)
		}
		cv := converter{table: table, contract: label(c.Name, i), problems: ps}
		limits[c.Name] = cv.limits(c)
	}
	if err := ps.err(); err != nil {
		return nil, err
	}
	return limits, nil
}

// converter converts the fields of one contract.
type converter struct {
	table    unitTable
	contract string
	*problems
}

// limits converts and checks c.
func (cv converter) limits(c Contract) Limits {
	cv.checkNames(c)
	l := Limits{
		Groups:          slices.Clone(c.Groups),
		AnswerTime:      cv.duration("answer_time", c.AnswerTime),
		MinimumCoverage: cv.share("minimum_coverage", c.MinimumCoverage),
		UpstreamLoad:    cv.slots("upstream_load", c.UpstreamLoad),
		ColdFloor:       DefaultColdFloor,
		ColdStep:        DefaultColdStep,
		ColdStepTime:    DefaultColdStepTime,
	}
	if c.ColdFloor != "" {
		l.ColdFloor = cv.slots("cold_floor", c.ColdFloor)
	}
	if c.ColdStep != "" {
		l.ColdStep = cv.slots("cold_step", c.ColdStep)
	}
	if c.ColdStepTime != "" {
		l.ColdStepTime = cv.stepTime(c.ColdStepTime)
	}
	l.Prefer = cv.preference(c)
	l.LatencyGoal = cv.latencyGoal(c, l)
	cv.checkLoadLimits(l)
	return l
}

// checkNames checks the name of the contract and those of its groups.
func (cv converter) checkNames(c Contract) {
	if !ValidName(c.Name) {
		cv.report("name", ErrSyntax, "%.140q is not a name", c.Name)
	}
	if len(c.Groups) == 0 {
		cv.report("groups", ErrMissing, "a contract needs at least one group")
	}
	for i, g := range c.Groups {
		if slices.Contains(c.Groups[:i], g) {
			cv.report("groups", ErrDuplicate, "%q is named twice", g)
		}
	}
}

// preference returns the value of Prefer or its default.
func (cv converter) preference(c Contract) string {
	switch c.Prefer {
	case "":
		return PreferCoverage
	case PreferCoverage, PreferLatency:
		return c.Prefer
	}
	cv.report("prefer", ErrUnknownValue, "%.140q is none of %s, %s", c.Prefer, PreferCoverage, PreferLatency)
	return PreferCoverage
}

// latencyGoal returns the latency goal, which is at most the answer time.
func (cv converter) latencyGoal(c Contract, l Limits) time.Duration {
	if c.LatencyGoal == "" {
		if l.Prefer == PreferLatency {
			cv.report("latency_goal", ErrMissing, "prefer %q needs a latency goal", PreferLatency)
		}
		return l.AnswerTime
	}
	goal := cv.duration("latency_goal", c.LatencyGoal)
	if l.AnswerTime > 0 && goal > l.AnswerTime {
		cv.report("latency_goal", ErrImpossible, "%s is above the answer time of %s", goal, l.AnswerTime)
	}
	return goal
}

// checkLoadLimits checks that the limits of load do not contradict each other. It
// skips fields that are 0 because they have a problem of their own.
func (cv converter) checkLoadLimits(l Limits) {
	if l.UpstreamLoad == 0 {
		return
	}
	if l.ColdFloor > l.UpstreamLoad {
		cv.report("cold_floor", ErrImpossible, "%d slots are above the upstream load of %d", l.ColdFloor, l.UpstreamLoad)
	}
	if l.ColdStep > l.UpstreamLoad {
		cv.report("cold_step", ErrImpossible, "%d slots are above the upstream load of %d", l.ColdStep, l.UpstreamLoad)
	}
}

// duration converts a time and rounds it down to a nanosecond. It returns 0 if it
// reports a problem.
func (cv converter) duration(field string, q Quantity) time.Duration {
	return cv.nanoseconds(field, q, floor)
}

// stepTime converts the time between ramp steps and rounds it up to a nanosecond.
func (cv converter) stepTime(q Quantity) time.Duration {
	return cv.nanoseconds("cold_step_time", q, ceiling)
}

// nanoseconds converts a time to nanoseconds with the given rounding.
func (cv converter) nanoseconds(field string, q Quantity, round func(*big.Rat) *big.Int) time.Duration {
	seconds := cv.convert(field, q, Time)
	if seconds == nil {
		return 0
	}
	n := round(seconds.Mul(seconds, big.NewRat(int64(time.Second), 1)))
	if n.Cmp(big.NewInt(int64(MaxAnswerTime))) > 0 {
		cv.report(field, ErrOverflow, "%q is above %s", q, MaxAnswerTime)
		return 0
	}
	if n.Sign() == 0 {
		cv.report(field, ErrNotPositive, "%q is less than a nanosecond", q)
	}
	return time.Duration(n.Int64())
}

// share converts a share exactly. It returns nil if it reports a problem.
func (cv converter) share(field string, q Quantity) *big.Rat {
	share := cv.convert(field, q, Share)
	if share == nil {
		return nil
	}
	if share.Cmp(big.NewRat(1, 1)) > 0 {
		cv.report(field, ErrShareAboveOne, "%q is more than the whole", q)
		return nil
	}
	return share
}

// slots converts a load and rounds it down to a slot. It returns 0 if it reports a
// problem.
func (cv converter) slots(field string, q Quantity) int {
	load := cv.convert(field, q, Load)
	if load == nil {
		return 0
	}
	n := floor(load)
	if n.Cmp(big.NewInt(MaxSlots)) > 0 {
		cv.report(field, ErrOverflow, "%q is above %d slots", q, MaxSlots)
		return 0
	}
	if n.Sign() == 0 {
		cv.report(field, ErrNotPositive, "%q is less than a slot", q)
	}
	return int(n.Int64())
}

// convert converts a quantity to the base unit of its dimension. It returns nil if
// it reports a problem.
func (cv converter) convert(field string, q Quantity, want Dimension) *big.Rat {
	place := Problem{Contract: cv.contract, Field: field}
	if q == "" {
		cv.report(field, ErrMissing, "a quantity of %s is needed", want)
		return nil
	}
	text, unit, ok := strings.Cut(string(q), " ")
	if !ok {
		cv.report(field, ErrSyntax, "%.140q is not a number and a unit", q)
		return nil
	}
	place.Unit = unit
	number := parseNumber(text, place, cv.problems)
	factor, ok := lookUp(cv.table, unit, want, place, cv.problems)
	if number == nil || !ok {
		return nil
	}
	return number.Mul(number, factor)
}

// report adds a problem of a field of the contract.
func (cv converter) report(field string, kind error, format string, args ...any) {
	cv.add(Problem{Contract: cv.contract, Field: field, Kind: kind}, format, args...)
}

// floor rounds a positive number down.
func floor(r *big.Rat) *big.Int {
	return new(big.Int).Quo(r.Num(), r.Denom())
}

// ceiling rounds a positive number up.
func ceiling(r *big.Rat) *big.Int {
	sum := new(big.Int).Add(r.Num(), r.Denom())
	return sum.Sub(sum, big.NewInt(1)).Quo(sum, r.Denom())
}
