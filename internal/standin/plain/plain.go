// Package plain is a stand-in for a plain service.
package plain

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/transport"
)

const askCapacity = 4096

// Options describes the service.
type Options struct {
	Service    string
	Kind       string
	Operations []string
	CallTime   time.Duration
}

// Faults switch on failures. The zero value has none.
type Faults struct {
	Refuse     bool // calls are refused as not started
	FailLate   bool // calls are carried out and then answered with 500
	SlowFactor int  // calls take this many times longer; 0 and 1 are normal
}

// Run is one call that the service carried out.
type Run struct {
	Operation string
	Key       string
	RequestID string
}

type query struct {
	call      *Run
	done      bool
	load      bool
	runs      bool
	setFaults *Faults
}

type reply struct {
	faults Faults
	load   backendhttp.LoadMessage
	runs   []Run
}

// Server is the stand-in. One duty owns its state.
type Server struct {
	loop    *duty.Loop
	asks    *duty.AskRing[query, reply]
	http    *transport.Server
	options Options
	id      string

	running int
	runs    []Run
	faults  Faults
}

// Start listens on the address and serves on the runner's threads.
func Start(address string, clock duty.Clock, runner *duty.Runner, o Options) (*Server, error) {
	listener, err := transport.Listen(address, transport.ServerOptions{})
	if err != nil {
		return nil, err
	}
	s := &Server{
		loop:    duty.New("standin.plain", clock),
		asks:    duty.NewAskRing[query, reply]("plain.asks", askCapacity),
		http:    listener,
		options: o,
		id:      uuid.NewString(),
	}
	duty.OnAsk(s.loop, s.asks, s.handle)
	s.routes()
	if err := runner.Start(s.loop); err != nil {
		return nil, err
	}
	return s, runner.Serve("standin.plain.http", listener.Serve, listener.Close)
}

// Address returns the address that the service listens on.
func (s *Server) Address() string { return s.http.Address() }

// SetFaults replaces the faults.
func (s *Server) SetFaults(ctx context.Context, f Faults) { s.ask(ctx, query{setFaults: &f}) }

// Runs returns the calls carried out so far.
func (s *Server) Runs(ctx context.Context) []Run { return s.ask(ctx, query{runs: true}).runs }

func (s *Server) ask(ctx context.Context, q query) reply {
	r, _ := s.asks.Ask(ctx, q)
	return r
}

func (s *Server) routes() {
	r := s.http.Router()
	r.GET(backendhttp.PathServer, func(_ context.Context, c *app.RequestContext) {
		c.JSON(consts.StatusOK, backendhttp.ServerMessage{
			Kind: s.options.Kind, Service: s.options.Service, Incarnation: s.id, Operations: s.options.Operations,
		})
	})
	r.GET(backendhttp.PathLoad, func(ctx context.Context, c *app.RequestContext) {
		c.JSON(consts.StatusOK, s.ask(ctx, query{load: true}).load)
	})
	r.POST(backendhttp.PathOperations+":operation", s.operate)
}

func (s *Server) operate(ctx context.Context, c *app.RequestContext) {
	run := Run{
		Operation: c.Param("operation"),
		Key:       string(c.GetHeader(transport.HeaderIdempotencyKey)),
		RequestID: string(c.GetHeader(transport.HeaderRequestID)),
	}
	r := s.ask(ctx, query{call: &run})
	if r.faults.Refuse {
		c.Response.Header.Set(transport.HeaderRequestStarted, "false")
		transport.WriteError(c, core.NotRunError(core.CodeOverloaded, "service refuses"))
		return
	}
	time.Sleep(s.options.CallTime * time.Duration(max(1, r.faults.SlowFactor)))
	s.ask(ctx, query{done: true})
	if r.faults.FailLate {
		c.SetStatusCode(consts.StatusInternalServerError)
		return
	}
	c.Data(consts.StatusOK, consts.MIMEApplicationJSON, append([]byte{}, c.Request.Body()...))
}

func (s *Server) handle(ask duty.Ask[query, reply]) {
	q := ask.Query
	switch {
	case q.setFaults != nil:
		s.faults = *q.setFaults
	case q.call != nil && !s.faults.Refuse:
		s.running++
		s.runs = append(s.runs, *q.call)
	case q.done:
		s.running--
	}
	r := reply{faults: s.faults}
	if q.load {
		r.load = backendhttp.LoadMessage{At: s.loop.Clock().Now(), Running: s.running}
	}
	if q.runs {
		r.runs = append([]Run{}, s.runs...)
	}
	ask.Reply(r)
}
