package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/trial"
	"github.com/marigoldlever/marigoldlever/peer"
)

const (
	secondsPerDay = 24 * 60 * 60
	// inForcePollInterval is the time between two checks of the numbers of all hosts,
	// and thus the error of the measured times.
	inForcePollInterval = 2 * time.Millisecond
	// inForceTimeout is the time after which a run fails because a version is not in
	// force on every host. The bound of the design is 4 s.
	inForceTimeout = 30 * time.Second
)

// applyChanges sends patches at the given rate per day for the given time. It
// returns for each patch the time until it was in force on the last host. It sends
// at least one patch unless the rate is 0, and returns at the end of the given time.
func applyChanges(ctx context.Context, c *trial.Cluster, client *api.Client, perDay float64, length time.Duration) ([]time.Duration, error) {
	started := time.Now()
	if perDay <= 0 {
		sleep(ctx, length)
		return nil, ctx.Err()
	}
	interval := time.Duration(secondsPerDay / perDay * float64(time.Second))
	var times []time.Duration
	number := c.Hosts[0].ConfigurationNumber()
	for due := started; due.Before(started.Add(length)); due = due.Add(interval) {
		sleep(ctx, time.Until(due))
		elapsed, next, err := applyChange(ctx, c, client, number)
		if err != nil {
			return nil, err
		}
		times, number = append(times, elapsed), next
	}
	sleep(ctx, time.Until(started.Add(length)))
	return times, ctx.Err()
}

// applyChange sends one patch and waits until it is in force on all hosts. It
// returns the time that this took and the number of the new configuration.
func applyChange(ctx context.Context, c *trial.Cluster, client *api.Client, base uint64) (time.Duration, uint64, error) {
	patch, err := json.Marshal([]map[string]string{
		{"op": "replace", "path": "/data_centres/0/region", "value": fmt.Sprintf("region-%d", base)},
	})
	if err != nil {
		return 0, 0, errors.Wrap(err, "encode the patch")
	}
	started := time.Now()
	answer, err := client.Patch(ctx, api.PatchRequest{ID: uuid.NewString(), Base: base, Type: "json-patch", Author: "measure", Patch: patch})
	if err != nil {
		return 0, 0, errors.Wrap(err, "patch")
	}
	behind := func(h *trial.Host) bool { return h.ConfigurationNumber() < answer.Number }
	for slices.ContainsFunc(c.Hosts, behind) {
		if time.Since(started) > inForceTimeout {
			return 0, 0, errors.Newf("version %d is not in force on all hosts after %s", answer.Number, inForceTimeout)
		}
		sleep(ctx, inForcePollInterval)
		if ctx.Err() != nil {
			return 0, 0, ctx.Err()
		}
	}
	return time.Since(started), answer.Number, nil
}

func (r *ControlPlaneResult) addInForceTimes(times []time.Duration) {
	r.Patches = len(times)
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	r.InForceP50MS = times[len(times)/2].Seconds() * 1000
	r.InForceMaxMS = times[len(times)-1].Seconds() * 1000
}

func peerStats(c *trial.Cluster) []peer.Stats {
	list := make([]peer.Stats, len(c.Hosts))
	for i, h := range c.Hosts {
		list[i] = h.Traffic()
	}
	return list
}

func (r *ControlPlaneResult) addTraffic(start, end []peer.Stats, seconds float64) {
	hosts := float64(len(end))
	for i, e := range end {
		s := start[i]
		sent, received := float64(e.SentBytes-s.SentBytes)/seconds, float64(e.ReceivedBytes-s.ReceivedBytes)/seconds
		r.CallsSent += float64(e.Calls-s.Calls) / seconds / hosts
		r.NotificationsSent += float64(e.Notifications-s.Notifications) / seconds / hosts
		r.SentBytes += sent / hosts
		r.ReceivedBytes += received / hosts
		r.MaxSentBytes = max(r.MaxSentBytes, sent)
		r.MaxReceivedBytes = max(r.MaxReceivedBytes, received)
		r.Links += float64(e.Links) / hosts
	}
}
