package upstreamhttp_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
	"github.com/marigoldlever/marigoldlever/upstream/upstreamhttp"
)

func Example() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
		fmt.Fprint(w, `{"code":"shed","attempt":"q1.3","load":{"in_flight":2,"slots":2}}`)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	client := upstreamhttp.New(upstreamhttp.Config{})
	defer client.Close()
	client.SetConnections(address, 25)
	reply, err := client.Do(context.Background(), address, upstream.Request{
		Attempt: "q1.3", Service: "gate-desk-01", Kind: upstream.Read, Deadline: time.Second,
	})
	fmt.Println(errors.Is(err, upstream.ErrShed), upstream.NotRun(err), reply.Load.InFlight)
	// Output: true true 2
}
