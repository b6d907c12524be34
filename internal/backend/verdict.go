package backend

import (
	"context"
	"time"

	"github.com/berylfall/berylfall/internal/core"
)

// FailedAttempt returns the end of an attempt without a complete answer.
func FailedAttempt(e *core.Error) AttemptEnd {
	return AttemptEnd{Verdict: e.Verdict, Err: e}
}

// ContextCause returns why ctx has ended, or nil. A deadline that has passed counts
// although the timer of ctx has not fired yet. Otherwise the outcome of an attempt
// whose read or dial times out at its deadline would depend on which timer fires
// first.
func ContextCause(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return context.DeadlineExceeded
	}
	return nil
}

// DialError returns the error of an attempt that got no connection; its verdict
// is not-run.
func DialError(ctx context.Context, err error) *core.Error {
	if cause := ContextCause(ctx); cause != nil {
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
	if cause := ContextCause(ctx); cause != nil {
		return ContextError(cause, verdict, when)
	}
	return &core.Error{Code: core.CodeBackendFailure, Verdict: verdict, Reason: "the connection failed " + when, Err: err}
}
