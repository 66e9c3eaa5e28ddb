package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/scatter"
	"github.com/marigoldlever/marigoldlever/upstream"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
)

// sender sends the attempts of one request. It implements scatter.Sender.
type sender struct {
	entry   *Entry
	request *exchange.Request
	// atMostOnce is set for requests that may not run twice.
	atMostOnce bool
	// parts is set if the request is answered from parts: the failure of a
	// replica is then no answer.
	parts bool

	mu      sync.Mutex
	cancels map[string]context.CancelFunc
	replies map[string]exchange.Reply
	failure *exchange.Reply // the last failure that a replica answered with
	causes  map[string]int  // failed attempts by cause, for the log
	sent    int
	// slowest is the replica whose reply took longest, for the log.
	slowest     string
	slowestTime time.Duration
}

func newSender(e *Entry, request *exchange.Request, atMostOnce bool, parts int) *sender {
	return &sender{
		entry: e, request: request, atMostOnce: atMostOnce, parts: parts > 0,
		cancels: make(map[string]context.CancelFunc, parts+1), replies: make(map[string]exchange.Reply, parts+1),
		causes: make(map[string]int),
	}
}

// Send implements scatter.Sender.
func (s *sender) Send(ctx context.Context, attempts []scatter.Attempt) {
	for _, a := range attempts {
		ctx, cancel := context.WithCancel(ctx)
		s.mu.Lock()
		s.cancels[a.ID] = cancel
		s.sent++
		s.mu.Unlock()
		go s.run(ctx, a)
	}
}

// Cancel implements scatter.Sender.
func (s *sender) Cancel(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		if cancel, ok := s.cancels[id]; ok {
			cancel()
			delete(s.cancels, id)
		}
	}
}

// run makes one attempt and reports its end.
func (s *sender) run(ctx context.Context, a scatter.Attempt) {
	began := time.Now()
	reply, err := s.exchange(ctx, a)
	took := time.Since(began)
	s.mu.Lock()
	if cancel, ok := s.cancels[a.ID]; ok {
		cancel()
		delete(s.cancels, a.ID)
	}
	if err == nil {
		s.replies[a.ID] = reply
		if took > s.slowestTime {
			s.slowest, s.slowestTime = a.Replica, took
		}
	} else {
		s.causes[causeOf(err)]++
	}
	s.mu.Unlock()
	a.Done(upstream.Reply{
		Attempt: a.ID, Service: a.Request.Service, Snapshot: snapshot, Held: oneSnapshot,
		Partition: a.Request.Partition, Records: reply.Body,
	}, err)
}

var (
	errLeaving = errors.New("replica may get no new work")
	errTooCold = errors.New("share of what a cold replica bears is used")
	errFailure = errors.New("replica answered with a failure")
)

// exchange sends the request if the replica may still get it.
func (s *sender) exchange(ctx context.Context, a scatter.Attempt) (exchange.Reply, error) {
	v := s.entry.view
	replica, lapsed, p := v.permit(time.Now(), a.Replica, s.entry.coldShare)
	switch p {
	case leaving:
		return exchange.Reply{}, &scatter.UnsentError{Cause: errors.Mark(errors.Wrapf(errLeaving, "replica %s", a.Replica), upstream.ErrDraining)}
	case tooCold:
		return exchange.Reply{}, &scatter.UnsentError{Cause: errors.Mark(errors.Wrapf(errTooCold, "replica %s", a.Replica), upstream.ErrShed)}
	}
	run := replica.Incarnation()
	if !lapsed { // its silence would say nothing of its data centre
		s.entry.reach.sent(time.Now(), replica.DataCentre, replica.ID)
	}
	sent := time.Now()
	reply, err := s.entry.pool.Do(ctx, exchange.Call{Request: s.request, Destination: run, Deadline: a.Deadline, FreshConnection: s.atMostOnce})
	now := time.Now()
	if errors.Is(err, exchange.ErrNoConnection) {
		return reply, &scatter.UnsentError{Cause: errors.Mark(err, upstream.ErrShed)}
	}
	if errors.Is(err, upstream.ErrConnect) {
		return reply, &scatter.UnsentError{Cause: errors.Mark(err, upstream.ErrReplyLost)}
	}
	if err != nil {
		return reply, err
	}
	s.entry.reach.heard(now, replica.DataCentre)
	v.heard(now, run, reply.Misdirected, reply.ColdRemaining)
	if !reply.Misdirected {
		s.entry.overload.reported(now, a.Request.Service, a.Replica, reply.Load, now.Sub(sent))
	}
	return s.judge(a, reply)
}

// judge tells answers from failures.
func (s *sender) judge(a scatter.Attempt, reply exchange.Reply) (exchange.Reply, error) {
	switch {
	case reply.Misdirected:
		return reply, &scatter.RefusedError{Cause: errors.Wrapf(upstream.ErrDraining, "replica %s is not at its address", a.Replica)}
	case reply.NotRun:
		return reply, &scatter.RefusedError{Cause: errors.Wrapf(upstream.ErrShed, "replica %s", a.Replica), RetryAfter: reply.RetryAfter}
	case reply.Status < http.StatusMultipleChoices && reply.Signature != "":
		return reply, nil
	case s.parts:
		return reply, errors.Mark(errors.Wrapf(errFailure, "replica %s: status %d", a.Replica, reply.Status), upstream.ErrReplyLost)
	}
	if reply.Status >= http.StatusMultipleChoices && (s.atMostOnce || reply.Status < http.StatusInternalServerError) {
		return reply, nil
	}
	if reply.Status >= http.StatusInternalServerError {
		s.mu.Lock()
		s.failure = &reply
		s.mu.Unlock()
	}
	return reply, errors.Mark(errors.Wrapf(errFailure, "replica %s: status %d", a.Replica, reply.Status), upstream.ErrReplyLost)
}

// causeOf names the cause of a failed attempt in logs.
func causeOf(err error) string {
	for _, c := range [...]struct {
		err  error
		name string
	}{
		{errLeaving, "leaving"}, {errTooCold, "cold"}, {exchange.ErrNoConnection, "connections"}, {upstream.ErrConnect, "connect"},
		{errFailure, "failure"}, {upstream.ErrDraining, "moved"}, {upstream.ErrShed, "shed"}, {upstream.ErrTimeout, "timeout"},
		{upstream.ErrMismatch, "mismatch"},
	} {
		if errors.Is(err, c.err) {
			return c.name
		}
	}
	return "broken"
}
