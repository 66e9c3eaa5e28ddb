package upstreamstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
	"github.com/marigoldlever/marigoldlever/upstream/upstreamhttp"
)

// claim is what the client returned for an execute.
type claim struct {
	reply upstream.Reply
	err   error
}

// Guards against a client whose results contradict the record: "not run" for a request
// that ran, or a slip that no run of the key returned.
func TestClaimsMatchRecord(t *testing.T) {
	const senders, requests = 4, 50
	d := newDataCentre(t, func(r *Replica) {
		r.WorkTime = WorkTime{Median: time.Millisecond, Sigma: 1}
		r.Connections = 3 // less than the number of senders
	})
	address := listen(t, d, true)
	c := upstreamhttp.New(upstreamhttp.Config{Connections: 3})
	defer c.Close()
	d.SetFaults("r1", Faults{LostShare: 0.1, BrokenShare: 0.1, CrossedShare: 0.1, ShedShare: 0.1})
	claims := make([]map[string]claim, senders)
	var wg sync.WaitGroup
	for s := range senders {
		wg.Go(func() { claims[s] = sendAll(t, c, address, s, requests) })
	}
	for range 5 {
		time.Sleep(10 * time.Millisecond)
		d.Restart("r1")
	}
	wg.Wait()
	runs := d.Record().Runs()
	notRun, ran, unknown := 0, 0, 0
	for _, byKey := range claims {
		for key, c := range byKey {
			switch {
			case c.err == nil:
				ran++
				checkSlip(t, key, c.reply, runs[key])
			case upstream.NotRun(c.err):
				notRun++
				if len(runs[key]) != 0 {
					t.Errorf("%s: %v, but it ran: %+v", key, c.err, runs[key])
				}
			default:
				unknown++
			}
			if len(runs[key]) > 1 {
				t.Errorf("%s was sent once, but ran %d times", key, len(runs[key]))
			}
		}
	}
	if ran == 0 || notRun == 0 || unknown == 0 {
		t.Errorf("%d requests ran, %d did not run, %d have an unknown outcome; want some of each", ran, notRun, unknown)
	}
}

func sendAll(t *testing.T, c upstream.Client, address string, sender, requests int) map[string]claim {
	rng := rand.New(rand.NewPCG(3, uint64(sender)))
	claims := make(map[string]claim)
	for n := range requests {
		q := read(fmt.Sprintf("a%d-%d", sender, n))
		q.Kind, q.Key = upstream.Execute, fmt.Sprintf("k%d-%d", sender, n)
		ctx, cancel := context.WithCancel(t.Context())
		if rng.IntN(4) == 0 {
			time.AfterFunc(time.Duration(rng.IntN(2000))*time.Microsecond, cancel)
		}
		reply, err := c.Do(ctx, address, q)
		cancel()
		claims[q.Key] = claim{reply, err}
	}
	return claims
}

func checkSlip(t *testing.T, key string, reply upstream.Reply, runs []Run) {
	t.Helper()
	var slip Slip
	if err := json.Unmarshal(reply.Records, &slip); err != nil {
		t.Errorf("%s: %v", key, errors.Wrap(err, string(reply.Records)))
		return
	}
	if slip.Key != key || len(runs) != 1 || runs[0].Slip != slip.Number {
		t.Errorf("%s: slip %+v, runs %+v", key, slip, runs)
	}
}
