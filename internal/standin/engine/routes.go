package engine

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/standin/endless"
	"github.com/berylfall/berylfall/internal/transport"
)

func (s *Server) routes() {
	r := s.http.Router()
	r.GET(backendhttp.PathServer, func(ctx context.Context, c *app.RequestContext) {
		c.JSON(consts.StatusOK, s.query(ctx, params{describe: true}).server)
	})
	r.GET(backendhttp.PathLoad, func(ctx context.Context, c *app.RequestContext) {
		c.JSON(consts.StatusOK, s.query(ctx, params{load: true}).load)
	})
	r.GET(backendhttp.PathCacheEvents, s.handleCacheEvents)
	r.POST(backendhttp.PathOrders, s.handleOrder)
	r.POST(backendhttp.PathKVExport, s.handleKVExport)
	r.POST(backendhttp.PathKVImport, s.handleKVImport)
	r.POST(backendhttp.PathCompletions, s.handleCompletion)
	r.GET(backendhttp.PathRequests+":id", s.handleCommand(""))
	for _, action := range []string{"cancel", "pause", "resume"} {
		r.POST(backendhttp.PathRequests+":id/"+action, s.handleCommand(action))
	}
}

func (s *Server) handleCacheEvents(ctx context.Context, c *app.RequestContext) {
	after, _ := strconv.ParseInt(c.Query("after"), 10, 64)
	c.JSON(consts.StatusOK, s.query(ctx, params{events: &after}).events)
}

func (s *Server) handleOrder(ctx context.Context, c *app.RequestContext) {
	var order backendhttp.OrderMessage
	if err := transport.ReadJSON(c, &order); err != nil {
		transport.WriteError(c, err)
		return
	}
	if r := s.query(ctx, params{order: &order}); r.err != nil {
		transport.WriteError(c, r.err)
		return
	}
	c.SetStatusCode(consts.StatusOK)
}

func (s *Server) handleCommand(action string) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		r := s.query(ctx, params{control: &command{id: c.Param("id"), action: action}})
		writeJSONOrNotFound(c, r.accepted, r.request)
	}
}

func (s *Server) handleKVExport(ctx context.Context, c *app.RequestContext) {
	var m backendhttp.KVMessage
	if err := transport.ReadJSON(c, &m); err != nil {
		transport.WriteError(c, err)
		return
	}
	r := s.query(ctx, params{exportKV: m.RequestID})
	writeJSONOrNotFound(c, r.accepted, r.kv)
}

func (s *Server) handleKVImport(ctx context.Context, c *app.RequestContext) {
	var m backendhttp.KVMessage
	if err := transport.ReadJSON(c, &m); err != nil {
		transport.WriteError(c, err)
		return
	}
	s.query(ctx, params{importKV: &m})
	c.SetStatusCode(consts.StatusOK)
}

func writeJSONOrNotFound(c *app.RequestContext, known bool, body any) {
	if !known {
		transport.WriteError(c, core.NotRunError(core.CodeNotFound, "the engine has no such request"))
		return
	}
	c.JSON(consts.StatusOK, body)
}

func (s *Server) handleCompletion(ctx context.Context, c *app.RequestContext) {
	var m backendhttp.CompletionMessage
	if err := transport.ReadJSON(c, &m); err != nil {
		c.Response.Header.Set(transport.HeaderRequestStarted, "false")
		transport.WriteError(c, err)
		return
	}
	g := newGeneration(m)
	r := s.query(ctx, params{start: g})
	if !r.accepted {
		c.Response.Header.Set(transport.HeaderRequestStarted, "false")
		refusal := core.NotRunError(core.CodeOverloaded, "the engine rejects the request")
		refusal.RetryAfter = time.Duration(r.retryAfter) * time.Second
		transport.WriteError(c, refusal)
		return
	}
	if endless.Send(c.GetConn(), r.endless) {
		s.query(ctx, params{control: &command{id: m.RequestID, action: "cancel"}})
		return
	}
	s.streamEvents(ctx, c, g)
}

// streamEvents writes the request's events to the connection until the last one. It
// cancels the request when the client has disconnected.
func (s *Server) streamEvents(ctx context.Context, c *app.RequestContext, g *generation) {
	var w *sse.Writer
	for {
		e, ok := g.events.Take(ctx)
		if !ok {
			break
		}
		if e.fail {
			c.SetStatusCode(consts.StatusInternalServerError)
			return
		}
		if e.abort {
			_ = c.GetConn().Close()
			return
		}
		if w == nil {
			w = sse.NewWriter(c)
		}
		data, _ := json.Marshal(e.token)
		if w.WriteEvent("", "", data) != nil {
			// The client has disconnected.
			s.query(ctx, params{control: &command{id: g.message.RequestID, action: "cancel"}})
			return
		}
	}
	if w != nil {
		_ = w.Close()
	}
}
