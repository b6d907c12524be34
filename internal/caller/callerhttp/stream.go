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

// writeAnswer writes the answer of a model call, as a stream if the request
// asks for one.
func (f answerFormat) writeAnswer(ctx context.Context, c *app.RequestContext, call *core.Call) {
	if call.Request.Stream {
		f.writeStream(ctx, c, call)
		return
	}
	var assembler core.Assembler
	for {
		chunk, end, ok := call.Answer.Next(ctx)
		if !ok {
			transport.WriteError(c, noAnswerError())
			return
		}
		if end != nil {
			f.writeWhole(c, call, &assembler, end)
			return
		}
		if _, err := assembler.Accept(chunk); err != nil {
			transport.WriteError(c, core.AsError(err))
			return
		}
	}
}

func (f answerFormat) writeWhole(c *app.RequestContext, call *core.Call, assembler *core.Assembler, end *core.End) {
	if end.Err != nil {
		transport.WriteError(c, end.Err)
		return
	}
	c.Response.Header.Set(transport.HeaderVerdict, end.Verdict.String())
	c.JSON(consts.StatusOK, CompletionResponse{
		ID:           string(call.Request.ID),
		Object:       f.object,
		Created:      time.Now().Unix(),
		Model:        call.Request.Model,
		Choices:      []CompletionChoice{f.wholeChoice(assembler.Text(), end.FinishReason)},
		Usage:        CompletionUsage{CompletionTokens: assembler.Position()},
		VersionSpans: assembler.Spans(),
	})
}

// eventStream writes one answer as server-sent events.
type eventStream struct {
	format       answerFormat
	call         *core.Call
	created      int64
	context      *app.RequestContext
	writer       *sse.Writer // nil until the first event
	isFirstChunk bool        // no chunk has been written yet
}

// writeStream writes the answer as server-sent events. The status line is sent
// with the first event, so that a call that fails before it gets an error status.
func (f answerFormat) writeStream(ctx context.Context, c *app.RequestContext, call *core.Call) {
	events := &eventStream{format: f, call: call, created: time.Now().Unix(), context: c, isFirstChunk: true}
	var assembler core.Assembler
	for {
		chunk, end, ok := call.Answer.Next(ctx)
		failure := failureOf(end, ok)
		if failure == nil && end == nil {
			chunk, failure = acceptChunk(&assembler, chunk)
		}
		switch {
		case failure != nil:
			events.fail(failure)
			return
		case end != nil:
			events.finish(end, assembler.Position())
			return
		}
		if err := events.writeTokens(chunk); err != nil {
			return
		}
	}
}

func acceptChunk(assembler *core.Assembler, chunk core.Chunk) (core.Chunk, *core.Error) {
	accepted, err := assembler.Accept(chunk)
	if err != nil {
		return accepted, core.AsError(err)
	}
	return accepted, nil
}

func failureOf(end *core.End, ok bool) *core.Error {
	if !ok {
		return noAnswerError()
	}
	if end != nil {
		return end.Err
	}
	return nil
}

// writeEvent writes one event. It sets the write timeout before each write,
// because the connection measures it from the moment it is set. Without a
// timeout, a caller that stops reading would occupy an attempt until its deadline.
func (s *eventStream) writeEvent(name string, data []byte) error {
	s.setWriteTimeout(s.format.writeTimeout)
	if s.writer == nil {
		s.writer = sse.NewWriter(s.context)
	}
	return s.writer.WriteEvent("", name, data)
}

func (s *eventStream) setWriteTimeout(timeout time.Duration) {
	if connection := s.context.GetConn(); connection != nil {
		_ = connection.SetWriteTimeout(timeout)
	}
}

// close ends the stream and clears the write timeout, because the connection may
// be reused for another answer.
func (s *eventStream) close() {
	_ = s.writer.Close()
	s.setWriteTimeout(0)
}

func (s *eventStream) writeTokens(chunk core.Chunk) error {
	if len(chunk.Tokens) == 0 {
		return nil
	}
	choice := s.format.deltaChoice(chunk.Text, "", s.isFirstChunk)
	s.isFirstChunk = false
	return s.writeChoice(chunk.Position, chunk.Version, choice)
}

func (s *eventStream) writeChoice(position int, version core.Version, choice CompletionChoice) error {
	return s.writeChunk(StreamChunk{Position: position, Version: version, Choices: []CompletionChoice{choice}})
}

func (s *eventStream) writeChunk(chunk StreamChunk) error {
	chunk.ID = string(s.call.Request.ID)
	chunk.Object = s.format.chunkObject
	chunk.Created = s.created
	chunk.Model = s.call.Request.Model
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	return s.writeEvent("", data)
}

func (s *eventStream) finish(end *core.End, position int) {
	if err := s.writeChoice(position, 0, s.format.deltaChoice("", end.FinishReason, s.isFirstChunk)); err != nil {
		return
	}
	if s.format.includeUsage {
		usage := &CompletionUsage{CompletionTokens: position}
		if err := s.writeChunk(StreamChunk{Position: position, Choices: []CompletionChoice{}, Usage: usage}); err != nil {
			return
		}
	}
	data, _ := json.Marshal(EndEvent{Verdict: end.Verdict})
	_ = s.writeEvent("end", data)
	_ = s.writeEvent("", []byte("[DONE]"))
	s.close()
}

func (s *eventStream) fail(failure *core.Error) {
	if s.writer == nil {
		transport.WriteError(s.context, failure)
		return
	}
	data, _ := json.Marshal(transport.NewErrorBody(failure))
	_ = s.writeEvent("error", data)
	s.close()
}
