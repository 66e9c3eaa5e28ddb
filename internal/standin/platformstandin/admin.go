package platformstandin

import (
	"encoding/json"
	"net/http"
)

// handleAdmin adds the admin API: PUT and GET /admin/faults, GET /admin/history (with
// ?object=NAME for one object and ?values=true to include the values), GET /admin/counts
// and GET /admin/hosts, and POST /admin/restore with ?age_ms=N. Faults do not affect it.
func (p *Platform) handleAdmin(mux *http.ServeMux) {
	mux.HandleFunc("PUT /admin/faults", p.servePutFaults)
	mux.HandleFunc("GET /admin/faults", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Faults()) })
	mux.HandleFunc("GET /admin/history", p.serveHistory)
	mux.HandleFunc("GET /admin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Counts()) })
	mux.HandleFunc("POST /admin/restore", p.serveRestore)
	mux.HandleFunc("GET /admin/hosts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.CurrentHosts()) })
}

// servePutFaults replaces all faults. It rejects unknown fields, because with a misspelt
// field a trial would run without the intended fault and pass.
func (p *Platform) servePutFaults(w http.ResponseWriter, r *http.Request) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	decoder.DisallowUnknownFields()
	var f Faults
	if err := decoder.Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
	writeJSON(w, f)
}

func (p *Platform) serveHistory(w http.ResponseWriter, r *http.Request) {
	writes := p.History()
	if name := r.URL.Query().Get("object"); name != "" {
		writes = p.HistoryOf(name)
	}
	if r.URL.Query().Get("values") != "true" {
		for i := range writes {
			writes[i].Value = nil
		}
	}
	writeJSON(w, writes)
}
