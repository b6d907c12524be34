// Package weightstore is a stand-in for the platform's weight store. It decides
// which version is the newest of a model, as published, and which faults apply. The
// duty standin.weightstore owns its state. Once Publish has returned, responses have
// the new version.
package weightstore

import (
	"context"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"golang.org/x/time/rate"

	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/transport"
	"github.com/berylfall/berylfall/internal/weights/weightshttp"
)

const queryRingCapacity = 1024

// Faults selects the failures to inject. The zero value injects none.
type Faults struct {
	Down          bool    // every call is rejected with 503
	RatePerSecond float64 // calls above this rate are rejected with 429; 0 is no limit
}

type params struct {
	model     string
	publish   int64 // version to publish if above 0
	setFaults *Faults
}

type reply struct {
	status  int
	version int64
}

// Server is the stand-in. The duty standin.weightstore owns its state.
type Server struct {
	loop     *duty.Loop
	queries  *duty.QueryRing[params, reply]
	http     *transport.Server
	versions map[string]int64
	faults   Faults
	limiter  *rate.Limiter
}

// Start listens on the address and runs the duty and the HTTP server on runner.
func Start(address string, clock duty.Clock, runner *duty.Runner) (*Server, error) {
	listener, err := transport.Listen(address, transport.ServerOptions{})
	if err != nil {
		return nil, err
	}
	s := &Server{
		loop:     duty.New("standin.weightstore", clock),
		queries:  duty.NewQueryRing[params, reply]("weightstore.asks", queryRingCapacity),
		http:     listener,
		versions: map[string]int64{},
		limiter:  newLimiter(0),
	}
	duty.OnQuery(s.loop, s.queries, s.handleQuery)
	listener.Router().GET(weightshttp.PathLatest+":model", s.handleLatest)
	if err := runner.Start(s.loop); err != nil {
		return nil, err
	}
	return s, runner.Serve("standin.weightstore.http", listener.Serve, listener.Close)
}

// URL returns the base URL of the weight store.
func (s *Server) URL() string { return "http://" + s.http.Address() }

// Publish makes a version the newest of the model.
func (s *Server) Publish(ctx context.Context, model string, version int64) {
	_, _ = s.queries.Do(ctx, params{model: model, publish: version})
}

// SetFaults replaces all faults and resets the rate limit.
func (s *Server) SetFaults(ctx context.Context, f Faults) {
	_, _ = s.queries.Do(ctx, params{setFaults: &f})
}

func (s *Server) handleLatest(ctx context.Context, c *app.RequestContext) {
	r, err := s.queries.Do(ctx, params{model: c.Param("model")})
	if err != nil {
		r.status = consts.StatusServiceUnavailable
	}
	if r.status != consts.StatusOK {
		c.SetStatusCode(r.status)
		return
	}
	c.JSON(consts.StatusOK, weightshttp.LatestMessage{Model: c.Param("model"), Version: r.version})
}

func (s *Server) handleQuery(query duty.Query[params, reply]) {
	p := query.Params
	if p.setFaults != nil {
		s.faults = *p.setFaults
		s.limiter = newLimiter(s.faults.RatePerSecond)
	}
	if p.publish > 0 {
		s.versions[p.model] = p.publish
	}
	query.Reply(reply{status: s.checkFaults(), version: s.versions[p.model]})
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

// checkFaults returns the HTTP status of a call under the current faults and counts
// the call against the rate limit.
func (s *Server) checkFaults() int {
	switch {
	case s.faults.Down:
		return consts.StatusServiceUnavailable
	case !s.limiter.AllowN(s.loop.Clock().Now(), 1):
		return consts.StatusTooManyRequests
	default:
		return consts.StatusOK
	}
}
