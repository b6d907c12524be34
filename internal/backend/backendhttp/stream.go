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

// endOfBodyWait bounds the wait for the end of the body after the last event.
// A connection whose body has not ended by then is closed, since the answer
// is whole and its caller waits.
const endOfBodyWait = 20 * time.Millisecond

// stream is the answer of one attempt at an engine while it arrives.
type stream struct {
	attempt backend.Attempt
	next    int     // position of the next token
	tokens  []int32 // accepted from this attempt
	finish  string  // finish reason, once the answer is whole

	behind   bool // the server was seen ahead of what arrived
	behindAt int  // next at that time
}

func newStream(a backend.Attempt) *stream {
	return &stream{attempt: a, next: len(a.ResumeTokens)}
}

// read copies the events into the answer until the last one. When whole is
// true the body was read in full, so that the connection can be used again.
func (s *stream) read(c *transport.Conn, resp *protocol.Response) (whole bool, err error) {
	if err := c.OpenBody(resp); err != nil {
		return false, err
	}
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
		err := s.accept(event.Data)
		if errors.Is(err, errLastEvent) {
			c.OnSilence, c.Patience = nil, endOfBodyWait
			return errors.Is(reader.Read(event), io.EOF) && c.Len() == 0, nil
		}
		if err != nil {
			return false, err
		}
	}
}

// accept takes one event: only of this request, and only at the position that
// follows what the caller has. What the caller has already is dropped.
func (s *stream) accept(data []byte) error {
	var m TokenMessage
	if err := json.Unmarshal(data, &m); err != nil {
		return err
	}
	if m.RequestID != "" && m.RequestID != string(s.attempt.Call.Request.ID) {
		return errCrossed
	}
	if err := s.take(m); err != nil {
		return err
	}
	if m.FinishReason == "" {
		return nil
	}
	if m.Position+len(m.Tokens) != s.next {
		return errGap
	}
	s.finish = m.FinishReason
	return errLastEvent
}

func (s *stream) take(m TokenMessage) error {
	end := m.Position + len(m.Tokens)
	switch {
	case m.Position > s.next:
		return errGap
	case end <= s.next:
		return nil
	case m.Position < s.next:
		// The text cannot be cut at a border between tokens.
		return errOverlap
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
		return errNotWanted
	}
	s.tokens = append(s.tokens, m.Tokens...)
	s.next = end
	return nil
}

// hasAllTokens reports whether only the last event can be missing.
func (s *stream) hasAllTokens() bool {
	limit := s.attempt.Call.Request.MaxTokens
	return limit > 0 && s.next >= limit
}

// finished returns the end of an attempt whose answer is whole.
func (s *stream) finished() backend.AttemptEnd {
	return backend.AttemptEnd{
		Verdict: core.Ran,
		Tokens:  s.tokens,
		End:     core.End{Verdict: core.Ran, FinishReason: s.finish, Server: s.attempt.Server},
	}
}
