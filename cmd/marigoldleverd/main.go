// Command marigoldleverd is the daemon that runs on entry hosts.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"syscall"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/daemon"
	"github.com/marigoldlever/marigoldlever/internal/membudget"
	"github.com/marigoldlever/marigoldlever/internal/settings"
	"github.com/marigoldlever/marigoldlever/internal/signals"
	"github.com/marigoldlever/marigoldlever/internal/tracing"
)

// Exit codes of the daemon.
const (
	exitOK       = 0 // success, or a planned stop that cut off no request
	exitFailed   = 1 // the daemon could not run
	exitSettings = 2 // the command line or the settings are wrong
	exitCutOff   = 3 // planned stop that cut off requests
)

func main() {
	os.Exit(run())
}

func run() int {
	klog.InitFlags(nil)
	file := flag.String("settings", "", "settings `file` in INI format (required)")
	check := flag.Bool("check", false, "check the settings, print every problem and exit")
	keys := flag.Bool("keys", false, "print every accepted key with its default and exit")
	runEntryOnPlatform := flag.Bool("entry", false, "run an entry on the users' platform, with the settings that it provides")
	flag.Parse()
	defer klog.Flush()
	if *keys {
		printKeys()
		return exitOK
	}
	if *runEntryOnPlatform && *file == "" && flag.NArg() == 0 {
		return serveEntry(*check)
	}
	if *file == "" || flag.NArg() > 0 {
		fmt.Fprintln(os.Stderr, "marigoldleverd: -settings FILE is required, and there are no arguments")
		flag.Usage()
		return exitSettings
	}
	s, err := settings.Load(*file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if *check {
		fmt.Printf("%s: no problems\n", *file)
		return exitOK
	}
	return serve(s)
}

func serve(s settings.Settings) int {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go awaitStop(stop)
	stopTracing, err := tracing.Start(ctx, tracing.Config{
		File: s.Trace.File, OTLPAddress: s.Trace.OTLPAddress, Sample: s.Trace.Sample, Host: s.Host.ID, DataCentre: s.Host.DataCentre,
	})
	if err != nil {
		klog.ErrorS(err, "Cannot start tracing")
		return exitFailed
	}
	debug.SetMemoryLimit(membudget.Host(s.Limits.MemoryMB).CollectorLimit())
	d, err := daemon.New(s)
	if err != nil {
		klog.ErrorS(err, "Cannot start the daemon")
		return exitFailed
	}
	cutOff, err := d.Run(ctx)
	if err := stopTracing(context.Background()); err != nil {
		klog.V(1).InfoS("Cannot stop tracing; trace spans may be lost", "err", err)
	}
	switch {
	case err != nil:
		klog.ErrorS(err, "Cannot run the daemon")
		return exitFailed
	case cutOff > 0:
		fmt.Printf("stopped, %d requests cut off\n", cutOff)
		return exitCutOff
	default:
		fmt.Println("stopped, 0 requests cut off")
		return exitOK
	}
}

// awaitStop calls stop at the first signal that ends the daemon.
func awaitStop(stop func()) {
	for s := range signals.Caught() {
		if s != syscall.SIGHUP {
			stop()
			return
		}
		klog.InfoS("SIGHUP has no effect: settings are read at the start only")
	}
}

func printKeys() {
	for _, k := range settings.Keys() {
		requirement := "default " + k.Default
		if k.Required {
			requirement = "required"
		}
		fmt.Printf("[%s] %s: %s (%s)\n", k.Section, k.Name, k.Accepted, requirement)
	}
}
