// Package engine is a stand-in for a model engine with continuous batching. It
// decides which requests are in the batch, which prompt blocks are cached, what an
// order changes, and which faults apply. The duty standin.engine owns its state and
// steps the batch. Generated tokens depend on their position only.
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

// Options describes the engine that is simulated.
type Options struct {
	Service       string
	Kind          string
	Model         string
	Version       int64
	Adapters      []string
	ContextTokens int
	Slots         int           // requests in the batch
	TokenTime     time.Duration // duration of one step of the batch
	ChecksFence   bool
	CacheBlocks   int           // capacity of the cache in prompt blocks; 0 is defaultCacheBlocks
	PrefillBlocks int           // uncached prompt blocks computed per step; 0 skips prefill
	EventLag      time.Duration // delay until a cache event can be read
	LoadLag       time.Duration // age of load reports
	SwapTime      time.Duration // duration of an order
}

// Limits of the stand-in.
const (
	queryRingCapacity  = 4096
	tokenCapacity      = 4096
	maxKnownRequests   = 4096 // requests whose status is kept, including ended ones
	defaultCacheBlocks = 4096
)

// Server is the stand-in. The duty standin.engine owns its state and steps the
// batch.
type Server struct {
	loop    *duty.Loop
	queries *duty.QueryRing[params, reply]
	http    *transport.Server
	options Options

	running          []*generation
	waiting          []*generation
	knownRequests    *lru.LRU[string, *generation] // running, waiting and ended
	startCounts      map[string]int                // number of starts, by request ID
	cancelCount      int
	statusQueryCount int
	crashCount       int
	stepping         bool
	faults           Faults
	model            backendhttp.ServerMessage
	fence            int64 // highest fencing number received
	cache            *prefixCache
	loadReports      []backendhttp.LoadMessage // newest last
}

// Start listens on the address and runs the duty and the HTTP server on runner.
func Start(address string, clock duty.Clock, runner *duty.Runner, o Options) (*Server, error) {
	listener, err := transport.Listen(address, transport.ServerOptions{})
	if err != nil {
		return nil, err
	}
	if o.CacheBlocks == 0 {
		o.CacheBlocks = defaultCacheBlocks
	}
	s := &Server{
		loop:        duty.New("standin.engine", clock),
		queries:     duty.NewQueryRing[params, reply]("engine.asks", queryRingCapacity),
		http:        listener,
		options:     o,
		startCounts: map[string]int{},
		model: backendhttp.ServerMessage{
			Kind: o.Kind, Service: o.Service, Role: "serve",
			Models:        []backendhttp.ModelMessage{{Name: o.Model, Version: o.Version, Adapters: o.Adapters}},
			ContextTokens: o.ContextTokens, ChecksFence: o.ChecksFence, Slots: o.Slots,
		},
	}
	s.reset()
	duty.OnQuery(s.loop, s.queries, s.handleQuery)
	s.routes()
	if err := runner.Start(s.loop); err != nil {
		return nil, err
	}
	return s, runner.Serve("standin.engine.http", listener.Serve, listener.Close)
}

// reset replaces the state that a restart of the engine loses.
func (s *Server) reset() {
	s.model.Incarnation = uuid.NewString()
	s.cache = newPrefixCache(s.options.CacheBlocks)
	s.running, s.waiting = nil, nil
	// NewLRU fails only for a size below 1.
	s.knownRequests, _ = lru.NewLRU[string, *generation](maxKnownRequests, nil)
}

// Address returns the host and port that the engine listens on.
func (s *Server) Address() string { return s.http.Address() }

// SetFaults replaces all faults.
func (s *Server) SetFaults(ctx context.Context, f Faults) {
	s.query(ctx, params{setFaults: &f})
}

// Counts returns the counters since Start; a simulated crash does not reset them.
func (s *Server) Counts(ctx context.Context) Counts { return s.query(ctx, params{counts: true}).counts }

// Counts has the engine's counters.
type Counts struct {
	Runs    map[string]int // number of starts, by request ID
	Cancels int
	Crashes int
	// StatusQueries is the number of calls of GET /v1/requests/{id}.
	StatusQueries int
}

func (s *Server) query(ctx context.Context, p params) reply {
	r, _ := s.queries.Do(ctx, p)
	return r
}
