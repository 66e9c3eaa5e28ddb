// Command rig2 plays the scripted cases of the second review: it starts stand-ins for the store, the
// replicas and the clients, and the entry daemon as a process of its own.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scene is what a case runs with.
type scene struct {
	trouble bool
	dir     string // for settings and logs
	started time.Time

	mu      sync.Mutex
	record  *os.File
	daemons []*daemon
}

// note writes a line to the record of the case.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(s.started).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(s.record, line)
}

// summary writes a line to the record and to the standard output.
func (s *scene) summary(format string, args ...any) {
	s.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// start starts a daemon, which ends with the case.
func (s *scene) start(settings daemonSettings) (*daemon, error) {
	settings.dir = s.dir
	d, err := startDaemon(settings)
	if err == nil {
		s.daemons = append(s.daemons, d)
	}
	return d, err
}

// cases are the plays by the number of the case. Each returns whether the rule held.
var cases = map[string]func(*scene) (bool, error){
	"copies": playCopies,
	"bodies": playBodies,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-rig2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(*scene) (bool, error), folder string) int {
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review-rig2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	s := &scene{trouble: os.Getenv("TROUBLE") != "0", dir: dir, started: time.Now(), record: record}
	s.note("trouble: %v", s.trouble)
	caught := make(chan os.Signal, 1)
	signal.Notify(caught, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-caught
		s.end()
		os.Exit(exitNotRun)
	}()
	held, err := run(s)
	s.end()
	switch {
	case err != nil:
		s.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case !held:
		s.note("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	}
	s.note("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// end ends the daemons and notes crashes.
func (s *scene) end() {
	for _, d := range s.daemons {
		d.kill()
		s.noteLog(d)
	}
}

// noteLog writes the end of a daemon's log to the record if the log tells of a crash.
func (s *scene) noteLog(d *daemon) {
	const tail = 2000
	text, err := os.ReadFile(d.log.Name())
	if err != nil {
		return
	}
	for _, mark := range []string{"fatal error", "panic:", "out of memory"} {
		if i := strings.Index(string(text), mark); i >= 0 {
			s.note("log of %s: %s", d.name, text[i:min(len(text), i+tail)])
			return
		}
	}
}
