package upstreamstandin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/marigoldlever/marigoldlever/upstream"
	"github.com/marigoldlever/marigoldlever/upstream/upstreamhttp"
)

const workTime = 10 * time.Millisecond

func newDataCentre(t *testing.T, change func(*Replica)) *DataCentre {
	t.Helper()
	r := Replica{ID: "r1", Group: "g", Service: "s1", Slots: 2, WorkTime: WorkTime{Median: workTime}}
	if change != nil {
		change(&r)
	}
	d, err := New(Config{DataCentre: "bole", Seed: 1, Snapshot: 7, Replicas: []Replica{r}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Close)
	return d
}

func read(attempt string) upstream.Request {
	return upstream.Request{Attempt: attempt, Service: "s1", Kind: upstream.Read, Deadline: time.Second, Body: json.RawMessage(`{"q":1}`)}
}

// burst sends n reads at once and returns their errors.
func burst(t *testing.T, c upstream.Client, n int) []error {
	t.Helper()
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { _, errs[i] = c.Do(context.Background(), "r1", read(fmt.Sprint("a", i))) })
	}
	wg.Wait()
	return errs
}

func count(errs []error, kind error) int {
	n := 0
	for _, err := range errs {
		if errors.Is(err, kind) {
			n++
		}
	}
	return n
}

func wantError(t *testing.T, what string, err, want error) {
	t.Helper()
	if !errors.Is(err, want) {
		t.Errorf("%s: error %v, want %v", what, err, want)
	}
}

// Guards against a stand-in that does not show that a system overloads it: requests
// above the slots must be queued and recorded, and a full queue must make the replica
// fall over.
func TestSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDataCentre(t, nil)
		c := NewDirect(d)
		start := time.Now()
		burst(t, c, 6)
		if got := time.Since(start); got != 3*workTime {
			t.Errorf("6 requests on 2 slots took %v, want %v", got, 3*workTime)
		}
		record := d.Record().Replicas[0]
		if record.PeakRunning != 2 || record.PeakOffered != 6 || record.Queued != 4 || record.QueuedLong != 4 || record.LongestQueueTimeMS != 20 {
			t.Errorf("record %+v", record)
		}
		errs := burst(t, c, 2+2*maxQueuePerSlot+1)
		if count(errs, upstream.ErrShed) != 1 || d.Record().Replicas[0].FallOvers != 1 {
			t.Errorf("overload: %d shed, record %+v", count(errs, upstream.ErrShed), d.Record().Replicas[0])
		}
		if shed := count(burst(t, c, 3), upstream.ErrShed); shed != 2 {
			t.Errorf("after falling over, the replica shed %d of 3 requests, want 2", shed)
		}
		time.Sleep(fallOverDuration)
		if shed := count(burst(t, c, 2), upstream.ErrShed); shed != 0 {
			t.Errorf("after recovering, the replica shed %d of 2 requests, want 0", shed)
		}
	})
}

// Guards against a cold replica that handles full load without falling over.
func TestColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDataCentre(t, func(r *Replica) { r.Slots, r.WarmUpRequests, r.StartCold = 4, 10, true })
		c := NewDirect(d)
		errs := burst(t, c, 4)
		record := d.Record().Replicas[0]
		if count(errs, upstream.ErrShed) == 0 || record.FallOvers != 1 || record.PeakOfferedCold < 3 {
			t.Errorf("full load on a cold replica: %v, record %+v", errs, record)
		}
		time.Sleep(fallOverDuration)
		for i := range 10 {
			if _, err := c.Do(t.Context(), "r1", read(fmt.Sprint("b", i))); err != nil {
				t.Fatal(err)
			}
		}
		if shed := count(burst(t, c, 4), upstream.ErrShed); shed != 0 || d.Record().Replicas[0].PeakRunning != 4 {
			t.Errorf("warm replica shed %d of 4 requests, record %+v", shed, d.Record().Replicas[0])
		}
		before, _ := c.Do(t.Context(), "r1", read("c"))
		d.Restart("r1")
		after, _ := c.Do(t.Context(), "r1", read("d"))
		if before.Incarnation == after.Incarnation || before.Load.Cold || !after.Load.Cold {
			t.Errorf("restart: before %+v, after %+v", before, after)
		}
	})
}

// Guards against a refusal of a request that has run, and against a refusal without the
// state of the replica.
func TestRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		parts := upstream.Split(4)
		d := newDataCentre(t, func(r *Replica) { r.Partition = parts[1] })
		c := NewDirect(d)
		q := read("a1")
		q.Kind, q.Key = upstream.Execute, "k1"
		do := func(change func(*upstream.Request)) (upstream.Reply, error) {
			q := q
			change(&q)
			return c.Do(t.Context(), "r1", q)
		}
		reply, err := do(func(q *upstream.Request) { q.Snapshot = 6 })
		wantError(t, "old snapshot", err, upstream.ErrSnapshotGone)
		if len(reply.Held) != 1 || reply.Held[0] != 7 || reply.Attempt != "a1" || reply.Incarnation == "" {
			t.Errorf("refusal has the state %+v", reply)
		}
		_, err = do(func(q *upstream.Request) { q.Partition = parts[2] })
		wantError(t, "other partition", err, upstream.ErrMoved)
		d.Leave("service:s1", LeaveRefuse)
		time.Sleep(time.Second)
		_, err = do(func(*upstream.Request) {})
		wantError(t, "draining", err, upstream.ErrDraining)
		arrivals := d.Record().Replicas[0].AfterLeave
		if arrivals.Count != 1 || arrivals.LastMS != 1000 {
			t.Errorf("arrivals after Leave: %+v", arrivals)
		}
		d.SetFaults("*", Faults{ShedShare: 1})
		d.Leave("*", LeaveNone)
		_, err = do(func(*upstream.Request) {})
		wantError(t, "shed", err, upstream.ErrShed)
		if runs := d.Record().Runs(); len(runs) != 0 {
			t.Errorf("refused requests ran: %v", runs)
		}
		d.SetFaults("*", Faults{})
		d.SetOutOfService(true)
		for range 2 {
			if _, err := do(func(*upstream.Request) {}); err != nil {
				t.Fatal(err)
			}
		}
		if runs := d.Record().Runs()["k1"]; len(runs) != 2 || runs[0].Slip == runs[1].Slip {
			t.Errorf("runs of the key: %+v", runs)
		}
		if n := d.Record().Replicas[0].AfterOut.Count; n != 2 {
			t.Errorf("%d arrivals after the data centre was taken out of service, want 2", n)
		}
	})
}

// Guards against a reply whose partition is larger than the replica's after a split, and
// against a reply from an index version that the replica has dropped.
func TestVersionsAndPartitions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		halves := upstream.Split(2)
		d := newDataCentre(t, nil)
		c := NewDirect(d)
		d.SetPartition("r1", halves[0])
		d.Publish(8, 0)
		d.Publish(9, time.Second)
		time.Sleep(time.Second)
		reply, err := c.Do(t.Context(), "r1", read("a1"))
		if err != nil || reply.Partition != halves[0] || reply.Snapshot != 9 {
			t.Errorf("reply %+v, %v", reply, err)
		}
		var content ReadResult
		if err := json.Unmarshal(reply.Records, &content); err != nil || content.Snapshot != 9 ||
			content.Partition != halves[0] || string(content.Request) != `{"q":1}` {
			t.Errorf("records %s, %v", reply.Records, err)
		}
		old := read("a2")
		old.Snapshot = 7
		_, err = c.Do(t.Context(), "r1", old)
		wantError(t, "version that was dropped", err, upstream.ErrSnapshotGone)
		d.DropPartition("r1")
		_, err = c.Do(t.Context(), "r1", read("a3"))
		wantError(t, "partition dropped", err, upstream.ErrMoved)
	})
}

// Guards against slow, frozen and crashed replicas that give the wrong error, and against
// slots that are not released when a caller cancels.
func TestSlowFrozenAndCrashedReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDataCentre(t, nil)
		c := NewDirect(d)
		d.SetFaults("r1", Faults{StragglerShare: 1, StragglerFactor: 20})
		start := time.Now()
		if _, err := c.Do(t.Context(), "r1", read("a1")); err != nil || time.Since(start) != 20*workTime {
			t.Errorf("straggler took %v, %v", time.Since(start), err)
		}
		d.SetFaults("r1", Faults{SlowFactor: 1000})
		_, err := c.Do(t.Context(), "r1", read("a2"))
		wantError(t, "slower than the deadline", err, upstream.ErrTimeout)
		ctx, cancel := context.WithTimeout(t.Context(), workTime)
		defer cancel()
		c.Do(ctx, "r1", read("a3"))
		d.Freeze("r1")
		_, err = c.Do(t.Context(), "r1", read("a4"))
		wantError(t, "frozen", err, upstream.ErrTimeout)
		d.Thaw("r1")
		d.SetFaults("r1", Faults{})
		synctest.Wait()
		reply, err := c.Do(t.Context(), "r1", read("a5"))
		if err != nil || reply.Load.InFlight != 1 {
			t.Errorf("after cancelled requests: %+v, %v", reply, err)
		}
		d.Crash("r1")
		_, err = c.Do(t.Context(), "r1", read("a6"))
		wantError(t, "crashed", err, upstream.ErrConnect)
	})
}

// Guards against requests that outlive the incarnation in which they arrived.
func TestRestartAbortsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDataCentre(t, nil)
		c := NewDirect(d)
		d.Freeze("r1")
		const requests = 5
		done := make(chan []error)
		go func() { done <- burst(t, c, requests) }()
		synctest.Wait()
		d.Restart("r1")
		if errs := <-done; count(errs, upstream.ErrReplyLost) != requests {
			t.Errorf("frozen at the restart: %v", errs)
		}
		go func() { done <- burst(t, c, 2) }()
		synctest.Wait()
		d.Restart("r1")
		if errs := <-done; count(errs, upstream.ErrReplyLost) != 2 {
			t.Errorf("running and queued at the restart: %v", errs)
		}
		reply, err := c.Do(t.Context(), "r1", read("b"))
		if err != nil || reply.Load.InFlight != 1 {
			t.Errorf("after the restart: %+v, %v", reply, err)
		}
		r, q := d.replicas["r1"], read("c")
		q.Kind = upstream.Execute
		lifetime := r.arrive(q, time.Time{})
		r.acquireSlot(lifetime, q.Attempt)
		d.Restart("r1")
		if _, _, o := r.beginWork(lifetime, q); o.delivery != replyLost || len(d.Record().Runs()) != 0 {
			t.Errorf("a request that got its slot before the restart ran after the restart: %+v", o)
		}
	})
}

// Guards against load reports that are up to date and correct although a fault makes
// them late or wrong.
func TestLoadReportFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newDataCentre(t, nil)
		c := NewDirect(d)
		d.SetFaults("r1", Faults{ReportLagMS: 1000})
		before, _ := c.Do(t.Context(), "r1", read("a1"))
		d.MakeCold("r1")
		lagging, _ := c.Do(t.Context(), "r1", read("a2"))
		time.Sleep(time.Second)
		later, _ := c.Do(t.Context(), "r1", read("a3"))
		if before.Load.Cold || lagging.Load.Cold || !later.Load.Cold {
			t.Errorf("before %+v, lagging %+v, later %+v", before.Load, lagging.Load, later.Load)
		}
		d.SetFaults("r1", Faults{ReportedLoad: &upstream.Load{Slots: 99}})
		if wrong, _ := c.Do(t.Context(), "r1", read("a4")); wrong.Load.Slots != 99 {
			t.Errorf("load %+v", wrong.Load)
		}
	})
}

// Guards against an HTTP protocol of the stand-in that differs from the client's, both
// with the shared listener and with one listener per replica.
func TestOverHTTP(t *testing.T) {
	for _, separate := range []bool{false, true} {
		t.Run(fmt.Sprintf("own listeners %v", separate), func(t *testing.T) {
			d := newDataCentre(t, func(r *Replica) { r.Connections = 1 })
			address := listen(t, d, separate)
			c := upstreamhttp.New(upstreamhttp.Config{Connections: 1})
			defer c.Close()
			do := func(attempt string) error { _, err := c.Do(t.Context(), address, read(attempt)); return err }
			wantError(t, "healthy", do("a1"), nil)
			if h, err := c.Health(t.Context(), address); err != nil || h.Service != "s1" || h.Status != "ok" {
				t.Errorf("health %+v, %v", h, err)
			}
			other := upstreamhttp.New(upstreamhttp.Config{Connections: 1})
			_, err := other.Do(t.Context(), address, read("a2"))
			wantError(t, "second connection", err, upstream.ErrReplyLost)
			d.SetFaults("r1", Faults{CrossedShare: 1})
			wantError(t, "reply to another attempt", do("a3"), upstream.ErrMismatch)
			d.SetFaults("r1", Faults{BrokenShare: 1})
			wantError(t, "truncated reply", do("a4"), upstream.ErrReplyLost)
			d.SetFaults("r1", Faults{LostShare: 1})
			wantError(t, "lost reply", do("a5"), upstream.ErrReplyLost)
			d.SetFaults("r1", Faults{})
			d.Leave("r1", LeaveRefuse)
			wantError(t, "draining", do("a6"), upstream.ErrDraining)
			d.Crash("r1")
			c.Forget(address) // a request on the old connection might count as sent
			want := upstream.ErrReplyLost
			if separate {
				want = upstream.ErrConnect
			}
			wantError(t, "crashed", do("a7"), want)
			d.Restart("r1")
			wantError(t, "restarted", do("a8"), nil)
			if r := d.Record().Replicas[0]; r.PeakConnections != 1 || r.RefusedConnections < 1 {
				t.Errorf("record %+v", r)
			}
		})
	}
}

func listen(t *testing.T, d *DataCentre, separate bool) string {
	t.Helper()
	if separate {
		addresses, err := d.ListenEach("127.0.0.1")
		if err != nil {
			t.Fatal(err)
		}
		return addresses["r1"]
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := d.Server()
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return l.Addr().String() + "/r1"
}
