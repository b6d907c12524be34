package callerhttp

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// answer writes the answer of a model call, as a stream if the caller asked for one.
func (s style) answer(ctx context.Context, c *app.RequestContext, call *core.Call) {
	if call.Request.Stream {
		s.stream(ctx, c, call)
		return
	}
	var assembled core.Assembler
	for {
		chunk, end, ok := call.Answer.Next(ctx)
		if !ok {
			transport.WriteError(c, noEndError())
			return
		}
		if end != nil {
			s.writeWhole(c, call, &assembled, end)
			return
		}
		if _, err := assembled.Accept(chunk); err != nil {
			transport.WriteError(c, core.AsError(err))
			return
		}
	}
}

func (s style) writeWhole(c *app.RequestContext, call *core.Call, assembled *core.Assembler, end *core.End) {
	if end.Err != nil {
		transport.WriteError(c, end.Err)
		return
	}
	c.Response.Header.Set(transport.HeaderVerdict, end.Verdict.String())
	c.JSON(consts.StatusOK, CompletionResponse{
		ID:           string(call.Request.ID),
		Object:       s.object,
		Created:      time.Now().Unix(),
		Model:        call.Request.Model,
		Choices:      []CompletionChoice{s.choice(assembled.Text(), end.FinishReason)},
		Usage:        CompletionUsage{CompletionTokens: assembled.Position()},
		VersionSpans: assembled.Spans(),
	})
}

// eventStream writes the events of one answer.
type eventStream struct {
	style   style
	call    *core.Call
	created int64
	context *app.RequestContext
	writer  *sse.Writer // nil until the first event
	first   bool        // no chunk was written yet
}

// stream writes the answer as server-sent events. The status line waits for the
// first event, so that a refusal still gets its own status.
func (s style) stream(ctx context.Context, c *app.RequestContext, call *core.Call) {
	out := &eventStream{style: s, call: call, created: time.Now().Unix(), context: c, first: true}
	var assembled core.Assembler
	for {
		chunk, end, ok := call.Answer.Next(ctx)
		failure := streamFailure(end, ok)
		if failure == nil && end == nil {
			chunk, failure = accept(&assembled, chunk)
		}
		switch {
		case failure != nil:
			out.fail(failure)
			return
		case end != nil:
			out.finish(end, assembled.Position())
			return
		}
		if err := out.chunk(chunk); err != nil {
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
		return noEndError()
	}
	if end != nil {
		return end.Err
	}
	return nil
}

// event writes one event. The timeout is set again before each write, because
// the connection counts it from when it is set. Without one, a caller that has
// stopped reading would hold an attempt until its deadline.
func (s *eventStream) event(name string, data []byte) error {
	s.limitWrite(s.style.writeTimeout)
	if s.writer == nil {
		s.writer = sse.NewWriter(s.context)
	}
	return s.writer.WriteEvent("", name, data)
}

func (s *eventStream) limitWrite(timeout time.Duration) {
	if connection := s.context.GetConn(); connection != nil {
		_ = connection.SetWriteTimeout(timeout)
	}
}

// close ends the stream. The connection's next answer starts without a timeout.
func (s *eventStream) close() {
	_ = s.writer.Close()
	s.limitWrite(0)
}

func (s *eventStream) chunk(chunk core.Chunk) error {
	if len(chunk.Tokens) == 0 {
		return nil
	}
	choice := s.style.delta(chunk.Text, "", s.first)
	s.first = false
	return s.write(chunk.Position, chunk.Version, choice)
}

func (s *eventStream) write(position int, version core.Version, choice CompletionChoice) error {
	return s.writeChunk(StreamChunk{Position: position, Version: version, Choices: []CompletionChoice{choice}})
}

func (s *eventStream) writeChunk(chunk StreamChunk) error {
	chunk.ID = string(s.call.Request.ID)
	chunk.Object = s.style.chunkObject
	chunk.Created = s.created
	chunk.Model = s.call.Request.Model
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return s.event("", data)
}

func (s *eventStream) finish(end *core.End, position int) {
	if err := s.write(position, 0, s.style.delta("", end.FinishReason, s.first)); err != nil {
		return
	}
	if s.style.includeUsage {
		usage := &CompletionUsage{CompletionTokens: position}
		if err := s.writeChunk(StreamChunk{Position: position, Choices: []CompletionChoice{}, Usage: usage}); err != nil {
			return
		}
	}
	data, _ := json.Marshal(EndEvent{Verdict: end.Verdict})
	_ = s.event("end", data)
	_ = s.event("", []byte("[DONE]"))
	s.close()
}

func (s *eventStream) fail(failure *core.Error) {
	if s.writer == nil {
		transport.WriteError(s.context, failure)
		return
	}
	data, _ := json.Marshal(transport.NewErrorBody(failure))
	_ = s.event("error", data)
	s.close()
}
