package upstreamstandin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/marigoldlever/marigoldlever/upstream"
)

const (
	maxBodyBytes = 8 << 20
	// maxDeadline bounds the deadline of a request.
	maxDeadline = 10 * time.Minute
)

// wireRequest is a request as it is received.
type wireRequest struct {
	upstream.Request
	DeadlineMS int64 `json:"deadline_ms"`
}

// wireRefusal is the body of an error.
type wireRefusal struct {
	Code string `json:"code"`
	upstream.Reply
}

// Server returns a server for all replicas behind one listener, with the
// control under /admin/. Connection limits hold only on such a server, or on
// those of ListenEach.
func (d *DataCentre) Server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{replica}/v1/work", d.named((*DataCentre).serveWork))
	mux.HandleFunc("GET /{replica}/v1/health", d.named((*DataCentre).serveHealth))
	d.handleAdmin(mux)
	return tracked(mux)
}

// Serve serves all replicas on l until it is closed.
func (d *DataCentre) Serve(l net.Listener) error { return d.Server().Serve(l) }

type replicaHandlerFunc func(d *DataCentre, w http.ResponseWriter, req *http.Request, r *replica)

// named serves the replica that the path names.
func (d *DataCentre) named(serve replicaHandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		r, ok := d.replicas[req.PathValue("replica")]
		if !ok {
			http.NotFound(w, req)
			return
		}
		serve(d, w, req, r)
	}
}

// replicaHandler serves a replica on its own listener.
func (d *DataCentre) replicaHandler(r *replica) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/work", func(w http.ResponseWriter, req *http.Request) { d.serveWork(w, req, r) })
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, req *http.Request) { d.serveHealth(w, req, r) })
	return mux
}

func (d *DataCentre) serveWork(w http.ResponseWriter, req *http.Request, r *replica) {
	// The server notices that a caller went away only once the body is read.
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	q, problem := parse(body)
	if problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	if !admit(req, r) {
		panic(http.ErrAbortHandler)
	}
	writeOutcome(w, r.do(req.Context(), q, d.outTime()))
}

// admit binds the connection of the request to the replica.
func admit(req *http.Request, r *replica) bool {
	c, ok := req.Context().Value(connectionKey{}).(*connection)
	return !ok || c.bind(req.Context(), r)
}

// parse returns the request, or what is wrong with it.
func parse(body []byte) (upstream.Request, string) {
	var wire wireRequest
	if err := json.Unmarshal(body, &wire); err != nil {
		return upstream.Request{}, err.Error()
	}
	q := wire.Request
	q.Deadline = time.Duration(wire.DeadlineMS) * time.Millisecond
	switch {
	case q.Attempt == "":
		return q, "attempt is missing"
	case wire.DeadlineMS <= 0 || wire.DeadlineMS > maxDeadline.Milliseconds():
		return q, "deadline_ms is missing or out of range"
	case q.Kind != upstream.Read && q.Kind != upstream.Execute:
		return q, "kind is neither read nor execute"
	case !q.Partition.Valid():
		return q, "partition is empty"
	}
	return q, ""
}

// writeOutcome sends the reply in the way that its fate says.
func writeOutcome(w http.ResponseWriter, o outcome) {
	if o.fate == lost {
		panic(http.ErrAbortHandler)
	}
	var value any = o.reply
	if o.status != http.StatusOK {
		value = wireRefusal{Code: o.code, Reply: o.reply}
	}
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(o.status)
	if o.fate == cutShort {
		w.Write(data[:len(data)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(data)
}

// health is the body of a health report.
type health struct {
	Status      string             `json:"status"`
	Service     string             `json:"service"`
	Incarnation string             `json:"incarnation"`
	Held        []uint64           `json:"held"`
	Partition   upstream.HashRange `json:"partition"`
	Load        upstream.Load      `json:"load"`
}

func (d *DataCentre) serveHealth(w http.ResponseWriter, req *http.Request, r *replica) {
	if !admit(req, r) || !r.ready(req.Context(), r.current()) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, r.health())
}

func (r *replica) health() health {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.state(time.Now(), "")
	status := "ok"
	if state.Load.Draining {
		status = "draining"
	}
	return health{
		Status: status, Service: r.cfg.Service, Incarnation: state.Incarnation, Held: state.Held,
		Partition: state.Partition, Load: state.Load,
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
