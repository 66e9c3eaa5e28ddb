package platformstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/objectstore"
)

const (
	headerDataCentre = "X-Data-Centre"
	maxBodyBytes     = 8 << 20 // read from a body before it is rejected
	maxWatchWait     = time.Minute
)

// Handler serves the platform's protocol, and the admin API of the stand-in under
// /admin/.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{name...}", p.serveGet)
	mux.HandleFunc("PUT /v1/objects/{name...}", p.servePut)
	mux.HandleFunc("GET /v1/hosts", p.serveHosts)
	mux.HandleFunc("PUT /v1/hosts/{id}", p.servePutHost)
	mux.HandleFunc("DELETE /v1/hosts/{id}", p.serveDeleteHost)
	p.handleAdmin(mux)
	return p.tellEra(mux)
}

func (p *Platform) serveGet(w http.ResponseWriter, r *http.Request) {
	name, dataCentre := r.PathValue("name"), r.Header.Get(headerDataCentre)
	if !r.URL.Query().Has("after") {
		o, err := p.get(r.Context(), dataCentre, name)
		writeObject(w, o, err)
		return
	}
	after, wait, err := watchParameters(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	o, err := p.watch(r.Context(), dataCentre, name, after, wait)
	writeObject(w, o, err)
}

func watchParameters(r *http.Request) (after uint64, wait time.Duration, err error) {
	query := r.URL.Query()
	after, err = strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		return 0, 0, errors.Wrap(err, "after")
	}
	ms, err := strconv.ParseUint(query.Get("wait_ms"), 10, 31)
	if err != nil {
		return 0, 0, errors.Wrap(err, "wait_ms")
	}
	return after, min(time.Duration(ms)*time.Millisecond, maxWatchWait), nil
}

func (p *Platform) servePut(w http.ResponseWriter, r *http.Request) {
	base, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match: "+err.Error(), http.StatusBadRequest)
		return
	}
	value, err := readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	o, err := p.put(r.Context(), r.Header.Get(headerDataCentre), r.PathValue("name"), base, value)
	o.Value = nil
	writeObject(w, o, err)
}

func (p *Platform) serveHosts(w http.ResponseWriter, r *http.Request) {
	hosts, err := p.listHosts(r.Context(), r.Header.Get(headerDataCentre))
	if err != nil {
		writeError(w, err)
		return
	}
	if hosts == nil {
		hosts = []objectstore.Host{}
	}
	writeJSON(w, hosts)
}

func (p *Platform) servePutHost(w http.ResponseWriter, r *http.Request) {
	var h objectstore.Host
	body, err := readBody(w, r)
	if err != nil {
		writeError(w, err)
		return
	}
	if err := json.Unmarshal(body, &h); err != nil || h.ID != r.PathValue("id") {
		http.Error(w, "the body is not a host with the ID in the path", http.StatusBadRequest)
		return
	}
	writeError(w, p.writeHost(r.Context(), r.Header.Get(headerDataCentre), h.ID, &h))
}

func (p *Platform) serveDeleteHost(w http.ResponseWriter, r *http.Request) {
	err := p.writeHost(r.Context(), r.Header.Get(headerDataCentre), r.PathValue("id"), nil)
	writeError(w, err)
}

// readBody reads the body. It returns ErrTooLarge for a body above MaxValueBytes, and
// errCut if the body can't be read.
func readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) || len(body) > objectstore.MaxValueBytes {
		return nil, objectstore.ErrTooLarge
	}
	if err != nil {
		return nil, errCut
	}
	return body, nil
}

// writeObject responds with the object, or with err and the object's version.
func writeObject(w http.ResponseWriter, o objectstore.Object, err error) {
	w.Header().Set("ETag", strconv.FormatUint(o.Version, 10))
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(o.Value)))
	w.Write(o.Value)
}

// writeError responds with the status for err, or closes the connection without a
// response if err is errCut.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		w.WriteHeader(http.StatusOK)
	case errors.Is(err, errCut):
		panic(http.ErrAbortHandler)
	case errors.Is(err, objectstore.ErrTimeout):
		w.WriteHeader(http.StatusNotModified)
	default:
		http.Error(w, err.Error(), errorStatus(err))
	}
}

func errorStatus(err error) int {
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, objectstore.ErrConflict):
		return http.StatusConflict
	case errors.Is(err, objectstore.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, errOverRate):
		return http.StatusTooManyRequests
	case errors.Is(err, errOutage):
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
