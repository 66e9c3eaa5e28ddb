package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/follow"
	"github.com/marigoldlever/marigoldlever/internal/entry"
	"github.com/marigoldlever/marigoldlever/internal/logging"
	"github.com/marigoldlever/marigoldlever/peer"
	"github.com/marigoldlever/marigoldlever/platform"
	"github.com/marigoldlever/marigoldlever/watchers"
)

const (
	// settingsInterval is the time between looks at the settings file, which may
	// change without a signal.
	settingsInterval = time.Second
	// peerCloseTime is how long calls of other hosts may take to end at a stop.
	peerCloseTime = 100 * time.Millisecond
)

// serveEntry runs an entry on the users' platform.
func serveEntry(check bool) int {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		fmt.Fprintf(os.Stderr, "marigoldleverd: -entry needs the path of the settings in %s\n", platform.SettingsVariable)
		return exitSettings
	}
	s, err := platform.LoadSettings(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if check {
		fmt.Printf("%s: no problems\n", path)
		return exitOK
	}
	finish, err := logging.Redirect(os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer finish()
	klog.InfoS("Started", "host", s.Host, "dataCentre", s.DataCentre, "callers", s.CallerAddress, "store", s.StoreAddress)
	return runEntry(path, s)
}

func runEntry(path string, s entry.Settings) int {
	registry := metrics.NewRegistry()
	store := platform.NewStore(s.StoreAddress, registry)
	node := peer.NewNode(peer.Config{Advertise: s.PeerAddress})
	defer closePeers(node)
	group := watchers.New(s.Bounds.WatcherConfig(platform.WatchSlack), s.Self(), node)
	through := func(list string, objects watchers.StoreList) follow.Source[json.RawMessage] {
		return group.Source(list, objects)
	}
	skipped := func(kind, name string, err error) {
		klog.ErrorS(err, "Object can't be used", "kind", kind, "name", name)
	}
	e := entry.New(s, platform.Codec{}, registry, rand.Uint64())
	if s.PeerAddress != "" {
		e.EnableOffload(node)
		if err := node.Listen(s.PeerAddress); err != nil {
			klog.ErrorS(err, "Other hosts can't ask this one", "address", s.PeerAddress)
		}
	}
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	stop := make(chan struct{})
	go watchSettings(path, e, signals, stop)
	cutOff, err := e.Run(context.Background(), stop, entry.Sources{
		Configuration: store.Configuration(through, skipped), Replicas: store.Replicas(through, skipped),
		DataCentresOut: store.DataCentresOut(through, skipped), Hosts: store, OnHosts: group.SetHosts,
	})
	if err != nil {
		klog.ErrorS(err, "Cannot run")
		return exitFailed
	}
	klog.InfoS("Stopped", "cutOff", cutOff)
	if cutOff > 0 {
		return exitCutOff
	}
	return exitOK
}

// closePeers ends the calls of other hosts that wait for changes; they ask another.
func closePeers(node *peer.Node) {
	ctx, cancel := context.WithTimeout(context.Background(), peerCloseTime)
	defer cancel()
	if err := node.Close(ctx); err != nil {
		klog.V(1).InfoS("Calls of other hosts cut off", "err", err)
	}
}

// watchSettings reads the settings again when told to and when the file changes,
// and closes stop at the signal to stop.
func watchSettings(path string, e *entry.Entry, signals <-chan os.Signal, stop chan<- struct{}) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	last := modified(path)
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				close(stop)
				return
			}
			last = modified(path)
			reload(path, e)
		case <-ticker.C:
			if m := modified(path); m != last {
				last = m
				reload(path, e)
			}
		}
	}
}

// modified returns the time of the last change of a file. A file that can't be
// looked at counts as unchanged until it can.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		klog.V(1).InfoS("Settings file can't be looked at", "err", err)
		return time.Time{}
	}
	return info.ModTime()
}

func reload(path string, e *entry.Entry) {
	s, err := platform.LoadSettings(path)
	if err != nil {
		klog.ErrorS(err, "Settings not reloaded, the earlier ones hold")
		return
	}
	e.Reload(s)
}
