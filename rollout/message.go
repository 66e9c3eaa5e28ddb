package rollout

// Phase is how far a roll-out has come, as its leader says.
type Phase string

const (
	// PhaseTrial: hosts send to the new version only what they were granted.
	PhaseTrial Phase = "trial"
	// PhaseSwitching: hosts send everything to the new version and nothing to the old ones.
	PhaseSwitching Phase = "switching"
	// PhaseCompleted: the new version is in service, and the old replicas stop.
	PhaseCompleted Phase = "completed"
	// PhaseRolledBack: hosts send nothing to the new version.
	PhaseRolledBack Phase = "rolled_back"
)

// Report tells a leader what a host has seen. All counts grow from report to report, so that
// a lost, repeated or late report does no harm.
type Report struct {
	Order OrderID `json:"order"`
	Host  string  `json:"host"`
	// Run differs for each run of the host's process. Sequence numbers its reports.
	Run      uint64 `json:"run"`
	Sequence uint64 `json:"sequence"`
	// Requests are the sends to all versions of the service since the host saw the order.
	Requests int   `json:"requests"`
	Tally    Tally `json:"tally,omitempty"`
	// Fence is the number of the leader's term (Record.Fence) whose grants the host uses. Spent
	// are the granted sends that it used in this term, and Returned those that lapsed.
	Fence    uint64 `json:"fence"`
	Spent    int    `json:"spent,omitempty"`
	Returned int    `json:"returned,omitempty"`
	// Phase is the phase that the host knows, and OldInFlight the number of its requests in
	// progress at replicas of other versions.
	Phase       Phase `json:"phase"`
	OldInFlight int   `json:"old_in_flight,omitempty"`
}

// Reply is the answer to a report.
type Reply struct {
	Order OrderID `json:"order"`
	// Fence is the term of the leader that replied; 0 if the host asked does not lead.
	Fence uint64 `json:"fence"`
	Phase Phase  `json:"phase"`
	// Granted is the number of sends to the new version that the leader has granted to the
	// host in this term.
	Granted int `json:"granted"`
	// LeaderAddress is where the leader is called, if a host knows it that does not lead.
	LeaderAddress string `json:"leader,omitempty"`
}

// Record is the state of a roll-out in the store. Its leader writes it, on condition that
// nobody else has.
type Record struct {
	Order OrderID `json:"order"`
	// OrderRevision is a revision of the object at which it held the order. A host that knows
	// an earlier one can't take the lead for the order that was there before.
	OrderRevision uint64 `json:"order_revision"`
	// Leader is the id of the leader; empty if it has released the lead.
	Leader string `json:"leader"`
	// Address is where the leader is called.
	Address string `json:"address"`
	// Fence is the number of the leader's term. Each term has a higher one.
	Fence uint64 `json:"fence"`
	Phase Phase  `json:"phase"`
	// ElapsedMS is the time since the order was seen.
	ElapsedMS int64 `json:"elapsed_ms"`
	// Requests are the known sends to the service since the order, and Reserve an upper
	// bound of the sends to the new version that all leaders have granted. A leader grants no
	// more than the stored reserve, so that the next one knows the bound.
	Requests int `json:"requests"`
	Reserve  int `json:"reserve"`
	// Renewals distinguishes writes that change nothing else.
	Renewals uint64 `json:"renewals"`
}
