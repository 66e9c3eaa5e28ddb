package logging

import (
	"flag"
	"io"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// Redirect makes klog write each line once, to output. klog then never writes to the
// standard error stream, whose reader could block the code that logs. The returned
// function stops the writer and waits until the pending lines are written, for at most
// closeTimeout.
func Redirect(output io.Writer) (func(), error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false",
		// Without this flag, an error would be written again for each lower severity.
		"one_output":      "true",
		"stderrthreshold": "FATAL",
	} {
		if err := flags.Set(name, value); err != nil {
			return nil, errors.Wrapf(err, "set klog flag %s", name)
		}
	}
	w := NewWriter(output)
	klog.SetOutput(w)
	return func() {
		klog.Flush()
		w.Close()
	}, nil
}
