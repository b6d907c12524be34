// Package plain is a stand-in for a plain service.
package plain

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/transport"
)

const askCapacity = 4096

// Options describes the service.
type Options struct {
	Service    string
	Kind       string
	Operations []string
	Slots      int // calls that run at once, as it tells; not enforced
	CallTime   time.Duration
}

// Run is one call that the service carried out.
type Run struct {
	Operation string
	Key       string
	RequestID string
}

type call struct {
	run  Run
	body []byte
}

// query is one question to the duty; exactly one field is set.
type query struct {
	call      *call
	load      bool
	describe  bool
	runs      bool
	setFaults *Faults
}

type reply struct {
	refused bool
	crashed bool
	faults  Faults
	load    backendhttp.LoadMessage
	server  backendhttp.ServerMessage
	runs    []Run
}

// Server is the stand-in. One duty owns its state.
type Server struct {
	loop    *duty.Loop
	asks    *duty.QueryRing[query, reply]
	http    *transport.Server
	options Options
	id      string

	active []duty.Query[query, reply] // calls in progress
	silent []duty.Query[query, reply] // carried out, and their connections silent
	runs   []Run
	faults Faults
}

// Start listens on the address and serves on the runner's threads.
func Start(address string, clock duty.Clock, runner *duty.Runner, o Options) (*Server, error) {
	listener, err := transport.Listen(address, transport.ServerOptions{})
	if err != nil {
		return nil, err
	}
	s := &Server{
		loop:    duty.New("standin.plain", clock),
		asks:    duty.NewQueryRing[query, reply]("plain.asks", askCapacity),
		http:    listener,
		options: o,
		id:      uuid.NewString(),
	}
	duty.OnQuery(s.loop, s.asks, s.handle)
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
	r, _ := s.asks.Do(ctx, q)
	return r
}

func (s *Server) handle(ask duty.Query[query, reply]) {
	q := ask.Params
	if q.call != nil {
		s.begin(ask)
		return
	}
	var r reply
	switch {
	case q.setFaults != nil:
		s.faults = *q.setFaults
		s.endSilence()
	case q.load:
		r.load = backendhttp.LoadMessage{At: s.loop.Clock().Now(), Running: len(s.active) + len(s.silent)}
	case q.describe:
		r.server = backendhttp.ServerMessage{
			Kind: s.options.Kind, Service: s.options.Service, Incarnation: s.id,
			Operations: s.options.Operations, Slots: s.options.Slots,
		}
	case q.runs:
		r.runs = append([]Run{}, s.runs...)
	}
	ask.Reply(r)
}

func (s *Server) begin(ask duty.Query[query, reply]) {
	if s.faults.Refuse {
		ask.Reply(reply{refused: true, faults: s.faults})
		return
	}
	s.runs = append(s.runs, ask.Params.call.run)
	s.active = append(s.active, ask)
	if s.faults.crashesOn(ask.Params.call.body) {
		s.crash()
		return
	}
	incarnation := s.id
	s.loop.After(s.options.CallTime*time.Duration(max(1, s.faults.SlowFactor)), func() {
		if incarnation == s.id {
			s.end(ask)
		}
	})
}

func (s *Server) end(ask duty.Query[query, reply]) {
	for i := range s.active {
		if s.active[i].Params.call == ask.Params.call {
			s.active = append(s.active[:i], s.active[i+1:]...)
			break
		}
	}
	if s.faults.Silent {
		s.silent = append(s.silent, ask)
		return
	}
	ask.Reply(reply{faults: s.faults})
}

func (s *Server) endSilence() {
	if s.faults.Silent {
		return
	}
	for _, ask := range s.silent {
		ask.Reply(reply{faults: s.faults})
	}
	s.silent = nil
}

// crash drops every call in progress, as a restart of the process does.
func (s *Server) crash() {
	s.id = uuid.NewString()
	for _, ask := range append(s.active, s.silent...) {
		ask.Reply(reply{crashed: true})
	}
	s.active, s.silent = nil, nil
}
