package offload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/watchers"
)

var t0 = time.Unix(1000, 0)

// testHosts returns the weak and strong hosts of a data centre, the weak ones first.
func testHosts(name string, weak, strong int) []watchers.Host {
	var hosts []watchers.Host
	for i := range weak + strong {
		h := watchers.Host{ID: fmt.Sprint(name, "-", i), DataCentre: name, Address: fmt.Sprint("10.0.0.", i, ":1"), Cores: 0.2}
		if i >= weak {
			h.Cores = 0.8
		}
		hosts = append(hosts, h)
	}
	return hosts
}

// Guards against forwarding to a host that is no stronger, is in another data centre or
// accepts no calls, and against a strong host that forwards its requests.
func TestOnlyStrongerHostsOfTheDataCentreGetRequests(t *testing.T) {
	weak := watchers.Host{ID: "weak", DataCentre: "a", Address: "x:1", Cores: 0.2}
	strong := watchers.Host{ID: "strong", DataCentre: "a", Address: "x:2", Cores: 0.8}
	remote, noAddress, equal, unknownCores := strong, strong, weak, strong
	remote.DataCentre, noAddress.Address, equal.ID, unknownCores.Cores = "b", "", "equal", 0
	for _, c := range []struct {
		name  string
		self  watchers.Host
		other watchers.Host
		parts int
		want  bool
	}{
		{"stronger", weak, strong, MinParts, true},
		{"few parts", weak, strong, MinParts - 1, false},
		{"other data centre", weak, remote, MinParts, false},
		{"no address", weak, noAddress, MinParts, false},
		{"equal", weak, equal, MinParts, false},
		{"weaker", strong, weak, MinParts, false},
		{"cores of the other unknown", weak, unknownCores, MinParts, false},
		{"own cores unknown", unknownCores, weak, MinParts, false},
		{"no own address", noAddress, strong, MinParts, false},
	} {
		ch := NewChooser(c.self)
		ch.SetHosts([]watchers.Host{c.self, c.other})
		ch.MarkAlive(c.other.ID)
		if _, ok := ch.Next(t0, c.parts); ok != c.want {
			t.Errorf("%s: forwarded is %v, want %v", c.name, ok, c.want)
		}
	}
}

// Guards against one strong host that gets all requests while another gets none.
func TestRequestsAreSpreadOverStrongHosts(t *testing.T) {
	hosts := testHosts("a", 3, 2)
	c := NewChooser(hosts[0])
	c.SetHosts(hosts)
	c.MarkAlive(hosts[3].ID)
	c.MarkAlive(hosts[4].ID)
	got := map[string]int{}
	for range 20 {
		h, _ := c.Next(t0, MinParts)
		got[h.ID]++
		c.RecordResult(t0, h.ID, Completed)
	}
	if len(got) != 2 || got[hosts[3].ID] != 10 {
		t.Errorf("requests by host are %v, want 10 each", got)
	}
}

// Guards against requests to a host that is unresponsive or has never responded, and
// against a host that is never tried again.
func TestUnresponsiveHostIsSkipped(t *testing.T) {
	hosts := testHosts("a", 1, 1)
	strong := hosts[1].ID
	c := NewChooser(hosts[0])
	c.SetHosts(hosts)
	offloaded := func(now time.Time) bool { _, ok := c.Next(now, MinParts); return ok }
	if offloaded(t0) {
		t.Error("a host that has never responded gets a request")
	}
	if !c.MarkAlive(strong) || c.MarkAlive(strong) || !offloaded(t0) {
		t.Error("a host that is alive gets no request")
	}
	if _, abort := c.MarkMissed(strong); abort || offloaded(t0) {
		t.Error("after one failed check, a host gets a request or its requests are aborted")
	}
	c.SetHosts(hosts) // a new list does not make it alive
	if _, abort := c.MarkMissed(strong); !abort || offloaded(t0) {
		t.Error("after two failed checks, the requests of a host are not aborted")
	}
	if !c.MarkAlive(strong) || !offloaded(t0) {
		t.Error("a host that is alive again gets no request")
	}
	c.RecordResult(t0, strong, Failed)
	if offloaded(t0) {
		t.Error("a host whose answer was lost gets the next request")
	}
	c.MarkAlive(strong)
	c.RecordResult(t0, strong, Refused)
	if offloaded(t0) || !offloaded(t0.Add(refusedBackoff)) {
		t.Error("a host that refused a request is not skipped for refusedBackoff")
	}
}

// Guards against shares that do not add up to one, in data centres with and without
// strong hosts.
func TestSharesAddUpToOne(t *testing.T) {
	for _, strong := range []int{0, 1, 2, 5} {
		hosts := append(testHosts("a", 7, strong), testHosts("b", 3, 0)...)
		hosts = append(hosts, watchers.Host{ID: "mute", DataCentre: "a", Cores: 0.2}, watchers.Host{ID: "old", DataCentre: "a", Address: "x:3"})
		sum := 0.0
		for _, h := range hosts {
			d := Divide(h, hosts)
			if d.Share <= 0 || d.Hosts != len(hosts) || (strong == 0) != (d.OffloadingHosts == 0) || d.Offloads && d.OffloadingHosts == 0 {
				t.Errorf("%d strong hosts: the division of %s is %+v", strong, h.ID, d)
			}
			sum += d.Share
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("%d strong hosts: the shares add up to %v", strong, sum)
		}
	}
}
