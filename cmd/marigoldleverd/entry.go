package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/internal/entry"
	"github.com/marigoldlever/marigoldlever/internal/logging"
	"github.com/marigoldlever/marigoldlever/internal/signals"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/platform"
	"github.com/marigoldlever/marigoldlever/rollout"
	"github.com/marigoldlever/marigoldlever/watchers"
)

const (
	// settingsPollInterval is the time between checks of the settings file, which may
	// change without a signal.
	settingsPollInterval = time.Second
	// peerCloseTimeout is how long calls of other hosts may take to end when this host
	// stops.
	peerCloseTimeout = 100 * time.Millisecond
)

// serveEntry runs an entry host on the users' platform and returns the exit code.
func serveEntry(check bool) int {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		fmt.Fprintf(os.Stderr, "marigoldleverd: -entry needs the path of the settings in %s\n", platform.SettingsVariable)
		return exitSettings
	}
	loaded := modificationTime(path) // before reading, so that no later change is missed
	s, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if check {
		fmt.Printf("%s: no problems\n", path)
		return exitOK
	}
	closeLog, err := logging.Redirect(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer closeLog()
	klog.InfoS("Started", "host", s.Host, "dataCentre", s.DataCentre, "callers", s.CallerAddress, "store", s.StoreAddress)
	return runEntry(path, loaded, s)
}

// runEntry runs an entry host with the settings that were loaded from the file when it had
// the given modification time.
func runEntry(path string, loaded time.Time, s entry.Settings) int {
	registry := metrics.NewRegistry()
	store := platform.NewStore(s.StoreAddress, registry)
	store.LimitLists(s.ListBytes())
	node := peer.NewNode(peer.Config{Advertise: s.PeerAddress, MaxTotalBytes: s.PeerBytes()})
	group := watchers.New(s.WatcherConfig(platform.WatchSlack), s.Self(), node)
	group.OnEra(store.ObserveEra)
	newSource := func(list string, objects watchers.StoreList) follow.Source[json.RawMessage] {
		return group.Source(list, objects)
	}
	logSkipped := func(kind, name string, err error) {
		klog.ErrorS(err, "Object can't be used", "kind", kind, "name", name)
	}
	e := entry.New(s, platform.Codec{}, registry, rand.Uint64())
	e.EnableRollouts(node, store, rand.Uint64())
	if s.PeerAddress != "" {
		e.EnableOffload(node)
		e.EnableQuotas(node)
		if err := node.Listen(s.PeerAddress); err != nil {
			klog.ErrorS(err, "Cannot listen for calls of other hosts", "address", s.PeerAddress)
		}
	}
	var rollouts follow.Source[rollout.Order]
	if s.Bounds.RolloutsInForce() {
		rollouts = store.Rollouts(newSource, logSkipped)
	}
	stop := make(chan struct{})
	go watchSettings(path, loaded, e, signals.Caught(), stop)
	cutOff, end, err := e.Run(context.Background(), stop, entry.Sources{
		Configuration: store.Configuration(newSource, logSkipped), Replicas: store.Replicas(newSource, logSkipped),
		DataCentresOut: store.DataCentresOut(newSource, logSkipped), Rollouts: rollouts,
		Hosts: store, OnHosts: group.SetHosts, OnEra: store.OnEra,
	})
	if err != nil {
		klog.ErrorS(err, "Cannot run the entry host")
		return exitFailed
	}
	closePeers(node, end)
	klog.InfoS("Stopped", "cutOff", cutOff)
	if cutOff > 0 {
		return exitCutOff
	}
	return exitOK
}

// closePeers ends calls of other hosts that wait for changes. Those hosts then call
// another host. It returns at the end of the planned stop at the latest.
func closePeers(node *peer.Node, end time.Time) {
	deadline := time.Now().Add(peerCloseTimeout)
	if latest := end.Add(-peer.FlushTime); latest.Before(deadline) {
		deadline = latest
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	if err := node.Close(ctx); err != nil {
		klog.V(1).InfoS("Calls of other hosts were interrupted", "err", err)
	}
}

// watchSettings reloads the settings on SIGHUP and when the file changes. On any other
// signal it closes stop and returns.
func watchSettings(path string, lastModified time.Time, e *entry.Entry, caught <-chan os.Signal, stop chan<- struct{}) {
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case s := <-caught:
			if s != syscall.SIGHUP {
				close(stop)
				return
			}
			lastModified = modificationTime(path)
			reloadSettings(path, e)
		case <-ticker.C:
			if m := modificationTime(path); m != lastModified {
				lastModified = m
				reloadSettings(path, e)
			}
		}
	}
}

// modificationTime returns the time of the last change of a file, or the zero time if
// the file's status can't be read. The file therefore counts as changed when it becomes
// unreadable and again when it becomes readable.
func modificationTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		klog.V(1).InfoS("Cannot read the status of the settings file", "err", err)
		return time.Time{}
	}
	return info.ModTime()
}

func reloadSettings(path string, e *entry.Entry) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		klog.ErrorS(err, "Cannot reload settings; the previous settings stay in force")
		return
	}
	e.Reload(s)
}
