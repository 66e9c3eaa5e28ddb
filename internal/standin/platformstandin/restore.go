package platformstandin

import (
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

// headerEra is the header of each answer that tells how often the platform was restored.
const headerEra = "Store-Era"

// errValueDropped reports that the history no longer has a value that the copy needs.
var errValueDropped = errors.New("the history no longer has the values of that time")

// Restore sets the objects and the host list back to their state of an earlier time, as if the
// platform was restored from a copy, and begins a new era. Versions are given out again. The
// writes that are lost stay in the history.
func (p *Platform) Restore(age time.Duration) (era uint64, _ error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	to := now.Add(-age)
	objects, err := p.history.objectsAt(to)
	if err != nil {
		return p.era, err
	}
	p.objects = objects
	p.history.loseAfter(to)
	p.hosts.restore(now, to)
	p.era++
	p.notify()
	return p.era, nil
}

// objectsAt returns the objects as they were at a time.
func (h *history) objectsAt(at time.Time) (map[string]objectstore.Object, error) {
	objects := make(map[string]objectstore.Object)
	for _, w := range h.writes {
		if !w.Lost && !w.Time.After(at) {
			objects[w.Object] = objectstore.Object{Name: w.Object, Version: w.Version, Value: w.Value}
		}
	}
	for name, o := range objects {
		if o.Value == nil && !h.wasEmpty(name, o.Version) {
			return nil, errors.Wrapf(errValueDropped, "object %s, version %d", name, o.Version)
		}
	}
	return objects, nil
}

// wasEmpty reports whether the write of a version had an empty value.
func (h *history) wasEmpty(name string, version uint64) bool {
	for _, w := range h.writes {
		if !w.Lost && w.Object == name && w.Version == version {
			return w.Size == 0
		}
	}
	return false
}

// loseAfter marks the writes after a time as lost.
func (h *history) loseAfter(at time.Time) {
	for i := range h.writes {
		if h.writes[i].Time.After(at) {
			h.writes[i].Lost = true
		}
	}
}

// restore makes the list of an earlier time the current one.
func (l *hostListHistory) restore(now, to time.Time) {
	l.states = append(l.states, hostListState{at: now, hosts: l.at(to)})
	l.prune(now)
}

// serveRestore restores the state of age_ms milliseconds ago.
func (p *Platform) serveRestore(w http.ResponseWriter, r *http.Request) {
	ms, err := strconv.ParseUint(r.URL.Query().Get("age_ms"), 10, 31)
	if err != nil {
		http.Error(w, "age_ms: "+err.Error(), http.StatusBadRequest)
		return
	}
	era, err := p.Restore(time.Duration(ms) * time.Millisecond)
	if err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	writeJSON(w, map[string]uint64{"era": era})
}

// tellEra adds the era to the answers of a handler.
func (p *Platform) tellEra(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&eraWriter{ResponseWriter: w, platform: p}, r)
	})
}

// eraWriter adds the era when the answer begins: a call may wait across a restore.
type eraWriter struct {
	http.ResponseWriter
	platform *Platform
	begun    bool
}

// WriteHeader implements http.ResponseWriter.
func (w *eraWriter) WriteHeader(status int) {
	if !w.begun {
		w.begun = true
		w.Header().Set(headerEra, strconv.FormatUint(w.platform.Era(), 10))
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *eraWriter) Write(data []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Era returns the era, which begins at 1 and rises with each Restore.
func (p *Platform) Era() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.era
}
