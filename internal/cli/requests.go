package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/once"
)

func queryCommand() command {
	return command{name: "query", args: "CONTRACT [REQUEST-JSON|@FILE]", summary: "send a query and print the answer with its coverage",
		flags: func(fs *flag.FlagSet) func(context.Context, *environment, []string) error {
			deadline := fs.Duration("deadline", 0, "time for the answer (default: the contract's answer time)")
			parts := fs.Bool("parts", false, "print the parts too (text output)")
			return func(ctx context.Context, env *environment, args []string) error {
				return runQuery(ctx, env, args, *deadline, *parts)
			}
		}}
}

func runQuery(ctx context.Context, env *environment, args []string, deadline time.Duration, parts bool) error {
	if len(args) < 1 || len(args) > 2 {
		return usageError("expected arguments: CONTRACT [REQUEST-JSON|@FILE]")
	}
	request, err := requestBody(args[1:])
	if err != nil {
		return err
	}
	ctx, cancel := env.withTimeout(ctx)
	defer cancel()
	answer, err := env.client.Query(ctx, api.QueryRequest{Contract: args[0], Request: request, DeadlineMS: deadline.Milliseconds()})
	if err != nil {
		return err
	}
	if err := printAnswer(env, answer, parts); err != nil {
		return err
	}
	if !answer.Coverage.Complete {
		return &exitError{code: ExitIncomplete}
	}
	return nil
}

func printAnswer(env *environment, answer api.Answer, parts bool) error {
	if env.json {
		return printJSON(env.out, answer)
	}
	fmt.Fprintf(env.out, "request %s  snapshot %d  %.1f ms  sends %d+%d hedges+%d retries\n", answer.RequestID, answer.Snapshot,
		answer.ElapsedMS, answer.Sends.Primary, answer.Sends.Hedges, answer.Sends.Retries)
	printCoverage(env.out, answer.Coverage)
	if !parts {
		return nil
	}
	for _, p := range answer.Parts {
		fmt.Fprintf(env.out, "  %s %s %s\n", p.Service, p.Partition, p.Records)
	}
	return nil
}

func printCoverage(w io.Writer, c api.Coverage) {
	fmt.Fprintf(w, "coverage %.6f complete=%t\n", c.Share, c.Complete)
	for _, g := range c.Groups {
		fmt.Fprintf(w, "  %-16s %.6f\n", g.Group, g.Share)
		for _, m := range g.Missing {
			fmt.Fprintf(w, "    missing %s %s: %s\n", m.Service, m.Partition, m.Reason)
		}
	}
}

func executeCommand() command {
	return command{name: "execute", args: "CONTRACT SERVICE [REQUEST-JSON|@FILE]", summary: "run non-idempotent work at most once",
		flags: func(fs *flag.FlagSet) func(context.Context, *environment, []string) error {
			key := fs.String("key", "", "idempotency `key` of an earlier submission to send again (default: a new key)")
			submission := fs.Int("submission", 0, "`number` of this submission of the key (default: 1 for a new key, otherwise not said)")
			deadline := fs.Duration("deadline", 0, "time for the answer (default: the contract's answer time)")
			return func(ctx context.Context, env *environment, args []string) error {
				e := api.ExecuteRequest{Key: *key, SubmissionNumber: *submission, DeadlineMS: deadline.Milliseconds()}
				return runExecute(ctx, env, args, e)
			}
		}}
}

func runExecute(ctx context.Context, env *environment, args []string, e api.ExecuteRequest) error {
	if len(args) < 2 || len(args) > 3 {
		return usageError("expected arguments: CONTRACT SERVICE [REQUEST-JSON|@FILE]")
	}
	request, err := requestBody(args[2:])
	if err != nil {
		return err
	}
	e.Contract, e.Service, e.Request = args[0], args[1], request
	if e.Key == "" {
		e.Key = once.NewKey(time.Now(), uuid.NewString())
		if e.SubmissionNumber == 0 {
			e.SubmissionNumber = 1
		}
	}
	ctx, cancel := env.withTimeout(ctx)
	defer cancel()
	answer, err := env.client.Execute(ctx, e)
	if err != nil {
		// A resend is safe only with the same key, so the key is printed on every failure.
		fmt.Fprintf(env.errOut, "key %s\n", e.Key)
		return err
	}
	if env.json {
		return printJSON(env.out, answer)
	}
	fmt.Fprintf(env.out, "request %s  key %s  %s  resent=%t  %.1f ms\n%s\n", answer.RequestID, answer.Key, answer.Run, answer.Resent,
		answer.ElapsedMS, answer.Result)
	return nil
}

// requestBody returns the JSON request. The argument is either the JSON text or '@' and
// a file name. Without an argument, the request is an empty object.
func requestBody(args []string) (json.RawMessage, error) {
	if len(args) == 0 {
		return json.RawMessage(`{}`), nil
	}
	text := []byte(args[0])
	if len(text) > 0 && text[0] == '@' {
		var err error
		if text, err = readFile(string(text[1:])); err != nil {
			return nil, err
		}
	}
	if !json.Valid(text) {
		return nil, usageError("the request is not valid JSON: %s", text)
	}
	return text, nil
}

// readFile reads the named file, or standard input if the name is "-".
func readFile(name string) ([]byte, error) {
	if name == "-" {
		text, err := io.ReadAll(os.Stdin)
		return text, errors.Wrap(err, "read standard input")
	}
	text, err := os.ReadFile(name)
	return text, errors.Wrap(err, "read file")
}
