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
}

// Load is a backend server's report, which is late.
type Load struct {
	At      time.Time // when the server measured it
	Running int
	Waiting int
	KVUsed  float64 // share of the cache memory in use, 0 to 1
}

// Server is one backend server as this daemon knows it.
type Server struct {
	ID          core.ServerID
	Address     string
	DataCentre  string
	Leaving     bool
	Description Description
	Load        Load
}

// Attempt is one try of a request at one backend server.
type Attempt struct {
	Number  int // from 1
	Call    *core.Call
	Server  core.ServerID
	Address string
	Context context.Context // ends when the attempt is no longer wanted
	// ResumeTokens are the tokens that the caller already has.
	ResumeTokens []int32
}

// AttemptEnd is the outcome of an attempt.
type AttemptEnd struct {
	Attempt  Attempt
	Verdict  core.Verdict
	Err      *core.Error // nil when the answer is whole
	Tokens   []int32     // tokens added to the answer by this attempt
	End      core.End    // what the caller gets when Err is nil
	Duration time.Duration
}

// Exchanger carries out attempts. Exchange blocks, so it runs on a pool worker.
type Exchanger interface {
	Exchange(a Attempt) AttemptEnd
}

// Prober asks backend servers about themselves. Its methods block.
type Prober interface {
	Describe(ctx context.Context, address string) (Description, error)
	Load(ctx context.Context, address string) (Load, error)
}
