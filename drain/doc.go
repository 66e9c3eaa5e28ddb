// Package drain decides which upstreams and data centres may get new work, and
// runs the phases of this host from its start to a planned stop.
//
// Gate judges upstreams. An upstream closes at the first of these signals: its
// data centre is out in the configuration, the host list shows its host as
// leaving or gone, the upstream says that it drains, or it refuses work because
// it drains. Each signal is cleared only by its own source: a host list can't
// clear a drain signal, and a reply can't clear the host list. A drain signal
// holds for the incarnation that gave it and ends with a new incarnation.
//
// Host judges this host. On a planned stop it becomes unready and announces
// that it leaves, goes on serving callers until the load balancer has reacted,
// releases its shares once its owner work is done, and stops when nothing is in
// flight. The grace period bounds the stop; requests cut off by it are counted.
//
// Both are pure state machines without a clock.
package drain
