// Package configuration holds the configuration document, its numbered
// versions and the patches between them.
//
// The platform object ObjectName, called the head, holds the number of the current
// version and the recent patches. Two more objects hold checkpoints: whole versions
// on which the recent patches are based. An Editor turns a patch into a conditional
// update of the head. A Tracker keeps the newest version that a host knows of and
// never returns to a lower number. It gets versions from the platform or from peers
// with a newer version. Both are pure state machines: their methods take events
// with the current time and return actions for the caller, called the shell here.
//
// Documents and versions are immutable and share the parts that a patch did not
// change, so a receiver must not modify them.
package configuration

import (
	"github.com/marigoldlever/marigoldlever/contract"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// ObjectName is the name of the head. A patch is accepted when a conditional update
// of the head succeeds. The head holds the number and the digest of the current
// version, the recent patches and a reference to the checkpoint on which they are
// based.
const ObjectName = "configuration/current"

// Bounds on documents and patches.
const (
	// MaxDocumentBytes is the largest size of a document as JSON. It also bounds
	// what is decompressed from a stored value.
	MaxDocumentBytes = 16 << 20
	// MaxPatchBytes is the largest body of a patch. The first patch contains
	// the whole document.
	MaxPatchBytes = MaxDocumentBytes
	// MaxReplicas is the largest number of replicas in a document.
	MaxReplicas = 100_000
	// MaxConnections is the largest number of connections of a replica.
	MaxConnections = 1 << 20
)

// Document is the configuration. Its canonical form is the output of encoding/json,
// with empty arrays instead of absent ones.
//
// A daemon that does not know a field rejects the versions that use it, because
// their digest does not match. A new field therefore needs omitempty, and must not
// be used before all daemons know it.
type Document struct {
	Units       []contract.Unit     `json:"units"`
	Contracts   []contract.Contract `json:"contracts"`
	DataCentres []DataCentre        `json:"data_centres"`
	Groups      []Group             `json:"groups"`
}

// DataCentre is one data centre. Out takes it out of service: it gets no work.
type DataCentre struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	Out    bool   `json:"out"`
}

// Group is a data set whose hash space is divided among services.
type Group struct {
	Name     string    `json:"name"`
	Services []Service `json:"services"`
}

// Service serves one partition of a group. Each of its replicas holds the whole
// partition.
type Service struct {
	Name      string             `json:"name"`
	Partition upstream.HashRange `json:"partition"`
	Replicas  []Replica          `json:"replicas"`
}

// Replica is one upstream.
type Replica struct {
	ID         string `json:"id"`
	DataCentre string `json:"data_centre"`
	// Address is an IP address and a port.
	Address string `json:"address"`
	// Slots is the number of requests that the upstream serves at once.
	Slots int `json:"slots"`
	// Connections is the number of connections that the upstream accepts.
	Connections int `json:"connections"`
}

// Version is one numbered version of the configuration.
type Version struct {
	// Number is the number of accepted patches. Version 0 is the empty document,
	// the base of the first patch.
	Number   uint64
	Document Document
	// Patches are the most recent accepted patches, oldest first. The last one
	// resulted in this version.
	Patches []PatchRecord
	// Digest identifies the content of the document.
	Digest string
}

// normalise replaces absent arrays with empty ones. Every replica repeats the name
// of its data centre, so these names are made to share memory.
func (d *Document) normalise() {
	d.normaliseHeader()
	if d.Groups == nil {
		d.Groups = []Group{}
	}
	names := d.centreNames()
	for i := range d.Groups {
		g := &d.Groups[i]
		if g.Services == nil {
			g.Services = []Service{}
		}
		for j := range g.Services {
			g.Services[j].normalise(names)
		}
	}
}

// normaliseHeader normalises everything except the groups.
func (d *Document) normaliseHeader() {
	if d.Units == nil {
		d.Units = []contract.Unit{}
	}
	if d.Contracts == nil {
		d.Contracts = []contract.Contract{}
	}
	for i := range d.Contracts {
		if d.Contracts[i].Groups == nil {
			d.Contracts[i].Groups = []string{}
		}
	}
	if d.DataCentres == nil {
		d.DataCentres = []DataCentre{}
	}
}

// centreNames returns the names of the data centres, each mapped to itself.
func (d *Document) centreNames() map[string]string {
	names := make(map[string]string, len(d.DataCentres))
	for _, c := range d.DataCentres {
		names[c.Name] = c.Name
	}
	return names
}

// normalise replaces an absent array and makes the replicas share the names of
// data centres.
func (s *Service) normalise(centres map[string]string) {
	if s.Replicas == nil {
		s.Replicas = []Replica{}
	}
	for i := range s.Replicas {
		if name, ok := centres[s.Replicas[i].DataCentre]; ok {
			s.Replicas[i].DataCentre = name
		}
	}
}
