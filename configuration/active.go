package configuration

import (
	"github.com/marigoldlever/marigoldlever/contract"
)

// Active is a validated version with the converted limits of its contracts and
// with indexes by name. It is built once per version and is immutable.
type Active struct {
	Version
	limits   map[string]contract.Limits
	centres  map[string]int
	groups   map[string]int
	services map[string]servicePosition
	replicas map[string]replicaPosition
}

// servicePosition is the position of a service in the document.
type servicePosition struct{ group, service int32 }

// replicaPosition is the position of a replica in the document.
type replicaPosition struct {
	servicePosition
	replica int32
}

// Compile validates a version and builds its indexes. The error is an
// *InvalidError that lists every problem.
func Compile(v Version) (*Active, error) {
	a := &Active{Version: v}
	b := &builder{Active: a, problems: &problems{}}
	b.build()
	if err := b.err(); err != nil {
		return nil, err
	}
	return a, nil
}

// Contract returns the limits of the contract with the name.
func (a *Active) Contract(name string) (contract.Limits, bool) {
	l, ok := a.limits[name]
	return l, ok
}

// DataCentre returns the data centre with the name.
func (a *Active) DataCentre(name string) (DataCentre, bool) {
	i, ok := a.centres[name]
	if !ok {
		return DataCentre{}, false
	}
	return a.Document.DataCentres[i], true
}

// Out reports whether a data centre is out of service. A data centre that the
// document does not name gets no work and counts as out of service.
func (a *Active) Out(name string) bool {
	c, ok := a.DataCentre(name)
	return !ok || c.Out
}

// Group returns the group with the name.
func (a *Active) Group(name string) (*Group, bool) {
	i, ok := a.groups[name]
	if !ok {
		return nil, false
	}
	return &a.Document.Groups[i], true
}

// Service returns the service with the name, and its group.
func (a *Active) Service(name string) (*Group, *Service, bool) {
	p, ok := a.services[name]
	if !ok {
		return nil, nil, false
	}
	g := &a.Document.Groups[p.group]
	return g, &g.Services[p.service], true
}

// Replica returns the replica with the id, and its service.
func (a *Active) Replica(id string) (*Service, *Replica, bool) {
	p, ok := a.replicas[id]
	if !ok {
		return nil, nil, false
	}
	s := &a.Document.Groups[p.group].Services[p.service]
	return s, &s.Replicas[p.replica], true
}

// Replicas returns the number of replicas.
func (a *Active) Replicas() int { return len(a.replicas) }
