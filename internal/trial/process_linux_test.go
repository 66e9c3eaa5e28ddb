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

// process is a daemon that runs in its own process. A signal pauses or kills all of
// its goroutines at once, which can't be done to a daemon within the test process.
type process struct {
	host    *Host
	command *exec.Cmd
	output  *bytes.Buffer
	ended   chan struct{} // closed when the process has ended
	err     error         // of the process, once ended is closed
}

// processes is a cluster whose stand-ins run in the test process and whose daemons
// run in their own processes.
type processes struct {
	*Cluster
	binary string
	byID   map[string]*process
}

// buildDaemon builds the daemon's binary and returns its path.
func buildDaemon(t *testing.T) string {
	t.Helper()
	binary := filepath.Join(t.TempDir(), "marigoldleverd")
	build := exec.Command("go", "build", "-o", binary, "github.com/marigoldlever/marigoldlever/cmd/marigoldleverd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build the daemon: %v\n%s", err, out)
	}
	return binary
}

// busyWork takes long enough that a few callers keep all slots in use. A host that
// uses slots which it does not own then exceeds the capacity of the upstream.
var busyWork = upstreamstandin.WorkTime{Median: 15 * time.Millisecond, Sigma: 0.3}

func startProcesses(t *testing.T, l layout.Layout, hosts int) *processes {
	t.Helper()
	o := Options{Layout: l, HostsPerDataCentre: hosts, Seed: 1, WorkTime: busyWork, Settings: shortPlatformTimeout}
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

// run starts the process of a host. It is killed at the end of the test, also if the
// test process itself is killed.
func (p *processes) run(t *testing.T, h *Host) {
	t.Helper()
	file := filepath.Join(t.TempDir(), h.Settings.Host.ID+".ini")
	if err := os.WriteFile(file, settingsFile(h.Settings), 0o600); err != nil {
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
			t.Logf("output of %s:\n%s", h.Settings.Host.ID, run.outputTail())
		}
	})
}

// logTailBytes is the maximum length of a process's output that a failed test prints.
const logTailBytes = 4 << 10

// outputTail waits until the process has ended and returns the end of its output.
func (p *process) outputTail() string {
	<-p.ended
	text := p.output.String()
	return text[max(0, len(text)-logTailBytes):]
}

// settingsFile returns the text of a settings file with the settings that hostSettings
// sets.
func settingsFile(s settings.Settings) []byte {
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

// awaitServing waits until every host is ready and has given three complete answers.
// By then each data centre's ownership table names its hosts and every slot may be
// used.
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
		for complete := 0; complete < 3; {
			answer, err := client.Query(ctx, api.QueryRequest{Contract: searchContract, Request: []byte(`{}`)})
			if ctx.Err() != nil {
				t.Fatalf("host %s gives no complete answers: coverage %+v, error %v", h.Settings.Host.ID, answer.Coverage, err)
			}
			if err == nil && answer.Coverage.Complete {
				complete++
			}
			time.Sleep(readyPollInterval)
		}
	}
}

func (p *processes) signal(t *testing.T, id string, s syscall.Signal) {
	t.Helper()
	if err := p.byID[id].command.Process.Signal(s); err != nil {
		t.Fatalf("signal %v to %s: %v", s, id, err)
	}
}

// Guards R3, R6 and R7 against a host that is killed and against one that resumes in
// the middle of its work after a pause longer than its lease, during which other
// hosts have taken over its slots and journals.
func TestProcessKilledOrPaused(t *testing.T) {
	parent := t // a restarted host runs on after its subtest
	p := startProcesses(t, smallLayout("east", "west"), 3)
	cases := []struct {
		name string
		do   func(t *testing.T, f *traffic)
	}{
		{"killed", func(t *testing.T, f *traffic) {
			p.signal(t, "east-1", syscall.SIGKILL)
			f.awaitSubmissions(t, 200)
			p.run(parent, p.Host("east-1"))
		}},
		{"paused", func(t *testing.T, f *traffic) {
			p.pause(t, f, "east-2")
			p.pause(t, f, "east-3")
		}},
		{"paused twice, platform outage on resume", func(t *testing.T, f *traffic) {
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

// pause stops a host for at least twice its lease and resumes it. This is long enough
// for the other hosts to remove it from the ownership table of their data centre,
// unless the platform has an outage.
func (p *processes) pause(t *testing.T, f *traffic, id string) {
	t.Helper()
	lease := p.Host(id).Settings.Ownership.Lease
	p.signal(t, id, syscall.SIGSTOP)
	time.Sleep(2 * lease)
	f.awaitSubmissions(t, 100)
	p.signal(t, id, syscall.SIGCONT)
}

// Guards R9: a host that receives SIGTERM under load cuts off no request, reports
// that and exits with code 0. Callers send no new request to a host that is not
// ready, as behind a load balancer.
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
				t.Errorf("host %s: %v\n%s", id, run.err, run.outputTail())
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
	if n := f.unansweredCalls.Load(); n > 0 {
		t.Errorf("%d requests received no complete answer although the host had accepted the connection", n)
	}
}
