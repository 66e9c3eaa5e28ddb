package configuration

import "slices"

// Most versions differ from the previous one in a few replicas or only outside the
// groups. Their indexes are the same, so Successor shares them instead of building
// them again from every replica.

// Successor validates a version that follows the version of a and returns its
// Active, which equals the result of Compile. It shares the indexes of a if names,
// ids, addresses and partitions are the same. It is fast if v shares unchanged
// services with the version of a.
func (a *Active) Successor(v Version) (*Active, error) {
	if a == nil || !a.sameCentres(&v.Document) || len(a.Document.Groups) != len(v.Document.Groups) {
		return Compile(v)
	}
	next := &Active{Version: v, centres: a.centres, groups: a.groups, services: a.services, replicas: a.replicas}
	b := &builder{Active: next, problems: &problems{}}
	for i := range v.Document.Groups {
		if !a.sameGroup(i, &v.Document.Groups[i], b) {
			return Compile(v)
		}
	}
	b.checkInService()
	b.contracts()
	if err := b.err(); err != nil {
		return nil, err
	}
	return next, nil
}

// sameCentres reports whether d has the data centres of a in the same order.
func (a *Active) sameCentres(d *Document) bool {
	return slices.EqualFunc(a.Document.DataCentres, d.DataCentres, func(x, y DataCentre) bool { return x.Name == y.Name })
}

// sameGroup reports whether g has the names, ids, addresses and partitions of group
// i. It validates the replicas of the services that changed.
func (a *Active) sameGroup(i int, g *Group, b *builder) bool {
	old := &a.Document.Groups[i]
	if g.Name != old.Name || len(g.Services) != len(old.Services) {
		return false
	}
	for j := range g.Services {
		s, before := &g.Services[j], &old.Services[j]
		if s.Name != before.Name || s.Partition != before.Partition {
			return false
		}
		if sharesReplicas(s, before) {
			continue
		}
		if !slices.EqualFunc(s.Replicas, before.Replicas, sameUpstream) {
			return false
		}
		for k := range s.Replicas {
			b.checkPlacement(replicaPosition{servicePosition{int32(i), int32(j)}, int32(k)}, &s.Replicas[k])
		}
	}
	return true
}

// sharesReplicas reports whether two services share one array of replicas.
func sharesReplicas(s, before *Service) bool {
	return len(s.Replicas) > 0 && len(s.Replicas) == len(before.Replicas) && &s.Replicas[0] == &before.Replicas[0]
}

// sameUpstream reports whether two replicas have the same id and address.
func sameUpstream(x, y Replica) bool { return x.ID == y.ID && x.Address == y.Address }
