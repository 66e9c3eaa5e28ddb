package measure

import (
	"maps"
	"net/http"
	"strings"
	"sync"
)

// callCounter counts the calls to the platform by kind.
type callCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// wrap returns a handler that counts each call and passes it to h.
func (c *callCounter) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.counts[callKind(r)]++
		c.mu.Unlock()
		h.ServeHTTP(w, r)
	})
}

// callKind returns the method and the first part of the object's name, for example
// "GET ownership". A long-polling watch has the kind "WATCH" and counts when it
// starts.
func callKind(r *http.Request) string {
	path, isObject := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !isObject {
		path = strings.TrimPrefix(r.URL.Path, "/v1/")
	}
	name, _, _ := strings.Cut(path, "/")
	if r.URL.Query().Has("after") {
		return "WATCH " + name
	}
	return r.Method + " " + name
}

func (c *callCounter) snapshot() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}
