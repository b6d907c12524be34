// Package platform holds the decisions about the platform's object API and host
// list: cached reads, watches, conditional updates, answers that were lost,
// leases and fencing numbers. The wire encoding is in platformhttp.
package platform

import (
	"context"
	"errors"
)

// Errors of the object API. Implementations of ObjectAPI wrap them.
var (
	// ErrNotFound means that the key holds no object.
	ErrNotFound = errors.New("platform: object not found")
	// ErrConflict means that the object's version is not the expected one; nothing changed.
	ErrConflict = errors.New("platform: version conflict")
	// ErrUnavailable means that the call was not carried out.
	ErrUnavailable = errors.New("platform: object API unavailable")
	// ErrRateLimited means that the call was refused by the rate limit; nothing changed.
	ErrRateLimited = errors.New("platform: rate limited")
	// ErrUnknownOutcome means that the answer was lost: a change may have taken effect.
	ErrUnknownOutcome = errors.New("platform: answer lost, outcome unknown")
	// ErrCompacted means that the changes since the revision of a watch are no
	// longer kept; the reader must list again.
	ErrCompacted = errors.New("platform: revision compacted")
	// ErrTooLarge means that the value is over MaxValueBytes.
	ErrTooLarge = errors.New("platform: value too large")
	// ErrRejected means that the platform refused the call as invalid; nothing
	// changed, and the same call will be refused again.
	ErrRejected = errors.New("platform: call rejected as invalid")
)

// MaxValueBytes is the largest value that the object API holds.
const MaxValueBytes = 1 << 20

// Versions with a meaning of their own in Write.IfVersion.
const (
	AnyVersion int64 = -1 // no condition
	Absent     int64 = 0  // the key must hold no object
)

// Object is one stored object, or the tombstone of a deleted one.
type Object struct {
	Key      string `json:"key"`
	Version  int64  `json:"version"`  // grows with each change of this object, also over deletes
	Revision int64  `json:"revision"` // store-wide number of the change
	Token    string `json:"token"`    // token of the write that made this version
	Value    []byte `json:"value,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Listing is a set of objects as of a revision. From a watch it holds the
// changes up to the revision, tombstones included.
type Listing struct {
	Objects  []Object `json:"objects"`
	Revision int64    `json:"revision"`
}

// Write is a conditional change of one object.
type Write struct {
	Key       string
	IfVersion int64  // AnyVersion, Absent, or the version that must be current
	Token     string // unique for this write; a later read tells by it whether the write took effect
	Value     []byte
}

// ObjectAPI is the platform's object API. Every method counts as one call
// against the platform's rates, a waiting Watch included.
type ObjectAPI interface {
	Get(ctx context.Context, key string) (Object, error)
	List(ctx context.Context, prefix string) (Listing, error)
	Put(ctx context.Context, w Write) (Object, error)
	Delete(ctx context.Context, w Write) (Object, error)
	// Watch waits for changes after the revision and returns them. It returns
	// an empty listing when there are none for some time.
	Watch(ctx context.Context, prefix string, after int64) (Listing, error)
}

// HostState is the state of a host in the host list.
type HostState string

// States of hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostRole says what runs on a host.
type HostRole string

// Roles of hosts.
const (
	RoleDaemon  HostRole = "daemon"
	RoleBackend HostRole = "backend"
)

// Host is one entry of the host list, which lags behind the truth.
type Host struct {
	Name        string    `json:"name"`
	Role        HostRole  `json:"role"`
	Address     string    `json:"address"` // of the backend server, or of the daemon's peer listener
	DataCentre  string    `json:"dataCentre"`
	Region      string    `json:"region,omitempty"`
	State       HostState `json:"state"`
	Service     string    `json:"service,omitempty"`     // of a backend server
	ServerKind  string    `json:"serverKind,omitempty"`  // kind of backend server, as contracts name it
	ChecksFence bool      `json:"checksFence,omitempty"` // the backend server refuses old fencing numbers
}

// HostList is the platform's list of hosts.
type HostList interface {
	Hosts(ctx context.Context) ([]Host, error)
}
