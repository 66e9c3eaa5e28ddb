package entry

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/quota"
)

// errNoLender reports that no host is known that lends the tokens of quotas.
var errNoLender = errors.New("no host lends the tokens of quotas")

// claimRequest carries a quota.Claim. The names are short, because a lender sends a claim to each
// host several times a second.
type claimRequest struct {
	Kind   quota.ClaimKind `json:"k,omitempty"`
	From   string          `json:"f"`
	Run    uint64          `json:"r"`
	Number uint64          `json:"n"`
	Hosts  int             `json:"h"`
	Held   int             `json:"s,omitempty"`
	Next   string          `json:"x,omitempty"`
}

func newClaimRequest(c quota.Claim) claimRequest { return claimRequest(c) }

func (c claimRequest) claim() quota.Claim { return quota.Claim(c) }

// claimReply carries a quota.ClaimReply.
type claimReply struct {
	Granted bool   `json:"g,omitempty"`
	Fresh   bool   `json:"f,omitempty"`
	Hosts   int    `json:"h"`
	Lender  string `json:"l,omitempty"`
	Held    int    `json:"s,omitempty"`
}

func newClaimReply(r quota.ClaimReply) claimReply { return claimReply(r) }

func (r claimReply) reply() quota.ClaimReply { return quota.ClaimReply(r) }

// relayRequest asks a host to send a claim to others of its data centre.
type relayRequest struct {
	Claim claimRequest `json:"c"`
	To    []string     `json:"t"`
}

// relayReply has the reply of each host, or null for a host that gave none.
type relayReply struct {
	Replies []*claimReply `json:"r"`
}

// borrowRequest asks the lender for tokens of an account.
type borrowRequest struct {
	Account  []byte `json:"a"` // bytes, because JSON strings change what is not UTF-8
	Waiting  int    `json:"w"`
	Expected int    `json:"e,omitempty"`
}

// borrowReply is the answer to a borrowRequest. Times are in microseconds.
type borrowReply struct {
	NotLender bool  `json:"no,omitempty"`
	Tokens    int   `json:"t"`
	RoomInUS  int64 `json:"r,omitempty"`
	SpreadUS  int64 `json:"s,omitempty"`
}

func newBorrowReply(l quota.Loan) borrowReply {
	return borrowReply{Tokens: l.Tokens, RoomInUS: l.RoomIn.Microseconds(), SpreadUS: l.Spread.Microseconds()}
}

func (r borrowReply) loan() quota.Loan {
	return quota.Loan{Tokens: r.Tokens, RoomIn: time.Duration(r.RoomInUS) * time.Microsecond, Spread: time.Duration(r.SpreadUS) * time.Microsecond}
}
