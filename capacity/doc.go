// Package capacity implements admission control for the requests that an owner
// sends to one upstream.
//
// A Limiter combines the owner's share of the upstream's slots, a bounded queue
// ordered by deadline, an adaptive concurrency limit and a cold-start ramp. It
// starts at the floor of the ramp, because a new owner does not know whether the
// upstream is warm.
//
// A Limiter maintains these invariants:
//
//   - When a request is started, the number in flight does not exceed the share,
//     the concurrency limit or this owner's portion of the ramp level.
//   - Every queued ticket is started or dropped exactly once, or removed by
//     Cancel. If Tick is called at the times that Next returns, this happens
//     before the ticket's deadline.
//   - The ramp level rises only after replies to requests that were started at
//     the current level and used it fully. The exception is that a notice from
//     the owner of rank 0 gives a co-owner its first slot.
//   - Health and load reports never raise the load.
//
// The caller must set the rank and the share whenever the ownership table or the
// lease changes, call Tick at Next, and call Done for every started request,
// including those that time out or are cancelled. After each event it must send
// the notice that TakeNotice returns, if any, to the other owners. While the
// owner of rank 0 has co-owners, it must also send them the result of Level once
// a second: their level rises only with notices, and a notice may be lost.
//
// The package is pure: it reads no clock, starts no goroutines and takes no
// locks. Calls to a Limiter must be serialised.
package capacity
