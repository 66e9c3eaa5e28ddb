package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/explain"
)

// maxReportBytes bounds the report of a host: 620 services with ten replicas take 1 MB.
const maxReportBytes = 16 << 20

func explainCommand() command {
	return command{name: "explain", args: "HOST/PATH", summary: "tell where an entry host would send a request now, and why, without sending it",
		flags: func(fs *flag.FlagSet) func(context.Context, *environment, []string) error {
			metrics := fs.String("metrics", "", "metrics `address` of the entry host (required)")
			key := fs.String("key", "", "API `key` of the caller's account")
			return func(ctx context.Context, env *environment, args []string) error {
				return runExplain(ctx, env, args, *metrics, *key)
			}
		}}
}

func runExplain(ctx context.Context, env *environment, args []string, address, key string) error {
	if len(args) != 1 || address == "" {
		return usageError("expected -metrics ADDRESS and one argument: HOST/PATH")
	}
	host, path, ok := strings.Cut(strings.TrimPrefix(args[0], "http://"), "/")
	if !ok || host == "" {
		return usageError("%q is not the host and the path of a request, such as search.example/wells/", args[0])
	}
	ctx, cancel := env.withTimeout(ctx)
	defer cancel()
	report, err := askExplanation(ctx, address, explain.Request{Host: host, Path: "/" + path, Key: key})
	if err != nil {
		return err
	}
	if env.json {
		return printJSON(env.out, report)
	}
	report.Print(env.out)
	return nil
}

// askExplanation asks an entry host to explain a request.
func askExplanation(ctx context.Context, address string, request explain.Request) (explain.Report, error) {
	var report explain.Report
	body, err := json.Marshal(request)
	if err != nil {
		return report, errors.Wrap(err, "encode the request")
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+explain.Path, bytes.NewReader(body))
	if err != nil {
		return report, usageError("-metrics %s: %v", address, err)
	}
	call.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		return report, errors.Wrapf(err, "ask the host at %s", address)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReportBytes))
	if err != nil {
		return report, errors.Wrapf(err, "read the explanation of the host at %s", address)
	}
	if response.StatusCode != http.StatusOK {
		return report, errors.Newf("the host at %s explains no requests: status %d", address, response.StatusCode)
	}
	return report, errors.Wrapf(json.Unmarshal(data, &report), "decode the explanation of the host at %s", address)
}
