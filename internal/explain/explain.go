// Package explain describes what an entry host would do with a request, and why. It holds the
// messages between the host and the command-line tool, and prints them.
package explain

import (
	"fmt"
	"io"
	"strings"
)

// Path is the path of the page, at the address that serves a host's metrics.
const Path = "/explain"

// Request names a request that is explained and not sent.
type Request struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Key is the API key of the caller; empty if it has none.
	Key string `json:"key,omitempty"`
}

// Report is what a host would do with a request at this moment. Its parts come from what the
// host knows; nothing is asked or sent.
type Report struct {
	Host       string `json:"host"`
	DataCentre string `json:"data_centre"`
	// Answer is what the host would do: refuse with a status, send or forward.
	Answer string `json:"answer"`
	// Version is that of the configuration in force; 0 if there is none.
	Version uint64 `json:"version"`
	Route   string `json:"route,omitempty"`
	// Account is the client account that has the key.
	Account string `json:"account,omitempty"`
	// PerSecond and Burst are the account's quota; 0 if it has none. Whether it has room now is
	// known only to the host that lends its tokens, which is not asked.
	PerSecond float64 `json:"quota_per_second,omitempty"`
	Burst     float64 `json:"quota_burst,omitempty"`
	Priority  int     `json:"priority"`
	// RefusalShare is the probability with which the request is refused because the replicas
	// are overloaded.
	RefusalShare float64 `json:"refusal_share"`
	// StrongerHosts are the hosts that such a request is forwarded to; empty if this host
	// handles it itself.
	StrongerHosts []StrongerHost `json:"stronger_hosts,omitempty"`
	// Unreachable are the data centres that this host can't reach.
	Unreachable []string  `json:"unreachable,omitempty"`
	Services    []Service `json:"services,omitempty"`
	// Required is the number of services that an answer needs.
	Required int `json:"required"`
}

// StrongerHost is a host that large requests are forwarded to.
type StrongerHost struct {
	ID       string `json:"id"`
	Alive    bool   `json:"alive"`
	InFlight int    `json:"in_flight"`
}

// Service is a service that the request needs.
type Service struct {
	Name     string    `json:"name"`
	Replicas []Replica `json:"replicas"`
	// Answer and RefusalShare are those of a request that is picked for this service; empty if
	// a request needs several services.
	Answer       string  `json:"answer,omitempty"`
	RefusalShare float64 `json:"refusal_share,omitempty"`
}

// Replica is a registered replica of a service.
type Replica struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Excluded is why the replica gets no request; empty if it may get one.
	Excluded string `json:"excluded,omitempty"`
	// Avoided is why the replica is chosen after others.
	Avoided string `json:"avoided,omitempty"`
	// Revision is the revision of the registration in the store.
	Revision uint64 `json:"revision"`
}

// maxServices is the number of services that the text names one by one; those that lack a
// replica come first.
const maxServices = 5

// Print writes the report as text.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "host %s in %s, configuration %d\n", r.Host, r.DataCentre, r.Version)
	fmt.Fprintf(w, "answer: %s\n", r.Answer)
	if r.Route == "" {
		return
	}
	fmt.Fprintf(w, "route %s, priority %d", r.Route, r.Priority)
	if r.Account != "" {
		fmt.Fprintf(w, ", account %s", r.Account)
	}
	if r.PerSecond > 0 {
		fmt.Fprintf(w, ", quota %g a second and a burst of %g (not asked whether it has room)", r.PerSecond, r.Burst)
	}
	fmt.Fprintf(w, "\nrefused for overload with probability %.2f\n", r.RefusalShare)
	for _, h := range r.StrongerHosts {
		fmt.Fprintf(w, "stronger host %s: alive %t, %d requests of this host in flight\n", h.ID, h.Alive, h.InFlight)
	}
	if len(r.Unreachable) > 0 {
		fmt.Fprintf(w, "out of reach: %s\n", strings.Join(r.Unreachable, ", "))
	}
	fmt.Fprintf(w, "%d services, of which an answer needs %d\n", len(r.Services), r.Required)
	printed := 0
	for _, lacking := range []bool{true, false} {
		for _, s := range r.Services {
			if s.lacksReplica() != lacking || printed == maxServices {
				continue
			}
			printed++
			s.print(w)
		}
	}
	if rest := len(r.Services) - printed; rest > 0 {
		fmt.Fprintf(w, "and %d more services (all with -o json)\n", rest)
	}
}

// lacksReplica reports whether no replica of the service may get a request.
func (s *Service) lacksReplica() bool {
	for _, r := range s.Replicas {
		if r.Excluded == "" {
			return false
		}
	}
	return true
}

func (s *Service) print(w io.Writer) {
	fmt.Fprintf(w, "service %s\n", s.Name)
	if s.Answer != "" {
		fmt.Fprintf(w, "  %s; refused for overload with probability %.2f\n", s.Answer, s.RefusalShare)
	}
	for _, r := range s.Replicas {
		state := "may get it"
		switch {
		case r.Excluded != "":
			state = "gets nothing: " + r.Excluded
		case r.Avoided != "":
			state = "after others: " + r.Avoided
		}
		fmt.Fprintf(w, "  %s in %s, revision %d: %s\n", r.ID, r.DataCentre, r.Revision, state)
	}
	if len(s.Replicas) == 0 {
		fmt.Fprintln(w, "  no replica is registered")
	}
}
