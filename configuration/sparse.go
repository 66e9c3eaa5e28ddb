package configuration

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/marigoldlever/marigoldlever/contract"
)

// Most patches change data centres, contracts or a few replicas. They are applied
// to a sparse document, in which the services that the patch does not touch are
// null. The cost then does not grow with the number of replicas.

// sparseDocument is a document in which untouched services are nil.
type sparseDocument struct {
	Units       []contract.Unit     `json:"units"`
	Contracts   []contract.Contract `json:"contracts"`
	DataCentres []DataCentre        `json:"data_centres"`
	Groups      []sparseGroup       `json:"groups"`
}

// sparseGroup is a group in which untouched services are nil.
type sparseGroup struct {
	Name     string     `json:"name"`
	Services []*Service `json:"services"`
}

// Indexes of the segments of the path /groups/I/services/J/FIELD, split at the
// slashes.
const (
	segmentGroups   = 1
	segmentGroup    = 2
	segmentServices = 3
	segmentService  = 4
	segmentField    = 5
)

// touchedServices returns the services whose contents the patch reads or changes.
// It reports false if the patch accesses anything else in the groups, for example a
// whole group or service; such a patch needs the whole document.
func (s *snapshot) touchedServices(p Patch) ([]servicePosition, bool) {
	if p.Type == MergePatch {
		var fields map[string]json.RawMessage
		if firstByte(p.Body) != '{' || json.Unmarshal(p.Body, &fields) != nil {
			return nil, false
		}
		_, groups := fields["groups"]
		return nil, !groups
	}
	operations, err := jsonpatch.DecodePatch(p.Body)
	if err != nil {
		return nil, false
	}
	var touched []servicePosition
	for _, o := range operations {
		for _, path := range operationPaths(o) {
			position, inside, ok := s.locate(path)
			if !ok {
				return nil, false
			}
			if inside {
				touched = append(touched, position)
			}
		}
	}
	return touched, true
}

// operationPaths returns the paths that an operation names, as parsed by the patch
// library.
func operationPaths(o jsonpatch.Operation) []string {
	var paths []string
	if path, err := o.Path(); err == nil {
		paths = append(paths, path)
	}
	if from, err := o.From(); err == nil {
		paths = append(paths, from)
	}
	return paths
}

// locate returns the service that contains the location of a path. It reports ok
// for a path inside a service or outside the groups.
func (s *snapshot) locate(path string) (p servicePosition, inside, ok bool) {
	segments := strings.Split(path, "/")
	if len(segments) <= segmentGroups || segments[0] != "" {
		return p, false, false
	}
	if segments[segmentGroups] != "groups" {
		return p, false, true
	}
	if len(segments) <= segmentField || segments[segmentServices] != "services" {
		return p, false, false
	}
	group, ok := index(segments[segmentGroup], len(s.Document.Groups))
	if !ok {
		return p, false, false
	}
	service, ok := index(segments[segmentService], len(s.Document.Groups[group].Services))
	return servicePosition{int32(group), int32(service)}, ok, ok
}

// index parses an array index in canonical form. It reports false unless the index
// is below length.
func index(text string, length int) (int, bool) {
	i, err := strconv.Atoi(text)
	if err != nil || i < 0 || i >= length || strconv.Itoa(i) != text {
		return 0, false
	}
	return i, true
}

// patchedSparse applies a patch to the touched services and to the parts of the
// document outside the groups.
func (s *snapshot) patchedSparse(p Patch, touched []servicePosition, mode decodeMode) (*snapshot, error) {
	data, err := applyBody(p.Type, canonical(s.sparse(touched)), p.Body)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxDocumentBytes {
		return nil, tooLarge("document", len(data), MaxDocumentBytes)
	}
	var d sparseDocument
	if err := mode.decode(data, &d); err != nil {
		return nil, err
	}
	if !s.sameStructure(d) {
		return nil, errors.Wrap(ErrPatch, "the patch changes the lists of groups or services unexpectedly")
	}
	return s.merge(d), nil
}

// sameStructure reports whether d has the groups of s, each with the same number of
// services.
func (s *snapshot) sameStructure(d sparseDocument) bool {
	if len(d.Groups) != len(s.Document.Groups) {
		return false
	}
	for i, g := range d.Groups {
		old := &s.Document.Groups[i]
		if g.Name != old.Name || len(g.Services) != len(old.Services) {
			return false
		}
	}
	return true
}

// sparse returns a document that contains only the touched services.
func (s *snapshot) sparse(touched []servicePosition) sparseDocument {
	d := sparseDocument{
		Units:       s.Document.Units,
		Contracts:   s.Document.Contracts,
		DataCentres: s.Document.DataCentres,
		Groups:      make([]sparseGroup, len(s.Document.Groups)),
	}
	for i := range s.Document.Groups {
		g := &s.Document.Groups[i]
		d.Groups[i] = sparseGroup{Name: g.Name, Services: make([]*Service, len(g.Services))}
	}
	for _, t := range touched {
		d.Groups[t.group].Services[t.service] = &s.Document.Groups[t.group].Services[t.service]
	}
	return d
}

// merge returns a snapshot with the services in d, and those of s where d has none.
// Patches that touchedServices accepts cannot change the number of groups or
// services.
func (s *snapshot) merge(d sparseDocument) *snapshot {
	next := &snapshot{digests: slices.Clone(s.digests)}
	next.Document = Document{
		Units: d.Units, Contracts: d.Contracts, DataCentres: d.DataCentres,
		Groups: slices.Clone(s.Document.Groups),
	}
	next.Document.normaliseHeader()
	names := next.Document.centreNames()
	for i, g := range d.Groups {
		copied := false
		for j, service := range g.Services {
			if service == nil {
				continue
			}
			if !copied {
				next.Document.Groups[i].Services = slices.Clone(next.Document.Groups[i].Services)
				next.digests[i] = slices.Clone(next.digests[i])
				copied = true
			}
			service.normalise(names)
			next.Document.Groups[i].Services[j] = *service
			next.digests[i][j] = serviceDigest(service)
		}
	}
	next.computeDigest()
	return next
}
