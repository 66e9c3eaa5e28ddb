package crowd

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/marigoldlever/marigoldlever/contract"
	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/layout"
	"github.com/marigoldlever/marigoldlever/internal/loopback"
	"github.com/marigoldlever/marigoldlever/internal/standin/platformstandin"
	"github.com/marigoldlever/marigoldlever/internal/standin/upstreamstandin"
	"github.com/marigoldlever/marigoldlever/objectstore"
)

const (
	// descriptorLimit is the limit of the operating system for the daemon under test. It must
	// leave freeDescriptors for connections to upstreams, the platform and other hosts.
	descriptorLimit = 160
	freeDescriptors = descriptorLimit / 4
	// lease is how long the daemon may use the slots of upstreams without proof. It is longer
	// than a busy machine may keep the stand-ins from answering.
	lease = 8 * time.Second
	// daemonCentre is the data centre of the daemon and its upstreams.
	daemonCentre = "east"
	// searchContract is the contract of all queries, over the services of one group.
	searchContract = "search"
)

func daemonLayout() layout.Layout {
	return layout.Layout{
		Name: "crowd", Region: "region", DataCentres: []string{daemonCentre},
		Groups: []layout.Group{{Name: searchContract, Services: 4, Replicas: 1, Slots: 20, Connections: 25, ConnectDelay: time.Millisecond}},
		Contracts: []contract.Contract{{Name: searchContract, Groups: []string{searchContract}, AnswerTime: "1 second",
			MinimumCoverage: "1/4 whole", UpstreamLoad: "2 slot", Prefer: contract.PreferCoverage}},
	}
}

// daemonHost is a daemon of the own interface under test.
type daemonHost struct {
	*process
	address string
}

// startDaemon starts a daemon with its platform and upstreams, and waits until it serves.
func startDaemon(t *testing.T) *daemonHost {
	t.Helper()
	platform := platformstandin.New(1, platformstandin.Faults{})
	server := httptest.NewServer(platform.Handler())
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	document := startUpstreams(t, platform)
	addresses := freeAddresses(t, 2)
	settings := fmt.Sprintf(`[host]
id = east-1
data_centre = %s
caller_address = %s
peer_address = %s
[platform]
address = %s
[limits]
memory_mb = %d
body_bytes = %d
body_timeout = %s
longest_deadline = 1s
[ownership]
lease = %s
[membership]
period = 200ms
[once]
journals = 2
`, daemonCentre, addresses[0], addresses[1], strings.TrimPrefix(server.URL, "http://"), memoryMB, bodyLimit, longTimeout, lease)
	file := filepath.Join(t.TempDir(), "host.ini")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		t.Fatal(err)
	}
	limited := fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptorLimit)
	h := &daemonHost{process: startProcess(t, exec.Command("/bin/sh", "-c", limited, binary, "-settings", file)), address: addresses[0]}
	h.configure(t, document)
	awaitReady(t, "http://"+h.address+"/readyz")
	time.Sleep(lease) // the first owner of slots waits for the lease of an earlier one
	awaitAnswer(t, "at the start", h.ask)
	return h
}

// startUpstreams starts the upstreams and returns the configuration with their addresses.
func startUpstreams(t *testing.T, platform *platformstandin.Platform) []byte {
	t.Helper()
	l := daemonLayout()
	base := netip.MustParseAddrPort("127.0.0.1:20000")
	config, err := l.StandIn(daemonCentre, base, upstreamstandin.WorkTime{Median: time.Millisecond, Sigma: 0.1})
	if err != nil {
		t.Fatal(err)
	}
	config.Snapshot = 1
	for i := range config.Replicas {
		config.Replicas[i].Address = "" // ListenEach chooses a free port
	}
	centre, err := upstreamstandin.New(config)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(centre.Close)
	addresses, err := centre.ListenEach(loopback.Host)
	if err != nil {
		t.Fatal(err)
	}
	document := l.Document(base)
	for s := range document.Groups[0].Services {
		replicas := document.Groups[0].Services[s].Replicas
		for r := range replicas {
			replicas[r].Address = addresses[replicas[r].ID]
			platform.SetHost(objectstore.Host{ID: replicas[r].ID, Role: objectstore.RoleUpstream, DataCentre: daemonCentre})
		}
	}
	data, err := json.Marshal(document)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// configure sends the first configuration, until the daemon accepts it.
func (h *daemonHost) configure(t *testing.T, document []byte) {
	t.Helper()
	client := api.NewClient(h.address, 1)
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), answerLimit)
	defer cancel()
	for {
		_, err := client.Patch(ctx, api.PatchRequest{ID: "first", Type: "merge", Author: "test", Patch: document})
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			t.Fatalf("the configuration was not accepted: %v", err)
		}
		time.Sleep(tryPause)
	}
}

// ask sends a query on a connection of its own and returns an error unless it is answered with
// a success.
func (h *daemonHost) ask(id string) error {
	c, err := net.DialTimeout("tcp", h.address, tryLimit)
	if err != nil {
		return err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(tryLimit)) // fails only on a closed connection
	body := h.target().body(1 << 10)
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", h.target().header(id), len(body), body)
	return readSuccess(c)
}

// target returns what a crowd sends to the daemon.
func (h *daemonHost) target() target {
	return target{
		address: h.address,
		header: func(id string) string {
			return fmt.Sprintf("POST /v1/query HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nContent-Type: application/json\r\n", id)
		},
		body: func(size int) string {
			return fmt.Sprintf(`{"contract":%q,"request":{"text":%q}}`, searchContract, strings.Repeat("b", size))
		},
	}
}

// TestDaemonServesBesideACrowd guards the daemon of the own interface against the callers of
// TestEntryServesBesideACrowd.
func TestDaemonServesBesideACrowd(t *testing.T) {
	h := startDaemon(t)
	limit := bounds{memoryMB: memoryMB, descriptors: descriptors{all: descriptorLimit - freeDescriptors, sockets: descriptorLimit - freeDescriptors}}
	for _, kind := range bodyKinds {
		t.Run(kind.name, func(t *testing.T) {
			h.playCrowd(t, h.target(), kind, limit, func(t *testing.T) {
				awaitAnswer(t, "query", h.ask)
				awaitAnswer(t, "status", func(string) error {
					response, err := (&http.Client{Timeout: tryLimit, Transport: &http.Transport{DisableKeepAlives: true}}).Get("http://" + h.address + "/livez")
					if err == nil {
						response.Body.Close()
					}
					return err
				})
			})
		})
	}
}
