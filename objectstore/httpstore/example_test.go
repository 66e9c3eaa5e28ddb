package httpstore_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"github.com/marigoldlever/marigoldlever/objectstore/httpstore"
)

func Example() {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("ETag", "8")
	}))
	defer server.Close()
	client, err := httpstore.New(httpstore.Config{
		BaseURL:    server.URL,
		DataCentre: "bole",
		Reads:      httpstore.Rate{PerSecond: 20, Burst: 40},
		Writes:     httpstore.Rate{PerSecond: 5, Burst: 10},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer client.Close()
	object, err := client.Put(context.Background(), "configuration/current", 7, []byte("{}"))
	fmt.Println(object.Version, err)
	// Output: 8 <nil>
}
