package daemon

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldlever/marigoldlever/configuration"
	"github.com/marigoldlever/marigoldlever/drain"
	"github.com/marigoldlever/marigoldlever/membership"
	"github.com/marigoldlever/marigoldlever/objectstore"
	"github.com/marigoldlever/marigoldlever/peer"
)

const (
	// hostListTimeout bounds one question for the host list.
	hostListTimeout = 500 * time.Millisecond
	// hostListFallback is the shortest time between reads of the platform by a
	// host that doesn't watch, when no watcher answers.
	hostListFallback = 5 * time.Second
)

// hostList follows the platform's list of hosts. The watchers of a data centre
// read it from the platform, the others from a watcher, for the same reason as
// with proofs.
type hostList struct {
	self  string
	list  objectstore.HostList
	node  *peer.Node
	live  func() []string
	peers func() []membership.MemberState // other hosts of this data centre
	// changed is called with each list that differs from the one before.
	changed func(requestedAt time.Time, hosts []objectstore.Host)

	mu          sync.Mutex
	hosts       []objectstore.Host
	digest      string
	requestedAt time.Time
	readAt      time.Time // last read of the platform
}

type hostListRequest struct {
	Have string `json:"have"` // digest of the list that the asker holds
}

type hostListAnswer struct {
	Digest string             `json:"digest"`
	AgeUS  int64              `json:"age_us"` // microseconds since the platform was asked
	Hosts  []objectstore.Host `json:"hosts,omitempty"`
}

func newHostList(self string, list objectstore.HostList, node *peer.Node) *hostList {
	h := &hostList{self: self, list: list, node: node}
	node.Handle(methodHostsList, h.handle)
	return h
}

// refresh brings the list up to date.
func (h *hostList) refresh(ctx context.Context) {
	watchers := configuration.Watchers(h.live())
	if slices.Contains(watchers, h.self) {
		h.read(ctx)
		return
	}
	for _, p := range h.peers() {
		if slices.Contains(watchers, p.ID) && h.ask(ctx, p.Address) {
			return
		}
	}
	h.mu.Lock()
	due := time.Since(h.readAt) >= hostListFallback
	h.mu.Unlock()
	if due {
		h.read(ctx)
	}
}

func (h *hostList) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	requestedAt := time.Now()
	h.mu.Lock()
	h.readAt = requestedAt
	h.mu.Unlock()
	hosts, err := h.list.Hosts(ctx)
	if err != nil {
		return
	}
	h.store(requestedAt, digestOf(hosts), hosts)
}

// ask takes the list from a watcher and reports whether it has one.
func (h *hostList) ask(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	h.mu.Lock()
	have, hosts := h.digest, h.hosts
	h.mu.Unlock()
	sentAt := time.Now()
	var a hostListAnswer
	if err := h.node.Call(ctx, address, methodHostsList, hostListRequest{Have: have}, &a); err != nil || a.Digest == "" {
		return false
	}
	if a.Digest != have {
		hosts = a.Hosts
	}
	h.store(sentAt.Add(-time.Duration(a.AgeUS)*time.Microsecond), a.Digest, hosts)
	return true
}

func (h *hostList) store(requestedAt time.Time, digest string, hosts []objectstore.Host) {
	h.mu.Lock()
	if requestedAt.Before(h.requestedAt) {
		h.mu.Unlock()
		return
	}
	same := digest != "" && digest == h.digest
	h.requestedAt, h.digest, h.hosts = requestedAt, digest, hosts
	h.mu.Unlock()
	if same {
		// Passing on thousands of hosts that are as before would also make every
		// cached plan of a query out of date each second.
		return
	}
	h.changed(requestedAt, hosts)
}

func (h *hostList) handle(_ context.Context, request peer.Request) (any, error) {
	var q hostListRequest
	if err := request.Decode(&q); err != nil {
		return nil, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	a := hostListAnswer{Digest: h.digest, AgeUS: time.Since(h.requestedAt).Microseconds()}
	if q.Have != h.digest {
		a.Hosts = h.hosts
	}
	return a, nil
}

func digestOf(hosts []objectstore.Host) string {
	encoded, err := json.Marshal(hosts)
	if err != nil {
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(encoded), 16)
}

// takeHosts passes a list to the parts that use it.
func (d *Daemon) takeHosts(requestedAt time.Time, hosts []objectstore.Host) {
	var upstreams []drain.ListedHost
	for _, h := range hosts {
		if h.Role == objectstore.RoleUpstream {
			upstreams = append(upstreams, drain.ListedHost{ID: h.ID, Leaving: h.Leaving})
		}
	}
	d.chill(d.directory.setHosts(requestedAt, upstreams))
	d.members.setHosts(hosts)
}
