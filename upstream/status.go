package upstream

import (
	"net/http"
	"strings"
)

// maxStatus is the largest status that HTTP defines.
const maxStatus = 599

// IsFinalStatus reports whether a status is that of a reply. A response with another status is no
// reply, whatever its header and body state.
func IsFinalStatus(status int) bool { return http.StatusOK <= status && status <= maxStatus }

// IsInterimStatus reports whether a response with the status may come before a reply. A switch
// of protocols may not, because no request asks for one.
func IsInterimStatus(status int) bool {
	return status == http.StatusContinue || status == http.StatusProcessing || status == http.StatusEarlyHints
}

// IsReasonPhrase reports whether a text may be the end of a status line: it has no control
// characters but tabs.
func IsReasonPhrase(text string) bool {
	return !strings.ContainsFunc(text, func(c rune) bool { return c < ' ' && c != '\t' || c == '\x7f' })
}
