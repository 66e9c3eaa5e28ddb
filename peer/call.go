package peer

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Call sends params to a peer's handler and decodes the handler's result into result,
// unless that is nil. Errors match ErrConnect, ErrTooLarge or ErrRefused if the handler
// did not run, and ErrAnswerLost if it may have run; a handler's own error is a
// *RemoteError. If the context ends before the answer arrives, the error matches both
// ErrAnswerLost and the context's error.
func (n *Node) Call(ctx context.Context, address, method string, params, result any) error {
	e, err := newEnvelope(params, n.cfg.MaxMessageBytes)
	if err != nil {
		return err
	}
	n.count.calls.Add(1)
	err = n.withLink(ctx, address, func(l *link) error { return l.limitedCall(ctx, method, e, result) })
	if errors.Is(err, ErrAnswerLost) {
		n.count.lostAnswers.Add(1)
	}
	return errors.Wrapf(err, "call %s at %s", method, address)
}

// withLink calls send with a link to the peer. If that link has closed but was not removed
// yet, nothing was sent and another link is used.
func (n *Node) withLink(ctx context.Context, address string, send func(l *link) error) error {
	var err error
	for range maxDialRounds {
		var l *link
		if l, err = n.acquire(ctx, address); err != nil {
			return err
		}
		err = send(l)
		l.release()
		if !errors.Is(err, errLinkClosed) {
			return err
		}
		n.removeCurrent(l)
	}
	return err
}

// limitedCall makes a call unless too many are in flight on the link.
func (l *link) limitedCall(ctx context.Context, method string, e envelope, result any) error {
	select {
	case l.callSlots <- struct{}{}:
	default:
		return errors.Wrapf(ErrRefused, "%d calls in flight", cap(l.callSlots))
	}
	defer func() { <-l.callSlots }()
	return l.call(ctx, method, e, result)
}

func (l *link) call(ctx context.Context, method string, e envelope, result any) error {
	if err := l.checkQueueSpace(e); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return errors.Mark(err, ErrConnect)
	}
	e.setContext(ctx)
	waiter, err := l.rpc.DispatchCall(ctx, method, e)
	if err != nil {
		return sendError(err)
	}
	var answer envelope
	if err := waiter.Wait(ctx, &answer); err != nil {
		return answerError(err)
	}
	body, err := answer.content(l.node.cfg.MaxMessageBytes)
	if err != nil {
		return errors.Mark(err, ErrAnswerLost)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return errors.Mark(errors.Wrap(err, "decode answer"), ErrAnswerLost)
	}
	return nil
}

// Notify sends params to a peer's handler and expects no answer. A nil error means that
// the message was queued on a connection, not that it arrived. Errors match ErrConnect,
// ErrTooLarge or ErrRefused.
func (n *Node) Notify(ctx context.Context, address, method string, params any) error {
	e, err := newEnvelope(params, n.cfg.MaxMessageBytes)
	if err != nil {
		return err
	}
	n.count.notifications.Add(1)
	err = n.withLink(ctx, address, func(l *link) error {
		if err := l.checkQueueSpace(e); err != nil {
			return err
		}
		e.setContext(ctx)
		return sendError(l.rpc.Notify(ctx, method, e))
	})
	return errors.Wrapf(err, "notify %s at %s", method, address)
}

// checkQueueSpace returns ErrRefused if the message does not fit into the write queue.
func (l *link) checkQueueSpace(e envelope) error {
	if l.stream.fits(e.size()) {
		return nil
	}
	return errors.Wrap(ErrRefused, "write queue full")
}

// errLinkClosed marks a message that was not sent because its connection had closed.
var errLinkClosed = errors.New("peer connection closed before the send")

// sendError converts an error of queueing a message. The stream queues only whole
// messages, so after such an error nothing was sent.
func sendError(err error) error {
	switch {
	case err == nil, errors.Is(err, ErrTooLarge):
		return err
	case errors.Is(err, jsonrpc2.ErrClosed), errors.Is(err, errStreamClosed):
		return errors.Mark(errors.Mark(err, errLinkClosed), ErrConnect)
	}
	return errors.Mark(err, ErrConnect)
}

// answerError converts an error of waiting for the answer to a sent message.
func answerError(err error) error {
	var remote *jsonrpc2.Error
	if !errors.As(err, &remote) {
		return errors.Mark(err, ErrAnswerLost)
	}
	if remote.Code == CodeRefused {
		return errors.Wrap(ErrRefused, remote.Message)
	}
	return &RemoteError{Code: remote.Code, Message: remote.Message}
}
