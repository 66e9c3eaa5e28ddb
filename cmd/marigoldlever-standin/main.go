// Command marigoldlever-standin runs a stand-in as a separate process for trials:
// either the platform or the upstreams of one data centre of a layout.
//
//	marigoldlever-standin -platform -listen 127.0.0.1:7400
//	marigoldlever-standin -upstreams -layout indus -data-centre lahore-a -listen 127.0.0.1:7501
//	marigoldlever-standin -print-configuration -layout indus
//
// Each upstream listens on its own port. Ports are assigned in sequence from -base
// over the whole layout. The address in -listen serves the admin API of the
// upstreams. The printed configuration document contains the same addresses.
package main

import (
	"context"
	"encoding/json"
	"flag"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/internal/layout"
	"github.com/marigoldlever/marigoldlever/internal/standin/platformstandin"
	"github.com/marigoldlever/marigoldlever/internal/standin/upstreamstandin"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// headerTimeout is the time within which a connection must send its headers.
const headerTimeout = 10 * time.Second

var errUsage = errors.New("usage")

type options struct {
	platform, upstreams, printConfiguration bool
	listen, layout, dataCentre              string
	base, faults                            string
	seed                                    uint64
	work                                    upstreamstandin.WorkTime
	cold                                    bool
}

func parse(args []string) (options, error) {
	var o options
	flags := flag.NewFlagSet("marigoldlever-standin", flag.ContinueOnError)
	flags.BoolVar(&o.platform, "platform", false, "run the platform")
	flags.BoolVar(&o.upstreams, "upstreams", false, "run the upstreams of one data centre")
	flags.BoolVar(&o.printConfiguration, "print-configuration", false, "print the configuration document of the layout and exit")
	flags.StringVar(&o.listen, "listen", "127.0.0.1:0", "address of the platform, or of the control of the upstreams")
	flags.StringVar(&o.layout, "layout", "indus", "layout: indus or abay")
	flags.StringVar(&o.dataCentre, "data-centre", "", "data centre whose upstreams to run")
	flags.StringVar(&o.base, "base", "127.0.0.1:20000", "address of the first upstream of the layout; the others follow")
	flags.StringVar(&o.faults, "faults", "{}", "faults at the start, as JSON for PUT /admin/faults (upstreams: of every replica)")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of work times and faults")
	flags.DurationVar(&o.work.Median, "work-median", layout.DefaultWork.Median, "median work time of a request")
	flags.Float64Var(&o.work.Sigma, "work-sigma", layout.DefaultWork.Sigma, "standard deviation of the logarithm of the work time")
	flags.BoolVar(&o.cold, "cold", false, "start the upstreams cold")
	if err := flags.Parse(args); err != nil {
		return o, errors.Mark(err, errUsage)
	}
	return o, o.validate(flags.NArg())
}

func (o options) validate(extraArgs int) error {
	modes := 0
	for _, on := range []bool{o.platform, o.upstreams, o.printConfiguration} {
		if on {
			modes++
		}
	}
	if modes != 1 || extraArgs > 0 {
		return errors.Wrap(errUsage, "exactly one of -platform, -upstreams and -print-configuration is required, without further arguments")
	}
	if o.upstreams && o.dataCentre == "" {
		return errors.Wrap(errUsage, "-upstreams requires -data-centre")
	}
	if o.work.Median < 0 || o.work.Sigma < 0 {
		return errors.Wrap(errUsage, "work times must not be negative")
	}
	return nil
}

func main() {
	klog.LogToStderr(true)
	defer klog.Flush()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	o, err := parse(os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err == nil {
		err = run(ctx, o)
	}
	if err == nil {
		return
	}
	klog.ErrorS(err, "Stand-in failed")
	klog.Flush()
	if errors.Is(err, errUsage) {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}

func run(ctx context.Context, o options) error {
	if o.platform {
		return runPlatform(ctx, o)
	}
	l, err := layout.Named(o.layout)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	base, err := netip.ParseAddrPort(o.base)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	if o.printConfiguration {
		encoder := json.NewEncoder(os.Stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(l.Document(base))
	}
	return runUpstreams(ctx, o, l, base)
}

func runPlatform(ctx context.Context, o options) error {
	var faults platformstandin.Faults
	if err := decodeFaults(o.faults, &faults); err != nil {
		return err
	}
	server := &http.Server{Handler: platformstandin.New(o.seed, faults).Handler()}
	return serve(ctx, server, o.listen, "platform")
}

func runUpstreams(ctx context.Context, o options, l layout.Layout, base netip.AddrPort) error {
	cfg, err := l.StandIn(o.dataCentre, base, o.work)
	if err != nil {
		return errors.Mark(err, errUsage)
	}
	cfg.Seed = o.seed
	for i := range cfg.Replicas {
		cfg.Replicas[i].StartCold = o.cold
	}
	d, err := upstreamstandin.New(cfg)
	if err != nil {
		return err
	}
	var faults upstreamstandin.Faults
	if err := decodeFaults(o.faults, &faults); err != nil {
		return err
	}
	if err := d.SetFaults("*", faults); err != nil {
		return err
	}
	if _, err := d.ListenEach(base.Addr().String()); err != nil {
		return err
	}
	defer d.Close()
	return serve(ctx, d.Server(), o.listen, o.dataCentre)
}

// decodeFaults rejects unknown fields, because with a misspelt field a trial would run
// without the intended fault and pass.
func decodeFaults(text string, target any) error {
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return errors.Mark(errors.Wrap(err, "-faults"), errUsage)
	}
	return nil
}

// serve runs the server until ctx ends.
func serve(ctx context.Context, server *http.Server, address, name string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	klog.InfoS("Stand-in is listening", "name", name, "address", listener.Addr().String())
	server.ReadHeaderTimeout = headerTimeout
	context.AfterFunc(ctx, func() { server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
