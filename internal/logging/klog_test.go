package logging

import (
	"bytes"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// Guards against error lines that klog also writes to the standard error stream. If the
// reader of that stream stopped reading, the requests of this host would block. Each
// error would also be counted twice.
func TestErrorsAreWrittenOnlyToOutput(t *testing.T) {
	stderr := os.Stderr
	t.Cleanup(func() {
		os.Stderr = stderr
		klog.SetOutput(stderr)
	})
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	os.Stderr = writer
	var out bytes.Buffer
	closeLog, err := Redirect(&out)
	if err != nil {
		t.Fatal(err)
	}
	klog.ErrorS(errors.New("refused"), "Store lost")
	klog.InfoS("Store reached")
	closeLog()
	_ = writer.Close()
	stderrOutput, err := io.ReadAll(reader)
	if err != nil || len(stderrOutput) > 0 {
		t.Errorf("standard error stream contains %q, %v", stderrOutput, err)
	}
	for _, message := range []string{"Store lost", "Store reached"} {
		if n := strings.Count(out.String(), message); n != 1 {
			t.Errorf("%q occurs %d times in %q", message, n, out.String())
		}
	}
}
