// Package layout describes the data centres, services and replicas that Indus and Abay
// run today (section 1.5 of the design). Trials generate the configuration document and
// the upstream stand-ins from it.
package layout

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/configuration"
	"github.com/marigoldlever/marigoldlever/contract"
	"github.com/marigoldlever/marigoldlever/upstream"
)

// Layout describes the deployment of one organisation.
type Layout struct {
	Name                 string
	Region               string
	DataCentres          []string
	InterDataCentreDelay time.Duration // one way, between data centres
	CallerDelay          time.Duration // one way
	Groups               []Group
	Units                []contract.Unit
	Contracts            []contract.Contract
}

// Group is a data set whose services all have the same numbers of replicas, slots and
// connections.
type Group struct {
	Name         string
	Services     int
	Replicas     int // of each service, spread over the data centres
	Slots        int // of each replica
	Connections  int // of each replica
	ConnectDelay time.Duration
}

// Replica is a replica with its group, its service and its partition.
type Replica struct {
	configuration.Replica
	Group        string
	Service      string
	Partition    upstream.HashRange
	ConnectDelay time.Duration
}

// Named returns the layout with the given name.
func Named(name string) (Layout, error) {
	for _, l := range []Layout{Indus(), Abay()} {
		if l.Name == name {
			return l, nil
		}
	}
	return Layout{}, errors.Newf("no layout %q", name)
}

// Indus is the layout of Indus Groundwater Records. Its contracts prefer
// coverage, because officers need complete answers to act on.
func Indus() Layout {
	return Layout{
		Name:                 "indus",
		Region:               "indus",
		DataCentres:          []string{"lahore-a", "hyderabad-a", "peshawar-a"},
		InterDataCentreDelay: time.Millisecond,
		CallerDelay:          time.Millisecond,
		Groups: []Group{
			shardedGroup("licence-desk", 20), shardedGroup("depth-survey", 30),
			singleServiceGroup("owner-records", 5, 3, 100), singleServiceGroup("tehsil-reports", 3, 3, 100),
		},
		// Units of the old well registers: 1 vipal is 2/5 second, 1 anna is a
		// sixteenth, and 1 charsa is the load that one bullock team lifts at a time.
		Units: []contract.Unit{
			{Name: "vipal", Dimension: contract.Time, Factor: "2/5"},
			{Name: "anna", Dimension: contract.Share, Factor: "1/16"},
			{Name: "charsa", Dimension: contract.Load, Factor: "1"},
		},
		Contracts: []contract.Contract{
			indusContract("licence-check", "2 charsa", "licence-desk"),
			indusContract("well-search", "2 charsa", "licence-desk", "depth-survey"),
			indusContract("permit-filing", "3 charsa", "owner-records", "tehsil-reports"),
		},
	}
}

// Abay is the layout of Abay Scrap Weighbridge Franchise. Its gate contracts
// prefer latency, because a truck occupies the scale until the answer arrives. The yard
// totals may be late but not incomplete.
func Abay() Layout {
	return Layout{
		Name:                 "abay",
		Region:               "abay",
		DataCentres:          []string{"bole", "kality", "merkato", "akaki"},
		InterDataCentreDelay: 1500 * time.Microsecond,
		CallerDelay:          3 * time.Millisecond,
		Groups: []Group{
			shardedGroup("gate-desk", 20), shardedGroup("buyer-portal", 30),
			singleServiceGroup("finance-ledger", 4, 6, 50), singleServiceGroup("fleet-log", 4, 6, 50),
		},
		// Units of the old weighbridges: 1 gate turn is the time in which the gate
		// lifts, 1 quintal is a hundredth, and 1 barrow is one load of the scale.
		Units: []contract.Unit{
			{Name: "gate-turn", Dimension: contract.Time, Factor: "17/100"},
			{Name: "quintal", Dimension: contract.Share, Factor: "1/100"},
			{Name: "barrow", Dimension: contract.Load, Factor: "1"},
		},
		Contracts: []contract.Contract{
			gateContract("gate-check", "gate-desk"),
			gateContract("ticket-search", "gate-desk", "buyer-portal"),
			ledgerContract("payout", "5 gate-turn", "finance-ledger"),
			ledgerContract("yard-totals", "30 gate-turn", "finance-ledger", "fleet-log"),
		},
	}
}

// shardedGroup returns a group of many services whose replicas have few slots and are
// expensive to connect to.
func shardedGroup(name string, services int) Group {
	return Group{
		Name: name, Services: services, Replicas: 2,
		Slots: 2, Connections: 25, ConnectDelay: 6 * time.Millisecond,
	}
}

// singleServiceGroup returns a group that consists of one service.
func singleServiceGroup(name string, replicas, slots, connections int) Group {
	return Group{
		Name: name, Services: 1, Replicas: replicas,
		Slots: slots, Connections: connections, ConnectDelay: time.Millisecond,
	}
}

// indusContract returns a contract that waits for the complete answer for at most 2 s.
func indusContract(name string, load contract.Quantity, groups ...string) contract.Contract {
	return contract.Contract{
		Name: name, Groups: groups,
		AnswerTime: "5 vipal", MinimumCoverage: "14 anna", UpstreamLoad: load,
		Prefer: contract.PreferCoverage,
	}
}

// gateContract returns a contract that is answered at its latency goal of 170 ms, or
// later as soon as the minimum coverage is reached.
func gateContract(name string, groups ...string) contract.Contract {
	return contract.Contract{
		Name: name, Groups: groups,
		AnswerTime: "5 gate-turn", MinimumCoverage: "90 quintal", UpstreamLoad: "2 barrow",
		Prefer: contract.PreferLatency, LatencyGoal: "1 gate-turn",
	}
}

// ledgerContract returns a contract that accepts only complete answers.
func ledgerContract(name string, time contract.Quantity, groups ...string) contract.Contract {
	return contract.Contract{
		Name: name, Groups: groups,
		AnswerTime: time, MinimumCoverage: "100 quintal", UpstreamLoad: "6 barrow",
		Prefer: contract.PreferCoverage,
	}
}

// Replicas returns all replicas. The n-th replica, counted from 0, has the port of base
// plus n, so that every process of a trial derives the same addresses.
func (l Layout) Replicas(base netip.AddrPort) []Replica {
	var replicas []Replica
	for _, g := range l.Groups {
		for s, partition := range upstream.Split(g.Services) {
			for n := range g.Replicas {
				dataCentre := l.DataCentres[(s+n)%len(l.DataCentres)]
				port := base.Port() + uint16(len(replicas))
				replicas = append(replicas, g.replica(s, n, dataCentre, netip.AddrPortFrom(base.Addr(), port), partition))
			}
		}
	}
	return replicas
}

func (g Group) replica(service, n int, dataCentre string, address netip.AddrPort, partition upstream.HashRange) Replica {
	name := g.service(service)
	return Replica{
		Replica: configuration.Replica{
			ID: fmt.Sprintf("%s-%d", name, n+1), DataCentre: dataCentre, Address: address.String(),
			Slots: g.Slots, Connections: g.Connections,
		},
		Group: g.Name, Service: name, Partition: partition, ConnectDelay: g.ConnectDelay,
	}
}

// service returns the name of the n-th service. The only service of a group has the
// group's name.
func (g Group) service(n int) string {
	if g.Services == 1 {
		return g.Name
	}
	return fmt.Sprintf("%s-%02d", g.Name, n+1)
}

// Document returns the configuration document with the addresses that Replicas
// returns.
func (l Layout) Document(base netip.AddrPort) configuration.Document {
	doc := configuration.Document{Units: l.Units, Contracts: l.Contracts}
	for _, name := range l.DataCentres {
		doc.DataCentres = append(doc.DataCentres, configuration.DataCentre{Name: name, Region: l.Region})
	}
	for _, r := range l.Replicas(base) {
		g := lastOrNew(&doc.Groups, func(g configuration.Group) bool { return g.Name == r.Group })
		g.Name = r.Group
		s := lastOrNew(&g.Services, func(s configuration.Service) bool { return s.Name == r.Service })
		s.Name, s.Partition = r.Service, r.Partition
		s.Replicas = append(s.Replicas, r.Replica)
	}
	return doc
}

// lastOrNew returns the last element if it matches. Otherwise it appends a new element
// and returns that.
func lastOrNew[T any](list *[]T, matches func(T) bool) *T {
	if n := len(*list); n == 0 || !matches((*list)[n-1]) {
		*list = append(*list, *new(T))
	}
	return &(*list)[len(*list)-1]
}
