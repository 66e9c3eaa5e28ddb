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
	// maxDeadline is the largest deadline that a request may have.
	maxDeadline = 10 * time.Minute
)

// wireRequest is the JSON form of a request.
type wireRequest struct {
	upstream.Request
	DeadlineMS int64 `json:"deadline_ms"`
}

// wireRefusal is the JSON form of a refusal.
type wireRefusal struct {
	Code string `json:"code"`
	upstream.Reply
}

// Server returns a server for all replicas with the admin API under /admin/. Connection
// limits are enforced only by this server and the listeners of ListenEach.
func (d *DataCentre) Server() *http.Server {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /{replica}/v1/work", d.withReplica((*DataCentre).serveWork))
	mux.HandleFunc("GET /{replica}/v1/health", d.withReplica((*DataCentre).serveHealth))
	d.handleAdmin(mux)
	return newTrackingServer(mux)
}

// Serve serves all replicas and the admin API on l until l is closed.
func (d *DataCentre) Serve(l net.Listener) error { return d.Server().Serve(l) }

type replicaHandlerFunc func(d *DataCentre, w http.ResponseWriter, req *http.Request, r *replica)

// withReplica returns a handler that calls serve with the replica named in the path.
func (d *DataCentre) withReplica(serve replicaHandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		r, ok := d.replicas[req.PathValue("replica")]
		if !ok {
			http.NotFound(w, req)
			return
		}
		serve(d, w, req, r)
	}
}

// replicaHandler returns the handler for the replica's own listener.
func (d *DataCentre) replicaHandler(r *replica) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/work", func(w http.ResponseWriter, req *http.Request) { d.serveWork(w, req, r) })
	mux.HandleFunc("GET /v1/health", func(w http.ResponseWriter, req *http.Request) { d.serveHealth(w, req, r) })
	return mux
}

func (d *DataCentre) serveWork(w http.ResponseWriter, req *http.Request, r *replica) {
	// net/http detects a closed connection only after the body has been read.
	body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	q, problem := parseRequest(body)
	if problem != "" {
		http.Error(w, problem, http.StatusBadRequest)
		return
	}
	if !bindConnection(req, r) {
		panic(http.ErrAbortHandler)
	}
	writeOutcome(w, r.handle(req.Context(), q, d.outOfServiceSince()))
}

// bindConnection binds the connection of the request to the replica. It returns false if
// the replica refuses the connection.
func bindConnection(req *http.Request, r *replica) bool {
	c, ok := req.Context().Value(connectionKey{}).(*connection)
	return !ok || c.bind(req.Context(), r)
}

// parseRequest returns the request, or a message that tells why it is invalid.
func parseRequest(body []byte) (upstream.Request, string) {
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

// writeOutcome sends the reply as its delivery requires.
func writeOutcome(w http.ResponseWriter, o outcome) {
	if o.delivery == replyLost {
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
	if o.delivery == replyTruncated {
		w.Write(data[:len(data)/2])
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	w.Write(data)
}

// health is the body of a health response.
type health struct {
	Status      string             `json:"status"`
	Service     string             `json:"service"`
	Incarnation string             `json:"incarnation"`
	Held        []uint64           `json:"held"`
	Partition   upstream.HashRange `json:"partition"`
	Load        upstream.Load      `json:"load"`
}

func (d *DataCentre) serveHealth(w http.ResponseWriter, req *http.Request, r *replica) {
	if !bindConnection(req, r) || !r.awaitThaw(req.Context(), r.currentLifetime()) {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, r.health())
}

func (r *replica) health() health {
	r.mu.Lock()
	defer r.mu.Unlock()
	baseReply := r.baseReply(time.Now(), "")
	status := "ok"
	if baseReply.Load.Draining {
		status = "draining"
	}
	return health{
		Status: status, Service: r.cfg.Service, Incarnation: baseReply.Incarnation, Held: baseReply.Held,
		Partition: baseReply.Partition, Load: baseReply.Load,
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(value)
}
