// Package backend decides which backend servers can run a request, which of
// them runs it, and whether a failed attempt is retried, hedged or reported to
// the caller.
//
// Three duties own its state. The Directory duty owns the list of servers from
// the platform's store, the Poller duty owns their reachability, descriptions
// and load reports, and the Dispatcher duty owns the calls in progress, the
// routing and ejection state, and the crash suspects. They exchange data
// through bounded rings; attempts and polls block only on pool goroutines.
//
// Guarantees: a request that must not be repeated is sent again only while all
// of its attempts provably did not run; the verdict of a call never claims
// not-run for a request that ran; retries and hedges stay within their budgets.
// The encoding of messages is in package backendhttp.
package backend

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Role is the phase of requests that an engine is configured for.
type Role string

// Roles of engines.
const (
	RoleServe   Role = "serve"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Description is a backend server's description of its capabilities.
type Description struct {
	Kind          string             // kind of backend server, as named in contracts
	Service       string             // service to which the server belongs
	Incarnation   string             // changes when the server restarts
	Role          Role               // engines only
	Models        []ModelDescription // engines only
	ContextTokens int                // maximum tokens of prompt and answer together; engines only
	Operations    []string           // plain services only
	ChecksFence   bool               // rejects orders with an outdated fencing number
	Slots         int                // requests that run concurrently
	// Software is the version of the server's software; "" if the server names none.
	Software core.SoftwareVersion `json:",omitempty"`
}

// ModelDescription is one model on an engine.
type ModelDescription struct {
	Name     string
	Version  core.Version
	Adapters []string
	Loading  bool // another version is being loaded; requests that have not started are refused
}

// Load is a backend server's load report. It is always received with a delay.
type Load struct {
	MeasuredAt time.Time // by the server's clock
	ReceivedAt time.Time // by the clock of the daemon that received it
	Running    int
	Waiting    int
	KVUsed     float64 // share of the cache memory in use, 0 to 1
	// SlowdownFactor is how many times longer than usual work currently takes
	// on the server's host; 0 if not reported.
	SlowdownFactor float64
}

// Server is one backend server as known to this daemon.
type Server struct {
	ID          core.ServerID
	Address     string
	DataCentre  string
	Leaving     bool
	Unreachable bool // did not answer the last polls
	Description Description
	Load        Load
	// DescribedAt is the latest known time at which the server still reported
	// this description.
	DescribedAt time.Time
}

// CacheSource reads the changes of an engine's prefix cache. It blocks.
type CacheSource interface {
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
}

// Prober polls backend servers. Its methods block.
type Prober interface {
	Describe(ctx context.Context, address string) (Description, error)
	Load(ctx context.Context, address string) (Load, error)
}
