// Package settings reads a daemon's settings from an INI file and validates all of
// them before the daemon starts.
package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"gopkg.in/ini.v1"
)

// Settings are the validated settings of one daemon.
type Settings struct {
	Host       Host
	Platform   Platform
	Peers      Peers
	Limits     Limits
	Ownership  Ownership
	Membership Membership
	Once       Once
	Drain      Drain
	Policy     Policy
	Trace      Trace
}

// Host identifies this host and the addresses that it listens on.
type Host struct {
	ID            string
	DataCentre    string
	CallerAddress string
	PeerAddress   string
}

// Platform contains the address of the platform and the limits of the calls to it.
type Platform struct {
	Address         string
	Timeout         time.Duration
	ReadsPerSecond  int
	WritesPerSecond int
}

// Peers lists peer addresses to contact if the host list is unavailable.
type Peers struct {
	Seeds []string
}

// Limits bound the resources that callers can make a daemon hold.
type Limits struct {
	MemoryMB           int
	BodyBytes          int
	ConcurrentRequests int
	HeaderTimeout      time.Duration
	BodyTimeout        time.Duration
	LongestDeadline    time.Duration
}

// Ownership sets how long the ownership of upstream slots lasts without renewed proof.
type Ownership struct {
	Lease time.Duration
}

// Membership sets the heartbeat period between hosts.
type Membership struct {
	Period time.Duration
}

// Once configures the journals of non-idempotent requests.
type Once struct {
	Journals   int
	MaximumAge time.Duration
	ClockError time.Duration
}

// Drain sets the durations of a planned stop.
type Drain struct {
	BalancerLag time.Duration
	Grace       time.Duration
}

// Policy selects how replicas are chosen and when hedges are sent.
type Policy struct {
	Choice        string
	Hedge         string
	HedgeDelay    time.Duration
	HedgeQuantile float64
	ExtraLoad     float64
}

// Trace sets where trace spans are written and which share of traces is sampled.
type Trace struct {
	File        string
	OTLPAddress string
	Sample      float64
}

// Problem is one error in a settings file.
type Problem struct {
	File     string
	Section  string
	Key      string
	Value    string
	Accepted string
}

// String formats the problem as one line.
func (p Problem) String() string {
	return fmt.Sprintf("%s: [%s] %s = %q: expected %s", p.File, p.Section, p.Key, p.Value, p.Accepted)
}

// Problems are all errors in a settings file.
type Problems []Problem

// Error lists each problem on a separate line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and validates the settings in file. If the file is valid INI, the error is
// of type Problems and lists every problem. Conflicts between keys are checked only if
// there is no other problem.
func Load(file string) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, file)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "read settings %s", file)
	}
	return parse(file, f)
}

// Parse validates settings given as text. Problems report name as the file.
func Parse(name string, text []byte) (Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true}, text)
	if err != nil {
		return Settings{}, errors.Wrapf(err, "read settings %s", name)
	}
	return parse(name, f)
}

func parse(name string, f *ini.File) (Settings, error) {
	var s Settings
	known := keysFor(&s)
	problems := unknownKeys(name, f, known)
	for _, k := range known {
		value, present := lookUp(f, k)
		if !present {
			value = k.defaultValue
		}
		if isRepeated(f, k) {
			problems = append(problems, Problem{name, k.section, k.name, value, "one value, but the key is present more than once"})
			continue
		}
		if !present && k.required {
			problems = append(problems, Problem{name, k.section, k.name, "", k.accepted + " (required)"})
			continue
		}
		if !k.set(value) {
			problems = append(problems, Problem{name, k.section, k.name, value, k.accepted})
		}
	}
	if len(problems) == 0 {
		problems = append(problems, conflicts(name, s)...)
	}
	if len(problems) > 0 {
		return Settings{}, problems
	}
	return s, nil
}

// conflicts returns the problems of settings that are valid individually but not
// together.
func conflicts(name string, s Settings) Problems {
	var problems Problems
	if s.Host.CallerAddress == s.Host.PeerAddress {
		problems = append(problems, Problem{name, "host", "peer_address", s.Host.PeerAddress,
			"an address other than caller_address"})
	}
	if minimum := max(s.Drain.BalancerLag, minLeaveTime) + s.Limits.LongestDeadline; s.Drain.Grace < minimum {
		problems = append(problems, Problem{name, "drain", "grace", s.Drain.Grace.String(),
			"at least " + minimum.String() + ", the time until no work arrives plus limits.longest_deadline"})
	}
	if most := s.Limits.MemoryMB / minMemoryMBOfJournal; s.Once.Journals > most {
		problems = append(problems, Problem{name, "once", "journals", strconv.Itoa(s.Once.Journals),
			"at most " + strconv.Itoa(most) + " with limits.memory_mb = " + strconv.Itoa(s.Limits.MemoryMB) + ", as a journal can take 1 MB"})
	}
	if s.Membership.Period*3 > s.Ownership.Lease {
		problems = append(problems, Problem{name, "membership", "period", s.Membership.Period.String(),
			"at most a third of the ownership lease (" + s.Ownership.Lease.String() + "), so that proofs arrive in time"})
	}
	return problems
}

func lookUp(f *ini.File, k key) (string, bool) {
	section, err := f.GetSection(k.section)
	if err != nil || !section.HasKey(k.name) {
		return "", false
	}
	return section.Key(k.name).String(), true
}

func isRepeated(f *ini.File, k key) bool {
	section, err := f.GetSection(k.section)
	return err == nil && section.HasKey(k.name) && len(section.Key(k.name).ValueWithShadows()) > 1
}

// unknownKeys returns a problem for each unknown key. Such a key is most often a typing
// error, which would otherwise leave a default in force unnoticed.
func unknownKeys(name string, f *ini.File, known []key) Problems {
	names := make(map[string][]string)
	for _, k := range known {
		names[k.section] = append(names[k.section], k.name)
	}
	var problems Problems
	for _, section := range f.Sections() {
		for _, k := range section.Keys() {
			if containsName(names[section.Name()], k.Name()) {
				continue
			}
			problems = append(problems, Problem{name, section.Name(), k.Name(), k.String(), acceptedNames(section.Name(), names)})
		}
	}
	return problems
}

func acceptedNames(section string, names map[string][]string) string {
	if keys, ok := names[section]; ok {
		return "one of the keys " + strings.Join(keys, ", ")
	}
	return "one of the sections " + strings.Join(sectionNames, ", ")
}

func containsName(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}
