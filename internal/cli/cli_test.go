package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against exit codes that scripts can't rely on: 2 for a wrong command line,
// 3 where nothing is known of the outcome, 1 for a refusal.
func TestExitCodes(t *testing.T) {
	good := filepath.Join(t.TempDir(), "good.json")
	bad := filepath.Join(t.TempDir(), "bad.json")
	document := `{"units":[{"name":"vipal","dimension":"time","factor":"2/5"}],"contracts":[{"name":"a","groups":["g"],
		"answer_time":"5 UNIT","minimum_coverage":"1 whole","upstream_load":"2 slot"}]}`
	for file, unit := range map[string]string{good: "vipal", bad: "ghari"} {
		if err := os.WriteFile(file, []byte(strings.Replace(document, "UNIT", unit, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	// Port 1 of loopback refuses connections.
	const nobody = "127.0.0.1:1"
	for _, test := range []struct {
		args []string
		want int
		text string // in the output
	}{
		{[]string{"help"}, ExitOK, "data-centre"},
		{[]string{"nothing"}, ExitUsage, "unknown command"},
		{[]string{"query"}, ExitUsage, "CONTRACT"},
		{[]string{"query", "a", "{"}, ExitUsage, "not valid JSON"},
		{[]string{"patch", "-f", good}, ExitUsage, "-base"},
		{[]string{"data-centre", "off", "x"}, ExitUsage, "accepted are out and in"},
		{[]string{"contract", "check", good}, ExitOK, "2s"},
		{[]string{"contract", "check", bad}, ExitFailed, "ghari"},
		{[]string{"load", "-scenario", "none"}, ExitUsage, "steady"},
		{[]string{"execute", "-daemon", nobody, "a", "s"}, ExitUnknown, "key "},
	} {
		var out bytes.Buffer
		if got := Run(context.Background(), test.args, &out, &out); got != test.want || !strings.Contains(out.String(), test.text) {
			t.Errorf("%v: exit code %d, want %d; output %q", test.args, got, test.want, out.String())
		}
	}
}
