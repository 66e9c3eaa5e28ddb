package entry

import (
	"testing"

	"github.com/rcrowley/go-metrics"

	"github.com/marigoldlever/marigoldlever/internal/membudget"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
)

// Guards against bodies of requests from other hosts that no budget counts, and against a body
// that counts no more while a cancelled send still refers to it.
func TestBodyCountsUntilItsLastSendEnds(t *testing.T) {
	const bodyBytes = 2 * membudget.SmallBytes
	m := memory{bodies: membudget.New(bodyBytes)}
	body := make([]byte, bodyBytes)
	e := &Entry{pool: exchange.NewPool(nil, nil, metrics.NewRegistry())}
	sender := newSender(e, "route", &exchange.Request{Body: body}, false, 1)
	sender.running = 2
	first, second := &outcome{sender: sender}, &outcome{}
	if !m.reserveBody(first, body) {
		t.Fatal("no room for the only body")
	}
	m.release(first)
	sender.endSend()
	if m.reserveBody(second, body) {
		t.Fatal("the body counts no more although a send is in progress")
	}
	sender.endSend()
	sender.running++ // a send that starts while its query ends
	sender.endSend()
	if !m.reserveBody(second, body) {
		t.Fatal("the body still counts after its last send")
	}
	if m.reserveBody(&outcome{}, body) {
		t.Fatal("the memory of the body was given back twice")
	}
	m.release(second)
	if !m.bodies.Has(bodyBytes) {
		t.Error("the body of a request that was not sent still counts")
	}
}
