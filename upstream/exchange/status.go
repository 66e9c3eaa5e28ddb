package exchange

import (
	"bufio"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// errBadStatus reports bytes in place of a reply whose status line is malformed, or has a
// status that the protocol doesn't define.
var errBadStatus = errors.New("no reply")

// statusForm is the form of the beginning of a status line, where 0 stands for a digit.
const statusForm = "HTTP/1.0 000"

// readResponse reads the header of the final response. It skips interim responses.
//
// net/http takes any three characters that make a number as a status, and any status below 200
// would count as interim here, so that the body of an odd reply could be read as the reply.
func readResponse(r *bufio.Reader, method string) (*http.Response, error) {
	request := &http.Request{Method: method}
	for {
		if err := checkStatusLine(r); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(r, request)
		if err != nil {
			return nil, err
		}
		switch status := response.StatusCode; {
		case !upstream.IsReasonPhrase(response.Status):
			return nil, errors.Wrapf(errBadStatus, "status line %q", response.Status)
		case upstream.IsInterimStatus(status): // the reply follows
		case !upstream.IsFinalStatus(status):
			return nil, errors.Wrapf(errBadStatus, "status %03d", status)
		default:
			return response, nil
		}
	}
}

// checkStatusLine checks the next bytes up to the end of the status, without reading them.
func checkStatusLine(r *bufio.Reader) error {
	line, err := r.Peek(len(statusForm) + 1)
	if err != nil {
		return err
	}
	for i, form := range []byte(statusForm) {
		if c := line[i]; c != form && (form != '0' || !isDigit(c)) {
			return errors.Wrapf(errBadStatus, "status line %q", line)
		}
	}
	minor, end := line[strings.IndexByte(statusForm, '.')+1], line[len(statusForm)]
	if minor > '1' || end != ' ' && end != '\r' && end != '\n' {
		return errors.Wrapf(errBadStatus, "status line %q", line)
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }
