package plain

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/berylfall/berylfall/internal/backend/backendhttp"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/standin/endless"
	"github.com/berylfall/berylfall/internal/transport"
)

// truncatedResponse is a response whose Content-Length exceeds its body.
const truncatedResponse = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: 100\r\n\r\n{\"card\":"

func (s *Server) routes() {
	r := s.http.Router()
	r.GET(backendhttp.PathServer, func(ctx context.Context, c *app.RequestContext) {
		c.JSON(consts.StatusOK, s.query(ctx, params{describe: true}).server)
	})
	r.GET(backendhttp.PathLoad, func(ctx context.Context, c *app.RequestContext) {
		r := s.query(ctx, params{load: true})
		if !endless.Send(c.GetConn(), r.faults.EndlessReports) {
			c.JSON(consts.StatusOK, r.load)
		}
	})
	r.POST(backendhttp.PathOperations+":operation", s.handleOperation)
}

func (s *Server) handleOperation(ctx context.Context, c *app.RequestContext) {
	body := append([]byte{}, c.Request.Body()...)
	run := Run{
		Operation: c.Param("operation"),
		Key:       string(c.GetHeader(transport.HeaderIdempotencyKey)),
		RequestID: string(c.GetHeader(transport.HeaderRequestID)),
	}
	r := s.query(ctx, params{call: &call{run: run, body: body}})
	refusal := core.NotRunError(core.CodeOverloaded, "the service rejects the call")
	refusal.RetryAfter = time.Duration(r.faults.RetryAfter) * time.Second
	switch {
	case r.rejected:
		c.Response.Header.Set(transport.HeaderRequestStarted, "false")
		transport.WriteError(c, refusal)
	case r.crashed, r.faults.BreakBefore:
		_ = c.GetConn().Close()
	case r.faults.BreakWithin:
		_, _ = c.GetConn().Write([]byte(truncatedResponse))
		_ = c.GetConn().Close()
	case endless.Send(c.GetConn(), r.faults.Endless):
	case r.faults.RefuseAfterStart:
		transport.WriteError(c, refusal)
	case r.faults.FailLate:
		c.SetStatusCode(consts.StatusInternalServerError)
	default:
		c.Data(consts.StatusOK, consts.MIMEApplicationJSON, body)
	}
}
