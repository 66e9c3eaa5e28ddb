package configuration

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/contract"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// builder builds the indexes of an Active and collects the problems of its document.
type builder struct {
	*Active
	*problems
	addresses map[netip.AddrPort]struct{}
}

// build checks the whole document. Contracts come last because they refer to
// groups.
func (b *builder) build() {
	b.dataCentres()
	b.makeIndexes()
	for i := range b.Document.Groups {
		b.group(i)
	}
	b.contracts()
}

// makeIndexes allocates the indexes at their final size, because growing them would
// dominate the cost.
func (b *builder) makeIndexes() {
	services, replicas := 0, 0
	for i := range b.Document.Groups {
		g := &b.Document.Groups[i]
		services += len(g.Services)
		for j := range g.Services {
			replicas += len(g.Services[j].Replicas)
		}
	}
	if replicas > MaxReplicas {
		b.add("/groups", ErrRange, "%d replicas, at most %d are allowed", replicas, MaxReplicas)
	}
	b.groups = make(map[string]int, len(b.Document.Groups))
	b.services = make(map[string]servicePosition, services)
	b.replicas = make(map[string]replicaPosition, replicas)
	b.addresses = make(map[netip.AddrPort]struct{}, replicas)
}

// dataCentres checks the data centres.
func (b *builder) dataCentres() {
	b.centres = make(map[string]int, len(b.Document.DataCentres))
	for i, c := range b.Document.DataCentres {
		path := "/data_centres/" + strconv.Itoa(i)
		if _, duplicate := b.centres[c.Name]; duplicate {
			b.add(path+"/name", ErrDuplicateName, "data centre %q", c.Name)
		}
		b.checkName(path+"/name", c.Name)
		b.centres[c.Name] = i
	}
	b.checkInService()
}

// checkInService checks that at least one data centre is in service.
func (b *builder) checkInService() {
	in := func(c DataCentre) bool { return !c.Out }
	if !slices.ContainsFunc(b.Document.DataCentres, in) {
		b.add("/data_centres", ErrNoDataCentre, "none of the %d data centres is in service", len(b.Document.DataCentres))
	}
}

// group checks a group and its services.
func (b *builder) group(i int) {
	g := &b.Document.Groups[i]
	path := "/groups/" + strconv.Itoa(i)
	if _, duplicate := b.groups[g.Name]; duplicate {
		b.add(path+"/name", ErrDuplicateName, "group %q", g.Name)
	}
	b.checkName(path+"/name", g.Name)
	b.groups[g.Name] = i
	if len(g.Services) == 0 {
		b.add(path+"/services", ErrEmpty, "group %q has no service", g.Name)
		return
	}
	for j := range g.Services {
		b.service(servicePosition{int32(i), int32(j)})
	}
	b.partitions(path, g)
}

// service checks a service and its replicas. Service names must be unique in the
// whole document, because requests to upstreams contain only the service name.
func (b *builder) service(p servicePosition) {
	s := &b.Document.Groups[p.group].Services[p.service]
	if _, duplicate := b.services[s.Name]; duplicate {
		b.add(p.path()+"/name", ErrDuplicateName, "service %q", s.Name)
	}
	if !contract.ValidName(s.Name) {
		b.checkName(p.path()+"/name", s.Name)
	}
	b.services[s.Name] = p
	if len(s.Replicas) == 0 {
		b.add(p.path()+"/replicas", ErrEmpty, "service %q has no replica", s.Name)
	}
	for k := range s.Replicas {
		b.replica(replicaPosition{p, int32(k)}, &s.Replicas[k])
	}
}

// path returns the location of a service as a JSON pointer.
func (p servicePosition) path() string {
	return fmt.Sprintf("/groups/%d/services/%d", p.group, p.service)
}

// path returns the location of a replica as a JSON pointer.
func (p replicaPosition) path() string {
	return fmt.Sprintf("%s/replicas/%d", p.servicePosition.path(), p.replica)
}

// replica checks a replica. Addresses must be unique, because two replicas with the
// same address would together load that upstream beyond its slots.
func (b *builder) replica(p replicaPosition, r *Replica) {
	if _, duplicate := b.replicas[r.ID]; duplicate {
		b.add(p.path()+"/id", ErrDuplicateName, "replica %q", r.ID)
	}
	if !validID(r.ID) {
		b.add(p.path()+"/id", ErrName, "%q", excerpt([]byte(r.ID)))
	}
	b.address(p, r.Address)
	b.checkPlacement(p, r)
	b.replicas[r.ID] = p
}

// address checks that an address is valid and not used by another replica, also in
// another notation.
func (b *builder) address(p replicaPosition, text string) {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil || parsed.Port() == 0 {
		b.add(p.path()+"/address", ErrAddress, "%q", excerpt([]byte(text)))
		return
	}
	key := netip.AddrPortFrom(parsed.Addr().Unmap(), parsed.Port())
	if _, duplicate := b.addresses[key]; duplicate {
		b.add(p.path()+"/address", ErrDuplicateName, "address %q", text)
	}
	b.addresses[key] = struct{}{}
}

// checkPlacement checks the data centre, slots and connections of a replica.
func (b *builder) checkPlacement(p replicaPosition, r *Replica) {
	if _, ok := b.centres[r.DataCentre]; !ok {
		b.add(p.path()+"/data_centre", ErrUnknownName, "data centre %q", excerpt([]byte(r.DataCentre)))
	}
	if r.Slots < 1 || r.Slots > contract.MaxSlots {
		b.add(p.path()+"/slots", ErrRange, "%d is not between 1 and %d", r.Slots, contract.MaxSlots)
	}
	if r.Connections < 1 || r.Connections > MaxConnections {
		b.add(p.path()+"/connections", ErrRange, "%d is not between 1 and %d", r.Connections, MaxConnections)
	}
}

// partitions checks that the services divide the hash space without gaps or
// overlaps.
func (b *builder) partitions(path string, g *Group) {
	order := make([]int, len(g.Services))
	for j := range order {
		order[j] = j
	}
	slices.SortStableFunc(order, func(x, y int) int {
		a, c := g.Services[x].Partition.Start, g.Services[y].Partition.Start
		switch {
		case a < c:
			return -1
		case a > c:
			return 1
		}
		return 0
	})
	next := uint64(0)
	for n, j := range order {
		s := &g.Services[j]
		place := fmt.Sprintf("%s/services/%d/partition", path, j)
		b.partition(place, s, next, n == 0)
		next = s.Partition.End
	}
	if next != 0 {
		b.add(path+"/services", ErrPartition, "no service covers %s", upstream.HashRange{Start: next})
	}
}

// partition checks that the partition of s starts at next.
func (b *builder) partition(place string, s *Service, next uint64, first bool) {
	p := s.Partition
	switch {
	case !p.Valid():
		b.add(place, ErrPartition, "service %q has the empty range %s", s.Name, p)
	case p.Start < next || (next == 0 && !first):
		b.add(place, ErrPartition, "the range %s of service %q overlaps another one", p, s.Name)
	case p.Start > next:
		b.add(place, ErrPartition, "no service covers %s", upstream.HashRange{Start: next, End: p.Start})
	}
}

// contracts converts the limits and checks the groups of each contract.
func (b *builder) contracts() {
	d := &b.Document
	limits, err := contract.Compile(d.Units, d.Contracts)
	var invalid *contract.InvalidError
	if errors.As(err, &invalid) {
		for _, p := range invalid.Problems {
			b.add(d.contractPath(p), p.Kind, "%s", p.Error())
		}
	}
	b.limits = limits
	for i := range d.Contracts {
		for j, name := range d.Contracts[i].Groups {
			if _, ok := b.groups[name]; !ok {
				b.add(fmt.Sprintf("/contracts/%d/groups/%d", i, j), ErrUnknownName, "group %q", excerpt([]byte(name)))
			}
		}
	}
}

// contractPath returns the location of a problem that package contract reported.
func (d *Document) contractPath(p contract.Problem) string {
	list, index := "", -1
	switch {
	case p.Contract != "":
		list = "/contracts"
		index = slices.IndexFunc(d.Contracts, func(c contract.Contract) bool { return c.Name == p.Contract })
	case p.Unit != "":
		list = "/units"
		index = slices.IndexFunc(d.Units, func(u contract.Unit) bool { return u.Name == p.Unit })
	}
	if index < 0 { // the name is empty, or there are too many contracts or units
		return list + "/" + p.Field
	}
	return fmt.Sprintf("%s/%d/%s", list, index, p.Field)
}

// checkName records a malformed name.
func (b *builder) checkName(path, name string) {
	if !contract.ValidName(name) {
		b.add(path, ErrName, "%q", excerpt([]byte(name)))
	}
}

// validID reports whether an id of a replica or patch is printable ASCII without
// white space and not too long. Ids of replicas come from the platform, so they are
// less restricted than names.
func validID(id string) bool {
	if id == "" || len(id) > contract.MaxNameLength {
		return false
	}
	for i := range len(id) {
		if id[i] <= ' ' || id[i] > '~' {
			return false
		}
	}
	return true
}
