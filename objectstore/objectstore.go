// Package objectstore defines the interfaces to the platform that the system runs on: an
// object API with versions, conditional updates and watches, and a host list.
//
// All data that must survive the failure of a host is stored through Store. The errors
// distinguish a write that did not take effect (ErrConflict, ErrUnavailable, ErrBudget) from
// one that may have taken effect (ErrUnknownOutcome). After the latter a caller has to read
// the object before it continues.
package objectstore

import (
	"context"

	"github.com/cockroachdb/errors"
)

// MaxValueBytes is the largest value that an object may hold.
const MaxValueBytes = 1 << 20

// Errors of this package. Implementations wrap them, so test with errors.Is.
var (
	// ErrNotFound reports that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict reports that the base version of a Put is not the current version.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable reports that the platform could not be reached or refused the call;
	// a Put did not take effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownOutcome reports that the reply to a Put was lost; the Put may have taken
	// effect.
	ErrUnknownOutcome = errors.New("outcome of platform call unknown")
	// ErrTooLarge reports a value above MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrBudget reports that this host's own call budget is exhausted; the call was not
	// sent.
	ErrBudget = errors.New("platform call budget exhausted")
	// ErrTimeout reports that a Watch ended without a change.
	ErrTimeout = errors.New("watch ended without a change")
)

// Object is a stored value with the version of its last write. Version 0 means that the
// object does not exist.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
}

// Store is the object API.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// Put replaces the value if the current version is base; base 0 creates
	// the object. It returns the object with its new version.
	Put(ctx context.Context, name string, base uint64, value []byte) (Object, error)
	// Watch returns the object once its version is above after. If the platform ends the
	// poll without a change, Watch returns ErrTimeout before the deadline of ctx. This
	// proves that the version was still current at some time after the call was sent.
	Watch(ctx context.Context, name string, after uint64) (Object, error)
}

// Role states what runs on a host of the host list.
type Role string

const (
	// RoleEntry is a host that runs a daemon of this system.
	RoleEntry Role = "entry"
	// RoleUpstream is a host that runs an upstream.
	RoleUpstream Role = "upstream"
)

// Host is an entry of the platform's host list, which may be out of date.
type Host struct {
	ID            string `json:"id"`
	Role          Role   `json:"role"`
	DataCentre    string `json:"data_centre"`
	PeerAddress   string `json:"peer_address"`
	CallerAddress string `json:"caller_address"`
	Leaving       bool   `json:"leaving"`
}

// HostList is the platform's list of live and leaving hosts.
type HostList interface {
	// Hosts returns the list as the platform knows it, which may be out of date.
	Hosts(ctx context.Context) ([]Host, error)
	// Register adds or replaces this host's own entry.
	Register(ctx context.Context, h Host) error
	// Deregister removes this host's own entry.
	Deregister(ctx context.Context, id string) error
}
