package cli

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/layout"
	"github.com/marigoldlever/marigoldlever/internal/load"
	"github.com/marigoldlever/marigoldlever/internal/settings"
	"github.com/marigoldlever/marigoldlever/internal/trial"
)

// loadFlags are the flags of the load command.
type loadFlags struct {
	layout, scenario, policies, addresses, contracts, html string
	rate                                                   float64
	duration, warmup                                       time.Duration
	seed                                                   uint64
	hosts                                                  int
}

// policies are the routing policies that load can run one after the other, so that
// results can be compared with a baseline from the same invocation.
var policies = map[string]settings.Policy{
	"default":     {Choice: "two-choices", Hedge: "quantile", HedgeDelay: 20 * time.Millisecond, HedgeQuantile: 0.975, ExtraLoad: 0.03},
	"random":      {Choice: "random", Hedge: "off", HedgeDelay: 20 * time.Millisecond, HedgeQuantile: 0.975, ExtraLoad: 0.03},
	"fixed":       {Choice: "random", Hedge: "fixed", HedgeDelay: 20 * time.Millisecond, HedgeQuantile: 0.975, ExtraLoad: 0.03},
	"round-robin": {Choice: "round-robin", Hedge: "off", HedgeDelay: 20 * time.Millisecond, HedgeQuantile: 0.975, ExtraLoad: 0.03},
	"no-hedge":    {Choice: "two-choices", Hedge: "off", HedgeDelay: 20 * time.Millisecond, HedgeQuantile: 0.975, ExtraLoad: 0.03},
}

func loadCommand() command {
	return command{name: "load", args: "", summary: "send an open-loop load to an embedded system or to running daemons",
		flags: func(fs *flag.FlagSet) func(context.Context, *environment, []string) error {
			var f loadFlags
			fs.StringVar(&f.layout, "layout", "indus", "`layout` of the embedded system: indus or abay")
			fs.StringVar(&f.scenario, "scenario", "steady", "`scenario`: "+scenarioNames())
			fs.StringVar(&f.policies, "policy", "default", "`policies` to run one after the other, separated by commas: default, random, fixed, round-robin, no-hedge")
			fs.StringVar(&f.addresses, "addresses", "", "caller `addresses` of running daemons, separated by commas (default: an embedded system)")
			fs.StringVar(&f.contracts, "contracts", "", "`contracts` of the queries, separated by commas (default: the layout's first)")
			fs.StringVar(&f.html, "html", "", "write a report with charts to this `file`")
			fs.Float64Var(&f.rate, "rate", 100, "queries per `second`")
			fs.DurationVar(&f.duration, "duration", 15*time.Second, "length of the measured part")
			fs.DurationVar(&f.warmup, "warmup", 4*time.Second, "load before the measured part and the scenario's events")
			fs.Uint64Var(&f.seed, "seed", 1, "`seed` of arrivals, work times and faults")
			fs.IntVar(&f.hosts, "hosts", 2, "daemons in each data centre of the embedded system")
			return func(ctx context.Context, env *environment, args []string) error {
				if err := requireArgs(args); err != nil {
					return err
				}
				return runLoad(ctx, env, f)
			}
		}}
}

func scenarioNames() string {
	var names []string
	for _, s := range trial.Scenarios() {
		names = append(names, s.Name)
	}
	return strings.Join(names, ", ")
}

func runLoad(ctx context.Context, env *environment, f loadFlags) error {
	l, err := layout.Named(f.layout)
	if err != nil {
		return usageError("-layout %s: must be indus or abay", f.layout)
	}
	scenario, err := trial.ScenarioByName(f.scenario)
	if err != nil {
		return usageError("-scenario %s: must be one of %s", f.scenario, scenarioNames())
	}
	if f.rate <= 0 || f.duration <= 0 || f.warmup < 0 || f.hosts < 1 {
		return usageError("-rate, -duration and -hosts must be positive, and -warmup must not be negative")
	}
	var rows []load.Row
	for name := range strings.SplitSeq(f.policies, ",") {
		policy, ok := policies[name]
		if !ok {
			return usageError("-policy %s: must be default, random, fixed, round-robin or no-hedge", name)
		}
		row, err := runPolicy(ctx, env, f, l, scenario, name, policy)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	return reportLoad(env, f, rows)
}

func runPolicy(ctx context.Context, env *environment, f loadFlags, l layout.Layout, s trial.Scenario, name string, policy settings.Policy) (load.Row, error) {
	o := load.Options{Contracts: []string{l.Contracts[0].Name}, Request: []byte(`{"load":true}`), Rate: f.rate, Warmup: f.warmup, Duration: f.duration, Seed: f.seed}
	if f.contracts != "" {
		o.Contracts = strings.Split(f.contracts, ",")
	}
	if !env.json {
		fmt.Fprintf(env.errOut, "%s, scenario %s, policy %s\n", l.Name, s.Name, name)
		o.Progress = func(b load.Bucket) {
			fmt.Fprintf(env.errOut, "  %3d s: %d answers, %d complete, %d refused, %d failed, p50 %.1f ms, p99 %.1f ms\n",
				b.Second, b.Answers, b.Complete, b.Refused, b.Failed, b.P50MS, b.P99MS)
		}
	}
	if f.addresses != "" {
		o.Addresses = strings.Split(f.addresses, ",")
		return load.Row{Name: name, Result: load.Run(ctx, o)}, nil
	}
	cluster, err := startTrial(ctx, env, trial.Options{
		Layout: l, HostsPerDataCentre: f.hosts, Seed: f.seed, WorkTime: layout.DefaultWork,
		Settings: func(s *settings.Settings) { s.Policy = policy },
	})
	if err != nil {
		return load.Row{}, err
	}
	defer cluster.Close()
	o.Addresses = cluster.Addresses("")
	return runLoadWithEvents(ctx, cluster, s.Events(f.duration), name, o)
}

// runLoadWithEvents runs the load and the scenario's events concurrently.
func runLoadWithEvents(ctx context.Context, cluster *trial.Cluster, events []trial.Event, name string, o load.Options) (load.Row, error) {
	eventsDone := make(chan error, 1)
	go func() {
		time.Sleep(o.Warmup)
		eventsDone <- cluster.RunEvents(ctx, events)
	}()
	row := load.Row{Name: name, Result: load.Run(ctx, o)}
	for _, e := range events {
		row.Events = append(row.Events, load.Event{At: e.At, Label: e.Label})
	}
	return row, <-eventsDone
}

func reportLoad(env *environment, f loadFlags, rows []load.Row) error {
	if f.html != "" {
		file, err := os.Create(f.html)
		if err != nil {
			return errors.Wrap(err, "write report")
		}
		if err := errors.CombineErrors(load.WriteHTML(file, rows), file.Close()); err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	if env.json {
		return printJSON(env.out, rows)
	}
	return load.WriteTable(env.out, rows)
}
