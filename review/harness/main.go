// Command harness plays the scripts of the review. Each scenario starts daemons of this
// project as processes, with stand-ins for the platform's store, the replicas and the
// clients, and checks one rule from what the clients and the replicas see.
//
//	harness SCENARIO FOLDER
//
// It writes FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2
// if the scenario could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	exitHeld    = 0
	exitBroken  = 1
	exitFailure = 2
)

// longestRun is the time after which a scenario is given up.
const longestRun = 117 * time.Second

// record is the record of a scenario. Times count from its start.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// world is what a scenario runs in.
type world struct {
	log     *record
	folder  string // temporary
	trouble bool
	store   *store
	daemons []*daemon
}

// startDaemon starts a daemon and waits until it is ready.
func (w *world) startDaemon(name string, in deployment) (*daemon, error) {
	d, err := newDaemon(w.folder, name, w.store.address(), in)
	if err != nil {
		return nil, err
	}
	w.daemons = append(w.daemons, d)
	if err := d.start(); err != nil {
		return nil, err
	}
	return d, d.awaitReady()
}

func (w *world) killDaemons() {
	for _, d := range w.daemons {
		d.kill()
	}
}

// scenario plays one case and reports whether the rule was broken.
type scenario func(w *world) (broken bool, err error)

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness SCENARIO FOLDER")
		return exitFailure
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	defer file.Close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	defer os.RemoveAll(folder)
	w := &world{log: &record{file: file, started: time.Now()}, folder: folder, trouble: os.Getenv("TROUBLE") != "0"}
	defer w.killDaemons()
	time.AfterFunc(longestRun, func() {
		w.log.printf("given up after %v", longestRun)
		w.killDaemons()
		os.RemoveAll(folder)
		os.Exit(exitFailure)
	})
	broken := false
	if w.store, err = startStore(); err == nil {
		broken, err = scenarios[os.Args[1]](w)
	}
	switch {
	case err != nil:
		w.log.printf("could not run: %v", err)
		return exitFailure
	case broken:
		w.log.printf("result: the rule was broken")
		return exitBroken
	}
	w.log.printf("result: the rule held")
	return exitHeld
}
