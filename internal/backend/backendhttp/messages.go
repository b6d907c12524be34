// Package backendhttp encodes the exchanges with backend servers as HTTP:
// attempts, polls, probes and cancellations.
//
// It owns no duty. A Client is used from pool goroutines, and its pool of
// connections is safe for concurrent use. The package decides which verdict a
// failed exchange has: not-run only if no byte of the request was written or
// the server states that it did not start the request. It sends a request at
// most once per attempt.
package backendhttp

import (
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
)

// Paths of the HTTP interface of backend servers.
const (
	PathServer      = "/v1/server"
	PathLoad        = "/v1/load"
	PathCompletions = "/v1/completions"
	PathRequests    = "/v1/requests/"
	PathOrders      = "/v1/orders"
	PathCacheEvents = "/v1/cache-events"
	PathKVExport    = "/v1/kv/export"
	PathKVImport    = "/v1/kv/import"
	PathOperations  = "/v1/ops/"
)

// ServerMessage is the answer to GET /v1/server.
type ServerMessage struct {
	Kind          string         `json:"kind"`
	Service       string         `json:"service"`
	Incarnation   string         `json:"incarnation"`
	Role          string         `json:"role,omitempty"`
	Models        []ModelMessage `json:"models,omitempty"`
	ContextTokens int            `json:"context_tokens,omitempty"`
	Operations    []string       `json:"operations,omitempty"`
	ChecksFence   bool           `json:"checks_fence,omitempty"`
	Slots         int            `json:"slots,omitempty"`
}

// ModelMessage is one model on an engine.
type ModelMessage struct {
	Name     string   `json:"name"`
	Version  int64    `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// LoadMessage is the answer to GET /v1/load.
type LoadMessage struct {
	At      time.Time `json:"at"`
	Running int       `json:"running"`
	Waiting int       `json:"waiting"`
	KVUsed  float64   `json:"kv_used"`
}

// CompletionMessage is the body of POST /v1/completions to an engine.
type CompletionMessage struct {
	RequestID    string  `json:"request_id"`
	Model        string  `json:"model"`
	Adapter      string  `json:"adapter,omitempty"`
	Prompt       string  `json:"prompt"`
	MaxTokens    int     `json:"max_tokens"`
	Priority     int     `json:"priority"`                // lower values run first
	ResumeTokens []int32 `json:"resume_tokens,omitempty"` // tokens already produced by earlier attempts
	core.Sampling
}

// TokenMessage is the data of one server-sent event of an engine.
type TokenMessage struct {
	RequestID    string  `json:"request_id,omitempty"` // not sent by all engines
	Position     int     `json:"position"`
	Tokens       []int32 `json:"tokens,omitempty"`
	Text         string  `json:"text,omitempty"`
	Version      int64   `json:"weight_version"`
	Adapter      string  `json:"adapter,omitempty"`
	FinishReason string  `json:"finish_reason,omitempty"` // set on the last event
}

// RequestMessage is the answer to GET /v1/requests/{id}.
type RequestMessage struct {
	State        string `json:"state"`                   // one of the State constants
	Position     int    `json:"position"`                // tokens produced so far
	FinishReason string `json:"finish_reason,omitempty"` // set in StateDone
}

// States of a request on an engine.
const (
	StateWaiting = "waiting"
	StateRunning = "running"
	StatePaused  = "paused"
	StateDone    = "done"
)

// FinishReasonLength is the finish reason of an answer that has the requested
// maximum of tokens.
const FinishReasonLength = "length"

// OrderMessage is the body of POST /v1/orders.
type OrderMessage struct {
	Kind    string `json:"kind"` // load-version, load-model, load-adapter or set-role
	Model   string `json:"model,omitempty"`
	Version int64  `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Role    string `json:"role,omitempty"`
	Source  string `json:"source,omitempty"` // address of the engine to copy from; empty for the weight store
	Fence   int64  `json:"fence"`
}

// CacheEventMessage is one entry of the answer to GET /v1/cache-events.
type CacheEventMessage struct {
	Sequence int64  `json:"sequence"`
	Kind     string `json:"kind"`   // stored or evicted
	Prefix   uint64 `json:"prefix"` // xxhash of the prompt prefix
}

// PrefixBlockBytes is the granularity, in bytes of the prompt, of the prefixes
// in cache events.
const PrefixBlockBytes = backend.PrefixBlockBytes

// KVMessage is the answer to POST /v1/kv/export, whose body holds only the
// request ID, and the body of POST /v1/kv/import.
type KVMessage struct {
	RequestID string   `json:"request_id"`
	Model     string   `json:"model,omitempty"`
	Position  int      `json:"position,omitempty"`
	Prefixes  []uint64 `json:"prefixes,omitempty"`
}
