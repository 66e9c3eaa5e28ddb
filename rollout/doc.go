// Package rollout moves the requests of a service from one version of its replicas to
// another when the operator orders it, and moves them back if the new version is bad.
//
// Every host has a Host, which decides which replicas may get a request, and reports what
// came back to the leader of the roll-out. The Leader sums these reports, grants the hosts
// sends to the new version and decides. A grant is a number of sends; the sum of all grants
// never exceeds the bound on the exposure to a version that may be bad, whatever messages
// are lost, and whichever hosts stop, start or are cut off.
//
// The package does no I/O and is told the time. Its types are not safe for concurrent use.
package rollout

import "time"

// Config holds the bounds on the exposure to a version under roll-out.
type Config struct {
	// Share and Slack bound the requests to a version that may be bad: Share of the requests
	// to the service since the order, plus Slack, over all hosts.
	Share, Slack float64
	// SettleTime is how long a version that no order names is withheld after its first
	// replica was registered, because an order may follow.
	SettleTime time.Duration
	// RollbackTime is the time within which a version that was found to be bad must get nothing
	// more from any host.
	RollbackTime time.Duration
	// LocalDataCentre is the data centre whose replicas are tried first.
	LocalDataCentre string
}

const (
	// A host uses a grant for at most maxGrantLifetime, and at most grantShare of the time for a
	// roll-back, after its last contact with the leader: the leader may have rolled back since.
	maxGrantLifetime = 2 * time.Second
	grantShare       = 0.5
	// switchGrace is how long after the switch requests are still sent to old replicas that were
	// chosen before.
	switchGrace = 500 * time.Millisecond
	// memberLifetime is how long after its last report the leader waits for a host to leave the old
	// replicas. A host that has stopped must not hold up the completion.
	memberLifetime = 3 * time.Second
	// LeaseTime is how long the record of a roll-out must be unchanged before another host
	// may lead, and RenewInterval the time between writes by its leader.
	LeaseTime     = 2500 * time.Millisecond
	RenewInterval = time.Second
	// candidateDelay is how long each host leaves the lead to the one ranked before it, so that
	// not all try to write the record at once.
	candidateDelay = 600 * time.Millisecond
)

// grantLifetime returns how long after its last contact with the leader a host uses a grant.
func (c Config) grantLifetime() time.Duration {
	if c.RollbackTime <= 0 {
		return maxGrantLifetime
	}
	return min(maxGrantLifetime, time.Duration(grantShare*float64(c.RollbackTime)))
}
