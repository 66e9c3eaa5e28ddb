package trial

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/layout"
	"github.com/marigoldlever/marigoldlever/internal/settings"
	"github.com/marigoldlever/marigoldlever/internal/standin/platformstandin"
	"github.com/marigoldlever/marigoldlever/internal/standin/upstreamstandin"
)

// process is a daemon as a process of its own. A pause and a kill by signal act
// on all of it at once, which no switch in one process can do.
type process struct {
	host    *Host
	command *exec.Cmd
	output  *bytes.Buffer
	ended   chan struct{} // closed when the process has ended
	err     error         // of the process, once ended is closed
}

// processes is a cluster whose stand-ins run in the test and whose daemons are
// processes.
type processes struct {
	*Cluster
	binary string
	byID   map[string]*process
}

// buildDaemon builds the daemon once for a test.
func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "marigoldleverd")
	build := exec.Command("go", "build", "-o", binary, "github.com/marigoldlever/marigoldlever/cmd/marigoldleverd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, out)
	}
	return binary
}

// busyWork is long enough that a few callers keep all slots in use: a host that
// uses slots without right then exceeds what the upstream can bear.
var busyWork = upstreamstandin.Work{Median: 15 * time.Millisecond, Sigma: 0.3}

func startProcesses(t *testing.T, l layout.Layout, hosts int) *processes {
	t.Helper()
	o := Options{Layout: l, HostsPerDataCentre: hosts, Seed: 1, Work: busyWork, Settings: quickHosts}
	c := &Cluster{Options: o, Platform: platformstandin.New(o.Seed, o.Platform), Upstreams: make(map[string]*upstreamstandin.DataCentre)}
	t.Cleanup(c.Close)
	p := &processes{Cluster: c, binary: buildDaemon(t), byID: make(map[string]*process)}
	if err := c.startPlatform(); err != nil {
		t.Fatal(err)
	}
	addresses, err := c.startUpstreams()
	if err != nil {
		t.Fatal(err)
	}
	for _, centre := range l.DataCentres {
		for i := range hosts {
			s, err := c.hostSettings(fmt.Sprintf("%s-%d", centre, i+1), centre)
			if err != nil {
				t.Fatal(err)
			}
			c.Hosts = append(c.Hosts, &Host{Settings: s})
		}
	}
	for _, h := range c.Hosts {
		p.run(t, h)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := c.configure(ctx, addresses); err != nil {
		t.Fatal(err)
	}
	p.awaitServing(t)
	return p
}

// run starts the process of a host. It ends with the test at the latest, also
// when the test itself is killed.
func (p *processes) run(t *testing.T, h *Host) {
	t.Helper()
	file := filepath.Join(t.TempDir(), h.Settings.Host.ID+".ini")
	if err := os.WriteFile(file, iniOf(h.Settings), 0o600); err != nil {
		t.Fatal(err)
	}
	run := &process{host: h, command: exec.Command(p.binary, "-settings", file), output: new(bytes.Buffer), ended: make(chan struct{})}
	run.command.Stdout, run.command.Stderr = run.output, run.output
	run.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := run.command.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		run.err = run.command.Wait()
		close(run.ended)
	}()
	p.byID[h.Settings.Host.ID] = run
	t.Cleanup(func() {
		_ = run.command.Process.Kill()
		if t.Failed() {
			t.Logf("output of %s:\n%s", h.Settings.Host.ID, run.tail())
		}
	})
}

// logTail is how much of a process's log a failed test prints.
const logTail = 4 << 10

// tail returns the end of the output. It is called after the process was killed.
func (p *process) tail() string {
	<-p.ended
	text := p.output.String()
	return text[max(0, len(text)-logTail):]
}

func iniOf(s settings.Settings) []byte {
	return fmt.Appendf(nil, `[host]
id = %s
data_centre = %s
caller_address = %s
peer_address = %s
[platform]
address = %s
timeout = %s
[limits]
longest_deadline = %s
[ownership]
lease = %s
[membership]
period = %s
[drain]
balancer_lag = %s
`, s.Host.ID, s.Host.DataCentre, s.Host.CallerAddress, s.Host.PeerAddress, s.Platform.Address, s.Platform.Timeout,
		s.Limits.LongestDeadline, s.Ownership.Lease, s.Membership.Period, s.Drain.BalancerLag)
}

// awaitServing waits until each data centre's table names its hosts, every slot
// may be used and every host is ready.
func (p *processes) awaitServing(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := p.AwaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	for _, h := range p.Hosts {
		client := api.NewClient(h.Settings.Host.CallerAddress, 1)
		defer client.Close()
		for whole := 0; whole < 3; {
			answer, err := client.Query(ctx, api.QueryRequest{Contract: searchContract, Request: []byte(`{}`)})
			if ctx.Err() != nil {
				t.Fatalf("host %s gives no whole answers: %+v %v", h.Settings.Host.ID, answer.Coverage, err)
			}
			if err == nil && answer.Coverage.Complete {
				whole++
			}
			time.Sleep(readyPoll)
		}
	}
}

func (p *processes) signal(t *testing.T, id string, s syscall.Signal) {
	t.Helper()
	if err := p.byID[id].command.Process.Signal(s); err != nil {
		t.Fatalf("signal %v to %s: %v", s, id, err)
	}
}

// Guards R3, R6 and R7 against a host that is killed, and one that is paused for
// longer than its lease, so that others take its slots and journals, and then
// wakes in the middle of its work.
func TestProcessKilledOrPaused(t *testing.T) {
	whole := t // a host that is started again outlives its case
	p := startProcesses(t, smallLayout("east", "west"), 3)
	cases := []struct {
		name string
		do   func(t *testing.T, f *traffic)
	}{
		{"killed", func(t *testing.T, f *traffic) {
			p.signal(t, "east-1", syscall.SIGKILL)
			f.awaitSubmissions(t, 200)
			p.run(whole, p.Host("east-1"))
		}},
		{"paused", func(t *testing.T, f *traffic) {
			p.pause(t, f, "east-2")
			p.pause(t, f, "east-3")
		}},
		{"paused twice, platform outage at the wake", func(t *testing.T, f *traffic) {
			p.pause(t, f, "west-1")
			p.Platform.ChangeFaults(func(f *platformstandin.Faults) { f.Outage = true })
			p.pause(t, f, "west-1")
			p.Platform.ChangeFaults(func(f *platformstandin.Faults) { f.Outage = false })
		}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			f := startTraffic(t, p.Cluster, 3, 2)
			f.awaitSubmissions(t, 100)
			test.do(t, f)
			f.awaitSubmissions(t, 200)
			f.awaitAnswers(t, 50)
			f.stop()
			f.check(t)
			f.checkLoad(t)
		})
	}
}

// pause stops a host until its data centre's table was changed without it, or
// for longer than its lease when the table can't be changed, and wakes it.
func (p *processes) pause(t *testing.T, f *traffic, id string) {
	t.Helper()
	lease := p.Host(id).Settings.Ownership.Lease
	p.signal(t, id, syscall.SIGSTOP)
	time.Sleep(2 * lease)
	f.awaitSubmissions(t, 100)
	p.signal(t, id, syscall.SIGCONT)
}

// Guards R9: hosts that get SIGTERM under load cut off no request, and say so
// with exit code 0. Callers leave a host that is not ready, as a balancer does.
func TestProcessTerminatedUnderLoad(t *testing.T) {
	p := startProcesses(t, smallLayout("east", "west"), 2)
	f := startTraffic(t, p.Cluster, 2, 1)
	f.awaitSubmissions(t, 50)
	for _, id := range []string{"east-1", "west-2"} {
		p.signal(t, id, syscall.SIGTERM)
		run := p.byID[id]
		select {
		case <-run.ended:
			if run.err != nil || !strings.Contains(run.output.String(), "stopped, 0 requests cut off") {
				t.Errorf("host %s: %v\n%s", id, run.err, run.tail())
			}
		case <-time.After(startTimeout):
			t.Fatalf("host %s did not stop", id)
		}
		p.run(t, run.host)
		p.awaitServing(t)
	}
	f.stop()
	f.check(t)
	f.checkLoad(t)
	if n := f.broken.Load(); n > 0 {
		t.Errorf("%d requests that a host had accepted were cut off", n)
	}
}
