package peer_test

import (
	"context"
	"fmt"

	"github.com/marigoldlever/marigoldlever/peer"
)

func Example() {
	server := peer.NewNode(peer.Config{})
	server.Handle("status.host", func(ctx context.Context, r peer.Request) (any, error) {
		var name string
		if err := r.Decode(&name); err != nil {
			return nil, err
		}
		return name + " is up", nil
	})
	if err := server.Listen("127.0.0.1:0"); err != nil {
		fmt.Println(err)
		return
	}

	client := peer.NewNode(peer.Config{})
	var answer string
	if err := client.Call(context.Background(), server.Address(), "status.host", "bole-1", &answer); err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(answer)
	_ = client.Close(context.Background())
	_ = server.Close(context.Background())
	// Output: bole-1 is up
}
