package core

import (
	"context"
	"sync/atomic"

	"github.com/berylfall/berylfall/internal/ring"
)

// AnswerHead is the head of a backend server's answer to a forwarded message.
type AnswerHead struct {
	Status  int // HTTP status
	Headers []Header
}

// Chunk is a piece of a streamed answer.
type Chunk struct {
	Attempt  int // attempt of the request that produced the chunk
	Position int // position of the first token in the answer
	Tokens   []int32
	Text     string
	Version  Version         // weight version that the engine reported with the tokens
	Software SoftwareVersion // of the backend server
	Adapter  string
	// Head is the head of the answer. It is set on the first chunk of each attempt that
	// streams the answer to a forwarded message; the Text of such chunks is the bytes of
	// an event.
	Head *AnswerHead
}

// End is the last event of an answer.
type End struct {
	Verdict      Verdict
	Err          *Error // nil when the answer is complete
	Status       int    // HTTP status of a plain service's answer
	ContentType  string
	Headers      []Header // of the answer to a forwarded message
	Body         []byte   // a plain service's answer
	FinishReason string
	Signature    string   // proves that the backend server produced the answer
	Server       ServerID // backend server that gave the answer, if any
	Attempts     int
}

// AnswerCapacity is the number of chunks that are buffered for a slow caller.
// When the buffer is full, the exchange with the backend server stops reading.
const AnswerCapacity = 64

// Answer carries the answer of one request from the exchange with a backend
// server to the reader, which is the caller's handler or a pool goroutine of
// another duty. Any goroutine may call its methods; there is one reader.
type Answer struct {
	chunks *ring.Ring[Chunk]
	end    *ring.Ring[End]
	owner  atomic.Int64 // attempt that may add chunks; 0 until one claims it
	tokens atomic.Int64 // tokens of all chunks added
}

// NewAnswer returns an empty answer.
func NewAnswer() *Answer {
	return &Answer{
		chunks: ring.New[Chunk]("answer.chunks", AnswerCapacity),
		end:    ring.New[End]("answer.end", 1),
	}
}

// Claim makes the attempt the owner of the answer if there is none, and reports
// whether the attempt is the owner. Only the owner may add chunks. Attempts are
// numbered from 1.
func (a *Answer) Claim(attempt int) bool {
	return a.owner.CompareAndSwap(0, int64(attempt)) || a.owner.Load() == int64(attempt)
}

// Transfer makes an attempt the owner in place of one that has ended. It reports
// false when the ended attempt is not the owner.
func (a *Answer) Transfer(from, to int) bool {
	return a.owner.CompareAndSwap(int64(from), int64(to))
}

// Append adds a chunk and blocks while the buffer is full, until ctx ends. It
// reports false when ctx ended first, the chunk's attempt does not own the
// answer or the answer has ended. Only pool goroutines may call it.
func (a *Answer) Append(ctx context.Context, c Chunk) bool {
	if !a.Claim(c.Attempt) {
		return false
	}
	if !a.chunks.PutWait(ctx, c) {
		return false
	}
	a.tokens.Add(int64(len(c.Tokens)))
	return true
}

// Tokens returns the number of tokens added so far. Admission charges them
// against the customer's token limit.
func (a *Answer) Tokens() int { return int(a.tokens.Load()) }

// Finish ends the answer. It never blocks. Only the first call has an effect and
// returns true.
func (a *Answer) Finish(e End) bool {
	if !a.end.TryPut(e) {
		return false
	}
	a.end.Close()
	a.chunks.Close()
	return true
}

// Next returns the next chunk, or the end when no chunk is left. It blocks until
// either is there; ok is false when ctx ends first.
func (a *Answer) Next(ctx context.Context) (c Chunk, end *End, ok bool) {
	c, ok = a.chunks.Take(ctx)
	if ok {
		return c, nil, true
	}
	e, ended := a.end.TryTake()
	if !ended {
		return Chunk{}, nil, false
	}
	return Chunk{}, &e, true
}

// Assembler checks that an engine's answer is complete: each token exactly once
// and in order. It also builds the version spans.
type Assembler struct {
	tokens []int32
	text   []byte
	spans  []Span
}

// Accept takes a chunk and returns the part of it that is new. Repeated tokens
// are ignored; a gap is an error, since the tokens in it are lost.
func (a *Assembler) Accept(c Chunk) (Chunk, error) {
	next := len(a.tokens)
	if c.Position > next {
		return Chunk{}, MayHaveRunError(CodeBackendFailure, "answer has a gap: expected token %d, got %d", next, c.Position)
	}
	skip := next - c.Position
	if skip >= len(c.Tokens) {
		return Chunk{Attempt: c.Attempt, Position: next, Version: c.Version, Adapter: c.Adapter}, nil
	}
	if skip > 0 {
		// Text cannot be split at a token boundary without a tokenizer.
		return Chunk{}, MayHaveRunError(CodeBackendFailure, "chunk at token %d overlaps the answer, which ends at %d", c.Position, next)
	}
	a.tokens = append(a.tokens, c.Tokens...)
	a.text = append(a.text, c.Text...)
	a.spans = AppendSpan(a.spans, Span{Version: c.Version, Adapter: c.Adapter, From: next, To: len(a.tokens)})
	return c, nil
}

// Position returns the number of tokens accepted.
func (a *Assembler) Position() int { return len(a.tokens) }

// Tokens returns the accepted tokens.
func (a *Assembler) Tokens() []int32 { return a.tokens }

// Text returns the accepted text.
func (a *Assembler) Text() string { return string(a.text) }

// Spans returns the version spans of the accepted tokens.
func (a *Assembler) Spans() []Span { return a.spans }
