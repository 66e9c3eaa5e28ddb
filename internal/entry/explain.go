package entry

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/marigoldlever/marigoldlever/internal/explain"
	"github.com/marigoldlever/marigoldlever/replicas"
	"github.com/marigoldlever/marigoldlever/routing"
	"github.com/marigoldlever/marigoldlever/upstream/exchange"
)

// maxExplainBytes bounds the body of a request for an explanation.
const maxExplainBytes = 64 << 10

// explainPage answers what this host would do with a request.
func (e *Entry) explainPage(c echo.Context) error {
	var request explain.Request
	c.Request().Body = http.MaxBytesReader(c.Response(), c.Request().Body, maxExplainBytes)
	if err := c.Bind(&request); err != nil {
		return c.String(http.StatusBadRequest, "the request can't be decoded\n")
	}
	return c.JSON(http.StatusOK, e.explain(time.Now(), request))
}

// explain returns what this host would do with a request. It takes the decisions of handle and
// dispatch without their effects. The account's quota is left out, as asking for it takes a token.
func (e *Entry) explain(now time.Time, request explain.Request) explain.Report {
	report := explain.Report{Host: e.settings.Host, DataCentre: e.settings.DataCentre, Unreachable: e.reach.unreachable()}
	table := e.view.table.Load()
	if table == nil || !e.view.complete(now) {
		report.Answer = refusedWith(verdictNotReady)
		return report
	}
	report.Version = table.Version
	target := exchange.Request{Host: request.Host, Target: request.Path, Identity: exchange.Identity{Key: request.Key}}
	route, ok := findRoute(table, &target)
	if !ok {
		report.Answer = refusedWith(verdictNoRoute)
		return report
	}
	report.Route = route.Name
	account, ok := identify(table, route, &target)
	if !ok {
		report.Answer = refusedWith(verdictNoAccount)
		return report
	}
	if account != nil {
		report.Account, report.PerSecond, report.Burst = account.Name, account.RequestsPerSecond, account.Burst
	}
	e.explainServices(now, &report, route, rankOf(route, account))
	return report
}

func refusedWith(v *verdict) string { return fmt.Sprintf("refused with %d: %s", v.status, v.rule) }

// explainServices fills in where a request would be sent. A request over shards needs all its
// services, any other request one of them, picked by weight.
func (e *Entry) explainServices(now time.Time, report *explain.Report, route *routing.Route, r rank) {
	report.Priority = r.class.Priority
	report.StrongerHosts = e.offload.explain(route)
	names := route.Shards
	for _, s := range route.Services {
		names = append(names, s.Service)
	}
	for _, name := range names {
		report.Services = append(report.Services, explain.Service{Name: name, Replicas: e.explainReplicas(now, route, name)})
	}
	if len(route.Shards) > 0 {
		report.RefusalShare = e.overload.refusalShare(now, route, names, r)
		report.Required, report.Answer = e.explainSend(now, route, names)
		if slices.ContainsFunc(report.StrongerHosts, func(h explain.StrongerHost) bool { return h.Alive }) {
			report.Answer = "forwarded to the stronger host with the fewest requests in flight"
		}
		return
	}
	for i, name := range names {
		s := &report.Services[i]
		s.RefusalShare = e.overload.refusalShare(now, route, []string{name}, r)
		report.Required, s.Answer = e.explainSend(now, route, []string{name})
		report.RefusalShare = max(report.RefusalShare, s.RefusalShare)
		report.Answer = s.Answer
	}
	if len(names) > 1 {
		report.Answer = "for one of its services, picked by weight; each has an answer of its own"
	}
}

// explainSend returns how many of the services an answer needs, and what would be done with a
// request that needs them.
func (e *Entry) explainSend(now time.Time, route *routing.Route, names []string) (required int, text string) {
	available := e.availability(now, route, names)
	switch {
	case available.resumesIn() > 0:
		text = refusedWith(verdictRefused) + "; " + pausedRefusal
	case !available.enoughReachable():
		text = refusedWith(verdictRefused) + "; too few replicas are in reach"
	case !available.enoughConnections(route):
		text = refusedWith(verdictRefused) + "; too few replicas have room"
	default:
		text = "sent to the replica of each service that is expected to answer first"
	}
	return available.required, text
}

// explainReplicas returns the replicas of a service with what speaks against each.
func (e *Entry) explainReplicas(now time.Time, route *routing.Route, service string) []explain.Replica {
	permitted, unreachable := e.allowedIn(route), e.reach.unreachable()
	e.view.mu.Lock()
	statuses := e.view.registry.Statuses(now, service)
	e.view.mu.Unlock()
	result := []explain.Replica{}
	for _, s := range statuses {
		r := explain.Replica{ID: s.ID, DataCentre: s.DataCentre, Revision: s.Revision, Excluded: s.Excluded}
		switch {
		case r.Excluded != "":
		case !permitted(s.DataCentre):
			r.Excluded = "the route does not allow its region"
		case s.Pause > 0:
			r.Excluded = fmt.Sprintf("it wants no requests for %d ms", s.Pause.Milliseconds())
		default:
			r.Avoided = e.avoidedFor(s, unreachable)
		}
		result = append(result, r)
	}
	return result
}

// avoidedFor returns why a replica is chosen after others; empty if nothing speaks against it.
func (e *Entry) avoidedFor(s replicas.Status, unreachable []string) string {
	connections := e.pool.Availability(s.Incarnation())
	switch {
	case slices.Contains(unreachable, s.DataCentre):
		return "its data centre is out of reach"
	case s.ColdNow:
		return "it is cold"
	case s.Lapsed:
		return "its registration has lapsed with the store"
	case connections.AtLimit:
		return "this host's connections to it are all in use"
	case !connections.HasIdle:
		return "this host has no open connection to it"
	case s.DataCentre != e.settings.DataCentre:
		return "it is in another data centre"
	}
	return ""
}
