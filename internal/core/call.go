package core

import "context"

// Call is a request in progress with its answer. The duties pass it on; one at a
// time owns it.
type Call struct {
	Request *Request
	Answer  *Answer
	// Context ends when the caller disconnects or the deadline passes.
	Context context.Context
	// RoutingTrace records the routing decisions and their reasons. Each duty appends to
	// it while it owns the call.
	RoutingTrace []string
	// OnEnd, if set, is called once with the end of the call. It must not block.
	OnEnd func(*Call, End)
}

// NewCall returns a call for the request with an empty answer.
func NewCall(ctx context.Context, r *Request) *Call {
	return &Call{Request: r, Answer: NewAnswer(), Context: ctx}
}

// End ends the call. Only the first call has an effect. It never blocks.
func (c *Call) End(e End) {
	if c.Answer.Finish(e) && c.OnEnd != nil {
		c.OnEnd(c, e)
	}
}

// Fail ends the call with an error and the verdict of that error.
func (c *Call) Fail(e *Error) { c.End(End{Verdict: e.Verdict, Err: e}) }

// Submitter accepts calls. Submit never blocks; false means that the call was
// rejected and nothing ran.
type Submitter interface {
	Submit(c *Call) bool
}
