// Package membership implements the gossip protocol by which hosts detect which
// others are live, suspect, leaving or dead. It also spreads a few small facts:
// the configuration number, the epochs of the ownership tables and the proof that
// a table is current.
//
// StateMachine is a pure state machine. Tick, Receive and the Set methods are
// passed the current time and return or schedule messages; Next returns when to
// call Tick again. All times are of the host's own monotonic clock.
//
// Each host sends heartbeats to a few others of its data centre. A host that does
// not answer becomes suspect. The suspicion spreads, and unless the suspect
// refutes it with a higher version of its own record, it is declared dead. A host
// that was declared dead by mistake refutes this in the same way. A host never
// declares hosts of other data centres dead, because its own data centre may be
// cut off from theirs.
package membership

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Status is the status that other hosts assign to a host.
type Status int

// Statuses, in ascending order of precedence between records of one version.
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

// Phase is the phase that a host reports of itself.
type Phase string

// Phases of a host, in order.
const (
	Joining Phase = "joining"
	Serving Phase = "serving"
	Leaving Phase = "leaving"
	// Left is the last phase of a host. Nothing is sent to it any more.
	Left Phase = "left"
)

// Member is the record of a host, as hosts send it to each other.
type Member struct {
	ID         string `json:"id"`
	DataCentre string `json:"dc"`
	Address    string `json:"addr,omitempty"`
	// Incarnation identifies the process among those of one host. The string of
	// a later process sorts after that of an earlier one.
	Incarnation string `json:"inc,omitempty"`
	// Version is raised only by the host itself, to change its phase or to refute
	// its status.
	Version uint64 `json:"ver,omitempty"`
	Phase   Phase  `json:"phase,omitempty"`
	Status  Status `json:"status,omitempty"`
}

// gone reports whether the host is dead or has left, so that nothing is sent to it.
func (m Member) gone() bool { return m.Status == Dead || m.Phase == Left }

// supersedes reports whether m is a newer record of the same host than old.
func (m Member) supersedes(old Member) bool {
	if c := strings.Compare(m.Incarnation, old.Incarnation); c != 0 {
		return c > 0
	}
	if m.Version != old.Version {
		return m.Version > old.Version
	}
	return m.Status > old.Status
}

// digest returns a hash of the fields that the host itself reports. It excludes
// the version, which rises with each suspicion that the host refutes.
func (m Member) digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	for _, s := range []string{m.ID, m.Incarnation, m.Address, string(m.Phase)} {
		_, _ = d.WriteString(s)
		_, _ = d.WriteString("\x00")
	}
	return d.Sum64()
}

// MemberState is the state of a host as this host knows it.
type MemberState struct {
	Member
	// Since is when this host learned of the status and phase.
	Since time.Time
}

// Facts are numbers that never decrease. Every message carries some of them.
type Facts struct {
	// Configuration is the number of the newest configuration.
	Configuration uint64 `json:"config,omitempty"`
	// Epochs are the newest epochs of the ownership tables, by data centre.
	Epochs map[string]uint64 `json:"epochs,omitempty"`
}

// Proof is a proof that an ownership table of this data centre was in force.
type Proof struct {
	Epoch uint64
	// At is not later than the time at which the request for the proof was sent
	// to the platform, so the table was in force at or after At.
	At time.Time
}

// wireProof is a Proof in a message. The receiver can determine its time only if
// the message is the answer to a heartbeat.
type wireProof struct {
	Epoch uint64 `json:"epoch"`
	AgeMS int64  `json:"age_ms"`
}

// Kind is the kind of a message.
type Kind string

// Kinds of messages.
const (
	// Heartbeat requests an Ack.
	Heartbeat Kind = "heartbeat"
	// Ack answers a Heartbeat.
	Ack Kind = "ack"
	// News carries changed records and raised facts.
	News Kind = "news"
	// Join requests all records. The answers are of kind Records.
	Join Kind = "join"
	// Records carries some of the records that the sender has.
	Records Kind = "records"
)

// Message is a message between hosts. It is encoded as JSON.
type Message struct {
	// To is the destination address. It is not encoded.
	To   string `json:"-"`
	Kind Kind   `json:"kind"`
	// From is the sender's record. Often it holds only ID and data centre.
	From Member `json:"from"`
	// Sequence is the number of a heartbeat. An Ack repeats the number of the
	// heartbeat that it answers.
	Sequence uint64     `json:"seq,omitempty"`
	Facts    Facts      `json:"facts"`
	Proof    *wireProof `json:"proof,omitempty"`
	// Updates are records of other hosts, at most Config.MaxUpdates.
	Updates []Member `json:"updates,omitempty"`
	// Digests are hashes of the records of each data centre whose records have
	// not changed for a while, without those of hosts that are gone. A receiver
	// with a different digest answers with its records.
	Digests map[string]uint64 `json:"digests,omitempty"`
}

// Config holds the parameters of the protocol.
type Config struct {
	// Topology selects the hosts to which a host sends heartbeats and news.
	Topology Topology
	// Period is the time between two heartbeats to the same host.
	Period time.Duration
	// SuspectAfter is the time without an answer after which a host becomes
	// suspect.
	SuspectAfter time.Duration
	// DeadAfter is the time after which a suspect that has not refuted the
	// suspicion is declared dead. Hosts that do not send it heartbeats themselves
	// wait one Period longer.
	DeadAfter time.Duration
	// PushDelay is the delay before news is sent, so that changes in quick
	// succession share one message.
	PushDelay time.Duration
	// MinProofAdvance is how much fresher than the known proof another one must
	// be to be pushed or requested.
	MinProofAdvance time.Duration
	// RejoinInterval is the time between Join messages to join addresses that no
	// live member has.
	RejoinInterval time.Duration
	// ReselectInterval is how long randomly selected hosts are kept, both push
	// targets and contacts in other data centres.
	ReselectInterval time.Duration
	// ChangeRepeats is the number of periods in which heartbeats repeat a change.
	ChangeRepeats int
	// MaxUpdates is the maximum number of records of other hosts in one message.
	MaxUpdates int
	// GoneRetention is how long records of hosts that are dead or have left are
	// kept.
	GoneRetention time.Duration
}

// DefaultConfig returns the default parameters, which
// docs/measurements-membership.md compares with alternatives.
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
