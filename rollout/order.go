package rollout

import (
	"cmp"
	"time"
)

// State is the state of an order in the store.
type State string

// States of an order. Completed and RolledBack are final.
const (
	Pending    State = ""
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Final reports whether a roll-out in the state has been decided.
func (s State) Final() bool { return s == Completed || s == RolledBack }

// Status is what the store says about the progress of an order. It is about the order only
// if it has the order's version: the operator may have changed the order since.
type Status struct {
	State   State
	Version string
}

// OrderID identifies one order. An object that is removed and created again, or gets another
// version or duration, is another order.
type OrderID struct {
	Name     string        `json:"name"`
	Service  string        `json:"service"`
	Version  string        `json:"version"`
	Duration time.Duration `json:"duration_ns"`
	// Created is the revision at which the order's object was created.
	Created uint64 `json:"created"`
}

// Order is the operator's order to move the requests of a service to a version.
type Order struct {
	OrderID
	// Revision is that of the last change of the object, its status included.
	Revision uint64
	Status   Status
}

// Decided returns the final state of the order, or false if there is none yet.
func (o *Order) Decided() (State, bool) {
	return o.Status.State, o.Status.State.Final() && o.Status.Version == o.Version
}

// compareOrders sorts orders by age.
func compareOrders(a, b Order) int {
	return cmp.Or(cmp.Compare(a.Created, b.Created), cmp.Compare(a.Name, b.Name))
}
