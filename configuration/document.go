// Package configuration holds the configuration document, its numbered
// versions and the patches between them.
//
// The number of the current version and the recent patches are one object of
// the platform, ObjectName; two more objects hold checkpoints, which are whole
// versions that the recent patches follow. An Editor turns a patch into a
// conditional update of ObjectName. A Tracker keeps the newest version that a
// host knows of and never goes back to a lower number; it takes versions from
// the platform or from a peer that is ahead. Both are pure state machines:
// events go in with the time at which they happened, and actions come out.
//
// Documents and versions are immutable once made and share the parts that a
// patch did not change, so a receiver must not change them.
package configuration

import (
	"github.com/marigoldlever/marigoldlever/contract"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// ObjectName is the platform object whose conditional update accepts a patch.
// It holds the number and the digest of the current version, the recent patches
// and the place of the checkpoint that they follow.
const ObjectName = "configuration/current"

// Bounds on documents and patches.
const (
	// MaxDocumentBytes is the largest JSON form of a document. It also bounds
	// what is read from a compressed value.
	MaxDocumentBytes = 16 << 20
	// MaxPatchBytes is the largest body of a patch. The first patch carries
	// the whole document.
	MaxPatchBytes = MaxDocumentBytes
	// MaxReplicas is the largest number of replicas in a document.
	MaxReplicas = 100_000
	// MaxConnections is the largest number of connections of a replica.
	MaxConnections = 1 << 20
)

// Document is the configuration. Its canonical form is that of encoding/json,
// with an empty array in place of an absent one.
//
// A daemon that does not know a field refuses the versions that use it, because
// their digest does not match. A new field therefore needs omitempty, and may
// be used once all daemons know it.
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

// Service holds one partition of a group on each of its replicas.
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
	// Number counts accepted patches. 0 is the empty document that the first
	// patch is based on.
	Number   uint64
	Document Document
	// Patches are the most recent accepted patches, oldest first. The last one
	// led to this version.
	Patches []PatchRecord
	// Digest identifies the content of the document.
	Digest string
}

// normalise replaces absent arrays by empty ones and shares the names of data
// centres, which every replica repeats.
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

// normaliseHeader normalises all but the groups.
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

// centreNames returns the names of the data centres.
func (d *Document) centreNames() map[string]string {
	names := make(map[string]string, len(d.DataCentres))
	for _, c := range d.DataCentres {
		names[c.Name] = c.Name
	}
	return names
}

// normalise replaces an absent array and shares the names of data centres.
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
