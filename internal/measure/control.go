package measure

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/contract"
	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/layout"
	"github.com/marigoldlever/marigoldlever/internal/settings"
	"github.com/marigoldlever/marigoldlever/internal/trial"
	"github.com/marigoldlever/marigoldlever/membership"
)

const (
	// settleTime lets the news of the start die down before the measured part.
	settleTime = 5 * time.Second
	// contractName and groupName are those of the generated layout.
	contractName = "measure"
	groupName    = "shards"
	// The slots and connections of each replica, as of the desks (design section
	// 1.5).
	replicaSlots       = 2
	replicaConnections = 25
)

// ControlPlaneOptions describe one run without load.
type ControlPlaneOptions struct {
	Centres  int // data centres
	Hosts    int // daemons in each data centre
	Services int
	Replicas int     // of each service
	Changes  float64 // configuration changes a day
	Duration time.Duration
	Seed     uint64
	// Heartbeat is the time between two heartbeats; 0 takes the default. Forty
	// daemons in one process on a busy machine are late with short ones, and take
	// each other for dead.
	Heartbeat time.Duration
	// Warm sends queries before the measured part, so that owners have limiters.
	Warm bool
}

// ControlPlaneResult is the cost of one run. Figures of hosts are means over all hosts
// and the measured part, unless they say otherwise.
type ControlPlaneResult struct {
	Centres  int     `json:"centres"`
	Hosts    int     `json:"hosts_per_centre"`
	Replicas int     `json:"replicas"`
	Changes  float64 `json:"changes_per_day"`
	Warm     bool    `json:"warm"`

	ProcessorMS float64 `json:"processor_ms_per_s"` // for each host
	AllocatedKB float64 `json:"allocated_kb_per_s"` // for each host
	HeapKB      float64 `json:"heap_kb"`            // for each host
	Goroutines  float64 `json:"goroutines"`         // for each host

	CallsSent         float64 `json:"calls_per_s"`
	NotificationsSent float64 `json:"notifications_per_s"`
	SentBytes         float64 `json:"sent_bytes_per_s"`
	ReceivedBytes     float64 `json:"received_bytes_per_s"`
	MaxSentBytes      float64 `json:"max_sent_bytes_per_s"`     // of the host that sent most
	MaxReceivedBytes  float64 `json:"max_received_bytes_per_s"` // of the host that received most
	Links             float64 `json:"links"`

	Platform map[string]float64 `json:"platform_calls_per_s"` // in total, by kind

	Patches      int     `json:"patches"`
	InForceP50MS float64 `json:"in_force_p50_ms"` // from sending the patch until the last host has it
	InForceMaxMS float64 `json:"in_force_max_ms"`
}

// ControlPlane measures a system that carries no load.
func ControlPlane(ctx context.Context, o ControlPlaneOptions) (ControlPlaneResult, error) {
	calls := &callCounter{counts: make(map[string]int)}
	var before usage
	c, err := trial.Start(ctx, trial.Options{
		Layout: o.layout(), HostsPerDataCentre: o.Hosts, Seed: o.Seed, Work: layout.DefaultWork,
		Settings: o.times, PlatformMiddleware: calls.wrap,
		BeforeHostsStart: func() { before = settledUsage() },
	})
	if err != nil {
		return ControlPlaneResult{}, errors.Wrap(err, "start")
	}
	defer c.Close()
	if err := c.AwaitReady(ctx); err != nil {
		return ControlPlaneResult{}, err
	}
	client := api.NewClient(c.Hosts[0].Settings.Host.CallerAddress, 1)
	defer client.Close()
	if o.Warm {
		warm(ctx, c)
	}
	pause(ctx, settleTime)
	r := o.result()
	err = r.measure(ctx, o, c, client, calls, before)
	return r, err
}

// measure fills in the figures of the measured part.
func (r *ControlPlaneResult) measure(ctx context.Context, o ControlPlaneOptions, c *trial.Cluster, client *api.Client, calls *callCounter, before usage) error {
	start, startCalls, startTraffic := settledUsage(), calls.snapshot(), trafficOf(c)
	times, err := changes(ctx, c, client, o.Changes, o.Duration)
	if err != nil {
		return err
	}
	end, endCalls, endTraffic := processUsage(), calls.snapshot(), trafficOf(c)
	settled := settledUsage()
	hosts, seconds := float64(len(c.Hosts)), end.at.Sub(start.at).Seconds()
	r.ProcessorMS = (end.processor - start.processor).Seconds() * 1000 / seconds / hosts
	r.AllocatedKB = float64(end.allocated-start.allocated) / 1000 / seconds / hosts
	r.HeapKB = (float64(settled.heap) - float64(before.heap)) / 1000 / hosts
	r.Goroutines = float64(settled.goroutines-before.goroutines) / hosts
	r.addTraffic(startTraffic, endTraffic, seconds)
	r.Platform = make(map[string]float64)
	for kind, n := range endCalls {
		if n > startCalls[kind] {
			r.Platform[kind] = float64(n-startCalls[kind]) / seconds
		}
	}
	r.addTimes(times)
	return nil
}

func (o ControlPlaneOptions) result() ControlPlaneResult {
	return ControlPlaneResult{Centres: o.Centres, Hosts: o.Hosts, Replicas: o.Services * o.Replicas, Changes: o.Changes, Warm: o.Warm}
}

// layout returns a layout of one group whose services are alike.
func (o ControlPlaneOptions) layout() layout.Layout {
	l := layout.Layout{
		Name: "measure", Region: "measure",
		Groups: []layout.Group{{
			Name: groupName, Services: o.Services, Replicas: o.Replicas, Slots: replicaSlots, Connections: replicaConnections,
		}},
		Units: []contract.Unit{
			{Name: "tick", Dimension: contract.Time, Factor: "1"},
			{Name: "percent", Dimension: contract.Share, Factor: "1/100"},
		},
		Contracts: []contract.Contract{{
			Name: contractName, Groups: []string{groupName}, AnswerTime: "2 tick", MinimumCoverage: "50 percent",
			UpstreamLoad: "2 slot", Prefer: contract.PreferCoverage,
		}},
	}
	for i := range o.Centres {
		l.DataCentres = append(l.DataCentres, fmt.Sprintf("dc-%d", i+1))
	}
	return l
}

// times takes the times that daemons have outside of trials.
func (o ControlPlaneOptions) times(s *settings.Settings) {
	d, err := settings.Parse("measure", []byte(
		"[host]\nid = x\ndata_centre = x\ncaller_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\n[platform]\naddress = 127.0.0.1:3\n"))
	if err != nil {
		panic(err) // the text above is constant
	}
	s.Ownership, s.Limits, s.Drain = d.Ownership, d.Limits, d.Drain
	s.Membership.Period = membership.DefaultConfig().Period
	if o.Heartbeat > 0 {
		s.Membership.Period = o.Heartbeat
		s.Ownership.Lease = max(s.Ownership.Lease, heartbeatsPerLease*o.Heartbeat)
	}
}

// heartbeatsPerLease is the least number that the settings allow.
const heartbeatsPerLease = 3

// warm sends queries one after the other, so that every owner gets replies. Their
// coverage doesn't matter here.
func warm(ctx context.Context, c *trial.Cluster) {
	const rounds = 20
	for i := range rounds {
		client := api.NewClient(c.Hosts[i%len(c.Hosts)].Settings.Host.CallerAddress, 1)
		_, _ = client.Query(ctx, api.QueryRequest{Contract: contractName, Request: []byte(`{"q":1}`)})
		client.Close()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(max(d, 0)):
	}
}
