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
	// settleTime is the wait before the measured part, during which the gossip about
	// the start of the hosts ends.
	settleTime = 5 * time.Second
	// contractName and groupName are the names in the generated layout.
	contractName = "measure"
	groupName    = "shards"
	// The slots and connections of each replica are those of the desk groups
	// (design section 1.5).
	replicaSlots       = 2
	replicaConnections = 25
)

// ControlPlaneOptions describe one run of ControlPlane.
type ControlPlaneOptions struct {
	Centres  int // data centres
	Hosts    int // daemons in each data centre
	Services int
	Replicas int     // of each service
	Changes  float64 // configuration changes per day
	Duration time.Duration
	Seed     uint64
	// Heartbeat is the time between two heartbeats, or 0 for the default. With a
	// short period, forty daemons in one process on a busy machine send heartbeats
	// late and declare each other dead.
	Heartbeat time.Duration
	// Warm sends queries before the measured part, after which the owners have
	// limiters.
	Warm bool
}

// ControlPlaneResult is the cost of one run. Unless stated otherwise, the figures of
// hosts are means over all hosts and over the measured part.
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

	Platform map[string]float64 `json:"platform_calls_per_s"` // of all hosts together, by kind

	Patches      int     `json:"patches"`
	InForceP50MS float64 `json:"in_force_p50_ms"` // from sending the patch until it is in force on the last host
	InForceMaxMS float64 `json:"in_force_max_ms"`
}

// ControlPlane runs a system without query load and measures what its control plane
// costs.
func ControlPlane(ctx context.Context, o ControlPlaneOptions) (ControlPlaneResult, error) {
	calls := &callCounter{counts: make(map[string]int)}
	var baseline usage
	c, err := trial.Start(ctx, trial.Options{
		Layout: o.layout(), HostsPerDataCentre: o.Hosts, Seed: o.Seed, WorkTime: layout.DefaultWork,
		Settings: o.useDefaultTimes, PlatformMiddleware: calls.wrap,
		BeforeHostsStart: func() { baseline = usageAfterGC() },
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
		warmUp(ctx, c)
	}
	sleep(ctx, settleTime)
	r := o.newResult()
	err = r.measure(ctx, o, c, client, calls, baseline)
	return r, err
}

// measure runs the measured part and sets its figures. baseline is the usage of the
// stand-ins alone.
func (r *ControlPlaneResult) measure(ctx context.Context, o ControlPlaneOptions, c *trial.Cluster, client *api.Client, calls *callCounter, baseline usage) error {
	start, startCalls, startTraffic := usageAfterGC(), calls.snapshot(), peerStats(c)
	times, err := applyChanges(ctx, c, client, o.Changes, o.Duration)
	if err != nil {
		return err
	}
	end, endCalls, endTraffic := processUsage(), calls.snapshot(), peerStats(c)
	afterGC := usageAfterGC()
	hosts, seconds := float64(len(c.Hosts)), end.at.Sub(start.at).Seconds()
	r.ProcessorMS = (end.processor - start.processor).Seconds() * 1000 / seconds / hosts
	r.AllocatedKB = float64(end.allocated-start.allocated) / 1000 / seconds / hosts
	r.HeapKB = (float64(afterGC.heap) - float64(baseline.heap)) / 1000 / hosts
	r.Goroutines = float64(afterGC.goroutines-baseline.goroutines) / hosts
	r.addTraffic(startTraffic, endTraffic, seconds)
	r.Platform = make(map[string]float64)
	for kind, n := range endCalls {
		if n > startCalls[kind] {
			r.Platform[kind] = float64(n-startCalls[kind]) / seconds
		}
	}
	r.addInForceTimes(times)
	return nil
}

func (o ControlPlaneOptions) newResult() ControlPlaneResult {
	return ControlPlaneResult{Centres: o.Centres, Hosts: o.Hosts, Replicas: o.Services * o.Replicas, Changes: o.Changes, Warm: o.Warm}
}

// layout returns a layout with one group of equal services.
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

// useDefaultTimes replaces the short times of trials with the default times of
// daemons.
func (o ControlPlaneOptions) useDefaultTimes(s *settings.Settings) {
	defaults, err := settings.Parse("measure", []byte(
		"[host]\nid = x\ndata_centre = x\ncaller_address = 127.0.0.1:1\npeer_address = 127.0.0.1:2\n[platform]\naddress = 127.0.0.1:3\n"))
	if err != nil {
		panic(err) // the text above is constant
	}
	s.Ownership, s.Limits, s.Drain = defaults.Ownership, defaults.Limits, defaults.Drain
	s.Membership.Period = membership.DefaultConfig().Period
	if o.Heartbeat > 0 {
		s.Membership.Period = o.Heartbeat
		s.Ownership.Lease = max(s.Ownership.Lease, heartbeatsPerLease*o.Heartbeat)
	}
}

// heartbeatsPerLease is the smallest ratio of lease to heartbeat period that the
// settings allow.
const heartbeatsPerLease = 3

// warmUp sends queries one after the other, which gives every owner replies. It
// ignores failures and the coverage of the answers.
func warmUp(ctx context.Context, c *trial.Cluster) {
	const rounds = 20
	for i := range rounds {
		client := api.NewClient(c.Hosts[i%len(c.Hosts)].Settings.Host.CallerAddress, 1)
		_, _ = client.Query(ctx, api.QueryRequest{Contract: contractName, Request: []byte(`{"q":1}`)})
		client.Close()
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(max(d, 0)):
	}
}
