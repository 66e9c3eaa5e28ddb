package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/marigoldlever/marigoldlever/upstream/exchange"
)

// anyText draws a text of any bytes.
func anyText(t *rapid.T, label string) string {
	return string(rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, label))
}

// overWire encodes and decodes a message like a call between hosts.
func overWire(t *rapid.T, message, into any) {
	data, err := json.Marshal(message)
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against bytes of a request or an answer that change between hosts, such as those
// of a target that are not UTF-8.
func TestBytesArriveAsSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		request := exchange.Request{
			ID: anyText(t, "id"), Method: anyText(t, "method"), Target: anyText(t, "target"), Host: anyText(t, "host"),
			Header: http.Header{}, Body: []byte(anyText(t, "body")),
		}
		for range rapid.IntRange(0, 4).Draw(t, "fields") {
			name := anyText(t, "name")
			request.Header[name] = append(request.Header[name], anyText(t, "value"))
		}
		var got gatherRequest
		overWire(t, gatherRequest{Request: newWireRequest(&request)}, &got)
		arrived := got.Request.request()
		if !bytes.Equal(arrived.Body, request.Body) {
			t.Fatalf("body %q arrives as %q", request.Body, arrived.Body)
		}
		arrived.Body = request.Body // nil and empty bodies are the same
		if !reflect.DeepEqual(arrived, request) {
			t.Fatalf("%+v arrives as %+v", request, arrived)
		}
		signatures := []string{anyText(t, "signature"), anyText(t, "signature")}
		body := []byte(anyText(t, "merged body"))
		var reply gatherReply
		overWire(t, gatherReply{Body: body, Signatures: bytesOf(signatures)}, &reply)
		if !bytes.Equal(reply.Body, body) || !reflect.DeepEqual(stringsOf(reply.Signatures), signatures) {
			t.Fatalf("%q, signed %q, arrives as %q, signed %q", body, signatures, reply.Body, stringsOf(reply.Signatures))
		}
		id := []byte(anyText(t, "left id"))
		var left []byte
		if overWire(t, id, &left); !bytes.Equal(id, left) {
			t.Fatalf("the id %q of a caller that left arrives as %q", id, left)
		}
	})
}
