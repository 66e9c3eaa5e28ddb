package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"text/tabwriter"

	"github.com/marigoldlever/marigoldlever/contract"
)

func contractCommand() command {
	return command{name: "contract", args: "check FILE", summary: "check a file of units and contracts and print each limit converted",
		flags: func(fs *flag.FlagSet) func(context.Context, *environment, []string) error {
			return func(_ context.Context, env *environment, args []string) error {
				if len(args) != 2 || args[0] != "check" {
					return usageError("expected arguments: check FILE")
				}
				return checkContracts(env, args[1])
			}
		}}
}

// contractFile is the part of a configuration document that the command checks.
type contractFile struct {
	Units     []contract.Unit     `json:"units"`
	Contracts []contract.Contract `json:"contracts"`
}

// limitRow is one limit as written by the operator and as converted for use.
type limitRow struct {
	Contract  string `json:"contract"`
	Limit     string `json:"limit"`
	Written   string `json:"written"`
	Converted string `json:"converted"`
}

func checkContracts(env *environment, file string) error {
	text, err := readFile(file)
	if err != nil {
		return err
	}
	var f contractFile
	if err := json.Unmarshal(text, &f); err != nil {
		return &exitError{ExitFailed, fmt.Sprintf("%s: %v", file, err)}
	}
	limits, err := contract.Compile(f.Units, f.Contracts)
	if err != nil {
		return &exitError{ExitFailed, fmt.Sprintf("%s: %v", file, err)}
	}
	var rows []limitRow
	for _, c := range f.Contracts {
		rows = append(rows, limitRows(c, limits[c.Name])...)
	}
	if env.json {
		return printJSON(env.out, rows)
	}
	w := tabwriter.NewWriter(env.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "CONTRACT\tLIMIT\tWRITTEN\tCONVERTED")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", r.Contract, r.Limit, r.Written, r.Converted)
	}
	return w.Flush()
}

func limitRows(c contract.Contract, l contract.Limits) []limitRow {
	row := func(name string, written contract.Quantity, converted any) limitRow {
		text := string(written)
		if text == "" {
			text = "(default)"
		}
		return limitRow{c.Name, name, text, fmt.Sprint(converted)}
	}
	return []limitRow{
		row("answer_time", c.AnswerTime, l.AnswerTime),
		row("latency_goal", c.LatencyGoal, l.LatencyGoal),
		row("minimum_coverage", c.MinimumCoverage, l.MinimumCoverage.RatString()+" of the whole"),
		row("upstream_load", c.UpstreamLoad, fmt.Sprintf("%d slots", l.UpstreamLoad)),
		row("cold_floor", c.ColdFloor, fmt.Sprintf("%d slots", l.ColdFloor)),
		row("cold_step", c.ColdStep, fmt.Sprintf("%d slots", l.ColdStep)),
		row("cold_step_time", c.ColdStepTime, l.ColdStepTime),
	}
}
