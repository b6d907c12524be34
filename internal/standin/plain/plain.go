// Package plain is a stand-in for an instance of a plain service. It decides when a
// call ends and which faults apply; it runs every call, without deduplication by
// key. The duty standin.plain owns its state. Runs has every call that was started,
// also when no response was sent.
package plain

import (
	"context"
	"time"

	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/transport"
)

// queryRingCapacity is the maximum number of queries in the duty's ring.
const queryRingCapacity = 4096

// Options describes the instance that is simulated.
type Options struct {
	Service    string
	Kind       string
	Operations []string
	Slots      int // concurrent calls, as reported to daemons; not enforced
	CallTime   time.Duration
}

// Run is one call that the instance started. Its field names are part of the admin
// server's JSON.
type Run struct {
	Operation string
	Key       string
	RequestID string
}

type call struct {
	run  Run
	body []byte
}

// params are the parameters of a query to the duty. Exactly one field is set.
type params struct {
	call      *call
	load      bool
	describe  bool
	runs      bool
	setFaults *Faults
}

type reply struct {
	rejected bool
	crashed  bool
	faults   Faults
	load     backendhttp.LoadMessage
	server   backendhttp.ServerMessage
	runs     []Run
}

// Server is the stand-in. The duty standin.plain owns its state.
type Server struct {
	loop        *duty.Loop
	queries     *duty.QueryRing[params, reply]
	http        *transport.Server
	options     Options
	incarnation string

	active     []duty.Query[params, reply] // calls in progress
	unanswered []duty.Query[params, reply] // calls that ended without a response, because of Faults.Silent
	runs       []Run
	faults     Faults
}

// Start listens on the address and runs the duty and the HTTP server on runner.
func Start(address string, clock duty.Clock, runner *duty.Runner, o Options) (*Server, error) {
	listener, err := transport.Listen(address, transport.ServerOptions{})
	if err != nil {
		return nil, err
	}
	s := &Server{
		loop:        duty.New("standin.plain", clock),
		queries:     duty.NewQueryRing[params, reply]("plain.asks", queryRingCapacity),
		http:        listener,
		options:     o,
		incarnation: uuid.NewString(),
	}
	duty.OnQuery(s.loop, s.queries, s.handleQuery)
	s.routes()
	if err := runner.Start(s.loop); err != nil {
		return nil, err
	}
	return s, runner.Serve("standin.plain.http", listener.Serve, listener.Close)
}

// Address returns the host and port that the instance listens on.
func (s *Server) Address() string { return s.http.Address() }

// SetFaults replaces all faults.
func (s *Server) SetFaults(ctx context.Context, f Faults) { s.query(ctx, params{setFaults: &f}) }

// Runs returns the calls started so far, in order.
func (s *Server) Runs(ctx context.Context) []Run { return s.query(ctx, params{runs: true}).runs }

func (s *Server) query(ctx context.Context, p params) reply {
	r, _ := s.queries.Do(ctx, p)
	return r
}

func (s *Server) handleQuery(query duty.Query[params, reply]) {
	p := query.Params
	if p.call != nil {
		s.startCall(query)
		return
	}
	var r reply
	switch {
	case p.setFaults != nil:
		s.faults = *p.setFaults
		s.replyToUnanswered()
	case p.load:
		r.faults = s.faults
		r.load = backendhttp.LoadMessage{At: s.loop.Clock().Now(), Running: len(s.active) + len(s.unanswered)}
	case p.describe:
		r.server = backendhttp.ServerMessage{
			Kind: s.options.Kind, Service: s.options.Service, Incarnation: s.incarnation,
			Operations: s.options.Operations, Slots: s.options.Slots,
		}
	case p.runs:
		r.runs = append([]Run{}, s.runs...)
	}
	query.Reply(r)
}

func (s *Server) startCall(query duty.Query[params, reply]) {
	if s.faults.Refuse {
		query.Reply(reply{rejected: true, faults: s.faults})
		return
	}
	s.runs = append(s.runs, query.Params.call.run)
	s.active = append(s.active, query)
	if s.faults.crashesOn(query.Params.call.body) {
		s.crash()
		return
	}
	incarnation := s.incarnation
	s.loop.After(s.options.CallTime*time.Duration(max(1, s.faults.SlowFactor)), func() {
		if incarnation == s.incarnation {
			s.finishCall(query)
		}
	})
}

func (s *Server) finishCall(query duty.Query[params, reply]) {
	for i := range s.active {
		if s.active[i].Params.call == query.Params.call {
			s.active = append(s.active[:i], s.active[i+1:]...)
			break
		}
	}
	if s.faults.Silent {
		s.unanswered = append(s.unanswered, query)
		return
	}
	query.Reply(reply{faults: s.faults})
}

func (s *Server) replyToUnanswered() {
	if s.faults.Silent {
		return
	}
	for _, query := range s.unanswered {
		query.Reply(reply{faults: s.faults})
	}
	s.unanswered = nil
}

// crash simulates a restart of the process: it aborts all calls in progress and
// changes the incarnation.
func (s *Server) crash() {
	s.incarnation = uuid.NewString()
	for _, query := range append(s.active, s.unanswered...) {
		query.Reply(reply{crashed: true})
	}
	s.active, s.unanswered = nil, nil
}
