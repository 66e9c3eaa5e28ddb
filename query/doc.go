// Package query is the state machine of one scatter-gather query.
//
// A Machine is given a Plan: the groups that the query touches, their services
// with hash ranges and replicas, and the limits of the contract. It chooses one
// snapshot, sends one sub-request for each service, hedges and retries within
// a shared RetryBudget, merges the replies and finishes exactly once, before the
// answer time is over, with an Answer or a Refusal.
//
// Two invariants hold for every answer. All parts have the same snapshot: a
// reply that names another one is never merged. The stated coverage is the
// measure of the hash ranges that the merged replies stated, and no two merged
// ranges overlap.
//
// Hedges and retries are paid from the budget. A sub-request that an owner
// refused or handed back before sending it (Failure.Unsent) is given to another
// replica once without charge, because no upstream gets more load by it.
//
// The package is pure. It reads no clock, starts no goroutine and takes no
// lock; the random source is passed in. A Machine belongs to one query and its
// events must be serialised. Stats and RetryBudget are shared by the queries of a
// host and are not safe for concurrent use either: the caller serialises the
// events of all machines that share them, or gives each event loop its own pair
// and runs a query on one loop from start to end. Separate pairs need no
// agreement, because a budget is a share of the requests it has seen itself.
package query
