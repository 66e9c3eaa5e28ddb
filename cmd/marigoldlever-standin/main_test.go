package main

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// Guards against a trial that runs with flags, faults or a data centre other
// than those that were meant.
func TestWrongUsage(t *testing.T) {
	for name, args := range map[string][]string{
		"no mode":             {},
		"two modes":           {"-platform", "-upstreams", "-data-centre", "bole"},
		"argument":            {"-platform", "faults"},
		"unknown flag":        {"-plattform"},
		"no data centre":      {"-upstreams"},
		"other's data centre": {"-upstreams", "-layout", "indus", "-data-centre", "bole"},
		"unknown layout":      {"-print-configuration", "-layout", "elsewhere"},
		"bad base":            {"-print-configuration", "-base", "localhost"},
		"misspelt fault":      {"-platform", "-faults", `{"outrage":true}`},
		"negative work":       {"-upstreams", "-data-centre", "bole", "-work-median", "-1s"},
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

// Guards against a stand-in that does not stop when it is told to, or that
// hides a port that is taken.
func TestRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(50*time.Millisecond, cancel)
	if err := run(ctx, options{platform: true, listen: "127.0.0.1:0", faults: "{}"}); err != nil {
		t.Errorf("stopped with %v", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	o := options{platform: true, listen: l.Addr().String(), faults: "{}"}
	if err := run(t.Context(), o); err == nil || errors.Is(err, errUsage) {
		t.Errorf("taken port: error %v", err)
	}
}
