package main

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a trial that runs with flags, faults or a data centre that differ from
// the intended ones because a mistake in the command line was accepted.
func TestUsageErrors(t *testing.T) {
	for name, args := range map[string][]string{
		"no mode":                       {},
		"two modes":                     {"-platform", "-upstreams", "-data-centre", "bole"},
		"unexpected argument":           {"-platform", "faults"},
		"unknown flag":                  {"-plattform"},
		"no data centre":                {"-upstreams"},
		"data centre of another layout": {"-upstreams", "-layout", "indus", "-data-centre", "bole"},
		"unknown layout":                {"-print-configuration", "-layout", "elsewhere"},
		"invalid base address":          {"-print-configuration", "-base", "localhost"},
		"misspelt fault":                {"-platform", "-faults", `{"outrage":true}`},
		"negative work time":            {"-upstreams", "-data-centre", "bole", "-work-median", "-1s"},
	} {
		t.Run(name, func(t *testing.T) {
			o, err := parse(args)
			if err == nil {
				err = run(t.Context(), o)
			}
			if !errors.Is(err, errUsage) {
				t.Errorf("error %v, want a usage error", err)
			}
		})
	}
}

// Guards against a stand-in that does not stop when its context is cancelled, or that
// does not report that its port is in use.
func TestRunStopsAndReportsListenErrors(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if err := run(ctx, options{platform: true, listen: "127.0.0.1:0", faults: "{}"}); err != nil {
		t.Errorf("run returned %v after cancellation", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	o := options{platform: true, listen: l.Addr().String(), faults: "{}"}
	if err := run(t.Context(), o); err == nil || errors.Is(err, errUsage) {
		t.Errorf("port in use: error %v", err)
	}
}
