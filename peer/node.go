package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/wait"
)

// Node holds the connections of a daemon to its peers. It is safe for concurrent use.
type Node struct {
	cfg    Config
	ctx    context.Context // ends at the end of Close
	cancel context.CancelFunc
	count  counters

	mu       sync.Mutex
	closing  bool
	address  string
	listener net.Listener
	handlers map[string]Handler
	current  map[string]*link        // by peer address; used for new messages
	all      map[*link]struct{}      // every open link, including retired ones
	dialling map[string]*dialAttempt // by peer address
	backoff  map[string]dialBackoff  // by peer address
	idle     chan struct{}           // closed when closing and nothing is in progress
}

// dialBackoff is the time for which a peer is not dialled after a failed dial.
type dialBackoff struct {
	until time.Time
	delay time.Duration
	cause error
}

// dialAttempt is a dial in progress, for which several calls may wait.
type dialAttempt struct {
	done chan struct{}
	err  error
}

type counters struct {
	dials, dialFailures, calls, notifications, lostAnswers, droppedNotifications atomic.Int64
	sent, received                                                               atomic.Int64
}

// Stats holds the counters of a Node since its creation and its present queues.
type Stats struct {
	Links                    int
	Dials, DialFailures      int64
	Calls, Notifications     int64
	LostAnswers              int64 // calls whose answer was lost
	DroppedNotifications     int64 // incoming notifications that no handler slot was free for
	SentBytes, ReceivedBytes int64 // including frame headers
	QueuedBytes, InProgress  int
}

// NewNode returns a node that can send calls. Register handlers before Listen.
func NewNode(cfg Config) *Node {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg:      cfg.withDefaults(),
		ctx:      ctx,
		cancel:   cancel,
		address:  cfg.Advertise,
		handlers: make(map[string]Handler),
		current:  make(map[string]*link),
		all:      make(map[*link]struct{}),
		dialling: make(map[string]*dialAttempt),
		backoff:  make(map[string]dialBackoff),
		idle:     make(chan struct{}),
	}
	go n.sweepLoop()
	return n
}

// Handle registers the handler of a method. A peer that calls a method without a handler
// receives a RemoteError with CodeUnknownMethod.
func (n *Node) Handle(method string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

// Listen accepts connections from peers on a TCP address.
func (n *Node) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	return n.Serve(l)
}

// Serve accepts connections from peers on a listener. The node closes the listener.
func (n *Node) Serve(l net.Listener) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing || n.listener != nil {
		_ = l.Close()
		return errors.New("peer node is closed or already listening")
	}
	n.listener = l
	if n.address == "" {
		n.address = l.Addr().String()
	}
	go n.acceptLoop(l)
	return nil
}

// Address returns the address at which peers reach this node.
func (n *Node) Address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.address
}

// acceptRetryDelay is the delay after a failed Accept, for example without free file
// descriptors, to prevent a busy loop.
const acceptRetryDelay = 20 * time.Millisecond

func (n *Node) acceptLoop(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.ErrorS(err, "Accepting a peer connection failed")
			if !wait.For(n.ctx, acceptRetryDelay) {
				return
			}
			continue
		}
		limitWriteBuffer(conn)
		if _, err := n.open(conn, "", false); err != nil {
			_ = conn.Close()
		}
	}
}

// Stats returns the counters.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := Stats{
		Links:                len(n.all),
		Dials:                n.count.dials.Load(),
		DialFailures:         n.count.dialFailures.Load(),
		Calls:                n.count.calls.Load(),
		Notifications:        n.count.notifications.Load(),
		LostAnswers:          n.count.lostAnswers.Load(),
		DroppedNotifications: n.count.droppedNotifications.Load(),
		SentBytes:            n.count.sent.Load(),
		ReceivedBytes:        n.count.received.Load(),
	}
	for l := range n.all {
		s.InProgress += l.inProgress()
		s.QueuedBytes += l.stream.pending()
	}
	return s
}

// maxDialRounds limits the dials for one message to a peer that accepts connections and
// closes them immediately.
const maxDialRounds = 3

// acquire returns the link to a peer, and dials if there is none. The use of the link is
// counted until release. Its errors match ErrConnect.
func (n *Node) acquire(ctx context.Context, address string) (*link, error) {
	for range maxDialRounds {
		l, wait, err := n.tryAcquire(address)
		if l != nil || err != nil {
			return l, err
		}
		select {
		case <-wait.done:
			if wait.err != nil {
				return nil, errors.Mark(errors.Wrapf(wait.err, "dial %s", address), ErrConnect)
			}
		case <-ctx.Done():
			return nil, errors.Mark(errors.Wrapf(ctx.Err(), "dial %s", address), ErrConnect)
		}
	}
	return nil, errors.Wrapf(ErrConnect, "%s closes new connections", address)
}

// tryAcquire returns a link, or the dial attempt to wait for.
func (n *Node) tryAcquire(address string) (*link, *dialAttempt, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if l := n.current[address]; l != nil {
		l.sending++
		return l, nil, nil
	}
	if n.ctx.Err() != nil {
		return nil, nil, errors.Wrap(ErrConnect, "node closed")
	}
	if a := n.dialling[address]; a != nil {
		return nil, a, nil
	}
	if p, ok := n.backoff[address]; ok && time.Now().Before(p.until) {
		return nil, nil, errors.Mark(errors.Wrapf(p.cause, "dial %s failed recently", address), ErrConnect)
	}
	a := &dialAttempt{done: make(chan struct{})}
	n.dialling[address] = a
	go n.dial(address, a)
	return nil, a, nil
}

func (n *Node) dial(address string, a *dialAttempt) {
	ctx, cancel := context.WithTimeout(n.ctx, n.cfg.DialTimeout)
	defer cancel()
	n.count.dials.Add(1)
	conn, err := n.cfg.Dial(ctx, address)
	if err == nil {
		if _, err = n.open(conn, address, true); err != nil {
			_ = conn.Close()
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if err == nil {
		delete(n.backoff, address)
	} else {
		n.count.dialFailures.Add(1)
		n.delay(address, err)
	}
	a.err = err
	delete(n.dialling, address)
	close(a.done)
}

// removeCurrent removes a closed link, so that the next message does not use it.
func (n *Node) removeCurrent(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current[l.peerAddress] == l {
		delete(n.current, l.peerAddress)
	}
}

// delay starts or doubles the back-off before the next dial. The caller holds n.mu.
func (n *Node) delay(address string, cause error) {
	d := min(max(2*n.backoff[address].delay, n.cfg.BackoffMin), n.cfg.BackoffMax)
	n.backoff[address] = dialBackoff{until: time.Now().Add(d), delay: d, cause: cause}
}

// forgetBackoffAfter is the time after which an expired back-off is dropped. It limits the
// memory that peers which are gone take up.
const forgetBackoffAfter = time.Minute

func (n *Node) sweepLoop() {
	for wait.For(n.ctx, n.cfg.IdleTimeout/4) {
		n.sweep(time.Now())
	}
}

// sweep drops old back-offs and retires idle links.
func (n *Node) sweep(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, p := range n.backoff {
		if now.Sub(p.until) > forgetBackoffAfter {
			delete(n.backoff, address)
		}
	}
	for l := range n.all {
		if !l.retired && l.inProgress() == 0 && now.Sub(l.lastUsed) > n.cfg.IdleTimeout {
			n.retire(l)
		}
	}
}

// Close stops accepting connections, refuses new requests and waits until the running
// handlers and calls have ended or the context ends. Then it closes all connections, and
// returns FlushTime after the end of the context at the latest, even if a peer does not
// read. Running handlers may call peers while Close waits for them.
func (n *Node) Close(ctx context.Context) error {
	n.mu.Lock()
	if !n.closing {
		n.closing = true
		if n.listener != nil {
			_ = n.listener.Close()
		}
		for l := range n.all {
			n.retire(l)
		}
		n.signalIdle()
	}
	n.mu.Unlock()
	var err error
	select {
	case <-n.idle:
		n.awaitByes(ctx)
	case <-ctx.Done():
		err = errors.Wrap(ctx.Err(), "peer requests cut off")
	}
	n.closeAll()
	n.cancel()
	return err
}

// FlushTime is how long Close may take to write the messages that are queued for peers.
const FlushTime = 100 * time.Millisecond

// byeWait limits the time for which Close waits for the peers to stop using the connections.
// A request that arrives while its connection is closed counts as possibly run, whereas one
// that is refused or not sent does not.
const byeWait = 500 * time.Millisecond

func (n *Node) awaitByes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, byeWait)
	defer cancel()
	for _, l := range n.links() {
		<-l.ready
		select {
		case <-l.rpc.DisconnectNotify():
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) links() []*link {
	n.mu.Lock()
	defer n.mu.Unlock()
	links := make([]*link, 0, len(n.all))
	for l := range n.all {
		links = append(links, l)
	}
	return links
}

func (n *Node) closeAll() {
	var wait sync.WaitGroup
	for _, l := range n.links() {
		wait.Go(func() {
			<-l.ready
			abort := time.AfterFunc(FlushTime, l.stream.abort)
			defer abort.Stop()
			_ = l.rpc.Close()
		})
	}
	wait.Wait()
}

// signalIdle lets Close continue if nothing is in progress. The caller holds n.mu.
func (n *Node) signalIdle() {
	if !n.closing {
		return
	}
	for l := range n.all {
		if l.inProgress() > 0 {
			return
		}
	}
	select {
	case <-n.idle:
	default:
		close(n.idle)
	}
}
