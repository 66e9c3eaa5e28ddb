// Package trial runs a complete system on the loopback interface in one process:
// the stand-in platform, the stand-in upstreams of a layout and the daemons of
// every data centre. The try, load and measure commands and the tests that need
// several daemons use it.
package trial

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/marigoldlever/marigoldlever/internal/api"
	"github.com/marigoldlever/marigoldlever/internal/daemon"
	"github.com/marigoldlever/marigoldlever/internal/layout"
	"github.com/marigoldlever/marigoldlever/internal/loopback"
	"github.com/marigoldlever/marigoldlever/internal/settings"
	"github.com/marigoldlever/marigoldlever/internal/standin/platformstandin"
	"github.com/marigoldlever/marigoldlever/internal/standin/upstreamstandin"
	"github.com/marigoldlever/marigoldlever/objectstore"
)

const (
	// initialSnapshot is the index version that the upstreams hold at the start.
	initialSnapshot = 7
	// readyPollInterval is the time between two checks whether a host is ready.
	readyPollInterval = 50 * time.Millisecond
	anyPortAddress    = "127.0.0.1:0"
	// firstUpstreamAddress is the first of the consecutive addresses that a layout
	// assigns to its upstreams. The stand-ins listen on free ports instead.
	firstUpstreamAddress = "127.0.0.1:20000"
)

// Options describe a trial.
type Options struct {
	Layout             layout.Layout
	HostsPerDataCentre int
	Seed               uint64
	WorkTime           upstreamstandin.WorkTime
	Platform           platformstandin.Faults
	// Settings, if set, changes the settings of each host before it starts.
	Settings func(s *settings.Settings)
	// PlatformMiddleware, if set, wraps the stand-in platform's handler, for example
	// to count the calls.
	PlatformMiddleware func(http.Handler) http.Handler
	// BeforeHostsStart, if set, is called when the stand-ins are running and no
	// daemon has been created yet, to measure the cost of the stand-ins alone.
	BeforeHostsStart func()
}

// Cluster is a running system: the stand-ins and the daemons of a trial.
type Cluster struct {
	Options   Options
	Platform  *platformstandin.Platform
	Upstreams map[string]*upstreamstandin.DataCentre
	Hosts     []*Host

	platformAddress string
	platformServer  *http.Server
}

// Host is one daemon of a trial. It can be restarted after Stop and Kill.
type Host struct {
	Settings settings.Settings
	daemon   *daemon.Daemon
	stop     context.CancelFunc
	done     chan runResult
}

type runResult struct {
	cutOff int
	err    error
}

// Start starts the platform, the upstreams and the daemons and submits the layout's
// configuration.
func Start(ctx context.Context, o Options) (*Cluster, error) {
	c := &Cluster{Options: o, Platform: platformstandin.New(o.Seed, o.Platform), Upstreams: make(map[string]*upstreamstandin.DataCentre)}
	if err := c.startPlatform(); err != nil {
		return nil, err
	}
	addresses, err := c.startUpstreams()
	if err == nil && o.BeforeHostsStart != nil {
		o.BeforeHostsStart()
	}
	if err == nil {
		err = c.startHosts()
	}
	if err == nil {
		err = c.configure(ctx, addresses)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startPlatform() error {
	l, err := net.Listen("tcp", anyPortAddress)
	if err != nil {
		return errors.Wrap(err, "listen for platform connections")
	}
	c.platformAddress = l.Addr().String()
	handler := c.Platform.Handler()
	if c.Options.PlatformMiddleware != nil {
		handler = c.Options.PlatformMiddleware(handler)
	}
	c.platformServer = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = c.platformServer.Serve(l) }()
	return nil
}

// startUpstreams starts the stand-in upstreams and returns the address of each
// replica by its id.
func (c *Cluster) startUpstreams() (map[string]string, error) {
	addresses := make(map[string]string)
	for _, name := range c.Options.Layout.DataCentres {
		cfg, err := c.Options.Layout.StandIn(name, netip.MustParseAddrPort(firstUpstreamAddress), c.Options.WorkTime)
		if err != nil {
			return nil, err
		}
		cfg.Seed = c.Options.Seed
		cfg.Snapshot = initialSnapshot
		for i := range cfg.Replicas {
			cfg.Replicas[i].Address = "" // ListenEach chooses a free port
		}
		centre, err := upstreamstandin.New(cfg)
		if err != nil {
			return nil, err
		}
		c.Upstreams[name] = centre
		listening, err := centre.ListenEach(loopback.Host)
		if err != nil {
			return nil, err
		}
		for id, address := range listening {
			addresses[id] = address
			c.Platform.SetHost(objectstore.Host{ID: id, Role: objectstore.RoleUpstream, DataCentre: name})
		}
	}
	return addresses, nil
}

func (c *Cluster) startHosts() error {
	for _, centre := range c.Options.Layout.DataCentres {
		for i := range c.Options.HostsPerDataCentre {
			s, err := c.hostSettings(fmt.Sprintf("%s-%d", centre, i+1), centre)
			if err != nil {
				return err
			}
			h := &Host{Settings: s}
			c.Hosts = append(c.Hosts, h)
			if err := h.Start(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (c *Cluster) hostSettings(id, centre string) (settings.Settings, error) {
	ports, err := loopback.FreeAddresses(2)
	if err != nil {
		return settings.Settings{}, err
	}
	text := fmt.Sprintf("[host]\nid = %s\ndata_centre = %s\ncaller_address = %s\npeer_address = %s\n[platform]\naddress = %s\n",
		id, centre, ports[0], ports[1], c.platformAddress)
	s, err := settings.Parse("trial", []byte(text))
	if err != nil {
		return settings.Settings{}, err
	}
	// Shorter times than the defaults let a trial start within a few seconds: the
	// first owner of a slot waits for the lease plus the longest deadline.
	s.Ownership.Lease = time.Second
	s.Limits.LongestDeadline = time.Second
	s.Membership.Period = 200 * time.Millisecond
	s.Drain.BalancerLag = 500 * time.Millisecond
	if c.Options.Settings != nil {
		c.Options.Settings(&s)
	}
	return s, nil
}

// configure sends the layout's configuration document as the first patch. It sends
// the patch again if there is no complete answer, because the daemon may not accept
// connections yet.
func (c *Cluster) configure(ctx context.Context, addresses map[string]string) error {
	document := c.Options.Layout.Document(netip.MustParseAddrPort(firstUpstreamAddress))
	for g := range document.Groups {
		for s := range document.Groups[g].Services {
			replicas := document.Groups[g].Services[s].Replicas
			for r := range replicas {
				replicas[r].Address = addresses[replicas[r].ID]
			}
		}
	}
	body, err := json.Marshal(document)
	if err != nil {
		return errors.Wrap(err, "encode the configuration")
	}
	client := api.NewClient(c.Hosts[0].Settings.Host.CallerAddress, 1)
	defer client.Close()
	patch := api.PatchRequest{ID: uuid.NewString(), Type: "merge", Author: "trial", Patch: body}
	for {
		_, err = client.Patch(ctx, patch)
		if err == nil || !errors.Is(err, api.ErrNoCompleteAnswer) || ctx.Err() != nil {
			return errors.Wrap(err, "submit the first configuration")
		}
		time.Sleep(readyPollInterval)
	}
}

// AwaitReady waits until every host reports readiness, may use all slots that it owns
// and knows the owners of every upstream. It returns an error if a daemon exits
// before that.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	for _, h := range c.Hosts {
		client := api.NewClient(h.Settings.Host.CallerAddress, 1)
		defer client.Close()
		for !client.Ready(ctx) || !h.ownershipReady() {
			select {
			case result := <-h.done:
				h.done <- result // Stop and Kill receive it again
				return errors.Newf("host %s exited before it was ready: %v", h.Settings.Host.ID, result.err)
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "host %s is not ready", h.Settings.Host.ID)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Addresses returns the caller addresses of the hosts in the data centre, or of all
// hosts if dataCentre is "".
func (c *Cluster) Addresses(dataCentre string) []string {
	var addresses []string
	for _, h := range c.Hosts {
		if dataCentre == "" || h.Settings.Host.DataCentre == dataCentre {
			addresses = append(addresses, h.Settings.Host.CallerAddress)
		}
	}
	return addresses
}

// Host returns the host with the id, or nil if there is none.
func (c *Cluster) Host(id string) *Host {
	i := slices.IndexFunc(c.Hosts, func(h *Host) bool { return h.Settings.Host.ID == id })
	if i < 0 {
		return nil
	}
	return c.Hosts[i]
}

// Records returns what the upstreams of all data centres recorded of their load and
// their requests.
func (c *Cluster) Records() []upstreamstandin.ReplicaRecord {
	var all []upstreamstandin.ReplicaRecord
	for _, name := range c.Options.Layout.DataCentres {
		all = append(all, c.Upstreams[name].Record().Replicas...)
	}
	return all
}

// Close kills the daemons and closes the stand-ins.
func (c *Cluster) Close() {
	for _, h := range c.Hosts {
		h.Kill()
	}
	for _, centre := range c.Upstreams {
		centre.Close()
	}
	if c.platformServer != nil {
		_ = c.platformServer.Close()
	}
}

// Start creates the daemon and runs it until Stop or Kill.
func (h *Host) Start() error {
	d, err := daemon.New(h.Settings)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	h.daemon, h.stop, h.done = d, stop, make(chan runResult, 1)
	done := h.done
	go func() {
		cutOff, err := d.Run(ctx)
		done <- runResult{cutOff, err}
	}()
	return nil
}

// Stop shuts the daemon down gracefully and returns the number of requests that
// were cut off. It does nothing if the daemon does not run.
func (h *Host) Stop() (int, error) {
	if h.daemon == nil {
		return 0, nil
	}
	h.stop()
	result := <-h.done
	h.daemon = nil
	return result.cutOff, result.err
}

// Kill ends the daemon without a graceful shutdown, as a crash does. It does nothing
// if the daemon does not run.
func (h *Host) Kill() {
	if h.daemon == nil {
		return
	}
	h.daemon.Kill()
	<-h.done
	h.daemon = nil
}

// ownershipReady reports daemon.Daemon.OwnershipReady. It is true for a host without
// a daemon in this process.
func (h *Host) ownershipReady() bool { return h.daemon == nil || h.daemon.OwnershipReady() }
