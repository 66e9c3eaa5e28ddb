package logging

import (
	"flag"
	"io"

	"github.com/cockroachdb/errors"
	"k8s.io/klog/v2"
)

// Redirect makes klog write each line once, to a stream, and never to the standard
// error stream, whose reader could block the code that logs. The returned function
// writes the lines that wait.
func Redirect(to io.Writer) (func(), error) {
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{
		"logtostderr": "false",
		// Errors would be repeated for each lower severity.
		"one_output":      "true",
		"stderrthreshold": "FATAL",
	} {
		if err := flags.Set(name, value); err != nil {
			return nil, errors.Wrapf(err, "klog's flag %s", name)
		}
	}
	w := NewWriter(to)
	klog.SetOutput(w)
	return func() {
		klog.Flush()
		w.Close()
	}, nil
}
