package core

import "context"

// Call is a request on its way through the duties, with its answer.
type Call struct {
	Request *Request
	Answer  *Answer
	// Context ends when the caller goes away or the deadline passes.
	Context context.Context
	// Trace collects why the request went where it went. Each duty appends to
	// it while it holds the call.
	Trace []string
	// OnEnd, if set, is called once with the end of the call. It must not wait.
	OnEnd func(*Call, End)
}

// NewCall returns a call for the request with an empty answer.
func NewCall(ctx context.Context, r *Request) *Call {
	return &Call{Request: r, Answer: NewAnswer(), Context: ctx}
}

// End ends the call. Only the first end counts. It never waits.
func (c *Call) End(e End) {
	if c.Answer.Finish(e) && c.OnEnd != nil {
		c.OnEnd(c, e)
	}
}

// Fail ends the call with an error, which carries the verdict.
func (c *Call) Fail(e *Error) { c.End(End{Verdict: e.Verdict, Err: e}) }

// Submitter accepts calls. Submit never waits; when it reports false the call
// was not taken, and nothing ran.
type Submitter interface {
	Submit(c *Call) bool
}
