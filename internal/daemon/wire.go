package daemon

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// Methods that daemons call at each other.
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

// errNotOwner reports that a host has no right to slots of the upstream now. The request
// was not sent.
var errNotOwner = errors.New("host is not an owner of the upstream")

// codeDeclined is the code on the wire of a host that accepts no work from other hosts now.
// The request did not run.
const codeDeclined = 100

var (
	errLeaving  = &peer.RemoteError{Code: codeDeclined, Message: "host is leaving"}
	errNoMemory = &peer.RemoteError{Code: codeDeclined, Message: "host has no memory left for the request"}
)

func isDeclined(err error) bool {
	var remote *peer.RemoteError
	return errors.As(err, &remote) && remote.Code == codeDeclined
}

// workItem is one sub-request to an upstream that the receiving host owns slots of.
type workItem struct {
	Replica    string           `json:"replica"`
	DeadlineUS int64            `json:"deadline_us"` // microseconds to the deadline, at the time of sending
	HandBack   bool             `json:"hand_back,omitempty"`
	Request    upstream.Request `json:"request"`
}

func newWorkItem(a scatter.Attempt, now time.Time) workItem {
	return workItem{Replica: a.Replica, DeadlineUS: a.Deadline.Sub(now).Microseconds(), HandBack: a.HandBack, Request: a.Request}
}

// attempt converts the item to an attempt whose deadline is relative to the receiver's
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

// deadline returns the latest deadline of the items, counted from now.
func (b workBatch) deadline(now time.Time) time.Time {
	latest := int64(0)
	for _, item := range b.Items {
		latest = max(latest, item.DeadlineUS)
	}
	return now.Add(time.Duration(latest) * time.Microsecond)
}

// workDone is the result of one work item.
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

// err returns the error that newWorkDone encoded, without its details.
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

// failureCode is the wire code of an error of package upstream or of errNotOwner.
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

// errorOf is the inverse of codeOf. An unknown code becomes ErrReplyLost, since the request
// may have run.
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
	Have       uint64 `json:"have"` // epoch that the requesting host holds
}

type onceRequest struct {
	ID         string          `json:"id"`
	Key        string          `json:"key"`
	Number     uint32          `json:"number"`
	Contract   string          `json:"contract"`
	Service    string          `json:"service"`
	Body       json.RawMessage `json:"body"`
	DeadlineUS int64           `json:"deadline_us"` // microseconds to the deadline, at the time of sending
}
