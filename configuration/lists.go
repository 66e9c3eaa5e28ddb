package configuration

import (
	"bytes"
	"slices"
	"strconv"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"
)

// A JSON Patch that adds, removes, replaces or moves whole groups or services does
// not access the contents of the others. It is applied to a document in which a
// stub replaces each service, so that only new services are decoded and hashed.

// stubPrefix is the prefix of the name of a stub. A patch that contains it is
// applied to the whole document. So is a patch with escape sequences, which could
// encode it.
const stubPrefix = "="

// pathClass is the kind of location that a path of a JSON Patch names.
type pathClass int

const (
	otherPath   pathClass = iota
	outsidePath           // a location outside the groups
	groupPath             // a group
	servicePath           // a service
)

// classifyPath returns the class of a path.
func classifyPath(path string) pathClass {
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

// changesOnlyLists reports whether each operation of a patch either changes
// something outside the groups or changes a list of groups or services without
// accessing their contents.
func changesOnlyLists(p Patch) bool {
	if p.Type != JSONPatch || bytes.ContainsAny(p.Body, stubPrefix+`\`) {
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
		class := classifyPath(paths[0])
		for _, path := range paths {
			if classifyPath(path) != class {
				return false
			}
		}
		listOperation := slices.Contains([]string{"add", "remove", "replace", "move"}, o.Kind())
		if class == otherPath || class != outsidePath && !listOperation {
			return false
		}
	}
	return true
}

// patchedLists applies a patch to a document with stubs. It reports false if the
// patch needs the whole document, or if it fails; the caller then applies it to the
// whole document to find the problems.
func (s *snapshot) patchedLists(p Patch, mode decodeMode) (*snapshot, bool) {
	if !changesOnlyLists(p) {
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
			digest, ok := s.resolveStub(&services[j])
			if !ok {
				return nil, false
			}
			next.digests[i][j] = digest
		}
	}
	next.computeDigest()
	return next, true
}

// stubs returns the document with a stub for each service.
func (s *snapshot) stubs() Document {
	d := s.Document
	d.Groups = slices.Clone(d.Groups)
	for i := range d.Groups {
		stubs := make([]Service, len(d.Groups[i].Services))
		for j := range stubs {
			stubs[j] = Service{Name: stubPrefix + strconv.Itoa(i) + "/" + strconv.Itoa(j), Replicas: []Replica{}}
		}
		d.Groups[i].Services = stubs
	}
	return d
}

// resolveStub replaces a stub with its service and returns the digest of the
// service. It reports false for a stub of a service that does not exist.
func (s *snapshot) resolveStub(service *Service) (uint64, bool) {
	place, stub := strings.CutPrefix(service.Name, stubPrefix)
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
