// Package cli implements the subcommands of the marigoldlever tool.
package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/api"
)

// Exit codes of the tool.
const (
	ExitOK         = 0 // success
	ExitFailed     = 1 // failed; if the daemon refused the request, nothing was changed or run
	ExitUsage      = 2 // invalid command line
	ExitUnknown    = 3 // no answer or unknown outcome: the command may have taken effect
	ExitIncomplete = 4 // partial answer, or change not yet in force on every host
)

const (
	defaultDaemon  = "127.0.0.1:8080"
	defaultTimeout = 10 * time.Second
)

// command is a subcommand of the tool.
type command struct {
	name    string
	args    string
	summary string
	// flags registers the command's own flags and returns the function to run.
	flags func(fs *flag.FlagSet) func(ctx context.Context, env *environment, args []string) error
}

// environment holds what all commands share.
type environment struct {
	out     io.Writer
	errOut  io.Writer
	client  *api.Client
	json    bool
	timeout time.Duration
}

// exitError is an error with its own exit code. If its text is empty, nothing is
// printed.
type exitError struct {
	code int
	text string
}

func (e *exitError) Error() string { return e.text }

func usageError(format string, args ...any) error {
	return &exitError{ExitUsage, fmt.Sprintf(format, args...)}
}

func commands() []command {
	return []command{
		queryCommand(), executeCommand(), getCommand(), patchCommand(), dataCentreCommand(),
		statusCommand(), contractCommand(), tryCommand(), loadCommand(), measureCommand(),
		explainCommand(),
	}
}

// Run runs the tool with args, which do not include the program name, and returns the
// exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 || args[0] == "help" || args[0] == "-h" || args[0] == "--help" || args[0] == "-help" {
		usage(out)
		return ExitOK
	}
	for _, c := range commands() {
		if c.name == args[0] {
			return runCommand(ctx, c, args[1:], out, errOut)
		}
	}
	fmt.Fprintf(errOut, "marigoldlever: unknown command %q\n\n", args[0])
	usage(errOut)
	return ExitUsage
}

func usage(w io.Writer) {
	fmt.Fprintln(w, "Usage: marigoldlever COMMAND [flags] [arguments]")
	fmt.Fprintln(w)
	for _, c := range commands() {
		fmt.Fprintf(w, "  %-12s %s\n", c.name, c.summary)
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "Help for one command: marigoldlever COMMAND -h")
	fmt.Fprintln(w, "Exit codes: 0 done, 1 refused, 2 wrong command line, 3 outcome unknown, 4 incomplete")
}

func runCommand(ctx context.Context, c command, args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet(c.name, flag.ContinueOnError)
	fs.SetOutput(errOut)
	fs.Usage = func() {
		fmt.Fprintf(errOut, "Usage: marigoldlever %s [flags] %s\n\n%s\n\n", c.name, c.args, c.summary)
		fs.PrintDefaults()
	}
	daemon := fs.String("daemon", defaultDaemon, "caller `address` of a daemon")
	output := fs.String("o", "text", "output `format`: text or json")
	timeout := fs.Duration("timeout", defaultTimeout, "time limit for each call to the daemon")
	run := c.flags(fs)
	positional, err := parseInterspersed(fs, args)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		return ExitUsage
	}
	if *output != "text" && *output != "json" {
		fmt.Fprintf(errOut, "marigoldlever %s: -o %s: must be text or json\n", c.name, *output)
		return ExitUsage
	}
	env := &environment{out: out, errOut: errOut, client: api.NewClient(*daemon, 1), json: *output == "json", timeout: *timeout}
	defer env.client.Close()
	return report(c.name, env, run(ctx, env, positional))
}

// parseInterspersed accepts flags before and after the positional arguments.
func parseInterspersed(fs *flag.FlagSet, args []string) ([]string, error) {
	var positional []string
	for {
		if err := fs.Parse(args); err != nil {
			return nil, err
		}
		if fs.NArg() == 0 {
			return positional, nil
		}
		positional = append(positional, fs.Arg(0))
		args = fs.Args()[1:]
	}
}

// report prints err, if any, and returns its exit code.
func report(name string, env *environment, err error) int {
	if err == nil {
		return ExitOK
	}
	var exit *exitError
	if errors.As(err, &exit) {
		if exit.text != "" {
			fmt.Fprintf(env.errOut, "marigoldlever %s: %s\n", name, exit.text)
		}
		return exit.code
	}
	var p *api.Problem
	if errors.As(err, &p) {
		printProblem(name, env, p)
		if p.Run == api.MayHaveRun {
			return ExitUnknown
		}
		return ExitFailed
	}
	fmt.Fprintf(env.errOut, "marigoldlever %s: %v\n", name, err)
	if errors.Is(err, api.ErrNoCompleteAnswer) {
		return ExitUnknown
	}
	return ExitFailed
}

func printProblem(name string, env *environment, p *api.Problem) {
	if env.json {
		_ = printJSON(env.out, p)
		return
	}
	fmt.Fprintf(env.errOut, "marigoldlever %s: %s: %s\n", name, p.Kind, p.Detail)
	for _, e := range p.Errors {
		fmt.Fprintf(env.errOut, "  %s\n", e)
	}
	fmt.Fprintf(env.errOut, "  run: %s, retry safe: %t", p.Run, p.RetrySafe)
	if p.RetryAfterMS > 0 {
		fmt.Fprintf(env.errOut, ", retry after %d ms", p.RetryAfterMS)
	}
	fmt.Fprintln(env.errOut)
	if p.Current > 0 {
		fmt.Fprintf(env.errOut, "  current configuration number: %d\n", p.Current)
	}
	if len(p.Differences) > 0 {
		fmt.Fprintf(env.errOut, "  differences since the base: %s\n", p.Differences)
	}
	if p.Coverage != nil {
		printCoverage(env.errOut, *p.Coverage)
	}
}

func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// withTimeout returns a context that ends after the time limit of -timeout.
func (e *environment) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, e.timeout)
}

func requireArgs(args []string, want ...string) error {
	if len(args) == len(want) {
		return nil
	}
	return usageError("expected arguments: %s", strings.Join(want, " "))
}
