package backendhttp

import (
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// endOfBodyTimeout bounds the wait for the end of the body after the last
// event. A connection whose body has not ended by then is closed, because the
// answer is complete and the caller waits for it.
const endOfBodyTimeout = 20 * time.Millisecond

// stream is the answer of one attempt on an engine while it is received.
type stream struct {
	attempt      backend.Attempt
	nextPosition int     // position of the next token
	tokens       []int32 // accepted from this attempt
	finishReason string  // set once the answer is complete

	isServerAhead bool // the engine reported a position beyond the received tokens
	serverAheadAt int  // nextPosition when the engine reported it
}

func newStream(a backend.Attempt) *stream {
	return &stream{attempt: a, nextPosition: len(a.Resume.Tokens)}
}

// read copies the events into the answer until the last one. If isWhole is
// true, the body was read to its end and the connection can be reused.
func (s *stream) read(c *transport.Conn, resp *protocol.Response) (isWhole bool, err error) {
	c.StreamResponseBody(resp)
	reader, err := sse.NewReader(resp)
	if err != nil {
		return false, err
	}
	event := sse.NewEvent()
	defer event.Release()
	for {
		if err := reader.Read(event); err != nil {
			return false, err
		}
		err := s.handleEvent(event.Data)
		if errors.Is(err, errLastEvent) {
			c.OnReadTimeout, c.NextReadTimeout = nil, endOfBodyTimeout
			return errors.Is(reader.Read(event), io.EOF) && c.Len() == 0, nil
		}
		if err != nil {
			return false, err
		}
		c.MarkEvent()
	}
}

// handleEvent applies one event. It rejects events of another request, and
// events that skip tokens or overlap a part of those that the caller has. It
// ignores events whose tokens the caller has already.
func (s *stream) handleEvent(data []byte) error {
	var m TokenMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	if m.RequestID != "" && m.RequestID != string(s.attempt.Call.Request.ID) {
		return errOtherRequest
	}
	if err := s.appendTokens(m); err != nil {
		return err
	}
	if m.FinishReason == "" {
		return nil
	}
	if m.Position+len(m.Tokens) != s.nextPosition {
		return errMissingTokens
	}
	s.finishReason = m.FinishReason
	return errLastEvent
}

func (s *stream) appendTokens(m TokenMessage) error {
	end := m.Position + len(m.Tokens)
	switch {
	case m.Position > s.nextPosition:
		return errMissingTokens
	case end <= s.nextPosition:
		return nil
	case m.Position < s.nextPosition:
		// The text cannot be split at a token boundary.
		return errPartialOverlap
	}
	chunk := core.Chunk{
		Attempt:  s.attempt.Number,
		Position: m.Position,
		Tokens:   m.Tokens,
		Text:     m.Text,
		Version:  core.Version(m.Version),
		Adapter:  m.Adapter,
	}
	if !s.attempt.Call.Answer.Append(s.attempt.Context, chunk) {
		return errNotNeeded
	}
	s.tokens = append(s.tokens, m.Tokens...)
	s.nextPosition = end
	return nil
}

// hasAllTokens reports whether at most the last event is missing.
func (s *stream) hasAllTokens() bool {
	limit := s.attempt.Call.Request.MaxTokens
	return limit > 0 && s.nextPosition >= limit
}

// completedAttempt returns the end of an attempt whose answer is complete.
func (s *stream) completedAttempt() backend.AttemptEnd {
	return backend.AttemptEnd{
		Verdict: core.Ran,
		Tokens:  s.tokens,
		End:     core.End{Verdict: core.Ran, FinishReason: s.finishReason, Server: s.attempt.Server},
	}
}
