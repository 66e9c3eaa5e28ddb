package peer

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// Call sends params to a peer's handler and stores its result, unless result is
// nil. Errors match ErrConnect, ErrTooLarge or ErrRefused if the handler surely
// did not run, ErrBroken if it may have; a handler's own error is a
// *RemoteError. When the context ends before the answer, the error matches both
// ErrBroken and the context's error.
func (n *Node) Call(ctx context.Context, address, method string, params, result any) error {
	e, err := seal(params, n.cfg.MaxMessageBytes)
	if err != nil {
		return err
	}
	l, err := n.acquire(ctx, address)
	if err != nil {
		return err
	}
	defer l.release()
	select {
	case l.calls <- struct{}{}:
	default:
		return errors.Wrapf(ErrRefused, "%d calls to %s in flight", cap(l.calls), address)
	}
	defer func() { <-l.calls }()
	n.count.calls.Add(1)
	e.stamp(ctx)
	err = l.call(ctx, method, e, result)
	if errors.Is(err, ErrBroken) {
		n.count.broken.Add(1)
	}
	return errors.Wrapf(err, "call %s at %s", method, address)
}

func (l *link) call(ctx context.Context, method string, e envelope, result any) error {
	if err := l.ensureRoom(e); err != nil {
		return err
	}
	if err := ctx.Err(); err != nil {
		return errors.Mark(err, ErrConnect)
	}
	waiter, err := l.rpc.DispatchCall(ctx, method, e)
	if err != nil {
		return sendError(err)
	}
	var answer envelope
	if err := waiter.Wait(ctx, &answer); err != nil {
		return answerError(err)
	}
	body, err := answer.open(l.node.cfg.MaxMessageBytes)
	if err != nil {
		return errors.Mark(err, ErrBroken)
	}
	if result == nil {
		return nil
	}
	if err := json.Unmarshal(body, result); err != nil {
		return errors.Mark(errors.Wrap(err, "decode answer"), ErrBroken)
	}
	return nil
}

// Notify sends params to a peer's handler without an answer. A nil error means
// that the message was queued on a connection, not that it arrived. Errors match
// ErrConnect, ErrTooLarge or ErrRefused.
func (n *Node) Notify(ctx context.Context, address, method string, params any) error {
	e, err := seal(params, n.cfg.MaxMessageBytes)
	if err != nil {
		return err
	}
	l, err := n.acquire(ctx, address)
	if err != nil {
		return err
	}
	defer l.release()
	if err := l.ensureRoom(e); err != nil {
		return err
	}
	n.count.notifications.Add(1)
	e.stamp(ctx)
	if err := l.rpc.Notify(ctx, method, e); err != nil {
		return errors.Wrapf(sendError(err), "notify %s at %s", method, address)
	}
	return nil
}

func (l *link) ensureRoom(e envelope) error {
	if l.stream.room(e.size()) {
		return nil
	}
	return errors.Wrap(ErrRefused, "write queue full")
}

// sendError converts an error of queueing a message. The stream only queues
// whole messages, so a message with such an error was not sent.
func sendError(err error) error {
	if errors.Is(err, ErrTooLarge) {
		return err
	}
	return errors.Mark(err, ErrConnect)
}

// answerError converts an error of waiting for the answer of a sent message.
func answerError(err error) error {
	var remote *jsonrpc2.Error
	if !errors.As(err, &remote) {
		return errors.Mark(err, ErrBroken)
	}
	if remote.Code == CodeRefused {
		return errors.Wrap(ErrRefused, remote.Message)
	}
	return &RemoteError{Code: remote.Code, Message: remote.Message}
}
