package measure

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/peer"
)

// Guards against calls that are counted under the wrong kind: docs/CAPACITY.md
// compares them with separate rates for reads and writes.
func TestCallKind(t *testing.T) {
	for _, c := range []struct{ method, target, want string }{
		{http.MethodGet, "/v1/objects/ownership/dc-1", "GET ownership"},
		{http.MethodGet, "/v1/objects/configuration/current?after=3&wait_ms=100", "WATCH configuration"},
		{http.MethodPut, "/v1/objects/journal/07", "PUT journal"},
		{http.MethodGet, "/v1/hosts", "GET hosts"},
		{http.MethodPut, "/v1/hosts/dc-1-1", "PUT hosts"},
	} {
		if got := callKind(httptest.NewRequest(c.method, c.target, nil)); got != c.want {
			t.Errorf("%s %s: kind %q, want %q", c.method, c.target, got, c.want)
		}
	}
}

// Guards against rates that are not divided by the number of hosts and the time.
func TestTrafficIsMeanPerHostAndSecond(t *testing.T) {
	var r ControlPlaneResult
	r.addTraffic(
		[]peer.Stats{{SentBytes: 100}, {}},
		[]peer.Stats{{SentBytes: 300, Notifications: 8, Links: 1}, {SentBytes: 1000, ReceivedBytes: 40, Links: 2}}, 2)
	if r.SentBytes != 300 || r.MaxSentBytes != 500 || r.ReceivedBytes != 10 || r.NotificationsSent != 2 || r.Links != 1.5 {
		t.Errorf("result is %+v, want means of 300 B/s sent, 10 B/s received, 2 notifications/s and 1.5 links, and at most 500 B/s sent", r)
	}
}

// Guards against a change of the generated layout that the configuration rejects:
// every run would fail at its start.
func TestLayoutHasAllReplicas(t *testing.T) {
	l := ControlPlaneOptions{Centres: 3, Hosts: 1, Services: 7, Replicas: 3}.layout()
	if len(l.DataCentres) != 3 || l.Groups[0].Services*l.Groups[0].Replicas != 21 {
		t.Errorf("layout is %+v, want 3 data centres and 21 replicas", l)
	}
}

// Guards against versions that spread only from neighbour to neighbour on the ring,
// at 6 hosts a second, because a host that learns of a version does not know which
// host to fetch it from. The bound is that of R10.
func TestConfigurationReachesManyHosts(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	r, err := ControlPlane(ctx, ControlPlaneOptions{
		Centres: 1, Hosts: 40, Services: 2, Replicas: 2, Changes: secondsPerDay, Duration: 2 * time.Second, Seed: 1, Heartbeat: 4 * time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	if bound := 4000.0; r.Patches == 0 || r.InForceMaxMS > bound {
		t.Errorf("%d patches, the slowest in force on all hosts after %.0f ms; want at least one patch, each within 4 s", r.Patches, r.InForceMaxMS)
	}
}
