// Package membership tells which hosts are live, suspect, leaving or dead, and
// spreads a few small facts: the configuration number, the epochs of the
// ownership tables, the proof that a table is current.
//
// StateMachine is a pure state machine: Tick, Receive and the Set methods take the
// time and return or schedule messages; Next tells when to call Tick again. All
// times are of the host's own monotonic clock.
//
// Each host watches a few others of its data centre by heartbeat. A watched host
// that does not answer is suspected. The suspicion spreads; unless the suspect
// refutes it with a higher version of its own record, it is declared dead. A
// host declared dead by mistake refutes that in the same way. Hosts of other
// data centres are never declared dead from here, as the data centre may only be
// cut off.
package membership

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is what others say of a host.
type Status int

// Statuses in the order of precedence at the same version.
const (
	Live Status = iota
	Suspect
	Dead
)

// String returns the status in lower case.
func (s Status) String() string {
	switch s {
	case Live:
		return "live"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// Phase is what a host says of itself.
type Phase string

// Phases of a host, in their order.
const (
	Joining Phase = "joining"
	Serving Phase = "serving"
	Leaving Phase = "leaving"
	// Left is said last: nothing is sent to the host any more.
	Left Phase = "left"
)

// Member is the record of a host as it travels between hosts.
type Member struct {
	ID         string `json:"id"`
	DataCentre string `json:"dc"`
	Address    string `json:"addr,omitempty"`
	// Incarnation tells the processes of a host apart; a later one is greater.
	Incarnation string `json:"inc,omitempty"`
	// Version is raised by the host itself, to change its phase or to refute.
	Version uint64 `json:"ver,omitempty"`
	Phase   Phase  `json:"phase,omitempty"`
	Status  Status `json:"status,omitempty"`
}

// gone reports whether nothing is sent to the host.
func (m Member) gone() bool { return m.Status == Dead || m.Phase == Left }

// supersedes reports whether record m is newer than old, of the same host.
func (m Member) supersedes(old Member) bool {
	if c := strings.Compare(m.Incarnation, old.Incarnation); c != 0 {
		return c > 0
	}
	if m.Version != old.Version {
		return m.Version > old.Version
	}
	return m.Status > old.Status
}

// digest hashes what a host says of itself. The version is left out, as it rises
// with each suspicion that the host refutes.
func (m Member) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{m.ID, m.Incarnation, m.Address, string(m.Phase)} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// MemberState is a host as this host sees it.
type MemberState struct {
	Member
	// Since is when this host learned of the status and phase.
	Since time.Time
}

// Facts are numbers that only rise. They ride on every message.
type Facts struct {
	// Configuration is the number of the newest configuration.
	Configuration uint64 `json:"config,omitempty"`
	// Epochs are the newest epochs of the ownership tables, by data centre.
	Epochs map[string]uint64 `json:"epochs,omitempty"`
}

// Proof tells when a table of the own data centre was in force.
type Proof struct {
	Epoch uint64
	// At is a time at or before which the proof's request was sent to the
	// platform: the table was in force at At or later.
	At time.Time
}

// wireProof is a Proof in a message; only in an answer to a heartbeat can the
// receiver date it.
type wireProof struct {
	Epoch uint64 `json:"epoch"`
	AgeMS int64  `json:"age_ms"`
}

// Kind is the purpose of a message.
type Kind string

// Kinds of messages.
const (
	// Heartbeat asks for an Ack.
	Heartbeat Kind = "heartbeat"
	// Ack answers a Heartbeat.
	Ack Kind = "ack"
	// News carries changes and facts that rose.
	News Kind = "news"
	// Join asks a known host for all records; the answer is Records.
	Join Kind = "join"
	// Records carries a part of the member table.
	Records Kind = "records"
)

// Message is what hosts send each other, encoded as JSON.
type Message struct {
	// To is the address that the message goes to; it is not encoded.
	To   string `json:"-"`
	Kind Kind   `json:"kind"`
	// From is the sender's record; often only ID and data centre.
	From Member `json:"from"`
	// Sequence numbers heartbeats; an Ack repeats the number it answers.
	Sequence uint64     `json:"seq,omitempty"`
	Facts    Facts      `json:"facts"`
	Proof    *wireProof `json:"proof,omitempty"`
	// Updates are records of other hosts, at most Config.MaxUpdates.
	Updates []Member `json:"updates,omitempty"`
	// Digests hash the live records of each data centre whose records have not
	// changed for a while. A receiver with another digest sends its records.
	Digests map[string]uint64 `json:"digests,omitempty"`
}

// Config holds the times and sizes of the protocol.
type Config struct {
	// Topology chooses whom a host watches and to whom it pushes news.
	Topology Topology
	// Period is the time between two heartbeats to a watched host.
	Period time.Duration
	// SuspectAfter is the silence after which a watched host is suspected.
	SuspectAfter time.Duration
	// DeadAfter is how long a suspicion stands unrefuted before the host counts
	// as dead. Hosts that only heard of the suspicion wait one Period longer.
	DeadAfter time.Duration
	// PushDelay collects news that arrive close together into one message.
	PushDelay time.Duration
	// MinProofAdvance is how much fresher a proof must be to be pushed or asked for.
	MinProofAdvance time.Duration
	// RejoinInterval is the time between questions to known addresses without member.
	RejoinInterval time.Duration
	// ReselectInterval is how long random choices of hosts are kept: links for news and
	// contacts in other data centres.
	ReselectInterval time.Duration
	// ChangeRepeats is how many heartbeats to each watched host carry a change again.
	ChangeRepeats int
	// MaxUpdates bounds the records in one message.
	MaxUpdates int
	// GoneRetention is how long records of dead and left hosts are kept.
	GoneRetention time.Duration
}

// DefaultConfig returns the choice made in docs/measurements-membership.md.
func DefaultConfig() Config {
	return Config{
		Topology:         Ring{Successors: 3, Random: 2},
		Period:           time.Second,
		SuspectAfter:     1500 * time.Millisecond,
		DeadAfter:        1500 * time.Millisecond,
		PushDelay:        20 * time.Millisecond,
		MinProofAdvance:  400 * time.Millisecond,
		RejoinInterval:   5 * time.Second,
		ReselectInterval: 5 * time.Minute,
		ChangeRepeats:    2,
		MaxUpdates:       64,
		GoneRetention:    5 * time.Minute,
	}
}
