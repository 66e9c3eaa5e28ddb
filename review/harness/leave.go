package main

import (
	"errors"
	"fmt"
	"net"
	"time"
)

func init() { scenarios["leave"] = clientsLeave }

const (
	// One of leavePeriod clients leaves, after less than half of the target latency.
	allClients  = 40
	leavePeriod = 5
	leaveAfter  = 100 * time.Millisecond
	leaveWork   = 200 * time.Millisecond
)

// clientsLeave lets part of the clients leave before their deadline: they end their side of the
// connection and read what the daemon still sends.
func clientsLeave(w *world) (bool, error) {
	var r *replica
	r, err := startReplica("i-1", "yards", w.log, func(e exchangeAtReplica) (string, string, string) {
		time.Sleep(leaveWork)
		return "200 OK", r.stamp(e.id), "the whole body"
	})
	if err != nil {
		return false, err
	}
	w.store.put("servers", r.id, r.registration())
	w.store.put("config", "main", configuration(1, route("/totals/", "idempotent", "yards", yardTimeout)))
	d, err := w.startDaemon("front-zone-a-1", abayWiki)
	if err != nil {
		return false, err
	}
	mixed := 0
	for i := range allClients {
		c, err := dial(d.caller)
		if err != nil {
			return false, err
		}
		id, sent := fmt.Sprintf("client-%d", i), time.Now()
		if err := c.send("/totals/x", id, yardTimeout, ""); err != nil {
			return false, err
		}
		if w.trouble && i%leavePeriod == 0 {
			time.Sleep(leaveAfter)
			tcp, ok := c.Conn.(*net.TCPConn)
			if !ok {
				return false, errors.New("no TCP connection")
			}
			if err := tcp.CloseWrite(); err != nil {
				return false, err
			}
			w.log.printf("client of %s ends its side of the connection after %v", id, leaveAfter)
		}
		a := c.receive(sent, yardTimeout)
		c.Close()
		w.log.printf("answer to %s: %v", id, a)
		if a.status >= 200 && a.status < 300 && a.header.Get("X-Server-Stamp") == "" {
			w.log.printf("MIXED: %s got the success %d with %d bytes and without a stamp", id, a.status, len(a.body))
			mixed++
		}
	}
	w.log.printf("successes without a stamp: %d", mixed)
	return mixed > 0, nil
}
