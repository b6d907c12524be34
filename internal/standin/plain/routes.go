package plain

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// partialAnswer promises more bytes than it has.
const partialAnswer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{\"card\":"

func (s *Server) routes() {
	r := s.http.Router()
	r.GET(backendhttp.PathServer, func(ctx context.Context, c *app.RequestContext) {
		c.JSON(consts.StatusOK, s.ask(ctx, query{describe: true}).server)
	})
	r.GET(backendhttp.PathLoad, func(ctx context.Context, c *app.RequestContext) {
		c.JSON(consts.StatusOK, s.ask(ctx, query{load: true}).load)
	})
	r.POST(backendhttp.PathOperations+":operation", s.operate)
}

func (s *Server) operate(ctx context.Context, c *app.RequestContext) {
	body := append([]byte{}, c.Request.Body()...)
	run := Run{
		Operation: c.Param("operation"),
		Key:       string(c.GetHeader(transport.HeaderIdempotencyKey)),
		RequestID: string(c.GetHeader(transport.HeaderRequestID)),
	}
	r := s.ask(ctx, query{call: &call{run: run, body: body}})
	refusal := core.NotRunError(core.CodeOverloaded, "service refuses")
	refusal.RetryAfter = time.Duration(r.faults.RetryAfter) * time.Second
	switch {
	case r.refused:
		c.Response.Header.Set(transport.HeaderRequestStarted, "false")
		transport.WriteError(c, refusal)
	case r.crashed, r.faults.BreakBefore:
		_ = c.GetConn().Close()
	case r.faults.BreakWithin:
		_, _ = c.GetConn().Write([]byte(partialAnswer))
		_ = c.GetConn().Close()
	case r.faults.RefuseAfterStart:
		transport.WriteError(c, refusal)
	case r.faults.FailLate:
		c.SetStatusCode(consts.StatusInternalServerError)
	default:
		c.Data(consts.StatusOK, consts.MIMEApplicationJSON, body)
	}
}
