// Package callerhttp encodes callers' requests as HTTP: model calls in the style
// of model servers, and calls of plain services.
package callerhttp

import (
	"context"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/route"

	"github.com/berylfall/berylfall/internal/caller"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// Waits of the handler.
const (
	// endGrace is how long the handler waits after the deadline for the duties
	// to end the call, since only they know whether it was sent.
	endGrace = time.Second
	// writeTimeout bounds one write to a caller that reads slowly; then the
	// answer and the attempt that produces it end.
	writeTimeout = 30 * time.Second
)

// Admission is what the handler needs of the admission duty.
type Admission interface {
	core.Submitter
	Query(ctx context.Context, q caller.Query) caller.Reply
	IsReady() bool
	IsDraining() bool
}

// Handler turns HTTP requests into calls.
type Handler struct {
	admission       Admission
	grace           time.Duration
	completionStyle style
	chatStyle       style
}

// NewHandler returns a handler that submits calls to a.
func NewHandler(a Admission) *Handler {
	return &Handler{admission: a, grace: endGrace, completionStyle: completionStyle, chatStyle: chatStyle}
}

// Register adds the routes for callers.
func (h *Handler) Register(r *route.Engine) {
	r.POST("/v1/completions", h.closing(h.completions))
	r.POST("/v1/chat/completions", h.closing(h.chat))
	r.POST("/v1/services/:service/:operation", h.closing(h.operation))
	r.GET("/v1/models", h.closing(h.models))
	r.GET("/v1/requests/:id", h.closing(h.requestState))
	r.GET("/v1/ready", h.closing(h.ready))
}

// closing asks callers to close their connections while the daemon drains, so
// that their next request opens one to another daemon.
func (h *Handler) closing(next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if h.admission.IsDraining() {
			c.Response.SetConnectionClose()
		}
		next(ctx, c)
		// The drain may have begun while the answer was prepared. A stream has
		// sent its headers by then.
		if h.admission.IsDraining() {
			c.Response.SetConnectionClose()
		}
	}
}

func (h *Handler) ready(_ context.Context, c *app.RequestContext) {
	message := ReadyMessage{Ready: h.admission.IsReady(), Draining: h.admission.IsDraining()}
	status := consts.StatusOK
	if !message.Ready {
		status = consts.StatusServiceUnavailable
	}
	c.JSON(status, message)
}

func (h *Handler) completions(ctx context.Context, c *app.RequestContext) {
	var body CompletionRequest
	request, failure := newModelRequest(c, &body, completionFields)
	if failure != nil {
		transport.WriteError(c, failure)
		return
	}
	request.Prompt = body.Prompt
	h.run(ctx, c, request, h.completionStyle.with(body.StreamOptions).answer)
}

func (h *Handler) chat(ctx context.Context, c *app.RequestContext) {
	var body ChatRequest
	request, failure := newModelRequest(c, &body, chatFields)
	if failure == nil {
		failure = checkMessages(body.Messages)
	}
	if failure != nil {
		transport.WriteError(c, failure)
		return
	}
	request.Prompt = chatPrompt(body.Messages)
	h.run(ctx, c, request, h.chatStyle.with(body.StreamOptions).answer)
}

func (h *Handler) operation(ctx context.Context, c *app.RequestContext) {
	request, failure := newRequest(c)
	if failure == nil {
		failure = checkBodySize(c.Request.Body())
	}
	if failure != nil {
		transport.WriteError(c, failure)
		return
	}
	request.Service = c.Param("service")
	request.Operation = c.Param("operation")
	request.Body = append([]byte{}, c.Request.Body()...)
	h.run(ctx, c, request, answerOperation)
}

func (h *Handler) models(ctx context.Context, c *app.RequestContext) {
	request, failure := newRequest(c)
	if failure != nil {
		transport.WriteError(c, failure)
		return
	}
	reply := h.ask(ctx, caller.Query{Customer: request.Customer})
	if reply.Err != nil {
		transport.WriteError(c, reply.Err)
		return
	}
	list := ModelList{Object: objectList, Data: []ModelItem{}}
	for _, service := range reply.Contract.Services {
		for _, model := range service.Models {
			list.Data = append(list.Data, ModelItem{ID: model.Name, Object: objectModel, OwnedBy: service.Name, Adapters: model.Adapters})
		}
	}
	c.JSON(consts.StatusOK, list)
}

func (h *Handler) requestState(ctx context.Context, c *app.RequestContext) {
	request, failure := newRequest(c)
	id := c.Param("id")
	if failure == nil {
		failure = checkName("id", id)
	}
	if failure != nil {
		transport.WriteError(c, failure)
		return
	}
	reply := h.ask(ctx, caller.Query{Customer: request.Customer, RequestID: core.RequestID(id)})
	if reply.Err != nil {
		transport.WriteError(c, reply.Err)
		return
	}
	message := RequestStateMessage{ID: id, State: reply.State.Phase, Code: reply.State.Code, Tokens: reply.State.Tokens}
	if reply.State.Ended {
		message.Verdict = &reply.State.Verdict
	}
	c.JSON(consts.StatusOK, message)
}

func (h *Handler) ask(ctx context.Context, q caller.Query) caller.Reply {
	ctx, cancel := context.WithTimeout(ctx, DefaultDeadline)
	defer cancel()
	return h.admission.Query(ctx, q)
}

// answerFunc writes the answer of a call. Its context outlives the deadline by
// the grace for the duties' end.
type answerFunc func(context.Context, *app.RequestContext, *core.Call)

// run submits the request and lets answer write what comes back. When answer
// returns, the call's context ends, which ends an attempt nobody reads from.
func (h *Handler) run(ctx context.Context, c *app.RequestContext, r *core.Request, answer answerFunc) {
	r.Fingerprint = r.ComputeFingerprint()
	// Admission may shorten the request's deadline once it has the call.
	deadline := r.Deadline
	callContext, cancelCall := context.WithDeadline(ctx, deadline)
	defer cancelCall()
	waitContext, cancelWait := context.WithDeadline(ctx, deadline.Add(h.grace))
	defer cancelWait()
	call := core.NewCall(callContext, r)
	c.Response.Header.Set(transport.HeaderRequestID, string(r.ID))
	if !h.admission.Submit(call) {
		failure := core.NotRunError(core.CodeOverloaded, "the daemon takes no more requests now")
		failure.RetryAfter = time.Second
		transport.WriteError(c, failure)
		return
	}
	answer(waitContext, c, call)
}

func answerOperation(ctx context.Context, c *app.RequestContext, call *core.Call) {
	for {
		_, end, ok := call.Answer.Next(ctx)
		if !ok {
			transport.WriteError(c, noEndError())
			return
		}
		if end == nil {
			continue
		}
		if end.Err != nil {
			transport.WriteError(c, end.Err)
			return
		}
		c.Response.Header.Set(transport.HeaderVerdict, end.Verdict.String())
		c.Data(end.Status, contentType(end), end.Body)
		return
	}
}

func contentType(end *core.End) string {
	if strings.TrimSpace(end.ContentType) == "" {
		return consts.MIMEApplicationJSON
	}
	return end.ContentType
}

// noEndError is the answer when the duties have not ended the call in time.
func noEndError() *core.Error {
	return core.MayHaveRunError(core.CodeDeadline, "no whole answer before the deadline")
}
