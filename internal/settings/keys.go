package settings

import (
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Limits of the accepted values.
const (
	minMemoryMB = 16
	maxMemoryMB = 1 << 20
	// minMemoryMBOfJournal leaves three quarters of the memory to everything but journals.
	minMemoryMBOfJournal  = 4
	maxBodyBytes          = 16 << 20
	maxConcurrentRequests = 100_000
	maxCallsPerSecond     = 2_000
	maxJournals           = 1_024
	minTimeout            = time.Millisecond
	maxTimeout            = time.Hour
	minHeartbeatPeriod    = 50 * time.Millisecond
	maxHeartbeatPeriod    = 10 * time.Second
	maxAnswerDeadline     = 10 * time.Minute
	// minLeaveTime is how long peers may take to learn that a host is leaving.
	minLeaveTime = 2 * time.Second
)

var sectionNames = []string{"host", "platform", "peers", "limits", "ownership",
	"membership", "once", "drain", "policy", "trace"}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// key is an accepted key. The function set stores a value and reports whether it is
// valid.
type key struct {
	section, name, defaultValue string
	required                    bool
	accepted                    string
	set                         func(value string) bool
}

// Key describes an accepted key for the settings reference.
type Key struct {
	Section, Name, Default, Accepted string
	Required                         bool
}

// Keys lists every accepted key.
func Keys() []Key {
	var s Settings
	var list []Key
	for _, k := range keysFor(&s) {
		list = append(list, Key{k.section, k.name, k.defaultValue, k.accepted, k.required})
	}
	return list
}

func keysFor(s *Settings) []key {
	return []key{
		required("host", "id", nameKey(&s.Host.ID)),
		required("host", "data_centre", nameKey(&s.Host.DataCentre)),
		required("host", "caller_address", addressKey(&s.Host.CallerAddress)),
		required("host", "peer_address", addressKey(&s.Host.PeerAddress)),

		required("platform", "address", addressKey(&s.Platform.Address)),
		optional("platform", "timeout", "2s", durationKey(&s.Platform.Timeout, minTimeout, maxTimeout)),
		optional("platform", "reads_per_second", "20", intKey(&s.Platform.ReadsPerSecond, 1, maxCallsPerSecond)),
		optional("platform", "writes_per_second", "20", intKey(&s.Platform.WritesPerSecond, 1, maxCallsPerSecond)),

		optional("peers", "seeds", "", addressesKey(&s.Peers.Seeds)),

		optional("limits", "memory_mb", "256", intKey(&s.Limits.MemoryMB, minMemoryMB, maxMemoryMB)),
		optional("limits", "body_bytes", "1048576", intKey(&s.Limits.BodyBytes, 1024, maxBodyBytes)),
		optional("limits", "concurrent_requests", "1000", intKey(&s.Limits.ConcurrentRequests, 1, maxConcurrentRequests)),
		optional("limits", "header_timeout", "5s", durationKey(&s.Limits.HeaderTimeout, minTimeout, maxTimeout)),
		optional("limits", "body_timeout", "10s", durationKey(&s.Limits.BodyTimeout, minTimeout, maxTimeout)),
		optional("limits", "longest_deadline", "5s", durationKey(&s.Limits.LongestDeadline, minTimeout, maxAnswerDeadline)),

		optional("ownership", "lease", "3s", durationKey(&s.Ownership.Lease, time.Second, time.Minute)),
		optional("membership", "period", "500ms", durationKey(&s.Membership.Period, minHeartbeatPeriod, maxHeartbeatPeriod)),

		optional("once", "journals", "8", intKey(&s.Once.Journals, 1, maxJournals)),
		optional("once", "maximum_age", "2m", durationKey(&s.Once.MaximumAge, time.Second, maxTimeout)),
		optional("once", "clock_error", "10s", durationKey(&s.Once.ClockError, 0, time.Minute)),

		optional("drain", "balancer_lag", "3s", durationKey(&s.Drain.BalancerLag, 0, time.Minute)),
		optional("drain", "grace", "30s", durationKey(&s.Drain.Grace, time.Second, maxTimeout)),

		optional("policy", "choice", "two-choices", enumKey(&s.Policy.Choice, "two-choices", "round-robin", "random")),
		optional("policy", "hedge", "quantile", enumKey(&s.Policy.Hedge, "quantile", "fixed", "off")),
		optional("policy", "hedge_delay", "20ms", durationKey(&s.Policy.HedgeDelay, minTimeout, time.Minute)),
		optional("policy", "hedge_quantile", "0.975", shareKey(&s.Policy.HedgeQuantile)),
		optional("policy", "extra_load", "0.03", shareKey(&s.Policy.ExtraLoad)),

		optional("trace", "file", "", textKey(&s.Trace.File)),
		optional("trace", "otlp_address", "", optionalAddressKey(&s.Trace.OTLPAddress)),
		optional("trace", "sample", "0.01", shareKey(&s.Trace.Sample)),
	}
}

// parser is a setter with a description of the accepted values.
type parser struct {
	accepted string
	set      func(string) bool
}

func required(section, name string, p parser) key {
	return key{section: section, name: name, required: true, accepted: p.accepted, set: p.set}
}

func optional(section, name, defaultValue string, p parser) key {
	return key{section: section, name: name, defaultValue: defaultValue, accepted: p.accepted, set: p.set}
}

func textKey(target *string) parser {
	return parser{"any text", func(v string) bool { *target = v; return true }}
}

func nameKey(target *string) parser {
	return parser{"a name of lower-case letters, digits, '.' and '-'", func(v string) bool {
		*target = v
		return namePattern.MatchString(v)
	}}
}

func addressKey(target *string) parser {
	return parser{"an IP address and a port, such as 127.0.0.1:7080", func(v string) bool {
		*target = v
		return validAddress(v)
	}}
}

func optionalAddressKey(target *string) parser {
	return parser{"empty, or an IP address and a port", func(v string) bool {
		*target = v
		return v == "" || validAddress(v)
	}}
}

func addressesKey(target *[]string) parser {
	return parser{"IP addresses with ports, separated by commas", func(v string) bool {
		*target = nil
		for part := range strings.SplitSeq(v, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				continue
			}
			if !validAddress(part) {
				return false
			}
			*target = append(*target, part)
		}
		return true
	}}
}

func validAddress(v string) bool {
	host, port, err := net.SplitHostPort(v)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}

func durationKey(target *time.Duration, low, high time.Duration) parser {
	return parser{"a duration from " + low.String() + " to " + high.String(), func(v string) bool {
		d, err := time.ParseDuration(v)
		*target = d
		return err == nil && d >= low && d <= high
	}}
}

func intKey(target *int, low, high int) parser {
	return parser{"a whole number from " + strconv.Itoa(low) + " to " + strconv.Itoa(high), func(v string) bool {
		n, err := strconv.Atoi(v)
		*target = n
		return err == nil && n >= low && n <= high
	}}
}

func shareKey(target *float64) parser {
	return parser{"a number from 0 to 1", func(v string) bool {
		f, err := strconv.ParseFloat(v, 64)
		*target = f
		return err == nil && f >= 0 && f <= 1
	}}
}

func enumKey(target *string, values ...string) parser {
	return parser{"one of " + strings.Join(values, ", "), func(v string) bool {
		*target = v
		return containsName(values, v)
	}}
}
