package settings

import (
	"net"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// Bounds of numeric settings.
const (
	maxBodyBytes       = 16 << 20
	maxConcurrent      = 100_000
	maxCallsPerSecond  = 2_000
	maxJournals        = 1_024
	shortestTimeout    = time.Millisecond
	longestTimeout     = time.Hour
	shortestHeartbeat  = 50 * time.Millisecond
	longestHeartbeat   = 10 * time.Second
	longestAnswerLimit = 10 * time.Minute
	// shortestLeave is how long peers may take to hear that a host leaves.
	shortestLeave = 2 * time.Second
)

var sectionNames = []string{"host", "platform", "peers", "limits", "ownership",
	"membership", "once", "drain", "policy", "trace"}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// key is one accepted key. set stores a value and reports whether it is valid.
type key struct {
	section, name, standard string
	required                bool
	accepted                string
	set                     func(value string) bool
}

// Key describes an accepted key for the reference in the docs.
type Key struct {
	Section, Name, Default, Accepted string
	Required                         bool
}

// Keys lists every accepted key.
func Keys() []Key {
	var s Settings
	var list []Key
	for _, k := range keysOf(&s) {
		list = append(list, Key{k.section, k.name, k.standard, k.accepted, k.required})
	}
	return list
}

func keysOf(s *Settings) []key {
	return []key{
		required("host", "id", nameKey(&s.Host.ID)),
		required("host", "data_centre", nameKey(&s.Host.DataCentre)),
		required("host", "caller_address", addressKey(&s.Host.CallerAddress)),
		required("host", "peer_address", addressKey(&s.Host.PeerAddress)),

		required("platform", "address", addressKey(&s.Platform.Address)),
		optional("platform", "timeout", "2s", durationKey(&s.Platform.Timeout, shortestTimeout, longestTimeout)),
		optional("platform", "reads_per_second", "20", intKey(&s.Platform.ReadsPerSecond, 1, maxCallsPerSecond)),
		optional("platform", "writes_per_second", "20", intKey(&s.Platform.WritesPerSecond, 1, maxCallsPerSecond)),

		optional("peers", "seeds", "", addressesKey(&s.Peers.Seeds)),

		optional("limits", "body_bytes", "1048576", intKey(&s.Limits.BodyBytes, 1024, maxBodyBytes)),
		optional("limits", "concurrent_requests", "1000", intKey(&s.Limits.ConcurrentRequests, 1, maxConcurrent)),
		optional("limits", "header_timeout", "5s", durationKey(&s.Limits.HeaderTimeout, shortestTimeout, longestTimeout)),
		optional("limits", "body_timeout", "10s", durationKey(&s.Limits.BodyTimeout, shortestTimeout, longestTimeout)),
		optional("limits", "longest_deadline", "5s", durationKey(&s.Limits.LongestDeadline, shortestTimeout, longestAnswerLimit)),

		optional("ownership", "lease", "3s", durationKey(&s.Ownership.Lease, time.Second, time.Minute)),
		optional("membership", "period", "500ms", durationKey(&s.Membership.Period, shortestHeartbeat, longestHeartbeat)),

		optional("once", "journals", "8", intKey(&s.Once.Journals, 1, maxJournals)),
		optional("once", "maximum_age", "2m", durationKey(&s.Once.MaximumAge, time.Second, longestTimeout)),
		optional("once", "clock_error", "10s", durationKey(&s.Once.ClockError, 0, time.Minute)),

		optional("drain", "balancer_lag", "3s", durationKey(&s.Drain.BalancerLag, 0, time.Minute)),
		optional("drain", "grace", "30s", durationKey(&s.Drain.Grace, time.Second, longestTimeout)),

		optional("policy", "choice", "two-choices", enumKey(&s.Policy.Choice, "two-choices", "round-robin", "random")),
		optional("policy", "hedge", "quantile", enumKey(&s.Policy.Hedge, "quantile", "fixed", "off")),
		optional("policy", "hedge_delay", "20ms", durationKey(&s.Policy.HedgeDelay, shortestTimeout, time.Minute)),
		optional("policy", "hedge_quantile", "0.975", shareKey(&s.Policy.HedgeQuantile)),
		optional("policy", "extra_load", "0.03", shareKey(&s.Policy.ExtraLoad)),

		optional("trace", "file", "", textKey(&s.Trace.File)),
		optional("trace", "otlp_address", "", optionalAddressKey(&s.Trace.OTLPAddress)),
		optional("trace", "sample", "0.01", shareKey(&s.Trace.Sample)),
	}
}

// parser pairs a setter with the description of what it accepts.
type parser struct {
	accepted string
	set      func(string) bool
}

func required(section, name string, p parser) key {
	return key{section: section, name: name, required: true, accepted: p.accepted, set: p.set}
}

func optional(section, name, standard string, p parser) key {
	return key{section: section, name: name, standard: standard, accepted: p.accepted, set: p.set}
}

func textKey(to *string) parser {
	return parser{"any text", func(v string) bool { *to = v; return true }}
}

func nameKey(to *string) parser {
	return parser{"a name of lower-case letters, digits, '.' and '-'", func(v string) bool {
		*to = v
		return namePattern.MatchString(v)
	}}
}

func addressKey(to *string) parser {
	return parser{"an IP address and a port, such as 127.0.0.1:7080", func(v string) bool {
		*to = v
		return validAddress(v)
	}}
}

func optionalAddressKey(to *string) parser {
	return parser{"empty, or an IP address and a port", func(v string) bool {
		*to = v
		return v == "" || validAddress(v)
	}}
}

func addressesKey(to *[]string) parser {
	return parser{"IP addresses with ports, separated by commas", func(v string) bool {
		*to = nil
		for part := range strings.SplitSeq(v, ",") {
			part = strings.TrimSpace(part)
			if part == "" {
				continue
			}
			if !validAddress(part) {
				return false
			}
			*to = append(*to, part)
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

func durationKey(to *time.Duration, low, high time.Duration) parser {
	return parser{"a duration from " + low.String() + " to " + high.String(), func(v string) bool {
		d, err := time.ParseDuration(v)
		*to = d
		return err == nil && d >= low && d <= high
	}}
}

func intKey(to *int, low, high int) parser {
	return parser{"a whole number from " + strconv.Itoa(low) + " to " + strconv.Itoa(high), func(v string) bool {
		n, err := strconv.Atoi(v)
		*to = n
		return err == nil && n >= low && n <= high
	}}
}

func shareKey(to *float64) parser {
	return parser{"a number from 0 to 1", func(v string) bool {
		f, err := strconv.ParseFloat(v, 64)
		*to = f
		return err == nil && f >= 0 && f <= 1
	}}
}

func enumKey(to *string, values ...string) parser {
	return parser{"one of " + strings.Join(values, ", "), func(v string) bool {
		*to = v
		return containsName(values, v)
	}}
}
