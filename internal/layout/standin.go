package layout

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/internal/standin/upstreamstandin"
)

// DefaultWork is the work time of the stand-ins. The organisations do not specify one.
// With these values, a replica with 2 slots serves about 440 requests/s.
var DefaultWork = upstreamstandin.WorkTime{Median: 4 * time.Millisecond, Sigma: 0.5}

// StandIn returns the configuration of the upstream stand-ins of one data centre, with
// the addresses that Replicas returns.
func (l Layout) StandIn(dataCentre string, base netip.AddrPort, work upstreamstandin.WorkTime) (upstreamstandin.Config, error) {
	if !slices.Contains(l.DataCentres, dataCentre) {
		return upstreamstandin.Config{}, errors.Newf("layout %s has no data centre %q", l.Name, dataCentre)
	}
	cfg := upstreamstandin.Config{DataCentre: dataCentre, Snapshot: 1}
	for _, r := range l.Replicas(base) {
		if r.DataCentre != dataCentre {
			continue
		}
		cfg.Replicas = append(cfg.Replicas, upstreamstandin.Replica{
			ID: r.ID, Group: r.Group, Service: r.Service, Address: r.Address,
			Slots: r.Slots, Connections: r.Connections, ConnectDelay: r.ConnectDelay,
			Partition: r.Partition, WorkTime: work,
		})
	}
	return cfg, nil
}
