package core

import (
	"time"
)

// ServiceKind distinguishes engines from plain services.
type ServiceKind string

// Kinds of service.
const (
	KindEngine ServiceKind = "engine"
	KindPlain  ServiceKind = "plain"
)

// Duration is a time.Duration that is written as text, such as "5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	*d = Duration(parsed)
	return err
}

// Contract holds every limit on one customer's work.
type Contract struct {
	Customer   CustomerID  `json:"customer" yaml:"customer"`
	Weight     int         `json:"weight,omitempty" yaml:"weight,omitempty"`     // share of capacity under contention
	ShedRank   int         `json:"shedRank,omitempty" yaml:"shedRank,omitempty"` // lower is shed first under overload
	Limits     Limits      `json:"limits" yaml:"limits"`
	Freshness  Freshness   `json:"freshness,omitzero" yaml:"freshness,omitempty"`
	Hedge      Hedge       `json:"hedge,omitzero" yaml:"hedge,omitempty"`
	Services   []Service   `json:"services" yaml:"services"`
	Trainers   []Trainer   `json:"trainers,omitempty" yaml:"trainers,omitempty"`
	Objectives []Objective `json:"objectives,omitempty" yaml:"objectives,omitempty"`
}

// Limits bounds how much a customer may send. Zero means no limit.
type Limits struct {
	RequestsPerSecond float64 `json:"requestsPerSecond,omitempty" yaml:"requestsPerSecond,omitempty"`
	TokensPerSecond   float64 `json:"tokensPerSecond,omitempty" yaml:"tokensPerSecond,omitempty"`
	Concurrency       int     `json:"concurrency,omitempty" yaml:"concurrency,omitempty"` // requests in flight
	Queue             int     `json:"queue,omitempty" yaml:"queue,omitempty"`             // requests waiting at one daemon
}

// Freshness bounds the age of samples. Zero means no bound.
type Freshness struct {
	MaxVersionsBehind int      `json:"maxVersionsBehind,omitempty" yaml:"maxVersionsBehind,omitempty"`
	MaxAge            Duration `json:"maxAge,omitempty" yaml:"maxAge,omitempty"`
}

// Hedge bounds duplicate attempts of repeatable work.
type Hedge struct {
	MaxExtraWork float64 `json:"maxExtraWork,omitempty" yaml:"maxExtraWork,omitempty"` // share of attempts, at most 0.05
}

// Service is one service that the customer may use.
type Service struct {
	Name         string      `json:"name" yaml:"name"`
	Kind         ServiceKind `json:"kind" yaml:"kind"`
	Models       []Model     `json:"models,omitempty" yaml:"models,omitempty"`
	BackendKinds []string    `json:"backendKinds,omitempty" yaml:"backendKinds,omitempty"` // empty allows every kind
	Operations   []Operation `json:"operations,omitempty" yaml:"operations,omitempty"`
	Class        Class       `json:"class,omitempty" yaml:"class,omitempty"` // default for calls that specify none
	Deadline     Duration    `json:"deadline,omitempty" yaml:"deadline,omitempty"`
}

// Model is a model that the customer may call.
type Model struct {
	Name          string   `json:"name" yaml:"name"`
	Adapters      []string `json:"adapters,omitempty" yaml:"adapters,omitempty"`
	ContextTokens int      `json:"contextTokens,omitempty" yaml:"contextTokens,omitempty"` // minimum context length of a server
}

// Operation is one operation of a plain service.
type Operation struct {
	Name       string   `json:"name" yaml:"name"`
	Idempotent bool     `json:"idempotent" yaml:"idempotent"`
	Class      Class    `json:"class,omitempty" yaml:"class,omitempty"`
	Deadline   Duration `json:"deadline,omitempty" yaml:"deadline,omitempty"`
}

// Trainer is a trainer that may open steps under the contract.
type Trainer struct {
	Name         string  `json:"name" yaml:"name"`
	Service      string  `json:"service" yaml:"service"`
	Share        float64 `json:"share,omitempty" yaml:"share,omitempty"`               // of the customer's concurrency, 0 to 1
	SpareSamples int     `json:"spareSamples,omitempty" yaml:"spareSamples,omitempty"` // extra samples per group against stragglers
	Scorer       string  `json:"scorer,omitempty" yaml:"scorer,omitempty"`             // base URL of the scoring service; empty delivers without scores
}

// Objective is a service-level objective, evaluated by the burn-rate report.
type Objective struct {
	Name         string   `json:"name" yaml:"name"`
	Service      string   `json:"service" yaml:"service"`
	Class        Class    `json:"class,omitempty" yaml:"class,omitempty"`
	Latency      Duration `json:"latency,omitempty" yaml:"latency,omitempty"` // a slower request counts as bad
	Availability float64  `json:"availability" yaml:"availability"`           // share of good requests, such as 0.999
}

// Service returns the contract's service with the given name, or nil.
func (c *Contract) Service(name string) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// Operation returns the service's operation with the given name, or nil.
func (s *Service) Operation(name string) *Operation {
	for i := range s.Operations {
		if s.Operations[i].Name == name {
			return &s.Operations[i]
		}
	}
	return nil
}

// Model returns the service's model with the given name, or nil.
func (s *Service) Model(name string) *Model {
	for i := range s.Models {
		if s.Models[i].Name == name {
			return &s.Models[i]
		}
	}
	return nil
}

// Trainer returns the contract's trainer with the given name, or nil.
func (c *Contract) Trainer(name string) *Trainer {
	for i := range c.Trainers {
		if c.Trainers[i].Name == name {
			return &c.Trainers[i]
		}
	}
	return nil
}

// StoredContract is a contract as the object API holds it. A deleted contract
// is kept as a tombstone, so that an older copy of it is not applied again.
type StoredContract struct {
	Customer CustomerID
	Version  int64 // object version; grows with each change
	Revision int64 // store revision of the change
	Deleted  bool
	Contract *Contract // nil when Deleted
}

// ContractSet is an immutable set of the contracts in force.
type ContractSet struct {
	Revision  int64 // highest store revision applied
	Contracts map[CustomerID]StoredContract
}

// Lookup returns the contract in force for the customer, or nil.
func (s *ContractSet) Lookup(c CustomerID) *Contract {
	if s == nil {
		return nil
	}
	return s.Contracts[c].Contract
}
