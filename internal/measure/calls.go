package measure

import (
	"maps"
	"net/http"
	"strings"
	"sync"
)

// callCounter counts the platform's calls by kind.
type callCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// wrap counts the calls to h.
func (c *callCounter) wrap(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.mu.Lock()
		c.counts[kindOf(r)]++
		c.mu.Unlock()
		h.ServeHTTP(w, r)
	})
}

// kindOf names a call by method and first part of the object's name, for example
// "GET ownership". A watch counts when it starts.
func kindOf(r *http.Request) string {
	path, object := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !object {
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
