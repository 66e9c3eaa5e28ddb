// Package capacity decides which requests an owner may send to one upstream.
//
// A Limiter holds the owner's share of the upstream's slots, a bounded queue
// ordered by deadline, a concurrency limit and the cold-start ramp. It starts
// at the floor of the ramp, because a new owner does not know whether the
// upstream is warm.
//
// Invariants: the requests in flight never exceed the share, the limit and this
// owner's portion of the ramp level at the time of a start; every ticket that
// was queued is started or ended exactly once, before its deadline if Tick is
// called at Next; the level rises only by replies to requests that were started
// at the current level and used it fully, except that a notice of rank 0 gives a
// co-owner its first slot; reports of health and load only lower the load.
//
// The caller sets the rank and the share whenever the ownership table or the
// right to send changes, calls Tick at Next, ends every start with Done (also
// after a timeout or a cancelled request), and after each event sends the notice
// that TakeNotice returns to the other owners. The owner of rank 0 also sends
// Level once a second while it has co-owners: their level only follows notices.
//
// The package is pure: it reads no clock, starts no goroutine and takes no
// lock. The events of a Limiter must be serialised.
package capacity
