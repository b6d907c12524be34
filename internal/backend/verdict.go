package backend

import (
	"context"

	"github.com/berylfall/berylfall/internal/core"
)

// FailedAttempt returns the end of an attempt without a complete answer.
func FailedAttempt(e *core.Error) AttemptEnd {
	return AttemptEnd{Verdict: e.Verdict, Err: e}
}

// DialError returns the error of an attempt that got no connection; its verdict
// is not-run.
func DialError(ctx context.Context, err error) *core.Error {
	if cause := core.ContextCause(ctx); cause != nil {
		return ContextError(cause, core.NotRun, "before a connection was open")
	}
	return core.NotRunError(core.CodeBackendFailure, "no connection to the backend server: %v", err)
}

// ConnectionError returns the error of an attempt whose connection failed
// before the answer was complete. The verdict is not-run only if no byte of the
// request was written: a server may start on a partial request, and a reset
// does not tell what the server has read.
func ConnectionError(ctx context.Context, written int, err error) *core.Error {
	verdict, when := core.MayHaveRun, "after a part of the request was sent"
	if written == 0 {
		verdict, when = core.NotRun, "before the first byte was sent"
	}
	if cause := core.ContextCause(ctx); cause != nil {
		return ContextError(cause, verdict, when)
	}
	return &core.Error{Code: core.CodeBackendFailure, Verdict: verdict, Reason: "the connection failed " + when, Err: err}
}
