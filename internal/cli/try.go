package cli

import (
	"context"
	"flag"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/layout"
	"github.com/marigoldlever/marigoldlever/internal/load"
	"github.com/marigoldlever/marigoldlever/internal/trial"
	"github.com/marigoldlever/marigoldlever/once"
)

const (
	// startTimeout is the time allowed for the start of an embedded system.
	startTimeout = time.Minute
	// tryQueryCount is the number of queries whose answers try prints individually.
	tryQueryCount = 6
	// tryHosts is the number of daemons in each data centre.
	tryHosts = 2
)

func tryCommand() command {
	return command{name: "try", args: "", summary: "run the main job on an embedded system on loopback and print what came back",
		flags: func(fs *flag.FlagSet) func(context.Context, *environment, []string) error {
			name := fs.String("layout", "indus", "`layout` of services and data centres: indus or abay")
			seed := fs.Uint64("seed", 1, "`seed` of arrivals, work times and faults")
			rate := fs.Float64("rate", 40, "queries per `second` of the measured part")
			duration := fs.Duration("duration", 5*time.Second, "length of the measured part")
			return func(ctx context.Context, env *environment, args []string) error {
				if err := requireArgs(args); err != nil {
					return err
				}
				l, err := layout.Named(*name)
				if err != nil {
					return usageError("-layout %s: must be indus or abay", *name)
				}
				return runTry(ctx, env, l, load.Options{Rate: *rate, Duration: *duration, Seed: *seed, Request: []byte(`{"try":true}`)})
			}
		}}
}

// tryReport is the JSON output of the try command.
type tryReport struct {
	Layout  string              `json:"layout"`
	Answers []api.Answer        `json:"answers"`
	Filings []api.ExecuteAnswer `json:"filings"`
	Load    load.Result         `json:"load"`
}

func runTry(ctx context.Context, env *environment, l layout.Layout, o load.Options) error {
	cluster, err := startTrial(ctx, env, trial.Options{Layout: l, HostsPerDataCentre: tryHosts, Seed: o.Seed, WorkTime: layout.DefaultWork})
	if err != nil {
		return err
	}
	defer cluster.Close()
	report := tryReport{Layout: l.Name}
	if err := tryQueries(ctx, env, cluster, &report); err != nil {
		return err
	}
	if err := tryFilings(ctx, env, cluster, &report); err != nil {
		return err
	}
	o.Addresses = cluster.Addresses("")
	for _, c := range l.Contracts {
		o.Contracts = append(o.Contracts, c.Name)
	}
	report.Load = load.Run(ctx, o)
	if env.json {
		err = printJSON(env.out, report)
	} else {
		fmt.Fprintf(env.out, "\n%.0f queries/s for %s over all hosts and contracts:\n", o.Rate, o.Duration)
		err = load.WriteTable(env.out, []load.Row{{Name: "try", Result: report.Load}})
	}
	if err != nil {
		return err
	}
	if report.Load.Failed > 0 {
		return &exitError{ExitFailed, fmt.Sprintf("%d requests got no complete answer: %s", report.Load.Failed, report.Load.FirstFailure)}
	}
	return nil
}

// startTrial starts an embedded system and waits until it is ready. In text mode it
// first prints the size of the system.
func startTrial(ctx context.Context, env *environment, o trial.Options) (*trial.Cluster, error) {
	if !env.json {
		fmt.Fprintf(env.out, "starting %s: %d data centres, %d daemons, stand-in platform and upstreams\n",
			o.Layout.Name, len(o.Layout.DataCentres), len(o.Layout.DataCentres)*o.HostsPerDataCentre)
	}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	cluster, err := trial.Start(ctx, o)
	if err != nil {
		return nil, err
	}
	if err := cluster.AwaitReady(ctx); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

func tryQueries(ctx context.Context, env *environment, c *trial.Cluster, report *tryReport) error {
	addresses := c.Addresses("")
	for i := range tryQueryCount {
		name := c.Options.Layout.Contracts[i%len(c.Options.Layout.Contracts)].Name
		client := api.NewClient(addresses[i%len(addresses)], 1)
		answer, err := client.Query(ctx, api.QueryRequest{Contract: name, Request: []byte(`{"well":"W-17"}`)})
		client.Close()
		if err != nil {
			return err
		}
		report.Answers = append(report.Answers, answer)
		if !env.json {
			fmt.Fprintf(env.out, "query   %-14s snapshot %d  coverage %.6f  %5.1f ms  %d sub-requests\n",
				name, answer.Snapshot, answer.Coverage.Share, answer.ElapsedMS, answer.Sends.Primary)
		}
	}
	return nil
}

// tryFilings runs a non-idempotent request and sends it again through another host. The
// resend must return the result of the first run.
func tryFilings(ctx context.Context, env *environment, c *trial.Cluster, report *tryReport) error {
	contracts := c.Options.Layout.Contracts
	contract := contracts[len(contracts)-1]
	// In both layouts the first group of the last contract consists of one service,
	// which has the group's name.
	service := contract.Groups[0]
	key := once.NewKey(time.Now(), uuid.NewString())
	for submission, address := range c.Addresses("")[:2] {
		client := api.NewClient(address, 1)
		answer, err := client.Execute(ctx, api.ExecuteRequest{
			Contract: contract.Name, Service: service, Request: []byte(`{"permit":"P-4"}`), Key: key, SubmissionNumber: submission + 1,
		})
		client.Close()
		if err != nil {
			return err
		}
		report.Filings = append(report.Filings, answer)
		if !env.json {
			fmt.Fprintf(env.out, "execute %-14s %s  resent=%t  %5.1f ms  %s\n", contract.Name, answer.Run, answer.Resent, answer.ElapsedMS, answer.Result)
		}
	}
	if string(report.Filings[0].Result) != string(report.Filings[1].Result) {
		return &exitError{ExitFailed, "the resend of a key returned a result other than that of its first run"}
	}
	return nil
}
