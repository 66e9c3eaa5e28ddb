package entry

import (
	"context"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"github.com/marigoldlever/marigoldlever/drain"
)

const (
	// balancerLag is how long the balancer goes on sending new connections to a host
	// that is not ready: two health checks a second apart, plus their transit times.
	balancerLag = 2300 * time.Millisecond
	// refusalTime is how long late requests are refused before the listeners close.
	// Connections that look idle are not closed sooner, because a request may just have
	// arrived on one of them.
	refusalTime = 250 * time.Millisecond
	// openEnded is the time in which requests are accepted that may still be in progress at
	// the end of the grace period. The platform allows 3 s after its signal, which takes time
	// to arrive. It is at most openEndedShare of the grace period.
	openEnded      = 2500 * time.Millisecond
	openEndedShare = 0.4
	// answerTime is reserved at the end of the grace period to answer the requests that are
	// still in progress and to end. It is at most answerShare of the grace period.
	answerTime  = 500 * time.Millisecond
	answerShare = 1.0 / 12
	// leavingRetry is the Retry-After time of requests that a leaving host refuses: other
	// hosts can take them at once.
	leavingRetry = 10 * time.Millisecond
)

// stopReserve returns how much of the grace period is reserved for its end.
func stopReserve(grace time.Duration) time.Duration {
	return min(answerTime, time.Duration(answerShare*float64(grace)))
}

// drainConfig returns the settings of a planned stop. Half of the reserve serves to answer
// the requests in progress, a quarter to close connections.
func drainConfig(grace time.Duration) drain.Config {
	reserve := stopReserve(grace)
	return drain.Config{
		BalancerLag: balancerLag, Grace: grace - reserve/2, AnswerTime: reserve / 2,
		OpenEnded: min(openEnded, time.Duration(openEndedShare*float64(grace))),
	}
}

// stop makes a planned stop and returns the number of requests that were cut off, and the
// time by which the process should end.
func (e *Entry) stop(ctx context.Context, servers *servers) (cutOff int, end time.Time) {
	grace := e.bounds.Load().Grace
	end = time.Now().Add(grace - stopReserve(grace)/4)
	klog.InfoS("Planned stop begins", "host", e.settings.Host, "inFlight", e.lifecycle.InFlight(), "grace", grace)
	e.quotas.stop()
	cutOff = e.lifecycle.StopAndWait(ctx)
	time.Sleep(min(refusalTime, time.Until(end)-stopReserve(grace)/4))
	closing, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	servers.shutDown(closing)
	return cutOff, end
}

// conclude ends everything in progress at the end of the grace period.
func (e *Entry) conclude() {
	e.scatter.Conclude()
	e.offload.conclude()
}

// waitUntil waits for a group, until a time at most.
func waitUntil(group *sync.WaitGroup, end time.Time) {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(time.Until(end)):
	}
}
