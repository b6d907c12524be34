// Package backend holds the decisions about backend servers: which can run a
// request, which does, and what happens when one fails. The wire encoding is in
// backendhttp.
package backend

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// Role is what an engine is set up for.
type Role string

// Roles of engines.
const (
	RoleServe   Role = "serve"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Description is what a backend server says it can do.
type Description struct {
	Kind          string             // kind of backend server, as contracts name it
	Service       string             // service that it belongs to
	Incarnation   string             // changes when the server restarts
	Role          Role               // of an engine
	Models        []ModelDescription // of an engine
	ContextTokens int                // longest prompt and answer, of an engine
	Operations    []string           // of a plain service
	ChecksFence   bool               // refuses orders with an old fencing number
	Slots         int                // requests that run at once
}

// ModelDescription is one model that an engine holds.
type ModelDescription struct {
	Name     string
	Version  core.Version
	Adapters []string
	Loading  bool // another version is being loaded; requests that have not started are refused
}

// Load is a backend server's report, which is late.
type Load struct {
	MeasuredAt time.Time // when the server measured it, by its own clock
	ReceivedAt time.Time // when a daemon of this data centre got it, by this daemon's clock
	Running    int
	Waiting    int
	KVUsed     float64 // share of the cache memory in use, 0 to 1
	// SlowdownFactor is how many times longer than usual work takes on the server's
	// host at the moment; 0 if it does not tell.
	SlowdownFactor float64
}

// Server is one backend server as this daemon knows it.
type Server struct {
	ID          core.ServerID
	Address     string
	DataCentre  string
	Leaving     bool
	Unreachable bool // it has not answered the last polls
	Description Description
	Load        Load
	// DescribedAt is a time at which the server still gave this description.
	DescribedAt time.Time
}

// CacheSource reads what changed in an engine's prefix cache. It blocks.
type CacheSource interface {
	CacheEvents(ctx context.Context, address string, after int64) ([]CacheEvent, error)
}

// Prober asks backend servers about themselves. Its methods block.
type Prober interface {
	Describe(ctx context.Context, address string) (Description, error)
	Load(ctx context.Context, address string) (Load, error)
}
