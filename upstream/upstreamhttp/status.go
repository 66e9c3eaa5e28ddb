package upstreamhttp

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// errBadStatus reports a response with a status line that HTTP/1 doesn't define. net/http
// accepts any status, and takes all from 100 to 199 as interim, so that what follows would be
// read as the reply.
var errBadStatus = errors.New("no reply")

// checkStatus returns an error if the response has no status line of a reply.
func checkStatus(r *http.Response) error {
	if (r.Proto != "HTTP/1.1" && r.Proto != "HTTP/1.0") || !upstream.IsFinalStatus(r.StatusCode) || !upstream.IsReasonPhrase(r.Status) {
		return errors.Wrapf(errBadStatus, "status line %s %q", r.Proto, r.Status)
	}
	return nil
}

// withInterimCheck returns a context whose request ends at an interim response that may not
// come before a reply.
func withInterimCheck(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		Got1xxResponse: func(status int, _ textproto.MIMEHeader) error {
			if upstream.IsInterimStatus(status) {
				return nil
			}
			return errors.Wrapf(errBadStatus, "interim response %d", status)
		},
	})
}
