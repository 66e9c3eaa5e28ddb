package upstreamstandin

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
)

// AdminRequest is the body of every PUT under /admin/. Each path uses the fields
// named in its comment.
type AdminRequest struct {
	Replicas     Selector            `json:"replicas"`            // all paths but out and snapshot
	Faults       *Faults             `json:"faults,omitempty"`    // faults
	Mode         LeaveMode           `json:"mode,omitempty"`      // leave: quiet, report, refuse, or empty to stay
	Action       Action              `json:"action,omitempty"`    // state
	OutOfService bool                `json:"out,omitempty"`       // out
	Snapshot     uint64              `json:"snapshot,omitempty"`  // snapshot
	SpreadMS     int                 `json:"spread_ms,omitempty"` // snapshot: time over which the replicas follow
	Partition    *upstream.HashRange `json:"partition,omitempty"` // partition; none drops it
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

// handleAdmin adds the control: PUT /admin/faults, leave, state, out, snapshot
// and partition, each with an AdminRequest; GET /admin/record and /admin/replicas.
func (d *DataCentre) handleAdmin(mux *http.ServeMux) {
	mux.HandleFunc("PUT /admin/faults", control(d.controlFaults))
	mux.HandleFunc("PUT /admin/leave", control(func(c AdminRequest) error { return d.Leave(c.Replicas, c.Mode) }))
	mux.HandleFunc("PUT /admin/state", control(d.controlState))
	mux.HandleFunc("PUT /admin/out", control(func(c AdminRequest) error { d.SetOutOfService(c.OutOfService); return nil }))
	mux.HandleFunc("PUT /admin/snapshot", control(d.controlSnapshot))
	mux.HandleFunc("PUT /admin/partition", control(d.controlPartition))
	mux.HandleFunc("GET /admin/record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.Record()) })
	mux.HandleFunc("GET /admin/replicas", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, d.addresses()) })
}

// control serves one path. An unknown field is refused, since a misspelt one
// would make a trial pass without its fault.
func control(apply func(AdminRequest) error) http.HandlerFunc {
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

func (d *DataCentre) controlFaults(c AdminRequest) error {
	if c.Faults == nil {
		return errors.New("faults are missing")
	}
	return d.SetFaults(c.Replicas, *c.Faults)
}

func (d *DataCentre) controlState(c AdminRequest) error {
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

func (d *DataCentre) controlSnapshot(c AdminRequest) error {
	if c.Snapshot == 0 {
		return errors.New("snapshot is missing")
	}
	d.Publish(c.Snapshot, time.Duration(c.SpreadMS)*time.Millisecond)
	return nil
}

func (d *DataCentre) controlPartition(c AdminRequest) error {
	if c.Partition == nil {
		return d.DropPartition(c.Replicas)
	}
	if !c.Partition.Valid() {
		return errors.New("partition is empty")
	}
	return d.SetPartition(c.Replicas, *c.Partition)
}

// addresses returns the address of each replica that has its own listener, and
// an empty one for those behind the shared listener.
func (d *DataCentre) addresses() map[string]string {
	addresses := make(map[string]string, len(d.ids))
	for _, id := range d.ids {
		r := d.replicas[id]
		r.mu.Lock()
		addresses[id] = ""
		if r.own != nil {
			addresses[id] = r.own.address
		}
		r.mu.Unlock()
	}
	return addresses
}
