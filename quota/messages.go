package quota

import "time"

// Host is a host that shares the quotas. Its address identifies it.
type Host struct {
	Address string  // empty if the host can't be called
	Cores   float64 // hosts with more cores lend first
}

// ClaimKind is what a claim asks for.
type ClaimKind int

const (
	// TakeShare asks for the share of a host.
	TakeShare ClaimKind = iota
	// ReleaseShare tells a host that its share is no longer used.
	ReleaseShare
	// FindLender asks which host lends.
	FindLender
)

// Claim is a message from a host to another one about its share.
type Claim struct {
	Kind ClaimKind
	From string
	// Run identifies the process of the lender, and Number rises with its claims, so that late and
	// repeated ones are recognized.
	Run    uint64
	Number uint64
	// Hosts is the number of hosts that the lender knows.
	Hosts int
	// Held is the number of shares that the lender holds.
	Held int
	// Next is the host that lends next, with ReleaseShare.
	Next string
}

// ClaimReply answers a claim.
type ClaimReply struct {
	Granted bool
	// Fresh is set if the lender may lend some tokens of the share at once, although its bucket
	// begins empty. A host grants its share so only once in a while (Bounds.freshInterval).
	Fresh bool
	// Hosts is the number of hosts that the host knows.
	Hosts int
	// Lender is the host that lends, if the share wasn't granted; empty if there is none.
	Lender string
	// Held is the number of shares that the host holds as a lender itself.
	Held int
}

// Message is a claim to be sent to a host.
type Message struct {
	To    string
	Claim Claim
	// SentAt is the time from which a grant counts.
	SentAt time.Time
	// Renewal is set if the lender holds the share already.
	Renewal bool
}

// Loan is a lender's answer to a host that asks for tokens.
type Loan struct {
	Tokens int
	// RoomIn is the time until the account has a token again, if fewer were lent than requests
	// wait, and Spread the time that those refused lately need from then on.
	RoomIn, Spread time.Duration
}
