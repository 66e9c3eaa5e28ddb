package configuration

import (
	"bytes"
	"slices"
	"strconv"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// A JSON Patch that adds, removes, replaces or moves whole groups or services
// does not look inside the others. It is applied to a document in which a stub
// stands for each service, so that only new services are decoded and hashed.

// stubMark starts the name of a stub. A patch that may contain it is applied to
// the whole document, as is one with escapes, which could hide it.
const stubMark = "="

// listPath tells what a path of a JSON Patch names.
type listPath int

const (
	otherPath   listPath = iota
	outsidePath          // a place outside the groups
	groupPath            // a group
	servicePath          // a service
)

// classify returns what a path names.
func classify(path string) listPath {
	segments := strings.Split(path, "/")
	if len(segments) <= segmentGroups || segments[0] != "" {
		return otherPath
	}
	switch {
	case segments[segmentGroups] != "groups":
		return outsidePath
	case len(segments) == segmentGroup+1:
		return groupPath
	case len(segments) == segmentService+1 && segments[segmentServices] == "services":
		return servicePath
	}
	return otherPath
}

// changesLists reports whether each operation of a patch lies outside the groups
// or changes a list without a look at its elements.
func changesLists(p Patch) bool {
	if p.Type != JSONPatch || bytes.ContainsAny(p.Body, stubMark+`\`) {
		return false
	}
	operations, err := jsonpatch.DecodePatch(p.Body)
	if err != nil {
		return false
	}
	for _, o := range operations {
		paths := operationPaths(o)
		if len(paths) == 0 {
			return false
		}
		class := classify(paths[0])
		for _, path := range paths {
			if classify(path) != class {
				return false
			}
		}
		listed := slices.Contains([]string{"add", "remove", "replace", "move"}, o.Kind())
		if class == otherPath || class != outsidePath && !listed {
			return false
		}
	}
	return true
}

// patchedLists applies a patch to stubs. It reports false for a patch that needs
// the whole document or fails, whose problems the whole document shows.
func (s *snapshot) patchedLists(p Patch, mode decodeMode) (*snapshot, bool) {
	if !changesLists(p) {
		return nil, false
	}
	data, err := applyBody(p.Type, canonical(s.stubs()), p.Body)
	if err != nil || len(data) > MaxDocumentBytes {
		return nil, false
	}
	var d Document
	if mode.decode(data, &d) != nil {
		return nil, false
	}
	d.normalise()
	next := &snapshot{Version: Version{Document: d}, digests: make([][]uint64, len(d.Groups))}
	for i := range d.Groups {
		services := d.Groups[i].Services
		next.digests[i] = make([]uint64, len(services))
		for j := range services {
			digest, ok := s.resolve(&services[j])
			if !ok {
				return nil, false
			}
			next.digests[i][j] = digest
		}
	}
	next.seal()
	return next, true
}

// stubs returns the document with a stub for each service.
func (s *snapshot) stubs() Document {
	d := s.Document
	d.Groups = slices.Clone(d.Groups)
	for i := range d.Groups {
		stubs := make([]Service, len(d.Groups[i].Services))
		for j := range stubs {
			stubs[j] = Service{Name: stubMark + strconv.Itoa(i) + "/" + strconv.Itoa(j), Replicas: []Replica{}}
		}
		d.Groups[i].Services = stubs
	}
	return d
}

// resolve replaces a stub by its service and returns the digest.
func (s *snapshot) resolve(service *Service) (uint64, bool) {
	place, stub := strings.CutPrefix(service.Name, stubMark)
	if !stub {
		return serviceDigest(service), true
	}
	i, j, _ := strings.Cut(place, "/")
	group, ok := index(i, len(s.Document.Groups))
	if !ok {
		return 0, false
	}
	position, ok := index(j, len(s.Document.Groups[group].Services))
	if !ok {
		return 0, false
	}
	*service = s.Document.Groups[group].Services[position]
	return s.digests[group][position], true
}
