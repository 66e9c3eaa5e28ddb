// Package trial runs a whole system on loopback in one process: the stand-in
// platform, the stand-in upstreams of a layout and daemons in every data centre.
// The tool's try and load commands and the tests of several daemons use it.
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
	// firstSnapshot is the index version that upstreams hold at the start.
	firstSnapshot = 7
	// readyPoll is the time between two looks at whether hosts are ready.
	readyPoll = 50 * time.Millisecond
	anyPort   = "127.0.0.1:0"
	// firstUpstream is the address from which a layout numbers its upstreams; the
	// stand-ins listen on free ports instead.
	firstUpstream = "127.0.0.1:20000"
)

// Options describe a trial.
type Options struct {
	Layout             layout.Layout
	HostsPerDataCentre int
	Seed               uint64
	Work               upstreamstandin.Work
	Platform           platformstandin.Faults
	// Settings changes the settings of each host before it starts.
	Settings func(s *settings.Settings)
	// PlatformMiddleware wraps the stand-in platform's handler, to count its calls.
	PlatformMiddleware func(http.Handler) http.Handler
	// BeforeHostsStart is called once the stand-ins run and before the first daemon is
	// made, so that the cost of the stand-ins can be told apart.
	BeforeHostsStart func()
}

// Cluster is a running trial.
type Cluster struct {
	Options   Options
	Platform  *platformstandin.Platform
	Upstreams map[string]*upstreamstandin.DataCentre
	Hosts     []*Host

	address string // of the platform
	server  *http.Server
}

// Host is one daemon of a trial. It can be started again after a stop or a kill.
type Host struct {
	Settings settings.Settings
	daemon   *daemon.Daemon
	stop     context.CancelFunc
	done     chan outcome
}

type outcome struct {
	cutOff int
	err    error
}

// Start starts platform, upstreams and daemons and puts the layout's
// configuration in force.
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
	l, err := net.Listen("tcp", anyPort)
	if err != nil {
		return errors.Wrap(err, "listen for the platform")
	}
	c.address = l.Addr().String()
	handler := c.Platform.Handler()
	if c.Options.PlatformMiddleware != nil {
		handler = c.Options.PlatformMiddleware(handler)
	}
	c.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go func() { _ = c.server.Serve(l) }()
	return nil
}

// startUpstreams returns the address of each replica.
func (c *Cluster) startUpstreams() (map[string]string, error) {
	addresses := make(map[string]string)
	for _, name := range c.Options.Layout.DataCentres {
		cfg, err := c.Options.Layout.StandIn(name, netip.MustParseAddrPort(firstUpstream), c.Options.Work)
		if err != nil {
			return nil, err
		}
		cfg.Seed = c.Options.Seed
		cfg.Snapshot = firstSnapshot
		for i := range cfg.Replicas {
			cfg.Replicas[i].Address = "" // a free port
		}
		centre, err := upstreamstandin.New(cfg)
		if err != nil {
			return nil, err
		}
		c.Upstreams[name] = centre
		own, err := centre.ListenEach(loopback.Host)
		if err != nil {
			return nil, err
		}
		for id, address := range own {
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
	ports, err := loopback.Addresses(2)
	if err != nil {
		return settings.Settings{}, err
	}
	text := fmt.Sprintf("[host]\nid = %s\ndata_centre = %s\ncaller_address = %s\npeer_address = %s\n[platform]\naddress = %s\n",
		id, centre, ports[0], ports[1], c.address)
	s, err := settings.Parse("trial", []byte(text))
	if err != nil {
		return settings.Settings{}, err
	}
	// Shorter than the defaults, so that a trial starts within a few seconds: the
	// first owner of a slot waits for lease plus longest deadline.
	s.Ownership.Lease = time.Second
	s.Limits.LongestDeadline = time.Second
	s.Membership.Period = 200 * time.Millisecond
	s.Drain.BalancerLag = 500 * time.Millisecond
	if c.Options.Settings != nil {
		c.Options.Settings(&s)
	}
	return s, nil
}

// configure sends the layout's document as the first patch.
func (c *Cluster) configure(ctx context.Context, addresses map[string]string) error {
	document := c.Options.Layout.Document(netip.MustParseAddrPort(firstUpstream))
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
		return errors.Wrap(err, "encode configuration")
	}
	client := api.NewClient(c.Hosts[0].Settings.Host.CallerAddress, 1)
	defer client.Close()
	patch := api.PatchRequest{ID: uuid.NewString(), Type: "merge", Author: "trial", Patch: body}
	for {
		_, err = client.Patch(ctx, patch)
		if err == nil || !errors.Is(err, api.ErrConnection) || ctx.Err() != nil {
			return errors.Wrap(err, "first configuration")
		}
		time.Sleep(readyPoll) // the daemon does not listen yet
	}
}

// AwaitReady waits until every running host is ready and owns what it will own. A
// host that could not run ends the wait.
func (c *Cluster) AwaitReady(ctx context.Context) error {
	for _, h := range c.Hosts {
		client := api.NewClient(h.Settings.Host.CallerAddress, 1)
		defer client.Close()
		for !client.Ready(ctx) || !h.owning() {
			select {
			case o := <-h.done:
				h.done <- o // for Stop and Kill
				return errors.Newf("host %s ended before it was ready: %v", h.Settings.Host.ID, o.err)
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "host %s is not ready", h.Settings.Host.ID)
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// Addresses returns the caller addresses of the hosts, of one data centre or of
// all for "".
func (c *Cluster) Addresses(dataCentre string) []string {
	var addresses []string
	for _, h := range c.Hosts {
		if dataCentre == "" || h.Settings.Host.DataCentre == dataCentre {
			addresses = append(addresses, h.Settings.Host.CallerAddress)
		}
	}
	return addresses
}

// Host returns the host with the id, or nil.
func (c *Cluster) Host(id string) *Host {
	i := slices.IndexFunc(c.Hosts, func(h *Host) bool { return h.Settings.Host.ID == id })
	if i < 0 {
		return nil
	}
	return c.Hosts[i]
}

// Records returns what the upstreams of all data centres were made to bear.
func (c *Cluster) Records() []upstreamstandin.ReplicaRecord {
	var all []upstreamstandin.ReplicaRecord
	for _, name := range c.Options.Layout.DataCentres {
		all = append(all, c.Upstreams[name].Record().Replicas...)
	}
	return all
}

// Close kills everything.
func (c *Cluster) Close() {
	for _, h := range c.Hosts {
		h.Kill()
	}
	for _, centre := range c.Upstreams {
		centre.Close()
	}
	if c.server != nil {
		_ = c.server.Close()
	}
}

// Start starts the daemon.
func (h *Host) Start() error {
	d, err := daemon.New(h.Settings)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	h.daemon, h.stop, h.done = d, stop, make(chan outcome, 1)
	done := h.done
	go func() {
		cutOff, err := d.Run(ctx)
		done <- outcome{cutOff, err}
	}()
	return nil
}

// Stop makes a planned stop and returns the number of requests cut off.
func (h *Host) Stop() (int, error) {
	if h.daemon == nil {
		return 0, nil
	}
	h.stop()
	result := <-h.done
	h.daemon = nil
	return result.cutOff, result.err
}

// Kill ends the daemon as a crash does.
func (h *Host) Kill() {
	if h.daemon == nil {
		return
	}
	h.daemon.Kill()
	<-h.done
	h.daemon = nil
}

func (h *Host) owning() bool { return h.daemon == nil || h.daemon.OwnershipReady() }
