package cli

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/measure"
)

// measureTimeout is the time allowed for one run in addition to its measured part.
const measureTimeout = 3 * time.Minute

// measureFlags are the flags of the measure command. Lists are separated by commas.
// Every combination of the lists' values is run.
type measureFlags struct {
	centres, hosts, services, changes string
	replicas                          int
	warm                              bool
	duration                          time.Duration
	seed                              uint64
}

func measureCommand() command {
	return command{name: "measure", args: "", summary: "measure what a daemon costs in embedded systems of several sizes",
		flags: func(fs *flag.FlagSet) func(context.Context, *environment, []string) error {
			var f measureFlags
			fs.StringVar(&f.centres, "centres", "1", "`counts` of data centres, separated by commas")
			fs.StringVar(&f.hosts, "hosts", "2,10,40", "`counts` of daemons in each data centre, separated by commas")
			fs.StringVar(&f.services, "services", "20", "`counts` of services, separated by commas")
			fs.StringVar(&f.changes, "changes", "0", "`counts` of configuration changes a day, separated by commas")
			fs.IntVar(&f.replicas, "replicas", 2, "replicas of each service")
			fs.BoolVar(&f.warm, "warm", false, "send queries first, so that owners have limiters")
			fs.DurationVar(&f.duration, "duration", 10*time.Second, "length of the measured part of each run")
			fs.Uint64Var(&f.seed, "seed", 1, "`seed` of the stand-ins")
			return func(ctx context.Context, env *environment, args []string) error {
				if err := requireArgs(args); err != nil {
					return err
				}
				return runMeasure(ctx, env, f)
			}
		}}
}

func runMeasure(ctx context.Context, env *environment, f measureFlags) error {
	runs, err := f.runs()
	if err != nil {
		return err
	}
	var rows []measure.ControlPlaneResult
	for _, o := range runs {
		row, err := measureOnce(ctx, o)
		if err != nil {
			return errors.Wrapf(err, "%d data centres of %d hosts, %d services", o.Centres, o.Hosts, o.Services)
		}
		rows = append(rows, row)
		if !env.json {
			fmt.Fprintf(env.errOut, "done: %d x %d hosts, %d services, %.0f changes a day\n", o.Centres, o.Hosts, o.Services, o.Changes)
		}
	}
	if env.json {
		return printJSON(env.out, rows)
	}
	return measure.WriteTable(env.out, rows)
}

func measureOnce(ctx context.Context, o measure.ControlPlaneOptions) (measure.ControlPlaneResult, error) {
	ctx, cancel := context.WithTimeout(ctx, measureTimeout+o.Duration)
	defer cancel()
	return measure.ControlPlane(ctx, o)
}

// runs returns the options for every combination of the lists' values.
func (f measureFlags) runs() ([]measure.ControlPlaneOptions, error) {
	if f.duration <= 0 || f.replicas < 1 {
		return nil, usageError("-duration and -replicas must be positive")
	}
	lists := make(map[string][]int)
	for name, text := range map[string]string{"centres": f.centres, "hosts": f.hosts, "services": f.services, "changes": f.changes} {
		list, err := parseCounts(text)
		if err != nil {
			return nil, usageError("-%s %s: must be non-negative integers separated by commas", name, text)
		}
		lists[name] = list
	}
	var runs []measure.ControlPlaneOptions
	for _, centres := range lists["centres"] {
		for _, hosts := range lists["hosts"] {
			for _, services := range lists["services"] {
				for _, changes := range lists["changes"] {
					if centres < 1 || hosts < 1 || services < 1 {
						return nil, usageError("-centres, -hosts and -services must be positive")
					}
					runs = append(runs, measure.ControlPlaneOptions{
						Centres: centres, Hosts: hosts, Services: services, Replicas: f.replicas,
						Changes: float64(changes), Duration: f.duration, Seed: f.seed, Warm: f.warm,
					})
				}
			}
		}
	}
	return runs, nil
}

func parseCounts(text string) ([]int, error) {
	var list []int
	for part := range strings.SplitSeq(text, ",") {
		n, err := strconv.Atoi(strings.TrimSpace(part))
		if err != nil || n < 0 {
			return nil, errors.Newf("%q is not a non-negative integer", part)
		}
		list = append(list, n)
	}
	return list, nil
}
