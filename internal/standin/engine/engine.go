// Package engine is a stand-in for a model engine.
package engine

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/duty"
	"github.com/berylfall/berylfall/internal/ring"
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
}

// Ring capacities.
const (
	askCapacity   = 4096
	tokenCapacity = 256
)

type generation struct {
	message  backendhttp.CompletionMessage
	position int
	out      *ring.Ring[backendhttp.TokenMessage]
}

type query struct {
	start     *generation
	load      bool
	describe  bool
	setFaults *Faults
	order     *backendhttp.OrderMessage
}

type reply struct {
	accepted bool
	load     backendhttp.LoadMessage
	server   backendhttp.ServerMessage
}

// Faults switch on failures. The zero value has none.
type Faults struct {
	BreakAfter int  // streams break after this many tokens; 0 is never
	Refuse     bool // requests are refused as not started
	SlowFactor int  // a step takes this many times longer; 0 and 1 are normal
}

// Server is the stand-in. One duty owns its state and steps the batch.
type Server struct {
	loop    *duty.Loop
	asks    *duty.AskRing[query, reply]
	http    *transport.Server
	options Options

	running []*generation
	waiting []*generation
	faults  Faults
	model   backendhttp.ServerMessage
}

// Start listens on the address and serves on the runner's threads.
func Start(address string, clock duty.Clock, runner *duty.Runner, o Options) (*Server, error) {
	listener, err := transport.Listen(address, transport.ServerOptions{})
	if err != nil {
		return nil, err
	}
	s := &Server{
		loop:    duty.New("standin.engine", clock),
		asks:    duty.NewAskRing[query, reply]("engine.asks", askCapacity),
		http:    listener,
		options: o,
		model: backendhttp.ServerMessage{
			Kind: o.Kind, Service: o.Service, Incarnation: uuid.NewString(), Role: "serve",
			Models:        []backendhttp.ModelMessage{{Name: o.Model, Version: o.Version, Adapters: o.Adapters}},
			ContextTokens: o.ContextTokens, ChecksFence: o.ChecksFence, Slots: o.Slots,
		},
	}
	duty.OnAsk(s.loop, s.asks, s.handle)
	s.loop.After(o.TokenTime, s.step)
	s.routes()
	if err := runner.Start(s.loop); err != nil {
		return nil, err
	}
	return s, runner.Serve("standin.engine.http", listener.Serve, listener.Close)
}

// Address returns the address that the engine listens on.
func (s *Server) Address() string { return s.http.Address() }

// SetFaults replaces the faults.
func (s *Server) SetFaults(ctx context.Context, f Faults) {
	_, _ = s.asks.Ask(ctx, query{setFaults: &f})
}

func (s *Server) routes() {
	r := s.http.Router()
	r.GET(backendhttp.PathServer, func(ctx context.Context, c *app.RequestContext) {
		a, _ := s.asks.Ask(ctx, query{describe: true})
		c.JSON(consts.StatusOK, a.server)
	})
	r.GET(backendhttp.PathLoad, func(ctx context.Context, c *app.RequestContext) {
		a, _ := s.asks.Ask(ctx, query{load: true})
		c.JSON(consts.StatusOK, a.load)
	})
	r.POST(backendhttp.PathOrders, func(ctx context.Context, c *app.RequestContext) {
		var order backendhttp.OrderMessage
		if err := transport.ReadJSON(c, &order); err != nil {
			transport.WriteError(c, err)
			return
		}
		_, _ = s.asks.Ask(ctx, query{order: &order})
		c.SetStatusCode(consts.StatusOK)
	})
	r.POST(backendhttp.PathCompletions, s.complete)
}

func (s *Server) complete(ctx context.Context, c *app.RequestContext) {
	var m backendhttp.CompletionMessage
	if err := transport.ReadJSON(c, &m); err != nil {
		transport.WriteError(c, err)
		return
	}
	g := &generation{
		message:  m,
		position: len(m.ResumeTokens),
		out:      ring.New[backendhttp.TokenMessage]("engine.tokens", tokenCapacity),
	}
	a, err := s.asks.Ask(ctx, query{start: g})
	if err != nil || !a.accepted {
		c.Response.Header.Set(transport.HeaderRequestStarted, "false")
		transport.WriteError(c, core.NotRunError(core.CodeOverloaded, "engine refuses"))
		return
	}
	w := sse.NewWriter(c)
	for {
		t, ok := g.out.Take(ctx)
		if !ok {
			break
		}
		data, _ := json.Marshal(t)
		if w.WriteEvent("", "", data) != nil {
			break
		}
	}
	_ = w.Close()
}

func (s *Server) handle(ask duty.Ask[query, reply]) {
	q := ask.Query
	switch {
	case q.setFaults != nil:
		s.faults = *q.setFaults
		ask.Reply(reply{accepted: true})
	case q.load:
		ask.Reply(reply{load: backendhttp.LoadMessage{At: s.loop.Clock().Now(), Running: len(s.running), Waiting: len(s.waiting)}})
	case q.describe:
		ask.Reply(reply{server: s.model})
	case q.order != nil:
		s.model.Models = []backendhttp.ModelMessage{{Name: s.options.Model, Version: q.order.Version, Adapters: s.options.Adapters}}
		ask.Reply(reply{accepted: true})
	case q.start != nil && s.faults.Refuse:
		ask.Reply(reply{})
	case q.start != nil:
		s.waiting = append(s.waiting, q.start)
		ask.Reply(reply{accepted: true})
	}
}

// step produces one token of each running request.
func (s *Server) step() {
	s.loop.After(s.options.TokenTime*time.Duration(max(1, s.faults.SlowFactor)), s.step)
	for len(s.waiting) > 0 && len(s.running) < s.options.Slots {
		s.running = append(s.running, s.waiting[0])
		s.waiting = s.waiting[1:]
	}
	kept := s.running[:0]
	for _, g := range s.running {
		if s.produce(g) {
			kept = append(kept, g)
		}
	}
	s.running = kept
}

// produce adds the next token and reports whether more follow.
func (s *Server) produce(g *generation) bool {
	if s.faults.BreakAfter > 0 && g.position >= s.faults.BreakAfter {
		g.out.Close()
		return false
	}
	t := backendhttp.TokenMessage{
		Position: g.position,
		Tokens:   []int32{int32(g.position)},
		Text:     "w ",
		Version:  s.model.Models[0].Version,
		Adapter:  g.message.Adapter,
	}
	g.position++
	if g.position >= g.message.MaxTokens {
		t.FinishReason = "length"
	}
	if !g.out.TryPut(t) || t.FinishReason != "" {
		g.out.Close()
		return false
	}
	return true
}
