package daemon

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// Methods between daemons.
const (
	methodGossip         = "member.gossip"
	methodWorkBatch      = "work.batch"
	methodWorkDone       = "work.done"
	methodWorkCancel     = "work.cancel"
	methodWorkExecute    = "work.execute"
	methodConfigFetch    = "config.fetch"
	methodOwnershipFetch = "ownership.fetch"
	methodOwnershipProof = "ownership.proof"
	methodOnceSubmit     = "once.submit"
	methodColdNotice     = "cold.notice"
	methodStatusHost     = "status.host"
	methodHostsList      = "hosts.list"
	methodUpstreamState  = "upstream.state"
)

// errNotOwner reports that a host has no right to the upstream's slots now; the
// request was not sent.
var errNotOwner = errors.New("host is not an owner of the upstream")

// codeLeaving is the code of errLeaving on the wire.
const codeLeaving = 100

// errLeaving is the answer of a host that leaves and takes no more work from
// others. The request surely did not run.
var errLeaving = &peer.RemoteError{Code: codeLeaving, Message: "host is leaving"}

func isLeaving(err error) bool {
	var remote *peer.RemoteError
	return errors.As(err, &remote) && remote.Code == codeLeaving
}

// workItem is one sub-request for an upstream of the receiving owner.
type workItem struct {
	Replica    string           `json:"replica"`
	DeadlineUS int64            `json:"deadline_us"` // microseconds left when it was sent
	HandBack   bool             `json:"hand_back,omitempty"`
	Request    upstream.Request `json:"request"`
}

func newWorkItem(a scatter.Attempt, now time.Time) workItem {
	return workItem{Replica: a.Replica, DeadlineUS: a.Deadline.Sub(now).Microseconds(), HandBack: a.HandBack, Request: a.Request}
}

// attempt returns the item as an attempt, with its deadline by the receiver's
// clock.
func (w workItem) attempt(now time.Time) scatter.Attempt {
	return scatter.Attempt{
		ID: w.Request.Attempt, Replica: w.Replica, Request: w.Request, HandBack: w.HandBack,
		Deadline: now.Add(time.Duration(w.DeadlineUS) * time.Microsecond),
	}
}

type workBatch struct {
	Items []workItem `json:"items"`
}

// workDone is the end of one item of a batch.
type workDone struct {
	Attempt string         `json:"attempt"`
	Reply   upstream.Reply `json:"reply"`
	Failure failureCode    `json:"failure,omitempty"`
	// Unsent and RetryAfterUS, in microseconds, qualify a Failure.
	Unsent       bool  `json:"unsent,omitempty"`
	RetryAfterUS int64 `json:"retry_after_us,omitempty"`
}

func newWorkDone(id string, reply upstream.Reply, err error) workDone {
	done := workDone{Attempt: id, Reply: reply, Failure: codeOf(err)}
	var unsent *scatter.UnsentError
	if errors.As(err, &unsent) {
		done.Unsent, done.RetryAfterUS = true, unsent.RetryAfter.Microseconds()
	}
	return done
}

// err returns the error that newWorkDone was given, as far as it was encoded.
func (d workDone) err() error {
	err := d.Failure.errorOf()
	if err != nil && d.Unsent {
		return &scatter.UnsentError{Cause: err, RetryAfter: time.Duration(d.RetryAfterUS) * time.Microsecond}
	}
	return err
}

type workCancel struct {
	Attempts []string `json:"attempts"`
}

// failureCode names an error of package upstream or of the owner on the wire.
type failureCode string

const failureOther failureCode = "other"

var failureCodes = map[failureCode]error{
	"shed":          upstream.ErrShed,
	"draining":      upstream.ErrDraining,
	"snapshot_gone": upstream.ErrSnapshotGone,
	"moved":         upstream.ErrMoved,
	"connect":       upstream.ErrConnect,
	"broken":        upstream.ErrReplyLost,
	"mismatch":      upstream.ErrMismatch,
	"timeout":       upstream.ErrTimeout,
	"not_owner":     errNotOwner,
}

func codeOf(err error) failureCode {
	if err == nil {
		return ""
	}
	for code, known := range failureCodes {
		if errors.Is(err, known) {
			return code
		}
	}
	return failureOther
}

// errorOf is the inverse of codeOf. An unknown code stands for a request that may
// have run.
func (c failureCode) errorOf() error {
	if c == "" {
		return nil
	}
	if err, ok := failureCodes[c]; ok {
		return err
	}
	return upstream.ErrReplyLost
}

type fetchConfigRequest struct {
	Have  uint64 `json:"have"`
	Whole bool   `json:"whole,omitempty"`
}

type fetchTableRequest struct {
	DataCentre string `json:"data_centre"`
	Have       uint64 `json:"have"` // epoch that the asker holds
}

type onceRequest struct {
	ID         string          `json:"id"`
	Key        string          `json:"key"`
	Number     uint32          `json:"number"`
	Contract   string          `json:"contract"`
	Service    string          `json:"service"`
	Body       json.RawMessage `json:"body"`
	DeadlineUS int64           `json:"deadline_us"` // microseconds left when it was sent
}
