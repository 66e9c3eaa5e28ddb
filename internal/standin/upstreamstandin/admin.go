package upstreamstandin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// AdminRequest is the body of every PUT request under /admin/. The comment of a field
// names the paths that use it.
type AdminRequest struct {
	Replicas     Selector            `json:"replicas"`            // all paths except out and snapshot
	Faults       *Faults             `json:"faults,omitempty"`    // faults
	Mode         LeaveMode           `json:"mode,omitempty"`      // leave; empty means stay
	Action       Action              `json:"action,omitempty"`    // state
	OutOfService bool                `json:"out,omitempty"`       // out
	Snapshot     uint64              `json:"snapshot,omitempty"`  // snapshot
	SpreadMS     int                 `json:"spread_ms,omitempty"` // snapshot: each replica gets it at a random time within this one
	Partition    *upstream.HashRange `json:"partition,omitempty"` // partition; null removes it
}

// Action changes the state of replicas.
type Action string

// The actions of PUT /admin/state.
const (
	ActionFreeze   Action = "freeze"
	ActionThaw     Action = "thaw"
	ActionCrash    Action = "crash"
	ActionRestart  Action = "restart"
	ActionMakeCold Action = "chill"
)

// handleAdmin adds the admin API: PUT of an AdminRequest to /admin/faults, leave, state,
// out, snapshot and partition, and GET of /admin/record and /admin/replicas.
func (d *DataCentre) handleAdmin(mux *http.ServeMux) {
	mux.HandleFunc("PUT /admin/faults", handleRequest(d.applyFaults))
	mux.HandleFunc("PUT /admin/leave", handleRequest(func(c AdminRequest) error { return d.Leave(c.Replicas, c.Mode) }))
	mux.HandleFunc("PUT /admin/state", handleRequest(d.applyAction))
	mux.HandleFunc("PUT /admin/out", handleRequest(func(c AdminRequest) error { d.SetOutOfService(c.OutOfService); return nil }))
	mux.HandleFunc("PUT /admin/snapshot", handleRequest(d.publishSnapshot))
	mux.HandleFunc("PUT /admin/partition", handleRequest(d.applyPartition))
	mux.HandleFunc("GET /admin/record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Record()) })
	mux.HandleFunc("GET /admin/replicas", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.addresses()) })
}

// handleRequest returns the handler of one path. It rejects unknown fields, because with
// a misspelt field a trial would run without the intended fault and pass.
func handleRequest(apply func(AdminRequest) error) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes))
		decoder.DisallowUnknownFields()
		var c AdminRequest
		if err := decoder.Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := apply(c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		writeJSON(w, c)
	}
}

func (d *DataCentre) applyFaults(c AdminRequest) error {
	if c.Faults == nil {
		return errors.New("faults are missing")
	}
	return d.SetFaults(c.Replicas, *c.Faults)
}

func (d *DataCentre) applyAction(c AdminRequest) error {
	switch c.Action {
	case ActionFreeze:
		return d.Freeze(c.Replicas)
	case ActionThaw:
		return d.Thaw(c.Replicas)
	case ActionCrash:
		return d.Crash(c.Replicas)
	case ActionRestart:
		return d.Restart(c.Replicas)
	case ActionMakeCold:
		return d.MakeCold(c.Replicas)
	}
	return errors.Newf("unknown action %q", string(c.Action))
}

func (d *DataCentre) publishSnapshot(c AdminRequest) error {
	if c.Snapshot == 0 {
		return errors.New("snapshot is missing")
	}
	d.Publish(c.Snapshot, time.Duration(c.SpreadMS)*time.Millisecond)
	return nil
}

func (d *DataCentre) applyPartition(c AdminRequest) error {
	if c.Partition == nil {
		return d.DropPartition(c.Replicas)
	}
	if !c.Partition.Valid() {
		return errors.New("partition is empty")
	}
	return d.SetPartition(c.Replicas, *c.Partition)
}

// addresses returns the listener address of each replica, which is empty for a replica
// that only the shared listener serves.
func (d *DataCentre) addresses() map[string]string {
	addresses := make(map[string]string, len(d.ids))
	for _, id := range d.ids {
		r := d.replicas[id]
		r.mu.Lock()
		addresses[id] = ""
		if r.ownListener != nil {
			addresses[id] = r.ownListener.address
		}
		r.mu.Unlock()
	}
	return addresses
}
