package backend

import (
	"context"

	"github.com/berylfall/berylfall/internal/core"
)

// FailedAttempt returns the end of an attempt without a whole answer.
func FailedAttempt(e *core.Error) AttemptEnd {
	return AttemptEnd{Verdict: e.Verdict, Err: e}
}

// DialError gives the verdict of an attempt that got no connection.
func DialError(ctx context.Context, err error) *core.Error {
	if cause := ctx.Err(); cause != nil {
		return ContextError(cause, core.NotRun, "before a connection was open")
	}
	return core.NotRunError(core.CodeBackendFailure, "no connection to the backend server: %v", err)
}

// ConnectionError gives the verdict of an attempt that ended without an answer.
// Only a request of which no byte was sent is proven not run: a server may
// start on a part of a request, and a reset does not tell what the server read.
func ConnectionError(ctx context.Context, written int, err error) *core.Error {
	verdict, when := core.MayHaveRun, "after a part of the request was sent"
	if written == 0 {
		verdict, when = core.NotRun, "before the first byte was sent"
	}
	if cause := ctx.Err(); cause != nil {
		return ContextError(cause, verdict, when)
	}
	return &core.Error{Code: core.CodeBackendFailure, Verdict: verdict, Reason: "the connection failed " + when, Err: err}
}
