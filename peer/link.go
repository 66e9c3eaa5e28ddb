package peer

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
	"k8s.io/klog/v2"
)

// Methods of the protocol between nodes.
const (
	// methodHello states the listening address of the dialling node, so that the
	// accepting node can use the connection for its own calls.
	methodHello = "peer.hello"
	// methodBye states that the sender starts no more calls and notifications on the
	// connection.
	methodBye = "peer.bye"
)

// notificationWait is the time for which the read loop waits for a free handler slot before
// it drops a notification. The wait slows down a peer that sends too fast. It is limited
// because handlers may wait for answers that the same loop has to read.
const notificationWait = 100 * time.Millisecond

type hello struct {
	Address string `json:"address"`
}

// link is a connection to a peer with its JSON-RPC state.
type link struct {
	node         *Node
	rpc          *jsonrpc2.Conn
	stream       *stream
	dialled      bool
	ready        chan struct{} // closed when rpc is set
	callSlots    chan struct{} // one element per call in flight
	handlerSlots chan struct{} // one element per running handler

	// Guarded by Node.mu.
	peerAddress string
	sending     int // calls and notifications of this side in progress
	handling    int // handlers in progress
	lastUsed    time.Time
	retired     bool          // this side starts no more messages
	byeSent     chan struct{} // nil until the bye is being sent; closed when it is queued
	byeReceived bool          // the peer starts no more messages
}

// inProgress returns the number of calls, notifications and handlers in progress. The
// caller holds Node.mu.
func (l *link) inProgress() int { return l.sending + l.handling }

// open creates a link on a connection. A dialled link is registered immediately, an
// accepted one when the peer's hello arrives.
func (n *Node) open(conn net.Conn, address string, dialled bool) (*link, error) {
	l := &link{
		node:         n,
		stream:       newStream(conn, n.cfg, &n.count.sent, &n.count.received),
		dialled:      dialled,
		ready:        make(chan struct{}),
		callSlots:    make(chan struct{}, n.cfg.MaxCalls),
		handlerSlots: make(chan struct{}, n.cfg.MaxHandlers),
		lastUsed:     time.Now(),
	}
	n.mu.Lock()
	own := n.address
	n.all[l] = struct{}{}
	n.mu.Unlock()
	l.rpc = jsonrpc2.NewConn(n.ctx, l.stream, l, jsonrpc2.SetLogger(logger{}))
	close(l.ready)
	go l.removeWhenClosed()
	if !dialled {
		return l, nil
	}
	if err := l.rpc.Notify(n.ctx, methodHello, hello{Address: own}); err != nil {
		return nil, errors.Wrap(err, "send hello")
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.register(l, address)
	return l, nil
}

type logger struct{}

// Printf logs jsonrpc2's messages at a low level, since a reset connection is not an error.
func (logger) Printf(format string, v ...interface{}) {
	klog.V(2).Infof(format, v...)
}

func (l *link) removeWhenClosed() {
	<-l.rpc.DisconnectNotify()
	l.stream.release()
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	delete(l.node.all, l)
	if l.node.current[l.peerAddress] == l {
		delete(l.node.current, l.peerAddress)
	}
	l.node.signalIdle()
}

// register makes l the link for new messages to address. If both nodes dialled at the same
// time, both keep the link that was dialled by the node with the smaller address. Of two
// links that the same node dialled, the newer one is kept, since the older one is broken or
// being retired. The caller holds n.mu.
func (n *Node) register(l *link, address string) {
	l.peerAddress = address
	if _, open := n.all[l]; !open || l.retired {
		return
	}
	old := n.current[address]
	if old != nil && old != l && old.dialled != l.dialled && old.dialled == (n.address < address) {
		n.retire(l)
		return
	}
	n.current[address] = l
	if old != nil && old != l {
		n.retire(old)
	}
}

// retire stops the use of l for new messages and closes it once both sides have finished.
// The caller holds n.mu.
func (n *Node) retire(l *link) {
	l.retired = true
	if n.current[l.peerAddress] == l {
		delete(n.current, l.peerAddress)
	}
	n.advanceClose(l)
}

// advanceClose takes the next step to close a retired link. The bye is sent only when this
// side has no message in progress: it could overtake a request, and the peer would close
// the connection before it reads the request. The caller holds n.mu.
func (n *Node) advanceClose(l *link) {
	if !l.retired || l.sending > 0 {
		return
	}
	if l.byeSent == nil {
		l.byeSent = make(chan struct{})
		go l.sendBye(l.byeSent)
	}
	if l.byeReceived && l.handling == 0 {
		go l.closeAfter(l.byeSent)
	}
}

func (l *link) sendBye(sent chan struct{}) {
	defer close(sent)
	<-l.ready
	if err := l.rpc.Notify(l.node.ctx, methodBye, nil); err != nil {
		_ = l.rpc.Close()
	}
}

func (l *link) closeAfter(bye chan struct{}) {
	<-bye
	_ = l.rpc.Close()
}

func (l *link) beginHandling() {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.handling++
}

func (l *link) endHandling() { l.finish(&l.handling) }

// release ends a use of the link that acquire counted.
func (l *link) release() { l.finish(&l.sending) }

func (l *link) finish(count *int) {
	n := l.node
	n.mu.Lock()
	defer n.mu.Unlock()
	*count--
	l.lastUsed = time.Now()
	n.advanceClose(l)
	n.signalIdle()
}

// Handle implements jsonrpc2.Handler. It runs on the read loop, so it must not block for
// long.
func (l *link) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	<-l.ready
	switch req.Method {
	case methodHello:
		l.hello(req)
		return
	case methodBye:
		l.bye()
		return
	}
	l.beginHandling()
	if reason := l.acquireHandler(req.Notif); reason != "" {
		l.refuse(ctx, req, reason)
		l.endHandling()
		return
	}
	go func() {
		defer l.endHandling()
		e, err := l.run(ctx, req)
		// The peer may use the slot again as soon as it has the answer.
		<-l.handlerSlots
		l.answer(ctx, req, e, err)
	}()
}

// hello handles the peer's hello.
func (l *link) hello(req *jsonrpc2.Request) {
	var h hello
	if req.Params == nil || json.Unmarshal(*req.Params, &h) != nil || h.Address == "" || l.dialled {
		return // a peer that states no address can send calls but not receive them
	}
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.node.register(l, h.Address)
	// A peer that dials is up again, so the back-off after failed dials ends.
	delete(l.node.backoff, h.Address)
}

// bye handles the peer's bye.
func (l *link) bye() {
	l.node.mu.Lock()
	defer l.node.mu.Unlock()
	l.byeReceived = true
	l.node.retire(l)
}

// acquireHandler takes a handler slot. It returns the reason if the request is refused.
func (l *link) acquireHandler(notification bool) string {
	l.node.mu.Lock()
	closing := l.node.closing
	l.node.mu.Unlock()
	if closing {
		return "closing"
	}
	select {
	case l.handlerSlots <- struct{}{}:
		return ""
	default:
	}
	if !notification {
		return "too many requests in progress"
	}
	timer := time.NewTimer(notificationWait)
	defer timer.Stop()
	select {
	case l.handlerSlots <- struct{}{}:
		return ""
	case <-timer.C:
		return "too many notifications in progress"
	}
}

// refuse answers a request that is not run. A notification is dropped.
func (l *link) refuse(ctx context.Context, req *jsonrpc2.Request, reason string) {
	if req.Notif {
		l.node.count.droppedNotifications.Add(1)
		return
	}
	l.answerError(ctx, req, CodeRefused, reason)
}

// run decodes a request, runs its handler and encodes the result.
func (l *link) run(ctx context.Context, req *jsonrpc2.Request) (envelope, error) {
	n := l.node
	n.mu.Lock()
	h := n.handlers[req.Method]
	from := l.peerAddress
	n.mu.Unlock()
	if h == nil {
		return envelope{}, &RemoteError{Code: CodeUnknownMethod, Message: "no such method: " + req.Method}
	}
	var e envelope
	r := Request{Method: req.Method, From: from, Notification: req.Notif}
	err := errors.New("no parameters")
	if req.Params != nil {
		err = json.Unmarshal(*req.Params, &e)
	}
	if err == nil {
		r.body, err = e.content(n.cfg.MaxMessageBytes)
	}
	if err != nil {
		return envelope{}, &RemoteError{Code: CodeInvalid, Message: err.Error()}
	}
	parent := ctx
	if req.Notif {
		// The sender may close the connection immediately after a notification.
		parent = n.ctx
	}
	handlerCtx, cancel := e.context(parent)
	defer cancel()
	result, err := h(handlerCtx, r)
	if err != nil || req.Notif {
		return envelope{}, err
	}
	if e, err = newEnvelope(result, n.cfg.MaxMessageBytes); err != nil {
		return envelope{}, &RemoteError{Code: CodeTooLarge, Message: err.Error()}
	}
	return e, nil
}

// answer sends the result of a request.
func (l *link) answer(ctx context.Context, req *jsonrpc2.Request, e envelope, err error) {
	var remote *RemoteError
	switch {
	case errors.As(err, &remote):
		l.answerError(ctx, req, remote.Code, remote.Message)
	case err != nil:
		l.answerError(ctx, req, CodeFailed, err.Error())
	case req.Notif:
	default:
		if err := l.rpc.Reply(ctx, req.ID, e); err != nil {
			l.answerError(ctx, req, CodeTooLarge, err.Error())
		}
	}
}

func (l *link) answerError(ctx context.Context, req *jsonrpc2.Request, code int64, message string) {
	if req.Notif {
		klog.V(2).InfoS("Peer notification not handled", "method", req.Method, "reason", message)
		return
	}
	err := l.rpc.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: code, Message: message})
	if err != nil {
		// The connection is broken, which the caller detects itself.
		klog.V(2).InfoS("Peer answer not sent", "method", req.Method, "err", err)
	}
}
