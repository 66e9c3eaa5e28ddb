package offload

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/watchers"
)

var t0 = time.Unix(1000, 0)

// dataCentre returns weak hosts and strong ones of a data centre.
func dataCentre(name string, weak, strong int) []watchers.Host {
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

// Guards against requests that go to a host that is no stronger, far away or can't be
// called, and against a strong host that gives its own away.
func TestOnlyStrongerHostsOfTheDataCentreGetRequests(t *testing.T) {
	weak := watchers.Host{ID: "weak", DataCentre: "a", Address: "x:1", Cores: 0.2}
	strong := watchers.Host{ID: "strong", DataCentre: "a", Address: "x:2", Cores: 0.8}
	far, mute, equal, unknown := strong, strong, weak, strong
	far.DataCentre, mute.Address, equal.ID, unknown.Cores = "b", "", "equal", 0
	for _, c := range []struct {
		name  string
		self  watchers.Host
		other watchers.Host
		parts int
		want  bool
	}{
		{"stronger", weak, strong, MinParts, true},
		{"few parts", weak, strong, MinParts - 1, false},
		{"far", weak, far, MinParts, false},
		{"mute", weak, mute, MinParts, false},
		{"equal", weak, equal, MinParts, false},
		{"weaker", strong, weak, MinParts, false},
		{"other unknown", weak, unknown, MinParts, false},
		{"self unknown", unknown, weak, MinParts, false},
		{"self mute", mute, strong, MinParts, false},
	} {
		ch := NewChooser(c.self)
		ch.SetHosts([]watchers.Host{c.self, c.other})
		ch.MarkAlive(c.other.ID)
		if _, ok := ch.Next(t0, c.parts); ok != c.want {
			t.Errorf("%s: given away %v, want %v", c.name, ok, c.want)
		}
	}
}

// Guards against a strong host that gets all requests while another has none.
func TestStrongHostsTakeTurns(t *testing.T) {
	hosts := dataCentre("a", 3, 2)
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
		t.Errorf("requests by host: %v", got)
	}
}

// Guards against requests that go on to a silent host, or to one that was never heard,
// and against one that is never tried again.
func TestSilentHostIsPassedOver(t *testing.T) {
	hosts := dataCentre("a", 1, 1)
	strong := hosts[1].ID
	c := NewChooser(hosts[0])
	c.SetHosts(hosts)
	given := func(now time.Time) bool { _, ok := c.Next(now, MinParts); return ok }
	if given(t0) {
		t.Error("a host that was never heard gets a request")
	}
	if !c.MarkAlive(strong) || c.MarkAlive(strong) || !given(t0) {
		t.Error("a host that is alive gets no request")
	}
	if _, lost := c.MarkMissed(strong); lost || given(t0) {
		t.Error("a host that missed one question gets a request, or loses those that it has")
	}
	c.SetHosts(hosts) // a new list does not bring it back
	if _, lost := c.MarkMissed(strong); !lost || given(t0) {
		t.Error("a host that missed two questions keeps its requests")
	}
	if !c.MarkAlive(strong) || !given(t0) {
		t.Error("a host that is alive again gets no request")
	}
	c.RecordResult(t0, strong, Failed)
	if given(t0) {
		t.Error("a host whose answer was lost gets the next request")
	}
	c.MarkAlive(strong)
	c.RecordResult(t0, strong, Refused)
	if given(t0) || !given(t0.Add(refusedTime)) {
		t.Error("a host that refused is not passed over for a short time")
	}
}

// Guards against shares that add up to more than the bound, in data centres of all kinds.
func TestSharesAddUp(t *testing.T) {
	for _, strong := range []int{0, 1, 2, 5} {
		hosts := append(dataCentre("a", 7, strong), dataCentre("b", 3, 0)...)
		hosts = append(hosts, watchers.Host{ID: "mute", DataCentre: "a", Cores: 0.2}, watchers.Host{ID: "old", DataCentre: "a", Address: "x:3"})
		sum := 0.0
		for _, h := range hosts {
			d := Divide(h, hosts)
			if d.Share <= 0 || d.Hosts != len(hosts) || (strong == 0) != (d.OffloadingHosts == 0) || d.Offloads && d.OffloadingHosts == 0 {
				t.Errorf("%d strong hosts: %s has %+v", strong, h.ID, d)
			}
			sum += d.Share
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("%d strong hosts: the shares add up to %v", strong, sum)
		}
	}
}
