// Command marigoldlever is the command-line tool for callers and operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/marigoldlever/marigoldlever/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
