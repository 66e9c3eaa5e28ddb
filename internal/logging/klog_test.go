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

// Guards against error lines that klog writes to the standard error stream as well: a
// reader that stops there would block the requests of this host, and each error would
// be counted twice.
func TestErrorsAreWrittenOnce(t *testing.T) {
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
	finish, err := Redirect(&out)
	if err != nil {
		t.Fatal(err)
	}
	klog.ErrorS(errors.New("refused"), "Store lost")
	klog.InfoS("Store reached")
	finish()
	_ = writer.Close()
	copied, err := io.ReadAll(reader)
	if err != nil || len(copied) > 0 {
		t.Errorf("on the standard error stream: %q, %v", copied, err)
	}
	for _, message := range []string{"Store lost", "Store reached"} {
		if n := strings.Count(out.String(), message); n != 1 {
			t.Errorf("%q is written %d times in %q", message, n, out.String())
		}
	}
}
