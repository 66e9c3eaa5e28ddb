// Package drain decides which upstreams and data centres may receive new work, and
// controls the phases of this host from its start to a planned stop.
//
// Gate tracks the upstreams. An upstream is closed by any of these signals: its
// data centre is out in the configuration, the host list shows its host as
// leaving or no longer lists it, the upstream reports that it is draining, or it
// refuses work because it is draining. Only the source of a signal can clear it:
// a host list can't clear a drain signal, and a reply can't clear a host list
// signal. A drain signal applies to the incarnation that sent it and ends with a
// new incarnation.
//
// HostLifecycle tracks this host. On a planned stop the host becomes unready,
// announces that it is leaving, serves callers until the load balancer has
// reacted, releases its shares when its owner work has ended, and stops when
// nothing is in flight. It accepts only what can end before the stop does. The grace
// period limits the duration of the stop; shortly before its end, everything that is
// still in flight is concluded, so that it gets an answer. What the end cuts off
// nevertheless is counted.
//
// Both are pure state machines that read no clock.
package drain
