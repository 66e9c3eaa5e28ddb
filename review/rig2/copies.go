package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The play of late second copies. The shares and the length are those of the site file's garble and
// srv_grey entries, or lower.
const (
	copyReplicas   = 2 // as each service with shards has
	copySlots      = 2
	copyWork       = 15 * time.Millisecond
	copyRate       = 120.0 // client requests a second
	copyWindows    = 17    // times that the disruptions come
	copyWindow     = 5 * time.Second
	copyPause      = time.Second
	refusedShare   = 0.25 // of the requests that a replica refuses as not run
	copiedShare    = 0.04 // of a replica's answers that it sends a second time
	minCopyDelay   = 15 * time.Millisecond
	copyDelayRange = 20 * time.Millisecond
)

// runs records which replica ran which request.
type runs struct {
	mu sync.Mutex
	of map[string][]string
}

func (r *runs) add(id, replica string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.of[id] = append(r.of[id], replica)
}

// copyPlay plays replicas that refuse a part of the requests, and send a few of their answers a second
// time, late.
type copyPlay struct {
	scene *scene
	ran   runs

	mu       sync.Mutex
	active   bool
	credit   map[string]float64 // second copies that a replica may send
	statuses map[int]int
	refused  []string // requests whose clients were told that they have not run
}

// work answers a request to a replica.
func (p *copyPlay) work(r *replica, c *serverConn, q received) response {
	p.mu.Lock()
	active := p.active
	p.mu.Unlock()
	if active {
		p.count(r)
	}
	if !active || rand.Float64() >= refusedShare {
		p.ran.add(q.id, r.id)
		p.scene.note("run %s at %s", q.id, r.id)
		time.Sleep(copyWork)
		return r.success(q.id, []byte("done"))
	}
	a := notRun()
	if p.scene.trouble && p.mayRepeat(r) {
		a.header["X-Request-Id"] = q.id
		delay := minCopyDelay + rand.N(copyDelayRange)
		p.scene.note("refused %s at %s, a second copy of the answer follows after %v", q.id, r.id, delay)
		c.repeat(a.encode(), delay)
	} else {
		p.scene.note("refused %s at %s", q.id, r.id)
	}
	return a
}

// count counts an answer of a replica, of which a share may be sent a second time.
func (p *copyPlay) count(r *replica) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.credit[r.id] += copiedShare
}

// mayRepeat reports whether a replica may send another answer a second time, and counts that.
func (p *copyPlay) mayRepeat(r *replica) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.credit[r.id] < 1 {
		return false
	}
	p.credit[r.id]--
	return true
}

// ask sends one request on an open connection or a new one.
func (p *copyPlay) ask(d *daemon, open chan *connection) {
	c, err := take(d, open)
	if err != nil {
		return
	}
	q := request{method: http.MethodPost, host: clientHost, path: "/timi402/2f", id: newID(), deadline: 2500 * time.Millisecond, body: []byte("payout")}
	p.scene.note("sent %s", q.id)
	r, err := c.ask(q)
	if err != nil {
		p.scene.note("no answer to %s: %v", q.id, err)
		c.Close()
		return
	}
	p.scene.note("answered %s with %d", q.id, r.status)
	open <- c
	p.mu.Lock()
	defer p.mu.Unlock()
	p.statuses[r.status]++
	if r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests {
		p.refused = append(p.refused, q.id)
	}
}

// take returns an open connection to a daemon that no request uses, or a new one.
func take(d *daemon, open chan *connection) (*connection, error) {
	select {
	case c := <-open:
		return c, nil
	default:
		return dial(d.front)
	}
}

// setActive begins or ends the disruption.
func (p *copyPlay) setActive(active bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active = active
}

// playCopies checks that no request that must not be repeated runs twice, or runs although its client
// was told that it has not.
func playCopies(s *scene) (bool, error) {
	p := &copyPlay{scene: s, ran: runs{of: map[string][]string{}}, credit: map[string]float64{}, statuses: map[int]int{}}
	store, err := startStore()
	if err != nil {
		return false, err
	}
	for i := range copyReplicas {
		r, err := startReplica(fmt.Sprintf("i-7f3a91c%d", i), "kafi81c", siteZones[i], copySlots, p.work)
		if err != nil {
			return false, err
		}
		r.register(store, "ready")
	}
	store.put("config", "main", configuration([]string{"kafi81c"}, 25, map[string]any{
		"name": "r-s4qmv29", "host": clientHost, "path_prefix": "/timi402/", "route_kind": "non_idempotent", "timeout_ms": 2500,
		"target_latency_ms": 250, "priority": 2, "service": "kafi81c", "max_attempts": 2,
	}))
	d, err := s.startReady(smallHost("front-lahore-a-1", siteZones[0], store))
	if err != nil {
		return false, err
	}
	open := make(chan *connection, 1000)
	stop := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Duration(rand.ExpFloat64() * float64(time.Second) / copyRate)):
				group.Go(func() { p.ask(d, open) })
			}
		}
	})
	for range copyWindows {
		time.Sleep(copyPause)
		p.setActive(true)
		time.Sleep(copyWindow)
		p.setActive(false)
	}
	close(stop)
	group.Wait()
	time.Sleep(copyPause) // what still runs is recorded
	return p.check(), nil
}

// check reports whether the rules held.
func (p *copyPlay) check() bool {
	twice, denied := 0, 0
	for id, replicas := range p.ran.of {
		if len(replicas) > 1 {
			twice++
			p.scene.note("TWICE: %s ran at %v", id, replicas)
		}
	}
	for _, id := range p.refused {
		if replicas := p.ran.of[id]; len(replicas) > 0 {
			denied++
			p.scene.note("REFUSED: the client of %s was told that it has not run, it ran at %v", id, replicas)
		}
	}
	p.scene.summary("answers by status %v; %d requests ran twice, %d ran although refused", p.statuses, twice, denied)
	return twice == 0 && denied == 0
}
