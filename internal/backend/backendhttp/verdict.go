package backendhttp

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/berylfall/berylfall/internal/backend"
	"github.com/berylfall/berylfall/internal/core"
	"github.com/berylfall/berylfall/internal/transport"
)

// failed returns the end of an attempt without a whole answer.
func failed(e *core.Error) backend.AttemptEnd {
	return backend.AttemptEnd{Verdict: e.Verdict, Err: e}
}

// classifyDial gives the verdict of an attempt that got no connection.
func classifyDial(ctx context.Context, err error) *core.Error {
	if cause := ctx.Err(); cause != nil {
		return backend.ContextError(cause, core.NotRun, "before a connection was open")
	}
	return core.NotRunError(core.CodeBroken, "no connection to the backend server: %v", err)
}

// classifyBroken gives the verdict of an attempt that ended without an answer.
// Only a request of which no byte was sent is proven not run: a server may
// start on a part of a request, and a reset does not tell what the server read.
func classifyBroken(ctx context.Context, written int, err error) *core.Error {
	verdict, when := core.MayHaveRun, "after a part of the request was sent"
	if written == 0 {
		verdict, when = core.NotRun, "before the first byte was sent"
	}
	if cause := ctx.Err(); cause != nil {
		return backend.ContextError(cause, verdict, when)
	}
	return &core.Error{Code: core.CodeBroken, Verdict: verdict, Reason: "the connection failed " + when, Err: err}
}

// classifyRefusal gives the verdict of an error answer. Only the header proves
// that the server did not start the request.
func classifyRefusal(e *transport.ResponseError) *core.Error {
	refusal := &core.Error{Code: core.CodeBroken, Verdict: core.MayHaveRun, Reason: "the backend server failed", Err: e, RetryAfter: retryAfter(e)}
	if e.Headers[transport.HeaderRequestStarted] == "false" {
		refusal.Code, refusal.Verdict, refusal.Reason = core.CodeOverloaded, core.NotRun, "the backend server refused the request"
	}
	return refusal
}

// retryAfter reads the header in its form of whole seconds.
func retryAfter(e *transport.ResponseError) time.Duration {
	seconds, err := strconv.Atoi(e.Headers[transport.HeaderRetryAfter])
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// Errors that end a read.
var (
	errNotWanted = errors.New("the answer is no longer wanted")
	errLastEvent = errors.New("last event")
	errCrossed   = errors.New("the server sent the answer to another request")
	errGap       = errors.New("tokens are missing")
	errOverlap   = errors.New("an event repeats only a part of the answer")
	errBehind    = errors.New("the server is ahead of what arrived")
	errUnknown   = errors.New("the server does not know the request")
	errSilent    = errors.New("the connection is silent")
	errRestarted = errors.New("the server has restarted")
)
