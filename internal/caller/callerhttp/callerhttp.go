// Package callerhttp serves callers over HTTP: model calls in the format that
// clients of model servers use, and calls of plain services.
//
// It validates requests and encodes answers. It owns no state: the admission
// duty (package caller) decides what happens to a request. A request that fails
// validation is never submitted, and each answer carries the verdict that the
// duties reached.
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

// Timeouts of the handler.
const (
	// endGrace is how long the handler waits after the deadline for the duties
	// to end the call, since only they know whether it was sent.
	endGrace = time.Second
	// writeTimeout bounds one write to a slow caller. When it expires, the answer
	// and the attempt that produces it end.
	writeTimeout = 30 * time.Second
)

// Admission is the part of the admission duty that the handler uses.
type Admission interface {
	core.Submitter
	Query(ctx context.Context, q caller.Query) caller.Reply
	IsReady() bool
	IsDraining() bool
}

// Handler turns HTTP requests into calls.
type Handler struct {
	admission        Admission
	endGrace         time.Duration
	completionFormat answerFormat
	chatFormat       answerFormat
}

// NewHandler returns a handler that submits calls to a. Its routes are added by
// Register.
func NewHandler(a Admission) *Handler {
	return &Handler{admission: a, endGrace: endGrace, completionFormat: completionFormat, chatFormat: chatFormat}
}

// Register adds the caller routes to r.
func (h *Handler) Register(r *route.Engine) {
	r.POST("/v1/completions", h.closeWhileDraining(h.completions))
	r.POST("/v1/chat/completions", h.closeWhileDraining(h.chat))
	r.POST("/v1/services/:service/:operation", h.closeWhileDraining(h.operation))
	r.GET("/v1/models", h.closeWhileDraining(h.models))
	r.GET("/v1/requests/:id", h.closeWhileDraining(h.requestState))
	r.GET("/v1/ready", h.closeWhileDraining(h.ready))
}

// closeWhileDraining closes connections after the answer while the daemon
// drains, so that the caller's next request goes to another daemon.
func (h *Handler) closeWhileDraining(next app.HandlerFunc) app.HandlerFunc {
	return func(ctx context.Context, c *app.RequestContext) {
		if h.admission.IsDraining() {
			c.Response.SetConnectionClose()
		}
		next(ctx, c)
		// Checked again because the drain may have begun in between. A stream has
		// sent its headers by then and is not affected.
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
	h.submitAndAnswer(ctx, c, request, h.completionFormat.withOptions(body.StreamOptions).writeAnswer)
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
	h.submitAndAnswer(ctx, c, request, h.chatFormat.withOptions(body.StreamOptions).writeAnswer)
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
	h.submitAndAnswer(ctx, c, request, writeOperationAnswer)
}

func (h *Handler) models(ctx context.Context, c *app.RequestContext) {
	request, failure := newRequest(c)
	if failure != nil {
		transport.WriteError(c, failure)
		return
	}
	reply := h.query(ctx, caller.Query{Customer: request.Customer})
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
	reply := h.query(ctx, caller.Query{Customer: request.Customer, RequestID: core.RequestID(id)})
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

func (h *Handler) query(ctx context.Context, q caller.Query) caller.Reply {
	ctx, cancel := context.WithTimeout(ctx, DefaultDeadline)
	defer cancel()
	return h.admission.Query(ctx, q)
}

// writeAnswerFunc writes the answer of a call. Its context ends endGrace after
// the deadline.
type writeAnswerFunc func(context.Context, *app.RequestContext, *core.Call)

// submitAndAnswer submits the request and calls writeAnswer. When writeAnswer
// returns, the call's context is cancelled, which stops an attempt whose answer
// nobody reads.
func (h *Handler) submitAndAnswer(ctx context.Context, c *app.RequestContext, r *core.Request, writeAnswer writeAnswerFunc) {
	r.Fingerprint = r.ComputeFingerprint()
	// Copied first, because admission may shorten the request's deadline.
	deadline := r.Deadline
	callContext, cancelCall := context.WithDeadline(ctx, deadline)
	defer cancelCall()
	waitContext, cancelWait := context.WithDeadline(ctx, deadline.Add(h.endGrace))
	defer cancelWait()
	call := core.NewCall(callContext, r)
	c.Response.Header.Set(transport.HeaderRequestID, string(r.ID))
	if !h.admission.Submit(call) {
		failure := core.NotRunError(core.CodeOverloaded, "the daemon's request queue is full")
		failure.RetryAfter = time.Second
		transport.WriteError(c, failure)
		return
	}
	writeAnswer(waitContext, c, call)
}

func writeOperationAnswer(ctx context.Context, c *app.RequestContext, call *core.Call) {
	for {
		_, end, ok := call.Answer.Next(ctx)
		if !ok {
			transport.WriteError(c, noAnswerError())
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

// noAnswerError is returned when the duties have not ended the call in time.
func noAnswerError() *core.Error {
	return core.MayHaveRunError(core.CodeDeadline, "no complete answer before the deadline")
}
