// Package engine is a stand-in for a model engine.
package engine

import (
	"context"
	"time"

	"github.com/google/uuid"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/transport"
)

// Options describes the engine.
type Options struct {
	Service       string
	Kind          string
	Model         string
	Version       int64
	Adapters      []string
	ContextTokens int
	Slots         int           // requests that run at once
	TokenTime     time.Duration // per step of the batch
	ChecksFence   bool
	CacheBlocks   int           // prompt blocks that fit in the cache; 0 is defaultCacheBlocks
	PrefillBlocks int           // uncached prompt blocks computed per step; 0 takes no time
	EventLag      time.Duration // until a cache event can be read
	LoadLag       time.Duration // age of load reports
	SwapTime      time.Duration // to carry out an order
}

// Bounds of the stand-in.
const (
	askCapacity        = 4096
	tokenCapacity      = 4096
	keptRequests       = 4096 // ended requests whose status is kept
	defaultCacheBlocks = 4096
)

// Server is the stand-in. One duty owns its state and steps the batch.
type Server struct {
	loop    *duty.Loop
	asks    *duty.QueryRing[query, reply]
	http    *transport.Server
	options Options

	running  []*generation
	waiting  []*generation
	known    *lru.LRU[string, *generation] // running, waiting and ended
	runs     map[string]int                // starts, by request ID
	cancels  int
	statuses int // status queries
	crashes  int
	stepping bool
	faults   Faults
	model    backendhttp.ServerMessage
	fence    int64 // highest fencing number seen
	cache    *prefixCache
	loads    []backendhttp.LoadMessage // newest last
}

// Start listens on the address and serves on the runner's threads.
func Start(address string, clock duty.Clock, runner *duty.Runner, o Options) (*Server, error) {
	listener, err := transport.Listen(address, transport.ServerOptions{})
	if err != nil {
		return nil, err
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	s := &Server{
		loop:    duty.New("standin.engine", clock),
		asks:    duty.NewQueryRing[query, reply]("engine.asks", askCapacity),
		http:    listener,
		options: o,
		runs:    map[string]int{},
		model: backendhttp.ServerMessage{
			Kind: o.Kind, Service: o.Service, Role: "serve",
			Models:        []backendhttp.ModelMessage{{Name: o.Model, Version: o.Version, Adapters: o.Adapters}},
			ContextTokens: o.ContextTokens, ChecksFence: o.ChecksFence, Slots: o.Slots,
		},
	}
	s.reset()
	duty.OnQuery(s.loop, s.asks, s.handle)
	s.routes()
	if err := runner.Start(s.loop); err != nil {
		return nil, err
	}
	return s, runner.Serve("standin.engine.http", listener.Serve, listener.Close)
}

// reset sets what a restart of the engine loses.
func (s *Server) reset() {
	s.model.Incarnation = uuid.NewString()
	s.cache = newPrefixCache(s.options.CacheBlocks)
	s.running, s.waiting = nil, nil
	// The size is a positive constant, for which NewLRU has no error.
	s.known, _ = lru.NewLRU[string, *generation](keptRequests, nil)
}

// Address returns the address that the engine listens on.
func (s *Server) Address() string { return s.http.Address() }

// SetFaults replaces the faults.
func (s *Server) SetFaults(ctx context.Context, f Faults) {
	s.ask(ctx, query{setFaults: &f})
}

// Counts returns how often requests were started and cancelled and how often
// the engine crashed.
func (s *Server) Counts(ctx context.Context) Counts { return s.ask(ctx, query{counts: true}).counts }

// Counts is what the engine did.
type Counts struct {
	Runs    map[string]int // starts, by request ID
	Cancels int
	Crashes int
	// StatusQueries counts GET /v1/requests/{id}.
	StatusQueries int
}

func (s *Server) ask(ctx context.Context, q query) reply {
	r, _ := s.asks.Do(ctx, q)
	return r
}
