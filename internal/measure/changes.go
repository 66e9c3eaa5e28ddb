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
	// inForcePoll is the time between two looks at the numbers of all hosts, and
	// thus the error of the times.
	inForcePoll = 2 * time.Millisecond
	// inForceLimit is when a version that is not in force everywhere counts as
	// failed; the bound of the design is 4 s.
	inForceLimit = 30 * time.Second
)

// changes sends patches at the given daily rate for the given time and returns how
// long each took until it was in force on the last host. It returns at the end of
// the time, with at least one patch if the rate is not 0.
func changes(ctx context.Context, c *trial.Cluster, client *api.Client, perDay float64, length time.Duration) ([]time.Duration, error) {
	started := time.Now()
	if perDay <= 0 {
		pause(ctx, length)
		return nil, ctx.Err()
	}
	interval := time.Duration(secondsPerDay / perDay * float64(time.Second))
	var times []time.Duration
	number := c.Hosts[0].ConfigurationNumber()
	for due := started; due.Before(started.Add(length)); due = due.Add(interval) {
		pause(ctx, time.Until(due))
		took, next, err := change(ctx, c, client, number)
		if err != nil {
			return nil, err
		}
		times, number = append(times, took), next
	}
	pause(ctx, time.Until(started.Add(length)))
	return times, ctx.Err()
}

// change sends one patch and waits until it is in force on all hosts.
func change(ctx context.Context, c *trial.Cluster, client *api.Client, base uint64) (time.Duration, uint64, error) {
	patch, err := json.Marshal([]map[string]string{
		{"op": "replace", "path": "/data_centres/0/region", "value": fmt.Sprintf("region-%d", base)},
	})
	if err != nil {
		return 0, 0, errors.Wrap(err, "encode patch")
	}
	started := time.Now()
	answer, err := client.Patch(ctx, api.PatchRequest{ID: uuid.NewString(), Base: base, Type: "json-patch", Author: "measure", Patch: patch})
	if err != nil {
		return 0, 0, errors.Wrap(err, "patch")
	}
	behind := func(h *trial.Host) bool { return h.ConfigurationNumber() < answer.Number }
	for slices.ContainsFunc(c.Hosts, behind) {
		if time.Since(started) > inForceLimit {
			return 0, 0, errors.Newf("version %d is not in force everywhere after %s", answer.Number, inForceLimit)
		}
		pause(ctx, inForcePoll)
		if ctx.Err() != nil {
			return 0, 0, ctx.Err()
		}
	}
	return time.Since(started), answer.Number, nil
}

func (r *ControlPlaneResult) addTimes(times []time.Duration) {
	r.Patches = len(times)
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	r.InForceP50MS = times[len(times)/2].Seconds() * 1000
	r.InForceMaxMS = times[len(times)-1].Seconds() * 1000
}

func trafficOf(c *trial.Cluster) []peer.Stats {
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
