// Package query implements the state machine of one scatter-gather query.
//
// A Machine executes a Plan: the groups that the query covers, their services
// with hash ranges and replicas, and the limits of the contract. It chooses one
// snapshot, sends one sub-request to each service, hedges and retries within a
// shared RetryBudget, and merges the replies. It finishes exactly once, before
// the answer time has passed, with an Answer or a Refusal.
//
// Two invariants hold for every answer. All parts have the same snapshot: a
// reply with another snapshot is never merged. The reported coverage is the
// measure of the hash ranges in the merged replies, and no two merged ranges
// overlap.
//
// Hedges and retries are charged to the retry budget. A sub-request that an
// owner refused or handed back before sending it (Failure.Unsent) is sent to
// another replica once without charge, because this adds no load to any upstream.
//
// The package reads no clock, starts no goroutine and takes no lock; the random
// source is passed in. A Machine belongs to one query, and its caller serialises
// its events. Stats and RetryBudget are shared by several queries and are not safe
// for concurrent use either. The caller either serialises the events of all
// machines that share them, or divides the queries into stripes that each have
// their own Stats and RetryBudget. Stripes need no coordination, because a budget
// depends only on the requests of its own stripe.
package query
