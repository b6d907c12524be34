package core

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Class is the scheduling class of a request. It determines the queue order and
// the engine priority.
type Class string

// Classes, from most to least urgent.
const (
	ClassInteractive Class = "interactive" // a user waits for the answer
	ClassBackground  Class = "background"  // a program waits for the answer
	ClassRollout     Class = "rollout"     // a trainer waits for a group
)

// Classes lists the classes from most to least urgent.
func Classes() []Class { return []Class{ClassInteractive, ClassBackground, ClassRollout} }

// Rank returns 0 for the most urgent class; an unknown class ranks last.
func (c Class) Rank() int {
	for i, known := range Classes() {
		if c == known {
			return i
		}
	}
	return len(Classes())
}

// RequestID identifies a request across daemons and attempts.
type RequestID string

// CustomerID names a customer.
type CustomerID string

// Rank is the order of a request by the priority of its customer or route: 1 is the most
// urgent.
type Rank int

// Unranked is the Rank of a request to which no priority applies.
const Unranked Rank = 0

// ServerID names a backend server.
type ServerID string

// DaemonID identifies one run of a daemon: it changes when the process restarts.
type DaemonID string

// Request is one call, which gets exactly one complete answer or one error.
type Request struct {
	ID             RequestID
	Customer       CustomerID
	Service        string
	Operation      string // for plain services; empty for model calls
	Model          string // for engines
	Adapter        string // for engines; empty for the base model
	MinVersion     Version
	Class          Class
	Repeatable     bool   // idempotent: safe to run more than once
	IdempotencyKey string // required when not Repeatable
	Priority       int    // within the class; the highest is served first
	Rank           Rank   // on the users' platform; no queue orders by it yet
	Deadline       time.Time
	Prompt         string
	Body           []byte // for plain services
	MaxTokens      int    // for engines
	Stream         bool   // the caller reads the answer as a stream
	// BackendKinds are the kinds of backend server that the contract permits;
	// empty permits every kind.
	BackendKinds []string
	// HedgeShare is the share of extra attempts that the contract permits for
	// hedging, 0 to 0.05; 0 permits none.
	HedgeShare float64
	Sampling   Sampling
	// Resume is the part of the answer that the caller already has.
	Resume Progress
	// MaxAttempts is the largest number of backend servers that the request is
	// sent to; 0 takes the default of the dispatch duty.
	MaxAttempts int
	// Accepted marks a part of a job that was accepted for later. It must be
	// completed, and it is never taken for the cause of a server's crash.
	Accepted bool
	// Lease is checked before each attempt is sent; nil needs no check.
	Lease *Lease
	// Forward is set for a message that is sent to the backend server unchanged.
	Forward *ForwardedMessage
	// Fingerprint identifies the content of the request independently of its ID,
	// so that a resent request is recognised.
	Fingerprint uint64
}

// Sampling holds the sampling parameters of a model call. A parameter that is
// not set takes the engine's default.
type Sampling struct {
	Temperature      *float64 `json:"temperature,omitempty"`       // 0 to 2
	TopP             *float64 `json:"top_p,omitempty"`             // above 0, up to 1
	Seed             *int64   `json:"seed,omitempty"`              // makes sampling reproducible if the engine supports it
	Stop             []string `json:"stop,omitempty"`              // stop sequences
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"` // -2 to 2
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`  // -2 to 2
}

// IsZero reports whether no parameter is set.
func (s *Sampling) IsZero() bool {
	return s.Temperature == nil && s.TopP == nil && s.Seed == nil && len(s.Stop) == 0 &&
		s.FrequencyPenalty == nil && s.PresencePenalty == nil
}

// WithDeadline returns a context that ends with parent, at the request's
// deadline if it has one, or when cancel is called.
func (r *Request) WithDeadline(parent context.Context) (ctx context.Context, cancel context.CancelFunc) {
	if r.Deadline.IsZero() {
		return context.WithCancel(parent)
	}
	return context.WithDeadline(parent, r.Deadline)
}

// IsModelCall reports whether the request goes to an engine.
func (r *Request) IsModelCall() bool { return r.Operation == "" }

// ComputeFingerprint returns a hash of everything that determines what a
// backend server does with the request.
func (r *Request) ComputeFingerprint() uint64 {
	h := xxhash.New()
	var length [8]byte
	writeLength := func(n int) {
		binary.LittleEndian.PutUint64(length[:], uint64(n))
		_, _ = h.Write(length[:])
	}
	write := func(part string) {
		writeLength(len(part))
		_, _ = h.WriteString(part)
	}
	for _, part := range []string{string(r.Customer), r.Service, r.Operation, r.Model, r.Adapter, r.Prompt} {
		write(part)
	}
	// A body may be large, and a string of it would be a copy.
	writeLength(len(r.Body))
	_, _ = h.Write(r.Body)
	if r.Forward != nil {
		write(r.Forward.Target)
	}
	binary.LittleEndian.PutUint64(length[:], uint64(r.MaxTokens))
	_, _ = h.Write(length[:])
	if !r.Sampling.IsZero() {
		// Finite numbers and strings always encode, with the fields in a fixed order.
		encoded, _ := json.Marshal(&r.Sampling)
		write(string(encoded))
	}
	return h.Sum64()
}
