package trial

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/marigoldlever/marigoldlever/configuration"
	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/standin/platformstandin"
	"github.com/marigoldlever/marigoldlever/internal/trial/history"
)

const (
	// inForceBound is how long an accepted configuration may take to be in force on
	// every host that can be reached (R10).
	inForceBound = 4 * time.Second
	// patchesEach is the number of patches that each operator makes.
	patchesEach = 8
	// operatorTime bounds the patches of one operator, since a host that is cut off
	// from the platform tries each of them for seconds.
	operatorTime = 5 * time.Second
)

// operators are several authors that patch through different hosts on one base.
type operators struct {
	cluster *Cluster
	patches history.Log[history.Patch]
	seen    history.Log[history.ObservedNumber]
}

// Guards R10 (an accepted patch is in force everywhere within 4 s and is never
// reverted; one of several patches on a base wins) against lost platform answers,
// an outage, a killed host and a data centre cut off from the platform, while
// operators race.
func TestConfigurationInForce(t *testing.T) {
	c := start(t, smallLayout("east", "west"), func(o *Options) { o.Settings = quickHosts })
	faults := func(f platformstandin.Faults) func(*testing.T) {
		return func(*testing.T) { c.Platform.SetFaults(f) }
	}
	restart := func(t *testing.T) {
		c.Host("west-2").Kill()
		time.Sleep(readyPoll)
		if err := c.Host("west-2").Start(); err != nil {
			t.Fatal(err)
		}
	}
	lost := platformstandin.Faults{LoseShare: 0.4, LosePrefix: configuration.ObjectName}
	cases := []struct {
		name string
		do   func(t *testing.T) // while operators race
	}{
		{"operators race", func(*testing.T) {}},
		{"platform answers lost", faults(lost)},
		{"host killed", restart},
		{"data centre cut off from the platform", faults(platformstandin.Faults{Cut: []string{"east"}})},
		{"platform outage", func(t *testing.T) {
			c.Platform.SetFaults(outageFaults)
			time.Sleep(time.Second)
			c.Platform.SetFaults(healthyFaults)
		}},
		{"host killed, platform answers lost", func(t *testing.T) {
			c.Platform.SetFaults(lost)
			restart(t)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			o := &operators{cluster: c}
			first := c.newest()
			stop := o.watchAll()
			var wait sync.WaitGroup
			for i, h := range []int{0, 1, 2} {
				wait.Add(1)
				go func() {
					defer wait.Done()
					o.race(t, c.Hosts[h], c.Hosts[(h+1)%len(c.Hosts)], i)
				}()
			}
			test.do(t)
			wait.Wait()
			o.awaitInForce(t)
			stop()
			c.Platform.SetFaults(healthyFaults)
			o.check(t, first)
		})
	}
}

// newest returns the number of the newest configuration that the platform holds.
func (c *Cluster) newest() uint64 {
	writes := c.Platform.HistoryOf(configuration.ObjectName)
	return writes[len(writes)-1].Version
}

// watchAll notes the numbers that all hosts state until it is told to stop.
func (o *operators) watchAll() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	for _, h := range o.cluster.Hosts {
		wait.Add(1)
		go func() {
			defer wait.Done()
			client := api.NewClient(h.Settings.Host.CallerAddress, 1)
			defer client.Close()
			for ctx.Err() == nil {
				sent := time.Now()
				if answer, err := client.Configuration(ctx, 0); err == nil {
					o.seen.Add(history.ObservedNumber{Host: h.Settings.Host.ID, At: sent, Number: answer.Number, Digest: answer.Digest})
				}
				time.Sleep(readyPoll)
			}
		}()
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// race makes patches on whatever base the host states, and sends each again
// through another host when its outcome is unknown.
func (o *operators) race(t *testing.T, h, other *Host, operator int) {
	client, second := api.NewClient(h.Settings.Host.CallerAddress, 1), api.NewClient(other.Settings.Host.CallerAddress, 1)
	defer client.Close()
	defer second.Close()
	ctx, cancel := context.WithTimeout(context.Background(), operatorTime)
	defer cancel()
	for n := 0; n < patchesEach && ctx.Err() == nil; n++ {
		current, err := client.Configuration(ctx, 0)
		if err != nil && ctx.Err() == nil {
			t.Errorf("host %s states no configuration: %v", h.Settings.Host.ID, err)
		}
		if err != nil {
			return
		}
		body := fmt.Sprintf(`[{"op":"replace","path":"/contracts/0/minimum_coverage","value":"1/%d whole"}]`, 4+operator+3*n)
		patch := api.PatchRequest{ID: uuid.NewString(), Base: current.Number, Type: "json-patch", Patch: []byte(body)}
		if o.send(ctx, client, patch) == history.Unknown {
			o.send(ctx, second, patch)
		}
		time.Sleep(2 * readyPoll)
	}
}

func (o *operators) send(ctx context.Context, client *api.Client, r api.PatchRequest) history.Outcome {
	p := history.Patch{ID: r.ID, Base: r.Base, Span: history.Span{Start: time.Now()}}
	answer, err := client.Patch(ctx, r)
	p.End = time.Now()
	p.Number = answer.Number
	p.Outcome = verdictOf(err)
	o.patches.Add(p)
	return p.Outcome
}

func verdictOf(err error) history.Outcome {
	var problem *api.Problem
	switch {
	case err == nil:
		return history.Accepted
	case !errors.As(err, &problem) || problem.Run != api.NotRun:
		return history.Unknown
	case problem.Kind == api.KindStaleBase:
		return history.Stale
	default:
		return history.Refused
	}
}

// awaitInForce waits until every host has stated the newest number.
func (o *operators) awaitInForce(t *testing.T) {
	t.Helper()
	newest := o.cluster.newest()
	deadline := time.Now().Add(startTimeout)
	for {
		reached := make(map[string]bool)
		for _, s := range o.seen.Entries() {
			reached[s.Host] = reached[s.Host] || s.Number >= newest
		}
		behind := len(o.cluster.Hosts)
		for _, ok := range reached {
			if ok {
				behind--
			}
		}
		if behind == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("number %d is not in force on %d hosts: %v", newest, behind, reached)
		}
		time.Sleep(readyPoll)
	}
}

func (o *operators) check(t *testing.T, first uint64) {
	t.Helper()
	patches, seen := o.patches.Entries(), o.seen.Entries()
	writes := o.cluster.Platform.HistoryOf(configuration.ObjectName)
	report(t, history.CheckPatches(first, patches))
	report(t, history.CheckConfigurationNumbers(seen))
	report(t, history.CheckInForce(writes, seen, inForceBound))
	verdicts := make(map[history.Outcome]int)
	for _, p := range patches {
		verdicts[p.Outcome]++
	}
	t.Logf("numbers %d to %d, patches %v, %d numbers seen", first, o.cluster.newest(), verdicts, len(seen))
}
