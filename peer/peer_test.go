package peer

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// waitLimit ends a test that hangs. No test relies on it to pass.
const waitLimit = 20 * time.Second

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	t.Cleanup(cancel)
	return ctx
}

func startNode(t *testing.T, cfg Config, handlers map[string]Handler) *Node {
	t.Helper()
	n := NewNode(cfg)
	for method, h := range handlers {
		n.Handle(method, h)
	}
	if err := n.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = n.Close(ctx)
	})
	return n
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(waitLimit); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not reached: " + what)
		}
	}
}

func echo(_ context.Context, r Request) (any, error) {
	var s string
	err := r.Decode(&s)
	return s, err
}

// Guards against opening a second connection for calls in the other direction, and against
// losing trace context, deadline or sender of a call.
func TestBothSidesCallOnOneConnection(t *testing.T) {
	ctx := testContext(t)
	a := startNode(t, Config{}, map[string]Handler{"echo": echo})
	b := startNode(t, Config{}, map[string]Handler{"who": func(ctx context.Context, r Request) (any, error) {
		_, ok := ctx.Deadline()
		if !ok {
			return nil, errors.New("no deadline")
		}
		return []string{r.From, Traceparent(ctx)}, nil
	}})
	var got []string
	if err := a.Call(WithTraceparent(ctx, "00-ab-cd-01"), b.Address(), "who", nil, &got); err != nil {
		t.Fatal(err)
	}
	if got[0] != a.Address() || got[1] != "00-ab-cd-01" {
		t.Errorf("handler received sender and trace context %v", got)
	}
	var s string
	if err := b.Call(ctx, a.Address(), "echo", "back", &s); err != nil || s != "back" {
		t.Fatalf("echo returned %q with error %v, want back", s, err)
	}
	if n := a.Stats().Links + b.Stats().Links; n != 2 {
		t.Errorf("both nodes have %d links in total, want 2: one connection", n)
	}
}

// Guards against two nodes keeping two connections, or closing both, after they dial each
// other at the same time.
func TestSimultaneousDialsEndInOneLink(t *testing.T) {
	ctx := testContext(t)
	for range 20 {
		a := startNode(t, Config{}, map[string]Handler{"echo": echo})
		b := startNode(t, Config{}, map[string]Handler{"echo": echo})
		var wait sync.WaitGroup
		for _, p := range [][2]*Node{{a, b}, {b, a}, {a, b}, {b, a}} {
			wait.Go(func() {
				if err := p[0].Call(ctx, p[1].Address(), "echo", "x", nil); err != nil {
					t.Error(err)
				}
			})
		}
		wait.Wait()
		eventually(t, "one link", func() bool { return a.Stats().Links == 1 && b.Stats().Links == 1 })
		if err := a.Call(ctx, b.Address(), "echo", "x", nil); err != nil {
			t.Error(err)
		}
	}
}

// Guards against reporting a failed dial as a lost answer, and against dialling an
// unreachable peer for every message.
func TestConnectErrorAndBackoff(t *testing.T) {
	ctx := testContext(t)
	n := startNode(t, Config{BackoffMin: time.Hour, BackoffMax: time.Hour}, nil)
	gone := startNode(t, Config{}, nil)
	_ = gone.Close(ctx)
	for range 3 {
		err := n.Call(ctx, gone.Address(), "echo", "x", nil)
		if !errors.Is(err, ErrConnect) || errors.Is(err, ErrAnswerLost) {
			t.Errorf("error %v, want ErrConnect", err)
		}
	}
	if d := n.Stats().Dials; d != 1 {
		t.Errorf("%d dials, want 1", d)
	}
}

// Guards against reporting a request as not sent if the connection breaks while its handler
// is running, and against handlers that outlive their connection.
func TestBrokenConnectionLosesAnswer(t *testing.T) {
	ctx := testContext(t)
	started, ended := make(chan struct{}), make(chan struct{})
	b := startNode(t, Config{}, map[string]Handler{"hang": func(ctx context.Context, r Request) (any, error) {
		close(started)
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}, "echo": echo})
	var dialled atomic.Pointer[net.Conn]
	a := startNode(t, Config{Dial: func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dialTCP(ctx, address)
		dialled.Store(&c)
		return c, err
	}}, nil)
	go func() {
		<-started
		_ = (*dialled.Load()).Close()
	}()
	err := a.Call(ctx, b.Address(), "hang", "x", nil)
	if !errors.Is(err, ErrAnswerLost) || errors.Is(err, ErrConnect) {
		t.Errorf("error %v, want ErrAnswerLost", err)
	}
	<-ended
	if err := a.Call(ctx, b.Address(), "echo", "x", nil); err != nil {
		t.Errorf("after reconnect: %v", err)
	}
}

// Guards against a deadline that ends the call at the caller but not the handler.
func TestDeadlineReachesHandler(t *testing.T) {
	ended := make(chan struct{})
	b := startNode(t, Config{}, map[string]Handler{"hang": func(ctx context.Context, r Request) (any, error) {
		<-ctx.Done()
		close(ended)
		return nil, ctx.Err()
	}})
	a := startNode(t, Config{}, nil)
	err := ErrConnect
	for errors.Is(err, ErrConnect) { // on a busy machine the deadline may pass before the send
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		err = a.Call(ctx, b.Address(), "hang", "x", nil)
		cancel()
	}
	var remote *RemoteError
	if !errors.Is(err, ErrAnswerLost) && !errors.As(err, &remote) {
		t.Errorf("error %v, want ErrAnswerLost or a RemoteError", err)
	}
	<-ended
}

// Guards against Close ending a running handler or losing its answer, and against requests
// that start during Close.
func TestCloseLetsHandlersFinish(t *testing.T) {
	ctx := testContext(t)
	started, finish := make(chan struct{}), make(chan struct{})
	b := startNode(t, Config{}, map[string]Handler{"echo": echo, "slow": func(ctx context.Context, r Request) (any, error) {
		close(started)
		<-finish
		return strings.Repeat("y", 100_000), ctx.Err()
	}})
	a := startNode(t, Config{}, nil)
	answer := make(chan error, 1)
	var got string
	go func() { answer <- a.Call(ctx, b.Address(), "slow", "x", &got) }()
	<-started
	closed := make(chan error, 1)
	go func() { closed <- b.Close(ctx) }()
	eventually(t, "refusal", func() bool {
		err := a.Call(ctx, b.Address(), "echo", "x", nil)
		return errors.Is(err, ErrConnect) || errors.Is(err, ErrRefused)
	})
	close(finish)
	if err := <-answer; err != nil || len(got) != 100_000 {
		t.Errorf("answer has %d bytes with error %v, want 100,000 bytes", len(got), err)
	}
	if err := <-closed; err != nil {
		t.Errorf("Close returned error %v", err)
	}
}

// Guards against unlimited messages and handlers, and against reporting a request that a
// limit refused as possibly run.
func TestLimitsRefuseMessages(t *testing.T) {
	ctx := testContext(t)
	started, finish := make(chan struct{}), make(chan struct{})
	b := startNode(t, Config{MaxHandlers: 1}, map[string]Handler{"echo": echo,
		"big": func(context.Context, Request) (any, error) { return strings.Repeat("x", 3<<20), nil },
		"slow": func(context.Context, Request) (any, error) {
			close(started)
			<-finish
			return nil, &RemoteError{Code: 77, Message: "own"}
		}})
	a := startNode(t, Config{}, nil)
	if err := a.Call(ctx, b.Address(), "echo", strings.Repeat("x", 3<<20), nil); !errors.Is(err, ErrTooLarge) {
		t.Errorf("request above the size limit: %v, want ErrTooLarge", err)
	}
	var remote *RemoteError
	if err := a.Call(ctx, b.Address(), "big", nil, nil); !errors.As(err, &remote) || remote.Code != CodeTooLarge {
		t.Errorf("result above the size limit: %v, want a RemoteError with CodeTooLarge", err)
	}
	answer := make(chan error, 1)
	go func() { answer <- a.Call(ctx, b.Address(), "slow", "x", nil) }()
	select {
	case <-started:
	case err := <-answer:
		t.Fatalf("request after the answer to the last one: %v, want a free slot", err)
	}
	if err := a.Call(ctx, b.Address(), "echo", "x", nil); !errors.Is(err, ErrRefused) {
		t.Errorf("request while all handler slots are taken: %v, want ErrRefused", err)
	}
	close(finish)
	if err := <-answer; !errors.As(err, &remote) || remote.Code != 77 {
		t.Errorf("error of the handler: %v, want its RemoteError with code 77", err)
	}
	if err := a.Call(ctx, b.Address(), "none", "x", nil); !errors.As(err, &remote) || remote.Code != CodeUnknownMethod {
		t.Errorf("unknown method: %v, want a RemoteError with CodeUnknownMethod", err)
	}
	if err := a.Call(ctx, b.Address(), "echo", "x", nil); err != nil {
		t.Errorf("request after the answer to the last one: %v, want a free slot", err)
	}
	large := strings.Repeat("x", 1<<20)
	var got string
	if err := a.Call(ctx, b.Address(), "echo", large, &got); err != nil || got != large {
		t.Errorf("echo of 1 MB has %d bytes with error %v", len(got), err)
	}
}

// Guards against a call that is refused although the answer to the only one before it has
// arrived: the slot must be free before the answer is sent.
func TestSlotIsFreeBeforeTheAnswer(t *testing.T) {
	ctx := testContext(t)
	b := startNode(t, Config{MaxHandlers: 1}, map[string]Handler{"echo": echo})
	a := startNode(t, Config{}, nil)
	for i := range 2000 {
		if err := a.Call(ctx, b.Address(), "echo", "x", nil); err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
	}
}

// Guards against Close that waits for a peer which does not read, such as a frozen one.
func TestCloseDoesNotWaitForFrozenPeer(t *testing.T) {
	frozen, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections in the kernel only
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { frozen.Close() })
	a := startNode(t, Config{}, nil)
	large := make([]byte, 1<<20) // random, as messages are compressed
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range large {
		large[i] = byte(rng.Uint32())
	}
	for a.Stats().QueuedBytes < len(large) { // more than the socket buffers hold
		if err := a.Notify(testContext(t), frozen.Addr().String(), "any", large); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond) // until the buffers are full
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	began := time.Now()
	_ = a.Close(ctx) // whether messages were cut off is not what is tested
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("Close took %v, want the time of its context and %v", took, FlushTime)
	}
}

// Guards against peers that do not read and together take the memory of the host, and against
// memory that stays taken after their connections have ended.
func TestQueuesShareMemory(t *testing.T) {
	const total, peers, messages = 2 << 20, 4, 32
	a := startNode(t, Config{MaxTotalBytes: total, WriteTimeout: 2 * time.Second}, nil)
	large := make([]byte, 512<<10)
	rng := rand.New(rand.NewPCG(1, 1)) // random, as messages are compressed
	for i := range large {
		large[i] = byte(rng.Uint32())
	}
	refused := 0
	for range peers {
		frozen, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { frozen.Close() })
		for range messages {
			if err := a.Notify(testContext(t), frozen.Addr().String(), "any", large); errors.Is(err, ErrRefused) {
				refused++
				break
			}
			if queued := a.Stats().QueuedBytes; queued > total {
				t.Fatalf("%d bytes are queued", queued)
			}
		}
	}
	if refused == 0 {
		t.Error("no message was refused")
	}
	eventually(t, "memory given back", func() bool {
		if !a.cfg.total.Reserve(total) {
			return false
		}
		a.cfg.total.Release(total)
		return true
	})
}

// Guards against JSON that changes on its way: encoding/json escapes some characters by
// default.
func TestJSONArrivesAsSent(t *testing.T) {
	ctx := testContext(t)
	b := startNode(t, Config{}, map[string]Handler{"content": func(_ context.Context, r Request) (any, error) {
		var body json.RawMessage
		err := r.Decode(&body)
		return string(body), err
	}})
	a := startNode(t, Config{}, nil)
	const text = "{\"q\":\"<a&b> \u2028 caf\u00e9\"}"
	var got string
	if err := a.Call(ctx, b.Address(), "content", json.RawMessage(text), &got); err != nil || got != text {
		t.Errorf("%s arrives as %s, %v", text, got, err)
	}
}

// Guards against a large message that delays small ones or other large ones. The test
// counts the bytes that are received before each message is complete.
func TestSmallMessagesOvertakeLargeOnes(t *testing.T) {
	near, far := net.Pipe()
	var sent, received atomic.Int64
	cfg := Config{}.withDefaults()
	w := newStream(near, cfg, &sent, &received)
	r := newStream(far, cfg, &sent, &received)
	messages := map[byte]int{'L': 1 << 20, 'M': 64 << 10, 's': 100}
	for _, kind := range []byte("LMs") {
		if err := w.WriteObject(strings.Repeat(string(kind), messages[kind])); err != nil {
			t.Fatal(err)
		}
	}
	var order []byte
	before := map[byte]int64{}
	for range messages {
		var s string
		if err := r.ReadObject(&s); err != nil {
			t.Fatal(err)
		}
		order = append(order, s[0])
		before[s[0]] = received.Load()
	}
	if string(order) != "sML" {
		t.Errorf("messages arrived in the order %s, want sML", order)
	}
	if before['M'] > 3*64<<10 {
		t.Errorf("64 KB message complete after %d bytes, want at most three times its size", before['M'])
	}
	_ = w.Close()
	_ = r.Close()
}

// Guards against a reader that does not check the lengths and counts that a peer sends.
func TestInvalidFrames(t *testing.T) {
	huge := []byte{flagLast, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff}
	var parts []byte
	for i := range byte(maxInterleaved + 1) {
		parts = append(parts, 0, 0, 0, 0, i, 0, 0, 0, 1, '1')
	}
	for name, data := range map[string][]byte{"length": huge, "parts": parts} {
		near, far := net.Pipe()
		var count atomic.Int64
		r := newStream(far, Config{}.withDefaults(), &count, &count)
		go func() { _, _ = near.Write(data) }()
		var v json.RawMessage
		if err := r.ReadObject(&v); !errors.Is(err, errFrame) {
			t.Errorf("%s: error %v, want errFrame", name, err)
		}
		_ = r.Close()
		_ = near.Close()
	}
	bomb, err := compress(make([]byte, 1<<20))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decompress(bomb, 1000); !errors.Is(err, ErrTooLarge) {
		t.Errorf("decompression bomb: %v, want ErrTooLarge", err)
	}
}

// Guards against connections that are never closed when idle, and against calls that are
// lost because their connection is closed as idle at the same time.
func TestIdleLinksClose(t *testing.T) {
	ctx := testContext(t)
	cfg := Config{IdleTimeout: 20 * time.Millisecond}
	a := startNode(t, cfg, nil)
	b := startNode(t, cfg, map[string]Handler{"echo": echo})
	for i := range 30 {
		if err := a.Call(ctx, b.Address(), "echo", "x", nil); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(i) * time.Millisecond) // both below and above IdleTimeout
	}
	eventually(t, "no links", func() bool { return a.Stats().Links+b.Stats().Links == 0 })
	if s := a.Stats(); s.LostAnswers > 0 || s.Dials < 2 {
		t.Errorf("%d answers lost, want 0; %d dials, want at least 2", s.LostAnswers, s.Dials)
	}
}
