package daemon

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/membership"
	"github.com/marigoldlever/marigoldlever/ownership"
	"github.com/marigoldlever/marigoldlever/peer"
)

const (
	// statusTimeout limits the status request to one host.
	statusTimeout = time.Second
	// maxStatusCalls limits the number of concurrent status requests.
	maxStatusCalls = 64
)

// Status implements api.Service.
func (d *Daemon) Status(ctx context.Context, all bool) (api.Status, error) {
	status := api.Status{Host: d.hostStatus()}
	if !all {
		return status, nil
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxStatusCalls)
	status.Hosts = append(status.Hosts, status.Host)
	for _, m := range d.members.others() {
		wait.Add(1)
		slots <- struct{}{}
		go func() {
			defer wait.Done()
			host := d.fetchStatus(ctx, m)
			<-slots
			mu.Lock()
			defer mu.Unlock()
			status.Hosts = append(status.Hosts, host)
		}()
	}
	wait.Wait()
	slices.SortFunc(status.Hosts, func(a, b api.HostStatus) int {
		return strings.Compare(a.DataCentre+"/"+a.ID, b.DataCentre+"/"+b.ID)
	})
	return status, nil
}

func (d *Daemon) fetchStatus(ctx context.Context, m membership.MemberState) api.HostStatus {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var status api.HostStatus
	if err := d.node.Call(ctx, m.Address, methodStatusHost, struct{}{}, &status); err != nil {
		return api.HostStatus{ID: m.ID, DataCentre: m.DataCentre, Phase: "unknown", ProofAgeMS: -1, Error: err.Error()}
	}
	return status
}

func (d *Daemon) hostStatus() api.HostStatus {
	ready, reason := d.Ready()
	status := api.HostStatus{
		ID: d.settings.Host.ID, DataCentre: d.settings.Host.DataCentre, Phase: string(d.lifecycle.Phase()),
		Ready: ready, Reason: reason, Configuration: d.configuration.number(), InFlight: d.lifecycle.InFlight(),
		UpstreamRequests: d.gateway.inFlight(), CutOff: d.lifecycle.CutOff(),
		Members: len(d.members.others()) + 1, ProofAgeMS: -1,
	}
	d.directory.withHolder(func(now time.Time, h *ownership.LeaseHolder) {
		status.TableEpoch = h.Table().Epoch
		if _, age, ok := h.Proof(now); ok {
			status.ProofAgeMS = age.Milliseconds()
		}
	})
	return status
}

func (d *Daemon) handleStatus(context.Context, peer.Request) (any, error) {
	return d.hostStatus(), nil
}

// OwnershipReady reports whether this host may use all slots that its ownership table
// assigns to it, and knows the owners of every upstream.
func (d *Daemon) OwnershipReady() bool {
	active := d.directory.active()
	if active == nil {
		return false
	}
	for _, g := range active.Document.Groups {
		for _, s := range g.Services {
			for _, r := range s.Replicas {
				if len(d.directory.allOwners(r.ID)) == 0 || d.lacksRights(r.ID) {
					return false
				}
			}
		}
	}
	return true
}

// lacksRights reports whether this host is an owner of the replica but may not use its
// share now.
func (d *Daemon) lacksRights(replica string) bool {
	_, owned := d.directory.shareOf(replica)
	return owned && d.directory.allowedSlots(time.Now(), replica) == 0
}
