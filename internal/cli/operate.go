package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"github.com/marigoldlever/marigoldlever/internal/api"
)

// inForcePollInterval is the time between checks of the hosts' configuration numbers.
const inForcePollInterval = 200 * time.Millisecond

func getCommand() command {
	return command{name: "get", args: "configuration|version|history [NUMBER]", summary: "print the configuration, its number or its history",
		flags: func(fs *flag.FlagSet) func(context.Context, *environment, []string) error {
			return runGet
		}}
}

func runGet(ctx context.Context, env *environment, args []string) error {
	if len(args) < 1 || len(args) > 2 {
		return usageError("expected arguments: configuration|version|history [NUMBER]")
	}
	ctx, cancel := env.withTimeout(ctx)
	defer cancel()
	switch args[0] {
	case "configuration", "version":
		number := uint64(0)
		if len(args) == 2 {
			n, err := strconv.ParseUint(args[1], 10, 64)
			if err != nil {
				return usageError("%q is not a configuration number", args[1])
			}
			number = n
		}
		return getConfiguration(ctx, env, number, args[0] == "version")
	case "history":
		return getHistory(ctx, env)
	default:
		return usageError("%q: must be configuration, version or history", args[0])
	}
}

func getConfiguration(ctx context.Context, env *environment, number uint64, versionOnly bool) error {
	answer, err := env.client.Configuration(ctx, number)
	if err != nil {
		return err
	}
	if versionOnly {
		answer.Document = nil
	}
	if env.json {
		return printJSON(env.out, answer)
	}
	fmt.Fprintf(env.out, "number %d  digest %s\n", answer.Number, answer.Digest)
	if versionOnly {
		return nil
	}
	return printJSON(env.out, answer.Document)
}

func getHistory(ctx context.Context, env *environment) error {
	entries, err := env.client.History(ctx)
	if err != nil {
		return err
	}
	if env.json {
		return printJSON(env.out, entries)
	}
	w := tabwriter.NewWriter(env.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "NUMBER\tTIME\tTYPE\tAUTHOR\tPATCH ID")
	for _, e := range entries {
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\n", e.Number, e.Time.UTC().Format(time.RFC3339), e.Type, e.Author, e.ID)
	}
	return w.Flush()
}

func patchCommand() command {
	return command{name: "patch", args: "", summary: "change the configuration by a patch against a numbered version",
		flags: func(fs *flag.FlagSet) func(context.Context, *environment, []string) error {
			base := fs.Uint64("base", 0, "configuration `number` that the patch was made for (required)")
			file := fs.String("f", "", "`file` with the patch, - for standard input (required)")
			kind := fs.String("type", "merge", "patch `type`: merge (RFC 7386) or json-patch (RFC 6902)")
			id := fs.String("id", "", "patch `id`; repeat it to send the same patch again (default: a new id)")
			author := fs.String("author", "", "`name` recorded in the history")
			wait := fs.Duration("wait", 0, "wait this long until every host has it in force")
			return func(ctx context.Context, env *environment, args []string) error {
				if !flagIsSet(fs, "base") || *file == "" {
					return usageError("-base and -f are required; -base 0 creates the first version")
				}
				if err := requireArgs(args); err != nil {
					return err
				}
				text, err := readFile(*file)
				if err != nil {
					return err
				}
				p := api.PatchRequest{ID: *id, Base: *base, Type: *kind, Author: *author, Patch: text}
				return sendPatch(ctx, env, p, *wait)
			}
		}}
}

// flagIsSet reports whether the flag was given on the command line.
func flagIsSet(fs *flag.FlagSet, name string) bool {
	found := false
	fs.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}

func sendPatch(ctx context.Context, env *environment, p api.PatchRequest, wait time.Duration) error {
	if p.ID == "" {
		p.ID = uuid.NewString()
	}
	if !json.Valid(p.Patch) {
		return usageError("the patch is not valid JSON")
	}
	answer, err := func() (api.PatchAnswer, error) {
		ctx, cancel := env.withTimeout(ctx)
		defer cancel()
		return env.client.Patch(ctx, p)
	}()
	if err != nil {
		fmt.Fprintf(env.errOut, "patch id %s\n", p.ID)
		return err
	}
	var behind []string
	if wait > 0 {
		behind = awaitInForce(ctx, env, answer.Number, wait)
	}
	if env.json {
		err = printJSON(env.out, map[string]any{"number": answer.Number, "known": answer.AlreadyAccepted, "id": p.ID, "not_in_force": behind})
	} else {
		_, err = fmt.Fprintf(env.out, "number %d  known=%t  patch id %s\n", answer.Number, answer.AlreadyAccepted, p.ID)
	}
	if err != nil || len(behind) == 0 {
		return err
	}
	return &exitError{ExitIncomplete, "not in force on: " + strings.Join(behind, ", ")}
}

// awaitInForce waits until configuration number is in force on every host, for at most
// wait. It returns the hosts on which it is not in force at the end.
func awaitInForce(ctx context.Context, env *environment, number uint64, wait time.Duration) []string {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	behind := []string{"every host (no status)"}
	for {
		status, err := env.client.Status(ctx, true)
		if err == nil {
			behind = hostsBehind(status, number)
		}
		if err == nil && len(behind) == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return behind
		case <-time.After(inForcePollInterval):
		}
	}
}

func hostsBehind(status api.Status, number uint64) []string {
	var behind []string
	for _, h := range status.Hosts {
		if h.Error != "" {
			behind = append(behind, fmt.Sprintf("%s (%s)", h.ID, h.Error))
		} else if h.Configuration < number {
			behind = append(behind, fmt.Sprintf("%s (%d)", h.ID, h.Configuration))
		}
	}
	slices.Sort(behind)
	return behind
}

func dataCentreCommand() command {
	return command{name: "data-centre", args: "out|in NAME", summary: "take a data centre out of service, or back in",
		flags: func(fs *flag.FlagSet) func(context.Context, *environment, []string) error {
			wait := fs.Duration("wait", 4*time.Second, "wait this long until every host has it in force")
			author := fs.String("author", "", "`name` recorded in the history")
			return func(ctx context.Context, env *environment, args []string) error {
				if err := requireArgs(args, "out|in", "NAME"); err != nil {
					return err
				}
				if args[0] != "out" && args[0] != "in" {
					return usageError("%q: must be out or in", args[0])
				}
				return setDataCentre(ctx, env, args[1], args[0] == "out", *author, *wait)
			}
		}}
}

func setDataCentre(ctx context.Context, env *environment, name string, out bool, author string, wait time.Duration) error {
	current, err := env.client.Configuration(ctx, 0)
	if err != nil {
		return err
	}
	var document struct {
		DataCentres []struct {
			Name string `json:"name"`
		} `json:"data_centres"`
	}
	if err := json.Unmarshal(current.Document, &document); err != nil {
		return err
	}
	for i, d := range document.DataCentres {
		if d.Name != name {
			continue
		}
		// The test operation rejects the patch if the list was reordered after it was read.
		patch := fmt.Sprintf(`[{"op":"test","path":"/data_centres/%d/name","value":%q},{"op":"add","path":"/data_centres/%d/out","value":%t}]`,
			i, name, i, out)
		p := api.PatchRequest{Base: current.Number, Type: "json-patch", Author: author, Patch: json.RawMessage(patch)}
		return sendPatch(ctx, env, p, wait)
	}
	return usageError("the configuration has no data centre %q", name)
}

func statusCommand() command {
	return command{name: "status", args: "", summary: "print the state of every host and whether the newest configuration is in force there",
		flags: func(fs *flag.FlagSet) func(context.Context, *environment, []string) error {
			return func(ctx context.Context, env *environment, args []string) error {
				if err := requireArgs(args); err != nil {
					return err
				}
				return runStatus(ctx, env)
			}
		}}
}

func runStatus(ctx context.Context, env *environment) error {
	ctx, cancel := env.withTimeout(ctx)
	defer cancel()
	status, err := env.client.Status(ctx, true)
	if err != nil {
		return err
	}
	newest := uint64(0)
	for _, h := range status.Hosts {
		newest = max(newest, h.Configuration)
	}
	if env.json {
		err = printJSON(env.out, status)
	} else {
		err = printHosts(env, status)
	}
	if err != nil {
		return err
	}
	if behind := hostsBehind(status, newest); len(behind) > 0 {
		return &exitError{ExitIncomplete, fmt.Sprintf("configuration %d is not in force on: %s", newest, strings.Join(behind, ", "))}
	}
	return nil
}

func printHosts(env *environment, status api.Status) error {
	w := tabwriter.NewWriter(env.out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "HOST\tDATA CENTRE\tPHASE\tREADY\tCONFIGURATION\tTABLE EPOCH\tPROOF AGE\tIN FLIGHT\tMEMBERS\tNOTE")
	for _, h := range status.Hosts {
		proof := "none"
		if h.ProofAgeMS >= 0 {
			proof = fmt.Sprintf("%d ms", h.ProofAgeMS)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%t\t%d\t%d\t%s\t%d\t%d\t%s\n", h.ID, h.DataCentre, h.Phase, h.Ready, h.Configuration,
			h.TableEpoch, proof, h.InFlight, h.Members, h.Reason+h.Error)
	}
	return w.Flush()
}
