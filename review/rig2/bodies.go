package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The play of large bodies on a route with shards.
const (
	bodyShards      = 30
	bodyCopies      = 3  // replicas of a shard, one in each zone
	bodyConnections = 56 // max_connections of each service
	bodySlots       = 2
	bodyQueue       = 12
	bodyWork        = 7500 * time.Microsecond
	bodyBytes       = 262144 // max_body_bytes
	bodyCallers     = 60     // callers with large bodies at each machine
	bodyLength      = 40 * time.Second
	bodyDeadline    = 800 * time.Millisecond
	bodyPause       = 20 * time.Millisecond  // between the requests of such a caller
	ordinaryPause   = 200 * time.Millisecond // between the requests of the ordinary caller of a machine
	memoryInterval  = 20 * time.Millisecond
	restartDelay    = 500 * time.Millisecond
	// maxEnds is the number of ends of a process from which on its machine counts, and minMachines the
	// number of such machines with which the rule is broken.
	maxEnds     = 3
	minMachines = 2
)

// bodyPlay plays callers that send many whole bodies of legal size at once.
type bodyPlay struct {
	scene    *scene
	stop     chan struct{}
	ran      atomic.Int64
	mu       sync.Mutex
	statuses map[string]int // of the callers with large bodies
	ordinary map[string]int // of the ordinary callers
}

// bodyMachine is a machine of the play.
type bodyMachine struct {
	daemon *daemon
	up     atomic.Bool  // whether the balancer sends connections to the process
	used   atomic.Int64 // memory of the process in MB
	ends   int          // times that the process was killed because of its memory
	peak   float64      // largest memory of a process in MB
}

// startBodyReplica starts a replica that processes some requests at a time, queues a few and refuses
// the others.
func (p *bodyPlay) startBodyReplica(id, service, zone string) (*replica, error) {
	slots, places := make(chan struct{}, bodySlots), make(chan struct{}, bodySlots+bodyQueue)
	return startReplica(id, service, zone, bodySlots, func(r *replica, _ *serverConn, q received) response {
		select {
		case places <- struct{}{}:
			defer func() { <-places }()
		default:
			return notRun()
		}
		slots <- struct{}{}
		defer func() { <-slots }()
		p.ran.Add(1)
		time.Sleep(bodyWork)
		return r.success(q.id, r.records(25))
	})
}

// watchMemory does what the platform does: it kills a process that exceeds the memory of its machine
// and starts it again after a short delay. It returns when the play ends.
func (p *bodyPlay) watchMemory(m *bodyMachine) {
	for {
		select {
		case <-p.stop:
			return
		case <-time.After(memoryInterval):
		}
		// Pages of the program file do not count.
		used := m.daemon.memory("RssAnon")
		m.used.Store(int64(used))
		m.peak = max(m.peak, used)
		lives := m.daemon.lives()
		if lives && used <= float64(m.daemon.memoryMB) {
			continue
		}
		m.ends++
		p.scene.note("%s ends for the %d. time, lived until then: %v, memory %.0f MB of %d", m.daemon.name, m.ends, lives, used, m.daemon.memoryMB)
		m.up.Store(false)
		m.daemon.kill()
		time.Sleep(restartDelay)
		if err := m.daemon.run(); err != nil {
			p.scene.note("%s does not start: %v", m.daemon.name, err)
			return
		}
		if err := m.daemon.awaitReady(10 * time.Second); err != nil {
			p.scene.note("%s is not ready: %v", m.daemon.name, err)
		}
		m.up.Store(true)
	}
}

// ask sends one request on a connection of its own and counts its status.
func (p *bodyPlay) ask(m *bodyMachine, q request, count map[string]int) {
	if !m.up.Load() {
		return
	}
	status := "not connected"
	if c, err := dial(m.daemon.front); err == nil {
		r, err := c.ask(q)
		c.Close()
		if status = fmt.Sprint(r.status); err != nil {
			status = "no answer"
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	count[status]++
}

// repeat calls f until the play ends, with a pause after each call.
func (p *bodyPlay) repeat(pause time.Duration, f func()) {
	for {
		select {
		case <-p.stop:
			return
		default:
		}
		time.Sleep(pause)
		f()
	}
}

// playBodies checks that the processes do not end because of their memory.
func playBodies(s *scene) (bool, error) {
	p := &bodyPlay{scene: s, stop: make(chan struct{}), statuses: map[string]int{}, ordinary: map[string]int{}}
	store, err := startStore()
	if err != nil {
		return false, err
	}
	var services []string
	for i := range bodyShards {
		service := fmt.Sprintf("huvo%02da", i)
		services = append(services, service)
		for j := range bodyCopies {
			r, err := p.startBodyReplica(fmt.Sprintf("i-7f3a9%02d%d", i, j), service, siteZones[j])
			if err != nil {
				return false, err
			}
			r.register(store, "ready")
		}
	}
	store.put("config", "main", configuration(services, bodyConnections, map[string]any{
		"name": "r-zqghvik", "host": clientHost, "path_prefix": "/ziti980/ti38/", "route_kind": "idempotent", "timeout_ms": 800,
		"target_latency_ms": 80, "priority": 1, "fanout_services": services, "max_attempts": 2, "top_k": 20, "min_shard_ratio": 0.89,
	}))
	var machines []*bodyMachine
	for _, zone := range siteZones {
		d, err := s.start(smallHost("front-"+zone+"-1", zone, store))
		if err != nil {
			return false, err
		}
		machines = append(machines, &bodyMachine{daemon: d})
	}
	for _, m := range machines {
		if err := m.daemon.awaitReady(10 * time.Second); err != nil {
			return false, err
		}
		m.up.Store(true)
	}
	p.run(machines)
	return p.check(machines), nil
}

// run plays the callers.
func (p *bodyPlay) run(machines []*bodyMachine) {
	body := make([]byte, bodyBytes)
	var group sync.WaitGroup
	for _, m := range machines {
		group.Go(func() { p.watchMemory(m) })
		group.Go(func() {
			p.repeat(ordinaryPause, func() { p.ask(m, p.request(http.MethodGet, nil), p.ordinary) })
		})
		if !p.scene.trouble {
			continue
		}
		for range bodyCallers {
			group.Go(func() {
				p.repeat(bodyPause, func() { p.ask(m, p.request(http.MethodPost, body), p.statuses) })
			})
		}
	}
	for range int(bodyLength / time.Second) {
		time.Sleep(time.Second)
		for _, m := range machines {
			p.scene.note("%s: %d MB", m.daemon.name, m.used.Load())
		}
		p.mu.Lock()
		p.scene.note("answers by status to callers with bodies %v, to ordinary callers %v; %d sub-requests run", p.statuses, p.ordinary, p.ran.Load())
		p.mu.Unlock()
	}
	close(p.stop)
	group.Wait()
}

func (p *bodyPlay) request(method string, body []byte) request {
	return request{method: method, host: clientHost, path: "/ziti980/ti38/2f", id: newID(), deadline: bodyDeadline, body: body}
}

// check reports whether the rule held.
func (p *bodyPlay) check(machines []*bodyMachine) bool {
	broken := 0
	for _, m := range machines {
		p.scene.summary("%s: the process ended %d times, at most %.0f MB of %d", m.daemon.name, m.ends, m.peak, m.daemon.memoryMB)
		if m.ends >= maxEnds {
			broken++
		}
	}
	p.scene.summary("callers with bodies: %v", p.statuses)
	p.scene.summary("ordinary callers: %v", p.ordinary)
	p.scene.summary("sub-requests run: %d", p.ran.Load())
	return broken < minMachines
}
