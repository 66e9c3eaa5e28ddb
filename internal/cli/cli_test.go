package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against changed exit codes, on which scripts rely: 1 for a refusal, 2 for an
// invalid command line, 3 for an unknown outcome.
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
	// Connections to port 1 of the loopback interface are refused.
	const unreachableAddress = "127.0.0.1:1"
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
		{[]string{"data-centre", "off", "x"}, ExitUsage, "must be out or in"},
		{[]string{"contract", "check", good}, ExitOK, "2s"},
		{[]string{"contract", "check", bad}, ExitFailed, "ghari"},
		{[]string{"load", "-scenario", "none"}, ExitUsage, "steady"},
		{[]string{"execute", "-daemon", unreachableAddress, "a", "s"}, ExitUnknown, "key "},
	} {
		var out bytes.Buffer
		if got := Run(context.Background(), test.args, &out, &out); got != test.want || !strings.Contains(out.String(), test.text) {
			t.Errorf("%v: exit code %d, want %d; output %q", test.args, got, test.want, out.String())
		}
	}
}
