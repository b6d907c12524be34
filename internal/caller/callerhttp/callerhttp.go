// Package callerhttp encodes callers' requests as HTTP: model calls in the style
// of model servers, and calls of plain services.
package callerhttp

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/cloudwego/hertz/pkg/route"
	"github.com/google/uuid"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// DefaultDeadline applies to requests that name none.
const DefaultDeadline = 60 * time.Second

// CompletionRequest is the body of POST /v1/completions.
type CompletionRequest struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream,omitempty"`
	Priority  int    `json:"priority,omitempty"`
}

// CompletionResponse is the answer to a completion without stream.
type CompletionResponse struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []CompletionChoice `json:"choices"`
	Usage   CompletionUsage    `json:"usage"`
	Spans   []core.Span        `json:"version_spans"`
}

// CompletionChoice is the text of a completion.
type CompletionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// CompletionUsage counts tokens.
type CompletionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
}

// StreamChunk is the data of one server-sent event.
type StreamChunk struct {
	ID       string             `json:"id"`
	Object   string             `json:"object"`
	Position int                `json:"position"`
	Version  core.Version       `json:"weight_version,omitempty"`
	Choices  []CompletionChoice `json:"choices"`
}

// Handler turns HTTP requests into calls.
type Handler struct {
	submit core.Submitter
}

// NewHandler returns a handler that submits calls to s.
func NewHandler(s core.Submitter) *Handler { return &Handler{submit: s} }

// Register adds the routes for callers.
func (h *Handler) Register(r *route.Engine) {
	r.POST("/v1/completions", h.completions)
	r.POST("/v1/services/:service/:operation", h.operation)
}

func (h *Handler) completions(ctx context.Context, c *app.RequestContext) {
	var body CompletionRequest
	if err := transport.ReadJSON(c, &body); err != nil {
		transport.WriteError(c, err)
		return
	}
	request, failure := newRequest(c)
	if failure == nil {
		failure = checkCompletion(body)
	}
	if failure != nil {
		transport.WriteError(c, failure)
		return
	}
	request.Model = body.Model
	request.Adapter = body.Adapter
	request.Prompt = body.Prompt
	request.MaxTokens = body.MaxTokens
	request.Priority = body.Priority
	request.Stream = body.Stream
	h.run(ctx, c, request, h.answerCompletion)
}

func checkCompletion(body CompletionRequest) *core.Error {
	if body.Model == "" {
		return core.InvalidError("model", "", "a model of the contract", "is required")
	}
	if body.MaxTokens < 1 {
		return core.InvalidError("max_tokens", strconv.Itoa(body.MaxTokens), "1 or more", "is out of range")
	}
	return nil
}

func (h *Handler) operation(ctx context.Context, c *app.RequestContext) {
	request, failure := newRequest(c)
	if failure != nil {
		transport.WriteError(c, failure)
		return
	}
	request.Service = c.Param("service")
	request.Operation = c.Param("operation")
	request.Body = append([]byte{}, c.Request.Body()...)
	h.run(ctx, c, request, answerOperation)
}

func newRequest(c *app.RequestContext) (*core.Request, *core.Error) {
	customer := string(c.GetHeader(transport.HeaderCustomer))
	if customer == "" {
		return nil, core.InvalidError(transport.HeaderCustomer, "", "the customer's name", "is required")
	}
	deadline := DefaultDeadline
	if text := string(c.GetHeader(transport.HeaderDeadline)); text != "" {
		ms, err := strconv.Atoi(text)
		if err != nil || ms < 1 {
			return nil, core.InvalidError(transport.HeaderDeadline, text, "milliseconds, 1 or more", "is not a valid duration")
		}
		deadline = time.Duration(ms) * time.Millisecond
	}
	class := core.Class(c.GetHeader(transport.HeaderClass))
	if class != "" && class.Rank() == len(core.Classes()) {
		return nil, core.InvalidError(transport.HeaderClass, string(class), "interactive, background, rollout", "is not a class")
	}
	id := string(c.GetHeader(transport.HeaderRequestID))
	if id == "" {
		id = uuid.NewString()
	}
	return &core.Request{
		ID:             core.RequestID(id),
		Customer:       core.CustomerID(customer),
		Class:          class,
		IdempotencyKey: string(c.GetHeader(transport.HeaderIdempotencyKey)),
		Deadline:       time.Now().Add(deadline),
	}, nil
}

// run submits the request and lets answer write what comes back.
func (h *Handler) run(ctx context.Context, c *app.RequestContext, r *core.Request, answer func(context.Context, *app.RequestContext, *core.Call)) {
	r.Fingerprint = r.ComputeFingerprint()
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	call := core.NewCall(ctx, r)
	c.Response.Header.Set(transport.HeaderRequestID, string(r.ID))
	if !h.submit.Submit(call) {
		transport.WriteError(c, core.NotRunError(core.CodeOverloaded, "the daemon takes no more requests now"))
		return
	}
	answer(ctx, c, call)
}

func (h *Handler) answerCompletion(ctx context.Context, c *app.RequestContext, call *core.Call) {
	if call.Request.Stream {
		stream(ctx, c, call)
		return
	}
	var assembled core.Assembler
	for {
		chunk, end, ok := call.Answer.Next(ctx)
		if !ok {
			transport.WriteError(c, deadlineError())
			return
		}
		if end != nil {
			writeCompletion(c, call, &assembled, end)
			return
		}
		if _, err := assembled.Accept(chunk); err != nil {
			transport.WriteError(c, core.AsError(err))
			return
		}
	}
}

func writeCompletion(c *app.RequestContext, call *core.Call, assembled *core.Assembler, end *core.End) {
	if end.Err != nil {
		transport.WriteError(c, end.Err)
		return
	}
	c.Response.Header.Set(transport.HeaderVerdict, end.Verdict.String())
	c.JSON(consts.StatusOK, CompletionResponse{
		ID:      string(call.Request.ID),
		Object:  "text_completion",
		Model:   call.Request.Model,
		Choices: []CompletionChoice{{Text: assembled.Text(), FinishReason: end.FinishReason}},
		Usage:   CompletionUsage{CompletionTokens: assembled.Position()},
		Spans:   assembled.Spans(),
	})
}

// stream writes the answer as server-sent events. The status line waits for the
// first event, so that a refusal still gets its own status.
func stream(ctx context.Context, c *app.RequestContext, call *core.Call) {
	var writer *sse.Writer
	var assembled core.Assembler
	for {
		chunk, end, ok := call.Answer.Next(ctx)
		failure := streamFailure(end, ok)
		if failure == nil && end == nil {
			chunk, failure = accept(&assembled, chunk)
		}
		if failure != nil && writer == nil {
			transport.WriteError(c, failure)
			return
		}
		if writer == nil {
			writer = sse.NewWriter(c)
		}
		if failure != nil {
			writeErrorEvent(writer, failure)
			return
		}
		if end != nil {
			writeLastEvents(writer, call, end)
			return
		}
		if err := writeChunk(writer, call, chunk); err != nil {
			return
		}
	}
}

func accept(assembled *core.Assembler, chunk core.Chunk) (core.Chunk, *core.Error) {
	accepted, err := assembled.Accept(chunk)
	if err != nil {
		return accepted, core.AsError(err)
	}
	return accepted, nil
}

func streamFailure(end *core.End, ok bool) *core.Error {
	if !ok {
		return deadlineError()
	}
	if end != nil {
		return end.Err
	}
	return nil
}

func writeChunk(w *sse.Writer, call *core.Call, chunk core.Chunk) error {
	if len(chunk.Tokens) == 0 {
		return nil
	}
	return writeData(w, StreamChunk{
		ID:       string(call.Request.ID),
		Object:   "text_completion",
		Position: chunk.Position,
		Version:  chunk.Version,
		Choices:  []CompletionChoice{{Text: chunk.Text}},
	})
}

// EndEvent is the data of the event "end", which closes a stream and carries its verdict.
type EndEvent struct {
	Verdict core.Verdict `json:"verdict"`
}

func writeLastEvents(w *sse.Writer, call *core.Call, end *core.End) {
	_ = writeData(w, StreamChunk{
		ID:      string(call.Request.ID),
		Object:  "text_completion",
		Choices: []CompletionChoice{{FinishReason: end.FinishReason}},
	})
	data, _ := json.Marshal(EndEvent{Verdict: end.Verdict})
	_ = w.WriteEvent("", "end", data)
	_ = w.WriteEvent("", "", []byte("[DONE]"))
	_ = w.Close()
}

func writeErrorEvent(w *sse.Writer, e *core.Error) {
	data, _ := json.Marshal(transport.NewErrorBody(e))
	_ = w.WriteEvent("", "error", data)
	_ = w.Close()
}

func writeData(w *sse.Writer, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return w.WriteEvent("", "", data)
}

func answerOperation(ctx context.Context, c *app.RequestContext, call *core.Call) {
	for {
		_, end, ok := call.Answer.Next(ctx)
		if !ok {
			transport.WriteError(c, deadlineError())
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

func deadlineError() *core.Error {
	return core.MayHaveRunError(core.CodeDeadline, "no whole answer before the deadline")
}
