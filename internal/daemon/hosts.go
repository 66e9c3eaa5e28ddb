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
	// hostListTimeout limits one request for the host list.
	hostListTimeout = 500 * time.Millisecond
	// hostListFallback is the minimum interval between reads of the platform by a
	// host that is not a watcher, while no watcher answers.
	hostListFallback = 5 * time.Second
)

// hostList follows the platform's list of hosts. The watchers of a data centre read it
// from the platform and the other hosts from a watcher, so that the number of platform
// calls depends on the number of data centres and not of hosts.
type hostList struct {
	self  string
	list  objectstore.HostList
	node  *peer.Node
	live  func() []string
	peers func() []membership.MemberState // other hosts of this data centre
	// onChange is called with each list that differs from the previous one.
	onChange func(requestedAt time.Time, hosts []objectstore.Host)

	mu          sync.Mutex
	hosts       []objectstore.Host
	digest      string
	requestedAt time.Time
	readAt      time.Time // start of the last read of the platform
}

type hostListRequest struct {
	Have string `json:"have"` // digest of the list that the requesting host holds
}

type hostListAnswer struct {
	Digest string             `json:"digest"`
	AgeUS  int64              `json:"age_us"` // microseconds since the read of the platform
	Hosts  []objectstore.Host `json:"hosts,omitempty"`
}

func newHostList(self string, list objectstore.HostList, node *peer.Node) *hostList {
	h := &hostList{self: self, list: list, node: node}
	node.Handle(methodHostsList, h.handle)
	return h
}

// refresh updates the list from the platform or from a watcher.
func (h *hostList) refresh(ctx context.Context) {
	watchers := configuration.Watchers(h.live())
	if slices.Contains(watchers, h.self) {
		h.readPlatform(ctx)
		return
	}
	for _, p := range h.peers() {
		if slices.Contains(watchers, p.ID) && h.readFromWatcher(ctx, p.Address) {
			return
		}
	}
	h.mu.Lock()
	due := time.Since(h.readAt) >= hostListFallback
	h.mu.Unlock()
	if due {
		h.readPlatform(ctx)
	}
}

func (h *hostList) readPlatform(ctx context.Context) {
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

// readFromWatcher updates the list from a watcher and reports whether the watcher has
// one.
func (h *hostList) readFromWatcher(ctx context.Context, address string) bool {
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

// store keeps the list unless a newer one is known, and reports a change.
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
		// Applying an unchanged list of thousands of hosts would also invalidate all
		// cached query plans each second.
		return
	}
	h.onChange(requestedAt, hosts)
}

// handle is the watcher's side of readFromWatcher.
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

// digestOf returns a digest that tells two lists apart, or "" if there is none.
func digestOf(hosts []objectstore.Host) string {
	encoded, err := json.Marshal(hosts)
	if err != nil {
		return ""
	}
	return strconv.FormatUint(xxhash.Sum64(encoded), 16)
}

// applyHostList passes a host list to the components that use it.
func (d *Daemon) applyHostList(requestedAt time.Time, hosts []objectstore.Host) {
	var upstreams []drain.ListedHost
	for _, h := range hosts {
		if h.Role == objectstore.RoleUpstream {
			upstreams = append(upstreams, drain.ListedHost{ID: h.ID, Leaving: h.Leaving})
		}
	}
	d.resetRamps(d.directory.setHosts(requestedAt, upstreams))
	d.members.setHosts(hosts)
}
