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

// Node is one daemon's end of the connections to its peers. It is safe for
// concurrent use.
type Node struct {
	cfg    Config
	ctx    context.Context // ends when Close is done
	cancel context.CancelFunc
	count  counters

	mu       sync.Mutex
	closing  bool
	address  string
	listener net.Listener
	handlers map[string]Handler
	current  map[string]*link    // by peer address; used for new messages
	all      map[*link]struct{}  // every open link, with retired ones
	dialling map[string]*attempt // by peer address
	backoff  map[string]pause    // by peer address
	idle     chan struct{}       // closed when closing and nothing is active
}

// pause is the time during which a peer is not dialled after a failure.
type pause struct {
	until time.Time
	delay time.Duration
	cause error
}

// attempt is a dial in progress that several calls may wait for.
type attempt struct {
	done chan struct{}
	err  error
}

type counters struct {
	dials, dialFailures, calls, notifications, broken, dropped atomic.Int64
	sent, received                                             atomic.Int64
}

// Stats counts what a Node did since it was made.
type Stats struct {
	Links                    int
	Dials, DialFailures      int64
	Calls, Notifications     int64
	LostAnswers              int64 // calls whose answer was lost
	DroppedNotifications     int64 // incoming notifications beyond the limit
	SentBytes, ReceivedBytes int64 // framing included
	QueuedBytes, InProgress  int
}

// NewNode returns a node that can call. Register handlers before Listen.
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
		dialling: make(map[string]*attempt),
		backoff:  make(map[string]pause),
		idle:     make(chan struct{}),
	}
	go n.sweepLoop()
	return n
}

// Handle registers the handler of a method. A peer that calls a method without
// handler gets a RemoteError with CodeUnknownMethod.
func (n *Node) Handle(method string, h Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[method] = h
}

// Listen accepts connections of peers on a TCP address.
func (n *Node) Listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	return n.Serve(l)
}

// Serve accepts connections of peers on a listener, which the node closes.
func (n *Node) Serve(l net.Listener) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closing || n.listener != nil {
		_ = l.Close()
		return errors.New("peer node is closed or listens already")
	}
	n.listener = l
	if n.address == "" {
		n.address = l.Addr().String()
	}
	go n.acceptLoop(l)
	return nil
}

// Address returns the address that peers reach this node at.
func (n *Node) Address() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.address
}

// acceptPause keeps a listener that fails (no descriptors left) from spinning.
const acceptPause = 20 * time.Millisecond

func (n *Node) acceptLoop(l net.Listener) {
	for {
		conn, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			klog.ErrorS(err, "Accepting a peer connection failed")
			if !wait.For(n.ctx, acceptPause) {
				return
			}
			continue
		}
		tune(conn)
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
		LostAnswers:          n.count.broken.Load(),
		DroppedNotifications: n.count.dropped.Load(),
		SentBytes:            n.count.sent.Load(),
		ReceivedBytes:        n.count.received.Load(),
	}
	for l := range n.all {
		s.InProgress += l.active()
		s.QueuedBytes += l.stream.pending()
	}
	return s
}

// maxDialRounds bounds the dials of one message to a peer that accepts
// connections and closes them at once.
const maxDialRounds = 3

// acquire returns the link to a peer with its use counted; it dials if there is
// none. Its errors match ErrConnect.
func (n *Node) acquire(ctx context.Context, address string) (*link, error) {
	for range maxDialRounds {
		l, wait, err := n.acquireNow(address)
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

// acquireNow returns a link, or the dial to wait for.
func (n *Node) acquireNow(address string) (*link, *attempt, error) {
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
	a := &attempt{done: make(chan struct{})}
	n.dialling[address] = a
	go n.dial(address, a)
	return nil, a, nil
}

func (n *Node) dial(address string, a *attempt) {
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

// forget drops a closed link, so that the next message does not use it.
func (n *Node) forget(l *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.current[l.remote] == l {
		delete(n.current, l.remote)
	}
}

// delay lengthens the pause before the next dial. The caller holds n.mu.
func (n *Node) delay(address string, cause error) {
	d := min(max(2*n.backoff[address].delay, n.cfg.BackoffMin), n.cfg.BackoffMax)
	n.backoff[address] = pause{until: time.Now().Add(d), delay: d, cause: cause}
}

// forgetPauseAfter bounds the memory spent on peers that are gone.
const forgetPauseAfter = time.Minute

func (n *Node) sweepLoop() {
	for wait.For(n.ctx, n.cfg.IdleTimeout/4) {
		n.sweep(time.Now())
	}
}

func (n *Node) sweep(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for address, p := range n.backoff {
		if now.Sub(p.until) > forgetPauseAfter {
			delete(n.backoff, address)
		}
	}
	for l := range n.all {
		if !l.retired && l.active() == 0 && now.Sub(l.used) > n.cfg.IdleTimeout {
			n.retire(l)
		}
	}
}

// Close stops accepting, refuses new requests and waits until running handlers
// and calls have ended or the context ends; then it closes all connections.
// Handlers may still call peers while Close waits for them.
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
		n.checkIdle()
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

// byeWait bounds how long Close waits for the peers to stop using the
// connections. A request that crosses the close of its connection would count
// as possibly run, one that is refused or not sent would not.
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
			_ = l.rpc.Close()
		})
	}
	wait.Wait()
}

// checkIdle lets Close go on when nothing is active. The caller holds n.mu.
func (n *Node) checkIdle() {
	if !n.closing {
		return
	}
	for l := range n.all {
		if l.active() > 0 {
			return
		}
	}
	select {
	case <-n.idle:
	default:
		close(n.idle)
	}
}
