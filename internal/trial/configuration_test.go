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
	// inForceBound is the time within which an accepted configuration must be in
	// force on every reachable host (R10).
	inForceBound = 4 * time.Second
	// patchesPerOperator is the number of patches that each operator submits.
	patchesPerOperator = 8
	// operatorTimeout bounds the time that one operator submits patches: a host that
	// is cut off from the platform retries each of them for seconds.
	operatorTimeout = 5 * time.Second
)

// operators are several authors that submit patches on the same base through
// different hosts, with the outcomes and the numbers that the hosts report.
type operators struct {
	cluster  *Cluster
	patches  history.Log[history.Patch]
	observed history.Log[history.ObservedNumber]
}

// Guards R10 (an accepted patch is in force on every host within 4 s and is never
// reverted; only one of several patches on the same base is accepted) against lost
// platform answers, a platform outage, a killed host and a data centre cut off from
// the platform, while operators submit concurrent patches.
func TestConfigurationInForce(t *testing.T) {
	c := start(t, smallLayout("east", "west"), func(o *Options) { o.Settings = shortPlatformTimeout })
	faults := func(f platformstandin.Faults) func(*testing.T) {
		return func(*testing.T) { c.Platform.SetFaults(f) }
	}
	restart := func(t *testing.T) {
		c.Host("west-2").Kill()
		time.Sleep(readyPollInterval)
		if err := c.Host("west-2").Start(); err != nil {
			t.Fatal(err)
		}
	}
	loseAnswers := platformstandin.Faults{LoseResponseShare: 0.4, LoseResponsePrefix: configuration.ObjectName}
	cases := []struct {
		name string
		do   func(t *testing.T) // while operators submit patches
	}{
		{"concurrent operators", func(*testing.T) {}},
		{"platform answers lost", faults(loseAnswers)},
		{"host killed", restart},
		{"data centre cut off from the platform", faults(platformstandin.Faults{Cut: []string{"east"}})},
		{"platform outage", func(t *testing.T) {
			c.Platform.SetFaults(platformOutage)
			time.Sleep(time.Second)
			c.Platform.SetFaults(noPlatformFaults)
		}},
		{"host killed, platform answers lost", func(t *testing.T) {
			c.Platform.SetFaults(loseAnswers)
			restart(t)
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			o := &operators{cluster: c}
			first := c.newestNumber()
			stop := o.observeNumbers()
			var wait sync.WaitGroup
			for i, h := range []int{0, 1, 2} {
				wait.Add(1)
				go func() {
					defer wait.Done()
					o.submitPatches(t, c.Hosts[h], c.Hosts[(h+1)%len(c.Hosts)], i)
				}()
			}
			test.do(t)
			wait.Wait()
			o.awaitInForce(t)
			stop()
			c.Platform.SetFaults(noPlatformFaults)
			o.check(t, first)
		})
	}
}

// newestNumber returns the number of the newest configuration on the platform.
func (c *Cluster) newestNumber() uint64 {
	writes := c.Platform.HistoryOf(configuration.ObjectName)
	return writes[len(writes)-1].Version
}

// observeNumbers records the numbers that all hosts report until stop is called.
func (o *operators) observeNumbers() (stop func()) {
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
					o.observed.Add(history.ObservedNumber{Host: h.Settings.Host.ID, At: sent, Number: answer.Number, Digest: answer.Digest})
				}
				time.Sleep(readyPollInterval)
			}
		}()
	}
	return func() {
		cancel()
		wait.Wait()
	}
}

// submitPatches submits patches on the number that the host reports. A patch with an
// unknown outcome is sent again through another host.
func (o *operators) submitPatches(t *testing.T, h, other *Host, operator int) {
	client, second := api.NewClient(h.Settings.Host.CallerAddress, 1), api.NewClient(other.Settings.Host.CallerAddress, 1)
	defer client.Close()
	defer second.Close()
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	for n := 0; n < patchesPerOperator && ctx.Err() == nil; n++ {
		current, err := client.Configuration(ctx, 0)
		if err != nil && ctx.Err() == nil {
			t.Errorf("host %s reports no configuration: %v", h.Settings.Host.ID, err)
		}
		if err != nil {
			return
		}
		body := fmt.Sprintf(`[{"op":"replace","path":"/contracts/0/minimum_coverage","value":"1/%d whole"}]`, 4+operator+3*n)
		patch := api.PatchRequest{ID: uuid.NewString(), Base: current.Number, Type: "json-patch", Patch: []byte(body)}
		if o.send(ctx, client, patch) == history.Unknown {
			o.send(ctx, second, patch)
		}
		time.Sleep(2 * readyPollInterval)
	}
}

func (o *operators) send(ctx context.Context, client *api.Client, r api.PatchRequest) history.Outcome {
	p := history.Patch{ID: r.ID, Base: r.Base, Span: history.Span{Start: time.Now()}}
	answer, err := client.Patch(ctx, r)
	p.End = time.Now()
	p.Number = answer.Number
	p.Outcome = outcomeOf(err)
	o.patches.Add(p)
	return p.Outcome
}

func outcomeOf(err error) history.Outcome {
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

// awaitInForce waits until every host has reported the newest number.
func (o *operators) awaitInForce(t *testing.T) {
	t.Helper()
	newestNumber := o.cluster.newestNumber()
	deadline := time.Now().Add(startTimeout)
	for {
		reached := make(map[string]bool)
		for _, s := range o.observed.Entries() {
			reached[s.Host] = reached[s.Host] || s.Number >= newestNumber
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
			t.Fatalf("number %d is not in force on %d hosts; in force by host: %v", newestNumber, behind, reached)
		}
		time.Sleep(readyPollInterval)
	}
}

func (o *operators) check(t *testing.T, first uint64) {
	t.Helper()
	patches, observed := o.patches.Entries(), o.observed.Entries()
	writes := o.cluster.Platform.HistoryOf(configuration.ObjectName)
	reportViolations(t, history.CheckPatches(first, patches))
	reportViolations(t, history.CheckConfigurationNumbers(observed))
	reportViolations(t, history.CheckInForce(writes, observed, inForceBound))
	outcomes := make(map[history.Outcome]int)
	for _, p := range patches {
		outcomes[p.Outcome]++
	}
	t.Logf("numbers %d to %d, patches %v, %d numbers observed", first, o.cluster.newestNumber(), outcomes, len(observed))
}
